#ifndef MEMBERSHIP_TESTING_FLEET_H_
#define MEMBERSHIP_TESTING_FLEET_H_

// Entries and agents in memory, with a clock set by hand. Messages pass through
// their encoded form.

#include <gtest/gtest.h>

#include <algorithm>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "base/strings.h"
#include "membership/digest_queue.h"
#include "membership/message.h"
#include "membership/view.h"

namespace cuminjunction {

inline Chart MemberChart() {
  std::vector<YamlProblem> problems;
  Result<Chart> chart = LoadChart(
      StrCat(CUMINJUNCTION_SOURCE_DIR, "/charts/member.yaml"), &problems);
  EXPECT_TRUE(chart.has_value());
  return chart ? chart.value() : Chart();
}

inline Member MakeMember(const std::string& name,
                         Role role,
                         const std::string& region,
                         uint16_t port,
                         uint64_t incarnation = 1) {
  Member member;
  member.name = name;
  member.role = role;
  member.incarnation = incarnation;
  member.host = "10.0.0.1";
  member.port = port;
  member.failure_domain = region + "-a";
  member.region = region;
  member.services = {"slot-check"};
  return member;
}

inline Heartbeat MakeHeartbeat(const Member& member, uint64_t sequence) {
  return {MakeBrief(member, sequence), 0, false, member};
}

class Fleet {
 public:
  struct Entry {
    View view;
    DigestQueue queue;
    bool is_paused = false;
  };
  struct Agent {
    Member member;
    uint64_t sequence = 0;
    std::vector<std::string> contacts;
    bool is_silent = false;
  };
  // Whether a message from the first to the second member is lost.
  using IsCut = std::function<bool(const Member&, const Member&)>;

  explicit Fleet(Topology topology = Topology::kFullMesh)
      : topology(topology) {}

  void AddEntry(const std::string& name,
                const std::string& region,
                uint64_t incarnation = 1) {
    GossipOptions options;
    options.self =
        MakeMember(name, Role::kEntry, region, this->next_port++, incarnation);
    options.view.topology = this->topology;
    this->entries.emplace(name,
                          Entry{View(MemberChart(), options.view, options.self),
                                DigestQueue(options)});
  }

  void AddAgent(const std::string& name,
                const std::string& region,
                std::vector<std::string> contacts) {
    this->agents[name] = {
        MakeMember(name, Role::kAgent, region, this->next_port++), 0,
        std::move(contacts)};
  }

  // Lets `seconds` pass: heartbeats and digests every 2 s, ticks and changes
  // every 250 ms.
  void Run(int seconds) {
    for (int step = 0; step < seconds * 4; ++step) {
      this->now += absl::Milliseconds(250);
      const bool is_regular = this->steps++ % 8 == 0;
      if (is_regular)
        this->Beat();
      for (auto& [name, entry] : this->entries) {
        if (!entry.is_paused)
          this->Step(&entry, is_regular);
      }
    }
  }

  MemberState StateAt(const std::string& entry, const std::string& member) {
    const auto full = this->entries.at(entry).view.FindFull(HashName(member));
    return full ? full->member.state : MemberState::kLeft;
  }

  bool Knows(const std::string& entry, const std::string& member) {
    return this->entries.at(entry).view.FindFull(HashName(member)).has_value();
  }

  void Deliver(Entry* to, const Digest& digest) {
    const Result<Datagram> read = ParseMessage(EncodeMessage(digest));
    ASSERT_TRUE(read.has_value());
    const std::vector<Digest> replies =
        to->view.HearDigest(std::get<Digest>(read.value()), this->now);
    for (auto& [name, entry] : this->entries) {
      if (HashName(name) != digest.sender.name_hash || entry.is_paused ||
          this->is_cut(to->view.Self(), entry.view.Self()))
        continue;
      for (const Digest& reply : replies)
        this->Deliver(&entry, reply);
    }
  }

  Topology topology;
  absl::Time now = absl::UnixEpoch();
  std::map<std::string, Entry> entries;
  std::map<std::string, Agent> agents;
  IsCut is_cut = [](const Member&, const Member&) { return false; };
  // All changes that each entry reported, in order.
  std::map<std::string, std::vector<MemberChange>> changes;

 private:
  void Beat() {
    for (auto& [name, agent] : this->agents) {
      if (agent.is_silent)
        continue;
      ++agent.sequence;
      for (const std::string& contact : agent.contacts) {
        Entry& entry = this->entries.at(contact);
        if (!entry.is_paused && !this->is_cut(agent.member, entry.view.Self()))
          entry.view.HearHeartbeat(MakeHeartbeat(agent.member, agent.sequence),
                                   this->now);
      }
    }
  }

  void Step(Entry* entry, bool is_regular) {
    entry->view.Tick(this->now);
    const std::vector<MemberChange> news = entry->view.TakeChanges();
    auto& log = this->changes[entry->view.Self().name];
    log.insert(log.end(), news.begin(), news.end());
    entry->queue.Add(news, entry->view);
    if (!is_regular && !entry->queue.HasChanges())
      return;
    const std::vector<Member> peers = entry->queue.Peers(entry->view);
    const Round round = entry->queue.NextRound(
        &entry->view,
        is_regular ? RoundKind::kRegular : RoundKind::kChangesOnly, this->now);
    for (auto& [name, other] : this->entries) {
      const bool is_peer =
          this->steps < 32 ||
          std::any_of(peers.begin(), peers.end(),
                      [&other = other](const Member& peer) {
                        return peer.name == other.view.Self().name;
                      });
      if (&other == entry || other.is_paused || !is_peer ||
          this->is_cut(entry->view.Self(), other.view.Self()))
        continue;
      const bool is_far = other.view.Self().region != entry->view.Self().region;
      for (const Digest& digest :
           is_far && !round.far.empty() ? round.far : round.near)
        this->Deliver(&other, digest);
    }
  }

  uint16_t next_port = 1000;
  int64_t steps = 0;
};

// Two entries in each of the regions "erie" and "huron", and four agents in
// each that heartbeat to both entries of their region.
inline Fleet TwoRegions(Topology topology = Topology::kFullMesh) {
  Fleet fleet(topology);
  for (const std::string region : {"erie", "huron"}) {
    fleet.AddEntry(region + "-1", region);
    fleet.AddEntry(region + "-2", region);
    for (const std::string agent : {"w", "x", "y", "z"})
      fleet.AddAgent(StrCat(region, "-", agent), region,
                     {region + "-1", region + "-2"});
  }
  fleet.Run(20);
  return fleet;
}

}  // namespace cuminjunction

#endif  // MEMBERSHIP_TESTING_FLEET_H_

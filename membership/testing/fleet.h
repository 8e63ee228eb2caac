#ifndef MEMBERSHIP_TESTING_FLEET_H_
#define MEMBERSHIP_TESTING_FLEET_H_

// A simulated cluster of entries and agents in memory with a manual clock.
// Messages are encoded and parsed on their way.

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
#include "membership/member_table.h"
#include "membership/message.h"

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
  return {MakeSummary(member, sequence), 0, false, member};
}

class Fleet {
 public:
  struct Entry {
    MemberTable table;
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
  using IsPartitioned = std::function<bool(const Member&, const Member&)>;

  explicit Fleet(Topology topology = Topology::kFullMesh)
      : topology(topology) {}

  void AddEntry(const std::string& name,
                const std::string& region,
                uint64_t incarnation = 1) {
    GossipOptions options;
    options.self =
        MakeMember(name, Role::kEntry, region, this->next_port++, incarnation);
    options.table.topology = this->topology;
    this->entries.emplace(
        name, Entry{MemberTable(MemberChart(), options.table, options.self),
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
        this->SendHeartbeats();
      for (auto& [name, entry] : this->entries) {
        if (!entry.is_paused)
          this->Step(&entry, is_regular);
      }
    }
  }

  MemberState StateAt(const std::string& entry, const std::string& member) {
    const auto full = this->entries.at(entry).table.FindFull(HashName(member));
    return full ? full->member.state : MemberState::kLeft;
  }

  bool HasMember(const std::string& entry, const std::string& member) {
    return this->entries.at(entry).table.FindFull(HashName(member)).has_value();
  }

  void Deliver(Entry* to, const Digest& digest) {
    const Result<Datagram> read = ParseMessage(EncodeMessage(digest));
    ASSERT_TRUE(read.has_value());
    const std::vector<Digest> replies =
        to->table.MergeDigest(std::get<Digest>(read.value()), this->now);
    for (auto& [name, entry] : this->entries) {
      if (HashName(name) != digest.sender.name_hash || entry.is_paused ||
          this->is_partitioned(to->table.Self(), entry.table.Self()))
        continue;
      for (const Digest& reply : replies)
        this->Deliver(&entry, reply);
    }
  }

  Topology topology;
  absl::Time now = absl::UnixEpoch();
  std::map<std::string, Entry> entries;
  std::map<std::string, Agent> agents;
  IsPartitioned is_partitioned = [](const Member&, const Member&) {
    return false;
  };
  // All changes that each entry reported, in order.
  std::map<std::string, std::vector<MemberChange>> changes;

 private:
  void SendHeartbeats() {
    for (auto& [name, agent] : this->agents) {
      if (agent.is_silent)
        continue;
      ++agent.sequence;
      for (const std::string& contact : agent.contacts) {
        Entry& entry = this->entries.at(contact);
        if (!entry.is_paused &&
            !this->is_partitioned(agent.member, entry.table.Self()))
          entry.table.MergeHeartbeat(
              MakeHeartbeat(agent.member, agent.sequence), this->now);
      }
    }
  }

  void Step(Entry* entry, bool is_regular) {
    entry->table.Tick(this->now);
    const std::vector<MemberChange> changes_now = entry->table.TakeChanges();
    auto& log = this->changes[entry->table.Self().name];
    log.insert(log.end(), changes_now.begin(), changes_now.end());
    entry->queue.Add(changes_now, entry->table);
    if (!is_regular && !entry->queue.HasChanges())
      return;
    const std::vector<Member> peers = entry->queue.Peers(entry->table);
    const GossipRound round = entry->queue.NextRound(
        &entry->table,
        is_regular ? RoundKind::kRegular : RoundKind::kChangesOnly, this->now);
    for (auto& [name, other] : this->entries) {
      const bool is_peer =
          this->steps < 32 ||
          std::any_of(peers.begin(), peers.end(),
                      [&other = other](const Member& peer) {
                        return peer.name == other.table.Self().name;
                      });
      if (&other == entry || other.is_paused || !is_peer ||
          this->is_partitioned(entry->table.Self(), other.table.Self()))
        continue;
      const bool is_far =
          other.table.Self().region != entry->table.Self().region;
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

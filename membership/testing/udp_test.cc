// The UDP tasks on real sockets of the loopback interface. Tests wait for a
// state without a bound of their own; only the time limit of the test run ends
// a wait for a state that never comes.

#include <gtest/gtest.h>

#include <algorithm>
#include <memory>
#include <thread>

#include "membership/agent_heartbeat.h"
#include "membership/entry_choice.h"
#include "membership/entry_gossip.h"
#include "membership/testing/fleet.h"

namespace cuminjunction {
namespace {

Member LocalMember(const std::string& name, Role role) {
  Member member = MakeMember(name, role, "erie", 0, 0);
  member.host = "127.0.0.1";
  member.tcp_port = 9;
  return member;
}

class Udp : public testing::Test {
 protected:
  Udp() { this->thread.Start(); }

  ~Udp() override {
    this->thread.Call([this] {
      for (auto& agent : this->agents)
        agent->Close();
      for (auto& [name, entry] : this->entries)
        entry->Close();
    });
    this->thread.Stop();
  }

  EntryGossip& AddEntry(const std::string& name) {
    GossipOptions options;
    options.self = LocalMember(name, Role::kEntry);
    options.seeds = this->seeds;
    options.digest_interval_ms = 100;
    options.table.tick_interval_ms = 20;
    // No test here relies on suspicion, so a slow machine causes none.
    options.table.suspect_after_ms = 3'600'000;
    auto& entry = this->entries[name];
    entry = std::make_unique<EntryGossip>(&this->thread, MemberChart(), options,
                                          std::vector<EntryListener>{},
                                          &this->metrics);
    EXPECT_TRUE(this->thread.Call([&] { return entry->Open().has_value(); }));
    this->seeds.push_back({"127.0.0.1", entry->Self().port});
    return *entry;
  }

  AgentHeartbeat& AddAgent(const std::string& name, Member self) {
    HeartbeatOptions options;
    options.self = std::move(self);
    options.self.name = name;
    options.seeds = this->seeds;
    options.heartbeat_interval_ms = 100;
    AgentListener listener;
    listener.thread = &this->thread;
    listener.on_config_version = [this](uint64_t version, const EntryContact&) {
      this->announced_version = version;
    };
    this->agents.push_back(std::make_unique<AgentHeartbeat>(
        &this->thread, options, listener, &this->metrics));
    AgentHeartbeat* agent = this->agents.back().get();
    EXPECT_TRUE(this->thread.Call([&] { return agent->Open().has_value(); }));
    return *agent;
  }

  // Waits until the condition holds on the thread of the tasks.
  template <class F>
  void Await(F condition) {
    while (!this->thread.Call(condition))
      std::this_thread::sleep_for(std::chrono::milliseconds(5));
  }

  MemberState StateAt(const std::string& entry, const std::string& member) {
    for (const Member& known : this->entries[entry]->Members()) {
      if (known.name == member)
        return known.state;
    }
    return MemberState::kDead;
  }

  bool AllEntriesReport(const std::string& member, MemberState state) {
    return std::all_of(this->entries.begin(), this->entries.end(),
                       [&](const auto& entry) {
                         return this->StateAt(entry.first, member) == state;
                       });
  }

  Metrics metrics;
  EventThread thread{"membership"};
  std::vector<UdpAddress> seeds;
  std::map<std::string, std::unique_ptr<EntryGossip>> entries;
  std::vector<std::unique_ptr<AgentHeartbeat>> agents;
  uint64_t announced_version = 0;
};

// Guards the whole path: announcing, the states an agent announces, and that a
// leave reaches also the entries that the agent does not heartbeat to.
TEST_F(Udp, AgentIsSeenByAllEntriesUntilItLeaves) {
  for (const std::string name : {"e1", "e2", "e3", "e4"})
    this->AddEntry(name);
  AgentHeartbeat& agent =
      this->AddAgent("runner", LocalMember("", Role::kAgent));
  this->Await(
      [&] { return this->AllEntriesReport("runner", MemberState::kAlive); });
  EXPECT_EQ(this->thread.Call([&] { return agent.Contacts().size(); }), 2U);
  this->thread.Post([&] { agent.SetUpstreamDown(true); });
  this->Await([&] {
    return this->AllEntriesReport("runner", MemberState::kUpstreamDown);
  });
  bool is_acknowledged = false;
  this->thread.Post([&] { agent.Leave([&] { is_acknowledged = true; }); });
  this->Await([&] { return is_acknowledged; });
  EXPECT_TRUE(this->thread.Call(
      [&] { return this->AllEntriesReport("runner", MemberState::kLeaving); }));
}

// Guards against an agent that stays with an entry that does not answer.
TEST_F(Udp, AgentReplacesASilentEntry) {
  for (const std::string name : {"e1", "e2", "e3"})
    this->AddEntry(name);
  AgentHeartbeat& agent =
      this->AddAgent("runner", LocalMember("", Role::kAgent));
  this->Await([&] {
    return this->AllEntriesReport("runner", MemberState::kAlive) &&
           agent.Contacts().size() == 2 && !agent.Contacts()[0].name.empty();
  });
  const std::string victim =
      this->thread.Call([&] { return agent.Contacts()[0].name; });
  this->thread.Call([&] { this->entries[victim]->Close(); });
  this->Await([&] {
    const auto contacts = agent.Contacts();
    return contacts.size() == 2 && contacts[0].name != victim &&
           contacts[1].name != victim;
  });
}

// Guards the distribution of configuration versions: to agents at once, to the
// other entries, and back for `status`.
TEST_F(Udp, ConfigVersionsTravelBothWays) {
  EntryGossip& entry = this->AddEntry("e1");
  AgentHeartbeat& agent =
      this->AddAgent("runner", LocalMember("", Role::kAgent));
  this->Await(
      [&] { return this->AllEntriesReport("runner", MemberState::kAlive); });
  this->thread.Post([&] { entry.SetConfigVersion(7); });
  this->Await([&] { return this->announced_version == 7; });
  // An agent that starts later has it from its first acknowledgement.
  this->thread.Call([&] { this->announced_version = 0; });
  this->AddAgent("late", LocalMember("", Role::kAgent));
  this->Await([&] { return this->announced_version == 7; });
  this->thread.Post([&] { agent.SetConfigVersion(7); });
  this->Await([&] {
    const std::vector<Member> members = entry.Members();
    return std::any_of(
        members.begin(), members.end(), [](const Member& member) {
          return member.name == "runner" && member.config_version == 7;
        });
  });
}

// Guards against a process that is refused for ever because its clock stepped
// back before it restarted at the same address.
TEST_F(Udp, LowerIncarnationTakesAHigherOne) {
  this->AddEntry("e1");
  Member self = LocalMember("", Role::kAgent);
  self.incarnation = 1000;
  AgentHeartbeat& first = this->AddAgent("runner", self);
  this->Await(
      [&] { return this->AllEntriesReport("runner", MemberState::kAlive); });
  self.port = this->thread.Call([&] {
    first.Close();
    return first.Self().port;
  });
  self.incarnation = 10;
  this->AddAgent("runner-b", self);
  this->Await([&] {
    return this->AllEntriesReport("runner-b", MemberState::kAlive) &&
           this->AllEntriesReport("runner", MemberState::kLeft);
  });
  EXPECT_EQ(
      this->thread.Call([&] { return this->agents[1]->Self().incarnation; }),
      1001U);
}

// Guards against damaged and foreign datagrams ending the task or passing
// uncounted.
TEST_F(Udp, ForeignBytesAreCountedAndDropped) {
  EntryGossip& entry = this->AddEntry("e1");
  Metrics other;
  UdpSocket socket(&this->thread.Context(), &other);
  this->thread.Call([&] {
    ASSERT_TRUE(
        socket.Open({"127.0.0.1", 0}, [](const Datagram&, const auto&) {})
            .has_value());
    std::string damaged = EncodeMessage(Heartbeat{});
    damaged.back() = static_cast<char>(damaged.back() ^ 1);
    const UdpAddress to = {"127.0.0.1", entry.Self().port};
    socket.Send("GET / HTTP/1.1\r\n\r\n", to);
    socket.Send("", to);
    socket.Send(damaged, to);
  });
  const auto dropped = [&](const char* labels) {
    return this->metrics.GetCounter("membership_dropped_total", labels).Value();
  };
  this->Await([&] {
    return dropped("reason=\"foreign\"") == 2 &&
           dropped("reason=\"checksum\"") == 1;
  });
  this->AddAgent("runner", LocalMember("", Role::kAgent));
  this->Await(
      [&] { return this->AllEntriesReport("runner", MemberState::kAlive); });
  this->thread.Call([&] { socket.Close(); });
}

// Guards against a storm of datagrams between an agent and entries that hold
// different lists of entries, as they do for a while after a change.
TEST_F(Udp, DifferentEntryListsCauseNoStorm) {
  Metrics other;
  int64_t datagrams = 0;
  uint64_t sequence = 0;
  std::vector<std::unique_ptr<UdpSocket>> sockets;
  std::vector<EntryContact> contacts;
  this->thread.Call([&] {
    for (size_t i = 0; i < 4; ++i) {
      sockets.push_back(
          std::make_unique<UdpSocket>(&this->thread.Context(), &other));
      UdpSocket* socket = sockets.back().get();
      const auto answer = [&, socket, i](const Datagram& message,
                                         const UdpAddress& from) {
        const auto& heartbeat = std::get<Heartbeat>(message);
        ++datagrams;
        sequence = std::max(sequence, heartbeat.summary.sequence);
        Acknowledgement reply;
        reply.sequence = heartbeat.summary.sequence;
        // Each stand-in names all entries but itself.
        reply.entries = contacts;
        reply.entries->erase(reply.entries->begin() +
                             static_cast<std::ptrdiff_t>(i));
        socket->Send(EncodeMessage(reply), from);
      };
      ASSERT_TRUE(socket->Open({"127.0.0.1", 0}, answer).has_value());
      const std::string name = StrCat("e", i);
      contacts.push_back(
          {name, "127.0.0.1", socket->Port(), 9, "erie-a", "erie"});
      this->seeds.push_back({"127.0.0.1", socket->Port()});
    }
  });
  this->AddAgent("runner", LocalMember("", Role::kAgent));
  this->Await([&] { return sequence >= 10; });
  this->thread.Call([&] {
    // At most two heartbeats, two last ones and two first ones a beat.
    EXPECT_LE(datagrams, 6 * static_cast<int64_t>(sequence));
    for (auto& socket : sockets)
      socket->Close();
  });
}

// Guards against agents that crowd at one entry or reach into other regions
// without need.
TEST(EntryChoice, SpreadsAgentsWithinTheirRegion) {
  std::vector<EntryContact> entries;
  for (const std::string region : {"erie", "huron"}) {
    for (const std::string i : {"1", "2", "3", "4"})
      entries.push_back({region + i, region + i, 1, 1,
                         region + (i < "3" ? "-a" : "-b"), region});
  }
  std::map<std::string, int> load;
  for (int i = 0; i < 400; ++i) {
    const Member self =
        MakeMember(StrCat("agent-", i), Role::kAgent, "huron", 1);
    const auto chosen = ChooseEntries(self, entries, {}, 2);
    ASSERT_EQ(chosen.size(), 2U);
    EXPECT_NE(chosen[0].name, chosen[1].name);
    for (const EntryContact& entry : chosen) {
      EXPECT_EQ(entry.region, "huron");
      ++load[entry.name];
    }
    // An avoided entry is replaced, and the other one is kept.
    const auto others = ChooseEntries(self, entries, {{chosen[0].host, 1}}, 2);
    EXPECT_TRUE(others[0] == chosen[1]);
    EXPECT_NE(others[1].name, chosen[0].name);
  }
  for (const auto& [name, agents] : load) {
    EXPECT_GT(agents, 150) << name;
    EXPECT_LT(agents, 250) << name;
  }
}

}  // namespace
}  // namespace cuminjunction

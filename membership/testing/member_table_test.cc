#include "membership/member_table.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <random>

#include "membership/testing/fleet.h"

namespace cuminjunction {
namespace {

// Number of reports of the entry that the member entered the state.
int64_t CountReports(const Fleet& fleet,
                     const std::string& entry,
                     const std::string& member,
                     MemberState state) {
  const auto& log = fleet.changes.at(entry);
  return std::count_if(log.begin(), log.end(), [&](const auto& change) {
    return change.member.name == member && change.member.state == state;
  });
}

// Guards against entries that see only the agents that heartbeat to them.
TEST(MemberTable, EveryEntryLearnsEveryMember) {
  Fleet fleet = TwoRegions();
  for (const std::string entry : {"erie-1", "erie-2", "huron-1", "huron-2"}) {
    EXPECT_EQ(fleet.entries.at(entry).table.Members().size(), 12U);
    EXPECT_EQ(fleet.entries.at(entry).table.EntryContacts().size(), 4U);
    for (const auto& [agent, state] : fleet.agents)
      EXPECT_EQ(fleet.StateAt(entry, agent), MemberState::kAlive);
  }
}

// Guards against declaring a paused process dead: its late heartbeat refutes
// the suspicion at every entry, without a death in between.
TEST(MemberTable, LateHeartbeatRefutesSuspicion) {
  Fleet fleet = TwoRegions();
  fleet.agents["erie-x"].is_silent = true;
  fleet.Run(9);
  EXPECT_EQ(fleet.StateAt("erie-1", "erie-x"), MemberState::kSuspect);
  EXPECT_EQ(fleet.StateAt("huron-2", "erie-x"), MemberState::kSuspect);
  fleet.agents["erie-x"].is_silent = false;
  fleet.Run(4);
  for (const std::string entry : {"erie-1", "erie-2", "huron-1", "huron-2"}) {
    EXPECT_EQ(fleet.StateAt(entry, "erie-x"), MemberState::kAlive);
    EXPECT_EQ(CountReports(fleet, entry, "erie-x", MemberState::kDead), 0);
  }
}

// Guards against a dead member staying in the list, and against a member that
// was paused for longer than that never coming back.
TEST(MemberTable, SilenceIsDeathUntilRefuted) {
  Fleet fleet = TwoRegions();
  fleet.agents["erie-x"].is_silent = true;
  fleet.Run(20);
  EXPECT_EQ(fleet.StateAt("erie-1", "erie-x"), MemberState::kDead);
  EXPECT_EQ(fleet.StateAt("huron-2", "erie-x"), MemberState::kDead);
  fleet.agents["erie-x"].is_silent = false;
  fleet.Run(4);
  EXPECT_EQ(fleet.StateAt("huron-2", "erie-x"), MemberState::kAlive);
}

// Guards against a lossy path killing a member: another entry still hears it
// and refutes the suspicion. Several members are cut off from one entry each,
// since a mention in a regular digest may save a single one by chance.
TEST(MemberTable, OtherEntryRefutesSuspicion) {
  Fleet fleet = TwoRegions();
  fleet.is_partitioned = [](const Member& from, const Member& to) {
    return from.role == Role::kAgent && from.name.back() != 'z' &&
           to.name.back() == '1';
  };
  fleet.Run(60);
  int64_t suspicions = 0;
  for (const std::string entry : {"erie-1", "erie-2", "huron-1", "huron-2"}) {
    for (const auto& [agent, unused] : fleet.agents) {
      EXPECT_EQ(fleet.StateAt(entry, agent), MemberState::kAlive);
      EXPECT_EQ(CountReports(fleet, entry, agent, MemberState::kDead), 0);
      suspicions += CountReports(fleet, entry, agent, MemberState::kSuspect);
    }
  }
  EXPECT_GT(suspicions, 0);
}

// Guards against leaving the refutation to chance: the entry that holds a later
// heartbeat answers a suspicion at once.
TEST(MemberTable, SuspicionIsAnsweredWithLaterHeartbeat) {
  Fleet fleet = TwoRegions();
  MemberTable& table = fleet.entries.at("erie-2").table;
  const Fleet::Agent& agent = fleet.agents["erie-x"];
  Digest digest;
  digest.sender = fleet.entries.at("erie-1").table.NextSelfSummary();
  digest.summaries = {MakeSummary(agent.member, agent.sequence - 1)};
  digest.summaries[0].state = MemberState::kSuspect;
  const std::vector<Digest> replies = table.MergeDigest(digest, fleet.now);
  ASSERT_EQ(replies.size(), 1U);
  EXPECT_EQ(replies[0].summaries, std::vector<MemberSummary>{MakeSummary(
                                      agent.member, agent.sequence)});
}

// Guards against an entry that was paused suspecting everybody it did not
// hear meanwhile.
TEST(MemberTable, OwnPauseCausesNoSuspicion) {
  Fleet fleet = TwoRegions();
  fleet.entries.at("erie-1").is_paused = true;
  fleet.Run(11);
  fleet.entries.at("erie-1").is_paused = false;
  fleet.changes["erie-1"].clear();
  fleet.Run(20);
  for (const MemberChange& change : fleet.changes["erie-1"]) {
    EXPECT_EQ(change.member.state, MemberState::kAlive) << change.member.name;
  }
}

// Guards against declaring the members of a partitioned region dead, on either
// side, and against members staying unreachable after the partition heals.
TEST(MemberTable, CutRegionIsUnreachableNotDead) {
  Fleet fleet = TwoRegions();
  fleet.is_partitioned = [](const Member& from, const Member& to) {
    return from.region != to.region;
  };
  fleet.Run(120);
  for (const std::string member : {"huron-1", "huron-w", "huron-z"})
    EXPECT_EQ(fleet.StateAt("erie-1", member), MemberState::kUnreachable);
  EXPECT_EQ(fleet.StateAt("huron-2", "erie-x"), MemberState::kUnreachable);
  EXPECT_EQ(fleet.StateAt("huron-2", "huron-x"), MemberState::kAlive);
  fleet.is_partitioned = [](const Member&, const Member&) { return false; };
  fleet.Run(6);
  for (const auto& [entry, unused] : fleet.entries) {
    for (const Member& member : fleet.entries.at(entry).table.Members())
      EXPECT_EQ(member.state, MemberState::kAlive) << member.name;
    for (const MemberChange& change : fleet.changes[entry])
      EXPECT_NE(change.member.state, MemberState::kDead);
  }
}

// Guards against agents that move to other entries, as at their first contact
// with a seed, being taken for a silent region.
TEST(MemberTable, MovedAgentsAreNotSilent) {
  Fleet fleet = TwoRegions();
  for (auto& [name, agent] : fleet.agents) {
    Heartbeat last = MakeHeartbeat(agent.member, agent.sequence);
    last.is_last = true;
    fleet.entries.at(agent.contacts[0]).table.MergeHeartbeat(last, fleet.now);
    agent.contacts = {agent.contacts[1]};
  }
  fleet.changes.clear();
  fleet.Run(120);
  for (const auto& [entry, changes] : fleet.changes)
    EXPECT_TRUE(changes.empty()) << entry;
}

// Guards against two entries that each lack something of the other answering
// each other without end.
TEST(MemberTable, AnswersEnd) {
  Fleet fleet;
  fleet.AddEntry("e1", "erie");
  fleet.AddEntry("e2", "erie");
  MemberTable& first = fleet.entries.at("e1").table;
  MemberTable& second = fleet.entries.at("e2").table;
  Digest hello;
  hello.sender = first.NextSelfSummary();
  int count = 0;
  std::vector<Digest> wave = {hello};
  for (; !wave.empty() && count < 100; ++count) {
    std::vector<Digest> next;
    for (const Digest& digest : wave) {
      // Neither side passes its record on, so that both go on lacking it.
      Digest stripped = digest;
      stripped.records.clear();
      MemberTable& to = count % 2 == 0 ? second : first;
      for (Digest& reply : to.MergeDigest(stripped, fleet.now))
        next.push_back(std::move(reply));
    }
    wave = std::move(next);
  }
  EXPECT_LT(count, 10);
}

// Guards against taking single deaths for a cut: an entry and an agent of the
// other region die while the rest of it is heard.
TEST(MemberTable, SingleDeathInOtherRegionIsDeath) {
  Fleet fleet = TwoRegions();
  fleet.entries.at("huron-1").is_paused = true;
  fleet.agents["huron-x"].is_silent = true;
  fleet.Run(20);
  EXPECT_EQ(fleet.StateAt("erie-1", "huron-1"), MemberState::kDead);
  EXPECT_EQ(fleet.StateAt("erie-1", "huron-x"), MemberState::kDead);
  EXPECT_EQ(fleet.StateAt("erie-1", "huron-y"), MemberState::kAlive);
}

// Guards against a restarted process being confused with its predecessor:
// under the same name, and under another name at the same address.
TEST(MemberTable, RestartReplacesPredecessor) {
  Fleet fleet = TwoRegions();
  fleet.agents["erie-x"].member.incarnation = 2;
  fleet.agents["erie-x"].member.services = {"orders"};
  fleet.agents["erie-x"].sequence = 0;
  fleet.agents["erie-new"] = fleet.agents["erie-y"];
  fleet.agents["erie-new"].member.name = "erie-new";
  fleet.agents["erie-new"].member.incarnation = 2;
  fleet.agents["erie-y"].is_silent = true;
  fleet.Run(4);
  for (const std::string entry : {"erie-1", "huron-2"}) {
    const auto full =
        fleet.entries.at(entry).table.FindFull(HashName("erie-x"));
    ASSERT_TRUE(full.has_value());
    EXPECT_EQ(full->member.incarnation, 2U);
    EXPECT_EQ(full->member.services, std::vector<std::string>{"orders"});
    EXPECT_EQ(fleet.StateAt(entry, "erie-new"), MemberState::kAlive);
    EXPECT_EQ(fleet.StateAt(entry, "erie-y"), MemberState::kLeft);
  }
  // A heartbeat of the predecessor that arrives late changes nothing.
  MemberTable& table = fleet.entries.at("erie-1").table;
  Member old = fleet.agents["erie-x"].member;
  old.incarnation = 1;
  const HeartbeatOutcome outcome =
      table.MergeHeartbeat(MakeHeartbeat(old, 1000), fleet.now);
  EXPECT_EQ(outcome.higher_incarnation, 2U);
  EXPECT_EQ(table.FindFull(HashName("erie-x"))->member.incarnation, 2U);
}

// Guards against an entry that is replaced staying in the list that agents
// choose from, and against its replacement not learning the fleet.
TEST(MemberTable, ReplacedEntryLearnsTheFleet) {
  Fleet fleet = TwoRegions();
  fleet.entries.at("erie-2").is_paused = true;
  fleet.AddEntry("erie-3", "erie");
  Digest hello;
  MemberTable& fresh = fleet.entries.at("erie-3").table;
  hello.sender = fresh.NextSelfSummary();
  hello.records = {*fresh.FindFull(hello.sender.name_hash)};
  fleet.Deliver(&fleet.entries.at("huron-1"), hello);
  fleet.Run(20);
  for (const auto& [agent, unused] : fleet.agents)
    EXPECT_EQ(fleet.StateAt("erie-3", agent), MemberState::kAlive) << agent;
  for (const std::string entry : {"erie-1", "erie-3", "huron-1", "huron-2"})
    EXPECT_EQ(fleet.entries.at(entry).table.EntryContacts().size(), 4U);
}

// Guards against reordered and repeated datagrams: an old one neither brings
// back an earlier state nor counts as life.
TEST(MemberTable, ReorderedAndRepeatedHeartbeatsChangeNothing) {
  std::mt19937 random(1);
  for (int trial = 0; trial < 50; ++trial) {
    MemberTable table(MemberChart(), MemberTableOptions{},
                      MakeMember("entry", Role::kEntry, "erie", 1));
    Member agent = MakeMember("agent", Role::kAgent, "erie", 2);
    absl::Time now = absl::UnixEpoch();
    std::vector<Heartbeat> sent;
    for (uint64_t sequence = 1; sequence <= 8; ++sequence) {
      agent.state =
          sequence % 3 == 0 ? MemberState::kUpstreamDown : MemberState::kAlive;
      agent.config_version = sequence;
      sent.push_back(MakeHeartbeat(agent, sequence));
    }
    std::vector<Heartbeat> received = sent;
    received.insert(received.end(), sent.begin(), sent.end());
    std::shuffle(received.begin(), received.end(), random);
    for (const Heartbeat& heartbeat : received)
      table.MergeHeartbeat(heartbeat, now);
    const auto full = table.FindFull(HashName("agent"));
    EXPECT_EQ(full->sequence, 8U);
    EXPECT_EQ(full->member.state, sent.back().summary.state);
    EXPECT_EQ(full->member.config_version, 8U);
    // Repetitions alone don't keep the member from being suspected.
    for (int step = 0; step < 40; ++step) {
      now += absl::Milliseconds(250);
      table.Tick(now);
      table.MergeHeartbeat(sent[step % sent.size()], now);
    }
    EXPECT_EQ(table.FindFull(HashName("agent"))->member.state,
              MemberState::kSuspect);
  }
}

// Guards against a leaving member getting work again through an old digest or
// a heartbeat that was overtaken.
TEST(MemberTable, LeavingIsNeverUndone) {
  Fleet fleet = TwoRegions();
  Fleet::Agent& agent = fleet.agents["erie-x"];
  Member earlier = agent.member;
  agent.member.state = MemberState::kLeaving;
  // The change is sent at once, without waiting for a regular digest.
  fleet.Run(3);
  for (const auto& [entry, unused] : fleet.entries)
    EXPECT_EQ(fleet.StateAt(entry, "erie-x"), MemberState::kLeaving);
  // A leaving agent notifies every entry, including those that it does not
  // heartbeat to. It may drain for long.
  ++agent.sequence;
  for (auto& [name, entry] : fleet.entries)
    entry.table.MergeHeartbeat(MakeHeartbeat(agent.member, agent.sequence),
                               fleet.now);
  fleet.Run(300);
  EXPECT_EQ(fleet.StateAt("huron-1", "erie-x"), MemberState::kLeaving);
  Digest old;
  old.sender = fleet.entries.at("huron-1").table.NextSelfSummary();
  old.records = {{earlier, 1000}};
  for (const MemberState state :
       {MemberState::kAlive, MemberState::kUpstreamDown, MemberState::kSuspect,
        MemberState::kDead}) {
    earlier.state = state;
    old.summaries.push_back(MakeSummary(earlier, 2000));
  }
  MemberTable& table = fleet.entries.at("erie-1").table;
  table.MergeDigest(old, fleet.now);
  earlier.state = MemberState::kAlive;
  table.MergeHeartbeat(MakeHeartbeat(earlier, 3000), fleet.now);
  EXPECT_EQ(fleet.StateAt("erie-1", "erie-x"), MemberState::kLeaving);
  // It has left when it falls silent.
  agent.is_silent = true;
  fleet.Run(10);
  EXPECT_EQ(fleet.StateAt("huron-1", "erie-x"), MemberState::kLeft);
}

// Guards against a table that grows with every name ever announced.
TEST(MemberTable, TableIsBounded) {
  MemberTableOptions options;
  options.max_members = 10;
  MemberTable table(MemberChart(), options,
                    MakeMember("entry", Role::kEntry, "erie", 1));
  for (uint16_t i = 0; i < 15; ++i) {
    Member agent = MakeMember(StrCat("agent-", i), Role::kAgent, "erie",
                              static_cast<uint16_t>(100 + i));
    // The first three have left and make room.
    agent.state = i < 3 ? MemberState::kLeft : MemberState::kAlive;
    table.MergeHeartbeat(MakeHeartbeat(agent, 1), absl::UnixEpoch());
  }
  EXPECT_EQ(table.Records().size(), 10U);
  EXPECT_EQ(table.RefusedMembers(), 2U);
}

// Guards against a member that no entry vouches for any more staying alive
// for ever at the entries that know it from digests.
TEST(MemberTable, MemberWithoutWitnessExpires) {
  Fleet fleet = TwoRegions();
  fleet.agents["erie-x"].is_silent = true;
  fleet.entries.at("erie-1").is_paused = true;
  fleet.entries.at("erie-2").is_paused = true;
  for (const std::string agent : {"erie-w", "erie-y", "erie-z"})
    fleet.agents[agent].contacts = {"huron-1", "huron-2"};
  fleet.Run(400);
  EXPECT_EQ(fleet.StateAt("huron-1", "erie-x"), MemberState::kDead);
  EXPECT_EQ(fleet.StateAt("huron-2", "erie-1"), MemberState::kDead);
  EXPECT_EQ(fleet.StateAt("huron-2", "erie-w"), MemberState::kAlive);
}

// Guards the baseline of the bench against losing members between regions.
TEST(MemberTable, NeighbourhoodsRelayBetweenRegions) {
  Fleet fleet = TwoRegions(Topology::kNeighbourhoods);
  fleet.agents["erie-x"].member.state = MemberState::kLeaving;
  fleet.agents["erie-y"].is_silent = true;
  fleet.Run(400);
  EXPECT_EQ(fleet.StateAt("huron-2", "erie-x"), MemberState::kLeaving);
  EXPECT_EQ(fleet.StateAt("huron-2", "erie-y"), MemberState::kDead);
  EXPECT_EQ(fleet.StateAt("huron-2", "erie-z"), MemberState::kAlive);
}

}  // namespace
}  // namespace cuminjunction

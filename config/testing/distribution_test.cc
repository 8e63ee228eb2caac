#include "config/distribution.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "base/frame.h"
#include "base/strings.h"

namespace cuminjunction {
namespace {

absl::Time At(int64_t ms) {
  return absl::UnixEpoch() + absl::Milliseconds(ms);
}

// All versions of a configuration, as the store would have them.
class VersionHistory {
 public:
  VersionHistory() { this->states.emplace_back(); }

  uint64_t NewestVersion() const { return this->states.size() - 1; }
  const ConfigState& At(uint64_t version) const {
    return this->states.at(version);
  }

  // Adds the next version.
  void Change(const SectionTexts& changed,
              const std::vector<std::string>& removed) {
    ConfigState next = this->states.back();
    Delta delta;
    delta.from = next.Version();
    delta.to = delta.from + 1;
    delta.digest =
        next.Digest() - VersionDigest(delta.from) + VersionDigest(delta.to);
    const auto subtract = [&](const std::string& name) {
      const auto found = next.Sections().find(name);
      if (found != next.Sections().end())
        delta.digest -= SectionDigest(name, found->second);
    };
    for (const auto& [name, text] : changed) {
      subtract(name);
      delta.changed[name] = {delta.to, text};
      delta.digest += SectionDigest(name, delta.changed[name]);
    }
    for (const std::string& name : removed) {
      subtract(name);
      delta.removed[name] = delta.to;
    }
    EXPECT_TRUE(next.Apply(delta).value());
    this->states.push_back(std::move(next));
  }

 private:
  std::vector<ConfigState> states;
};

ConfigNode MakeNode(const std::string& name, int expected_peers = 1) {
  return ConfigNode({name, expected_peers, At(2000), false});
}

ConfigNode NodeAt(const std::string& name,
                  const VersionHistory& history,
                  uint64_t to) {
  ConfigNode node = MakeNode(name);
  EXPECT_TRUE(node.OnStoreDelta(history.At(to).Whole()).value());
  return node;
}

// Sends the due request of `node` to `peer` and delivers the whole answer.
Result<bool> RunTransfer(ConfigNode* node, ConfigNode* peer, absl::Time now) {
  const auto out = node->Poll(now);
  if (!out)
    return false;
  Result<bool> last = false;
  for (const ConfigPart& part : peer->Answer(out->request))
    last = node->OnPart(out->peer, part, now);
  return last;
}

TEST(DistributionTest, DeltaCarriesOnlyWhatChanged) {
  VersionHistory history;
  history.Change({{"job/a", "1"}, {"job/b", "1"}}, {});
  history.Change({{"job/a", "2"}, {"job/c", "2"}}, {});
  history.Change({}, {"job/b"});
  const Delta delta = history.At(3).Since(1);
  EXPECT_FALSE(delta.whole);
  EXPECT_EQ(delta.changed.size(), 2u);
  EXPECT_TRUE(delta.removed.contains("job/b"));
  ConfigNode peer = NodeAt("peer", history, 3);
  ConfigNode node = NodeAt("node", history, 1);
  node.OnPeerVersion("peer", 3, 0, At(0));
  EXPECT_TRUE(RunTransfer(&node, &peer, At(0)).value());
  EXPECT_EQ(node.State().Texts(), history.At(3).Texts());
}

// Guards against a lost removal: a receiver older than the kept removals gets
// all sections.
TEST(DistributionTest, ReceiverOlderThanTheKeptRemovalsGetsAllSections) {
  VersionHistory history;
  history.Change({{"job/a", "1"}, {"job/b", "1"}}, {});
  history.Change({}, {"job/b"});
  for (uint64_t i = 0; i < kKeptVersions + 5; ++i)
    history.Change({{"job/a", StrCat(i)}}, {});
  EXPECT_TRUE(history.At(history.NewestVersion()).Since(1).whole);
  EXPECT_FALSE(history.At(history.NewestVersion()).Since(10).whole);
  ConfigState state = history.At(1);
  EXPECT_TRUE(
      state.Apply(history.At(history.NewestVersion()).Since(1)).value());
  EXPECT_EQ(state.Texts(), history.At(history.NewestVersion()).Texts());
}

// Guards against a revert by a message that arrives after a long delay.
TEST(DistributionTest, OldVersionThatArrivesLateChangesNothing) {
  VersionHistory history;
  history.Change({{"job/a", "1"}}, {});
  history.Change({{"job/a", "2"}}, {});
  ConfigNode old_peer = NodeAt("old", history, 1);
  ConfigNode node = MakeNode("node");
  node.OnPeerVersion("old", 1, 0, At(0));
  const auto out = node.Poll(At(0));
  ASSERT_TRUE(out);
  EXPECT_TRUE(node.OnStoreDelta(history.At(2).Whole()).value());
  EXPECT_FALSE(
      node.OnPart("old", old_peer.Answer(out->request).at(0), At(1)).value());
  EXPECT_FALSE(node.OnStoreDelta(history.At(1).Whole()).value());
  EXPECT_EQ(node.State().Version(), 2u);
  EXPECT_EQ(node.State().Texts().at("job/a"), "2");
}

// Guards against a replacement node that becomes ready with an older version
// than its peers have while the store is unreachable.
TEST(DistributionTest, ReplacedNodeInAnOutageGetsTheHighestVersion) {
  VersionHistory history;
  for (int i = 0; i < 7; ++i)
    history.Change({{"job/a", StrCat(i)}}, {});
  ConfigNode low = NodeAt("low", history, 5);
  ConfigNode high = NodeAt("high", history, 7);
  ConfigNode node = MakeNode("node", 2);
  EXPECT_FALSE(node.IsReady(At(10000)));
  node.OnPeerVersion("low", 5, 0, At(0));
  EXPECT_TRUE(RunTransfer(&node, &low, At(0)).value());
  EXPECT_FALSE(node.IsReady(At(1)));
  node.OnPeerVersion("high", 7, 2, At(2));
  EXPECT_FALSE(node.IsReady(At(2)));
  EXPECT_TRUE(RunTransfer(&node, &high, At(3)).value());
  EXPECT_TRUE(node.IsReady(At(3)));
  EXPECT_EQ(node.State().Digest(), history.At(7).Digest());
}

TEST(DistributionTest, SilentPeerIsReplacedByAnother) {
  VersionHistory history;
  history.Change({{"job/a", "1"}}, {});
  ConfigNode node = MakeNode("node", 2);
  node.OnPeerVersion("p1", 1, 0, At(0));
  node.OnPeerVersion("p2", 1, 0, At(0));
  const std::string first = node.Poll(At(0))->peer;
  EXPECT_FALSE(node.Poll(At(kConfigRequestTimeoutMs - 1)));
  const std::string second = node.Poll(At(kConfigRequestTimeoutMs))->peer;
  EXPECT_NE(first, second);
}

// Guards against a peer that keeps an old version because one notice was lost,
// and against notices to a dead peer without backoff.
TEST(DistributionTest, NoticesAreRepeatedUntilThePeerReportsTheVersion) {
  VersionHistory history;
  history.Change({{"job/a", "1"}}, {});
  ConfigNode node = NodeAt("node", history, 1);
  node.OnPeerVersion("p1", 0, 0, At(0));
  node.OnPeerVersion("p2", 0, 0, At(0));
  EXPECT_EQ(node.DueNotices(At(0)).size(), 2u);
  EXPECT_TRUE(node.DueNotices(At(kNoticeRepeatMs - 1)).empty());
  node.OnPeerVersion("p1", 1, 0, At(100));
  EXPECT_EQ(node.DueNotices(At(kNoticeRepeatMs)),
            std::vector<std::string>{"p2"});
  size_t repeated = 0;
  for (int64_t ms = kNoticeRepeatMs; ms < 60000; ms += 100)
    repeated += node.DueNotices(At(ms)).size();
  EXPECT_LT(repeated, 12u);
  // A peer that joins later is notified of the current version too.
  node.OnPeerVersion("p3", 0, 0, At(60000));
  const auto due = node.DueNotices(At(60000));
  EXPECT_NE(std::find(due.begin(), due.end(), "p3"), due.end());
}

// Guards against a damaged transfer that is partly applied, and against
// requesting the same damaged delta again.
TEST(DistributionTest, DamagedDeltaChangesNothingAndAllSectionsAreRequested) {
  VersionHistory history;
  history.Change({{"job/a", "1"}}, {});
  history.Change({{"job/a", "22222222"}}, {});
  ConfigNode peer = NodeAt("peer", history, 2);
  ConfigNode node = NodeAt("node", history, 1);
  node.OnPeerVersion("peer", 2, 0, At(0));
  const auto out = node.Poll(At(0));
  ConfigPart part = peer.Answer(out->request).at(0);
  const size_t at = part.bytes.find("2222");
  part.bytes[at] = '3';
  EXPECT_EQ(node.OnPart("peer", part, At(1)).error(),
            ConfigError::kDamagedDelta);
  EXPECT_EQ(node.State().Texts().at("job/a"), "1");
  const auto again = node.Poll(At(2));
  ASSERT_TRUE(again);
  EXPECT_TRUE(again->request.whole);
  const ConfigPart truncated = {again->request.id, 0, 1, "\x01"};
  EXPECT_FALSE(node.OnPart("peer", truncated, At(3)));
  EXPECT_TRUE(RunTransfer(&node, &peer, At(4)).value());
  EXPECT_EQ(node.State().Version(), 2u);
}

// Guards against a message above the frame limit, and against a number of parts
// that makes the receiver buffer too much.
TEST(DistributionTest, LargeDeltasAreSplitIntoFrames) {
  VersionHistory history;
  SectionTexts texts;
  for (int i = 0; i < 5000; ++i)
    texts[StrCat("job/", i)] = std::string(200, 'x');
  history.Change(texts, {});
  ConfigNode peer = NodeAt("peer", history, 1);
  ConfigNode node = MakeNode("node");
  node.OnPeerVersion("peer", 1, 0, At(0));
  const auto out = node.Poll(At(0));
  std::vector<ConfigPart> parts = peer.Answer(out->request);
  ASSERT_GT(parts.size(), 10u);
  for (const ConfigPart& part : parts)
    EXPECT_LE(Encode(part).size(), kMaxFramePayload);
  std::reverse(parts.begin(), parts.end());
  bool applied = false;
  for (const ConfigPart& part : parts)
    applied = node.OnPart("peer", part, At(1)).value();
  EXPECT_TRUE(applied);
  EXPECT_EQ(node.State().Digest(), history.At(1).Digest());
  ConfigNode other = MakeNode("other");
  other.OnPeerVersion("peer", 1, 0, At(0));
  const auto request = other.Poll(At(0))->request;
  EXPECT_FALSE(other.OnPart("peer", {request.id, 0, 1000000, "x"}, At(1)));
}

// A message in transit.
struct Message {
  size_t from;
  size_t to;
  std::optional<ConfigRequest> request;
  std::optional<ConfigPart> part;
};

// Nodes that exchange messages in a random order.
class SimulatedCluster {
 public:
  explicit SimulatedCluster(size_t count) {
    for (size_t i = 0; i < count; ++i)
      this->nodes.push_back(MakeNode(StrCat(i)));
    this->min_versions.resize(count, 0);
  }

  void Publish() {
    const auto number = *rc::gen::inRange(0, 5);
    const std::string name = StrCat("job/", number);
    const uint64_t next = this->history.NewestVersion() + 1;
    const bool exists = this->history.At(next - 1).Sections().contains(name);
    if (exists && *rc::gen::arbitrary<bool>())
      this->history.Change({}, {name});
    else
      this->history.Change({{name, StrCat("text of version ", next)}}, {});
  }

  // One random step with faults.
  void Step() {
    const size_t a = this->AnyNode();
    const size_t b = this->AnyNode();
    switch (*rc::gen::inRange(0, 8)) {
      case 0:
        this->Publish();
        break;
      case 1:
        this->ReadStore(a);
        break;
      case 2:
        this->SendVersion(a, b);
        break;
      case 3:
        this->now += *rc::gen::inRange<int64_t>(0, 1000);
        this->SendRequest(a);
        break;
      case 4:
        if (*rc::gen::inRange(0, 5) == 0)
          this->Replace(a);
        break;
      default:
        this->Deliver(true);
    }
    this->CheckInvariants();
  }

  // Delivers all messages and exchanges versions between all nodes until they
  // have converged.
  void Converge() {
    for (int round = 0; round < 20; ++round) {
      this->now += kPeerDeprioritizedMs + 1;
      for (size_t a = 0; a < this->nodes.size(); ++a) {
        for (size_t b = 0; b < this->nodes.size(); ++b)
          this->SendVersion(a, b);
        this->SendRequest(a);
      }
      while (!this->messages.empty())
        this->Deliver(false);
      this->CheckInvariants();
    }
  }

  uint64_t Highest() const {
    uint64_t highest = 0;
    for (const ConfigNode& node : this->nodes)
      highest = std::max(highest, node.State().Version());
    return highest;
  }

  std::vector<ConfigNode> nodes;

 private:
  size_t AnyNode() { return *rc::gen::inRange<size_t>(0, this->nodes.size()); }

  void ReadStore(size_t a) {
    // Reads may return an older state of the store.
    const auto version =
        *rc::gen::inRange<uint64_t>(0, this->history.NewestVersion() + 1);
    const uint64_t held = this->nodes[a].State().Version();
    const auto from = *rc::gen::inRange<uint64_t>(0, held + 1);
    if (version > from) {
      RC_ASSERT(this->nodes[a]
                    .OnStoreDelta(this->history.At(version).Since(from))
                    .has_value());
    }
  }

  void SendVersion(size_t a, size_t b) {
    if (a != b) {
      this->nodes[b].OnPeerVersion(StrCat(a), this->nodes[a].State().Version(),
                                   0, At(this->now));
    }
  }

  void SendRequest(size_t a) {
    const auto out = this->nodes[a].Poll(At(this->now));
    if (out)
      this->messages.push_back(
          {a, std::stoul(out->peer), out->request, std::nullopt});
  }

  void Replace(size_t a) {
    this->nodes[a] = MakeNode(StrCat(a));
    this->min_versions[a] = 0;
  }

  void Deliver(bool with_faults) {
    if (this->messages.empty())
      return;
    const size_t index =
        with_faults ? *rc::gen::inRange<size_t>(0, this->messages.size()) : 0;
    Message message = this->messages[index];
    const int delivery = with_faults ? *rc::gen::inRange(0, 8) : 2;
    // 0: lost, 1: delivered and duplicated, others: delivered once.
    if (delivery != 1)
      this->messages.erase(this->messages.begin() +
                           static_cast<std::ptrdiff_t>(index));
    if (delivery == 0)
      return;
    if (message.request) {
      for (ConfigPart& part : this->nodes[message.to].Answer(*message.request))
        this->messages.push_back(
            {message.to, message.from, std::nullopt, std::move(part)});
      return;
    }
    if (delivery == 3 && !message.part->bytes.empty()) {
      const auto at = *rc::gen::inRange<size_t>(0, message.part->bytes.size());
      message.part->bytes[at] = static_cast<char>(message.part->bytes[at] ^ 4);
    }
    // A damaged part may fail; the invariants are checked after the step.
    (void)this->nodes[message.to].OnPart(StrCat(message.from), *message.part,
                                         At(this->now));
  }

  void CheckInvariants() {
    for (size_t i = 0; i < this->nodes.size(); ++i) {
      const ConfigState& state = this->nodes[i].State();
      RC_ASSERT(state.Version() >= this->min_versions[i]);
      RC_ASSERT(state.Texts() == this->history.At(state.Version()).Texts());
      this->min_versions[i] = state.Version();
    }
  }

  VersionHistory history;
  std::vector<Message> messages;
  std::vector<uint64_t> min_versions;
  int64_t now = 0;
};

// Guards against a node that reverts to an older version, mixes versions or
// does not reach the newest one, under loss, duplication, damage, reordering
// and replacement.
RC_GTEST_PROP(DistributionTest, RandomSchedules, ()) {
  for (int schedule = 0; schedule < 30; ++schedule) {
    SimulatedCluster cluster(4);
    const auto steps = *rc::gen::inRange(0, 200);
    for (int i = 0; i < steps; ++i)
      cluster.Step();
    cluster.Converge();
    for (const ConfigNode& node : cluster.nodes)
      RC_ASSERT(node.State().Version() == cluster.Highest());
  }
}

}  // namespace
}  // namespace cuminjunction

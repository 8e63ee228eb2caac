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

// Every version of a configuration and the deltas between them, as the store
// would hold them.
class Truth {
 public:
  Truth() { this->states.emplace_back(); }

  uint64_t Newest() const { return this->states.size() - 1; }
  const ConfigState& At(uint64_t version) const {
    return this->states.at(version);
  }

  // Makes the next version.
  void Change(const SectionTexts& changed,
              const std::vector<std::string>& removed) {
    ConfigState next = this->states.back();
    Delta delta;
    delta.from = next.Version();
    delta.to = delta.from + 1;
    delta.digest =
        next.Digest() - VersionDigest(delta.from) + VersionDigest(delta.to);
    const auto drop = [&](const std::string& name) {
      const auto found = next.Sections().find(name);
      if (found != next.Sections().end())
        delta.digest -= SectionDigest(name, found->second);
    };
    for (const auto& [name, text] : changed) {
      drop(name);
      delta.changed[name] = {delta.to, text};
      delta.digest += SectionDigest(name, delta.changed[name]);
    }
    for (const std::string& name : removed) {
      drop(name);
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

ConfigNode NodeAt(const std::string& name, const Truth& truth, uint64_t to) {
  ConfigNode node = MakeNode(name);
  EXPECT_TRUE(node.OnStoreDelta(truth.At(to).Whole()).value());
  return node;
}

// Lets `node` take what `peer` has.
Result<bool> Transfer(ConfigNode* node, ConfigNode* peer, absl::Time now) {
  const auto out = node->Poll(now);
  if (!out)
    return false;
  Result<bool> last = false;
  for (const ConfigPart& part : peer->Answer(out->request))
    last = node->OnPart(out->peer, part, now);
  return last;
}

TEST(DistributionTest, DeltaCarriesOnlyWhatChanged) {
  Truth truth;
  truth.Change({{"job/a", "1"}, {"job/b", "1"}}, {});
  truth.Change({{"job/a", "2"}, {"job/c", "2"}}, {});
  truth.Change({}, {"job/b"});
  const Delta delta = truth.At(3).Since(1);
  EXPECT_FALSE(delta.whole);
  EXPECT_EQ(delta.changed.size(), 2u);
  EXPECT_TRUE(delta.removed.contains("job/b"));
  ConfigNode peer = NodeAt("peer", truth, 3);
  ConfigNode node = NodeAt("node", truth, 1);
  node.OnPeerVersion("peer", 3, 0, At(0));
  EXPECT_TRUE(Transfer(&node, &peer, At(0)).value());
  EXPECT_EQ(node.State().Texts(), truth.At(3).Texts());
}

// Guards against a lost removal: a receiver older than the kept removals gets
// all sections.
TEST(DistributionTest, ReceiverOlderThanTheKeptRemovalsGetsTheWhole) {
  Truth truth;
  truth.Change({{"job/a", "1"}, {"job/b", "1"}}, {});
  truth.Change({}, {"job/b"});
  for (uint64_t i = 0; i < kKeptVersions + 5; ++i)
    truth.Change({{"job/a", StrCat(i)}}, {});
  EXPECT_TRUE(truth.At(truth.Newest()).Since(1).whole);
  EXPECT_FALSE(truth.At(truth.Newest()).Since(10).whole);
  ConfigState state = truth.At(1);
  EXPECT_TRUE(state.Apply(truth.At(truth.Newest()).Since(1)).value());
  EXPECT_EQ(state.Texts(), truth.At(truth.Newest()).Texts());
}

// Guards against a revert by a message that was under way for long.
TEST(DistributionTest, OldVersionThatArrivesLateChangesNothing) {
  Truth truth;
  truth.Change({{"job/a", "1"}}, {});
  truth.Change({{"job/a", "2"}}, {});
  ConfigNode old_peer = NodeAt("old", truth, 1);
  ConfigNode node = MakeNode("node");
  node.OnPeerVersion("old", 1, 0, At(0));
  const auto out = node.Poll(At(0));
  ASSERT_TRUE(out);
  EXPECT_TRUE(node.OnStoreDelta(truth.At(2).Whole()).value());
  EXPECT_FALSE(
      node.OnPart("old", old_peer.Answer(out->request).at(0), At(1)).value());
  EXPECT_FALSE(node.OnStoreDelta(truth.At(1).Whole()).value());
  EXPECT_EQ(node.State().Version(), 2u);
  EXPECT_EQ(node.State().Texts().at("job/a"), "2");
}

// Guards against a replacement that acts on an older version than its peers
// hold while the store can't tell.
TEST(DistributionTest, ReplacedNodeInAnOutageTakesTheHighestVersion) {
  Truth truth;
  for (int i = 0; i < 7; ++i)
    truth.Change({{"job/a", StrCat(i)}}, {});
  ConfigNode low = NodeAt("low", truth, 5);
  ConfigNode high = NodeAt("high", truth, 7);
  ConfigNode node = MakeNode("node", 2);
  EXPECT_FALSE(node.IsReady(At(10000)));
  node.OnPeerVersion("low", 5, 0, At(0));
  EXPECT_TRUE(Transfer(&node, &low, At(0)).value());
  EXPECT_FALSE(node.IsReady(At(1)));
  node.OnPeerVersion("high", 7, 2, At(2));
  EXPECT_FALSE(node.IsReady(At(2)));
  EXPECT_TRUE(Transfer(&node, &high, At(3)).value());
  EXPECT_TRUE(node.IsReady(At(3)));
  EXPECT_EQ(node.State().Digest(), truth.At(7).Digest());
}

TEST(DistributionTest, SilentPeerIsReplacedByAnother) {
  Truth truth;
  truth.Change({{"job/a", "1"}}, {});
  ConfigNode node = MakeNode("node", 2);
  node.OnPeerVersion("p1", 1, 0, At(0));
  node.OnPeerVersion("p2", 1, 0, At(0));
  const std::string first = node.Poll(At(0))->peer;
  EXPECT_FALSE(node.Poll(At(kConfigRequestTimeoutMs - 1)));
  const std::string second = node.Poll(At(kConfigRequestTimeoutMs))->peer;
  EXPECT_NE(first, second);
}

// Guards against a peer that stays behind because one notice was lost, and
// against notices without end to a peer that is dead.
TEST(DistributionTest, NoticesAreRepeatedUntilThePeerTellsTheVersion) {
  Truth truth;
  truth.Change({{"job/a", "1"}}, {});
  ConfigNode node = NodeAt("node", truth, 1);
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
  // A version held when the peer is first heard is told as well.
  node.OnPeerVersion("p3", 0, 0, At(60000));
  const auto due = node.DueNotices(At(60000));
  EXPECT_NE(std::find(due.begin(), due.end(), "p3"), due.end());
}

// Guards against a damaged transfer that is taken over in part, and against
// asking for the same damage again.
TEST(DistributionTest, DamagedDeltaChangesNothingAndLeadsToTheWhole) {
  Truth truth;
  truth.Change({{"job/a", "1"}}, {});
  truth.Change({{"job/a", "22222222"}}, {});
  ConfigNode peer = NodeAt("peer", truth, 2);
  ConfigNode node = NodeAt("node", truth, 1);
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
  EXPECT_TRUE(Transfer(&node, &peer, At(4)).value());
  EXPECT_EQ(node.State().Version(), 2u);
}

// Guards against a message above the frame limit, and against a count of parts
// that makes the receiver keep too much.
TEST(DistributionTest, LargeDeltasAreCutIntoFrames) {
  Truth truth;
  SectionTexts texts;
  for (int i = 0; i < 5000; ++i)
    texts[StrCat("job/", i)] = std::string(200, 'x');
  truth.Change(texts, {});
  ConfigNode peer = NodeAt("peer", truth, 1);
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
  EXPECT_EQ(node.State().Digest(), truth.At(1).Digest());
  ConfigNode other = MakeNode("other");
  other.OnPeerVersion("peer", 1, 0, At(0));
  const auto request = other.Poll(At(0))->request;
  EXPECT_FALSE(other.OnPart("peer", {request.id, 0, 1000000, "x"}, At(1)));
}

// A message under way.
struct Letter {
  size_t from;
  size_t to;
  std::optional<ConfigRequest> request;
  std::optional<ConfigPart> part;
};

// Nodes that exchange messages in an order that the property chooses.
class World {
 public:
  explicit World(size_t count) {
    for (size_t i = 0; i < count; ++i)
      this->nodes.push_back(MakeNode(StrCat(i)));
    this->floors.resize(count, 0);
  }

  void Publish() {
    const auto number = *rc::gen::inRange(0, 5);
    const std::string name = StrCat("job/", number);
    const uint64_t next = this->truth.Newest() + 1;
    const bool exists = this->truth.At(next - 1).Sections().contains(name);
    if (exists && *rc::gen::arbitrary<bool>())
      this->truth.Change({}, {name});
    else
      this->truth.Change({{name, StrCat("text of version ", next)}}, {});
  }

  // One random step with faults.
  void Step() {
    const size_t a = this->Any();
    const size_t b = this->Any();
    switch (*rc::gen::inRange(0, 8)) {
      case 0:
        this->Publish();
        break;
      case 1:
        this->ReadStore(a);
        break;
      case 2:
        this->Tell(a, b);
        break;
      case 3:
        this->now += *rc::gen::inRange<int64_t>(0, 1000);
        this->Ask(a);
        break;
      case 4:
        if (*rc::gen::inRange(0, 5) == 0)
          this->Replace(a);
        break;
      default:
        this->Deliver(true);
    }
    this->Check();
  }

  // Lets all messages through and everybody hear everybody.
  void Settle() {
    for (int round = 0; round < 20; ++round) {
      this->now += kPeerBlockedMs + 1;
      for (size_t a = 0; a < this->nodes.size(); ++a) {
        for (size_t b = 0; b < this->nodes.size(); ++b)
          this->Tell(a, b);
        this->Ask(a);
      }
      while (!this->letters.empty())
        this->Deliver(false);
      this->Check();
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
  size_t Any() { return *rc::gen::inRange<size_t>(0, this->nodes.size()); }

  void ReadStore(size_t a) {
    // Reads may see an older state of the store.
    const auto version =
        *rc::gen::inRange<uint64_t>(0, this->truth.Newest() + 1);
    const uint64_t held = this->nodes[a].State().Version();
    const auto from = *rc::gen::inRange<uint64_t>(0, held + 1);
    if (version > from) {
      RC_ASSERT(this->nodes[a]
                    .OnStoreDelta(this->truth.At(version).Since(from))
                    .has_value());
    }
  }

  void Tell(size_t a, size_t b) {
    if (a != b) {
      this->nodes[b].OnPeerVersion(StrCat(a), this->nodes[a].State().Version(),
                                   0, At(this->now));
    }
  }

  void Ask(size_t a) {
    const auto out = this->nodes[a].Poll(At(this->now));
    if (out)
      this->letters.push_back(
          {a, std::stoul(out->peer), out->request, std::nullopt});
  }

  void Replace(size_t a) {
    this->nodes[a] = MakeNode(StrCat(a));
    this->floors[a] = 0;
  }

  void Deliver(bool with_faults) {
    if (this->letters.empty())
      return;
    const size_t index =
        with_faults ? *rc::gen::inRange<size_t>(0, this->letters.size()) : 0;
    Letter letter = this->letters[index];
    const int fate = with_faults ? *rc::gen::inRange(0, 8) : 2;
    // 0: lost, 1: delivered and kept for a second time, others: delivered once.
    if (fate != 1)
      this->letters.erase(this->letters.begin() +
                          static_cast<std::ptrdiff_t>(index));
    if (fate == 0)
      return;
    if (letter.request) {
      for (ConfigPart& part : this->nodes[letter.to].Answer(*letter.request))
        this->letters.push_back(
            {letter.to, letter.from, std::nullopt, std::move(part)});
      return;
    }
    if (fate == 3 && !letter.part->bytes.empty()) {
      const auto at = *rc::gen::inRange<size_t>(0, letter.part->bytes.size());
      letter.part->bytes[at] = static_cast<char>(letter.part->bytes[at] ^ 4);
    }
    // A damaged part may fail; what it must not do is checked after the step.
    (void)this->nodes[letter.to].OnPart(StrCat(letter.from), *letter.part,
                                        At(this->now));
  }

  void Check() {
    for (size_t i = 0; i < this->nodes.size(); ++i) {
      const ConfigState& state = this->nodes[i].State();
      RC_ASSERT(state.Version() >= this->floors[i]);
      RC_ASSERT(state.Texts() == this->truth.At(state.Version()).Texts());
      this->floors[i] = state.Version();
    }
  }

  Truth truth;
  std::vector<Letter> letters;
  std::vector<uint64_t> floors;
  int64_t now = 0;
};

// Guards against a node that reverts, that holds a mixture of versions, or that
// stays behind, under loss, duplicates, damage, crossing and replacement.
RC_GTEST_PROP(DistributionTest, RandomSchedules, ()) {
  for (int schedule = 0; schedule < 30; ++schedule) {
    World world(4);
    const auto steps = *rc::gen::inRange(0, 200);
    for (int i = 0; i < steps; ++i)
      world.Step();
    world.Settle();
    for (const ConfigNode& node : world.nodes)
      RC_ASSERT(node.State().Version() == world.Highest());
  }
}

}  // namespace
}  // namespace cuminjunction

#include "request/chooser.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <map>
#include <random>
#include <set>

#include "base/strings.h"
#include "request/baseline.h"

namespace cuminjunction {
namespace {

static_assert(Chooser<UpstreamChooser>);
static_assert(Chooser<RandomChooser>);

const RequestClass kUrgent = {"a", Urgency::kUrgent};
const RequestClass kNormal = {"a", Urgency::kNormal};
const ChooserSettings kEntry = {"erie-a", "erie", 1000, 24000};
const AgentLoad kIdle = {1, 0, 8, 0, 5000};
const AgentLoad kBusy = {8, 80, 8, 50000, 5000};

absl::Time At(int64_t ms) {
  return absl::UnixEpoch() + absl::Milliseconds(ms);
}

UpstreamInfo Runner(int number,
                    const std::string& domain = "erie-a",
                    const std::string& region = "erie") {
  UpstreamInfo info;
  info.name = StrCat("runner-", number);
  info.failure_domain = domain;
  info.region = region;
  info.services = {"s"};
  info.incarnation = 1;
  return info;
}

std::vector<UpstreamInfo> Runners(int count) {
  std::vector<UpstreamInfo> infos;
  infos.reserve(static_cast<size_t>(count));
  for (int i = 0; i < count; ++i)
    infos.push_back(Runner(i));
  return infos;
}

class ChooserTest : public testing::Test {
 protected:
  // Sends one request and answers it at once. Returns the name of the upstream,
  // or the error message of the choice.
  std::string Serve(absl::Time now,
                    const std::map<std::string, int64_t>& latency_us = {},
                    const RequestClass& cls = kNormal) {
    const auto choice = this->chooser.Choose("s", cls, now, {}, this->random);
    if (!choice)
      return choice.error().message();
    const std::string& name = choice.value().name;
    const auto found = latency_us.find(name);
    const int64_t us = found == latency_us.end() ? 5000 : found->second;
    this->chooser.OnSent(name);
    AgentLoad load = kIdle;
    load.service_us = static_cast<uint64_t>(us);
    this->chooser.OnAnswer(name, load, absl::Microseconds(us), now);
    return name;
  }

  // Serves `count` requests, one each millisecond, and counts them by upstream.
  std::map<std::string, int> ServeMany(
      int count,
      const std::map<std::string, int64_t>& latency_us = {},
      const RequestClass& cls = kNormal) {
    std::map<std::string, int> counts;
    for (int i = 0; i < count; ++i)
      counts[this->Serve(At(++this->now_ms), latency_us, cls)] += 1;
    return counts;
  }

  void Report(const std::string& name, const AgentLoad& load, absl::Time now) {
    this->chooser.OnSent(name);
    this->chooser.OnAnswer(name, load, absl::Milliseconds(5), now);
  }

  std::string ChooseName(absl::Time now, const RequestClass& cls = kNormal) {
    const auto choice = this->chooser.Choose("s", cls, now, {}, this->random);
    return choice ? choice.value().name : choice.error().message();
  }

  std::mt19937 random{1};
  LinkBudget link{1000000};
  UpstreamChooser chooser{kEntry, &this->link};
  int64_t now_ms = 0;
};

// Guards against unnecessary traffic between failure domains or regions.
TEST_F(ChooserTest, StaysInTheFailureDomainWhileItIsIdle) {
  this->chooser.SetUpstreams({Runner(1), Runner(2), Runner(3, "erie-b"),
                              Runner(4, "huron-a", "huron")},
                             At(0));
  const std::map<std::string, int> counts = this->ServeMany(1000);
  EXPECT_EQ(counts.size(), 2u);
  EXPECT_TRUE(counts.contains("runner-1") && counts.contains("runner-2"));
}

// Guards against queueing in a busy failure domain while another one is idle,
// and against choosing another region to avoid a wait that is shorter than the
// round trip.
TEST_F(ChooserTest, LeavesABusyFailureDomainButNotForLessThanTheRoundTrip) {
  this->chooser.SetUpstreams(
      {Runner(1), Runner(2, "erie-b"), Runner(3, "huron-a", "huron")}, At(0));
  this->Report("runner-1", kBusy, At(0));
  this->Report("runner-2", kIdle, At(0));
  this->Report("runner-3", kIdle, At(0));
  EXPECT_EQ(this->ChooseName(At(1)), "runner-2");
  AgentLoad busier_than_idle = kBusy;
  busier_than_idle.wait_us = 15000;
  this->Report("runner-2", busier_than_idle, At(1));
  EXPECT_EQ(this->ChooseName(At(1)), "runner-2");
  this->Report("runner-2", kBusy, At(1));
  EXPECT_EQ(this->ChooseName(At(1)), "runner-3");
}

// Guards against overflow traffic to another region that uses up the shared
// link.
TEST_F(ChooserTest, CrossesRegionsOnlyWithinTheLinkBudget) {
  this->chooser.SetUpstreams({Runner(1), Runner(2, "huron-a", "huron")}, At(0));
  this->Report("runner-1", kBusy, At(0));
  while (this->link.TryTake(TrafficClass::kNormal, 1000, At(0)))
    continue;
  EXPECT_EQ(this->ChooseName(At(0), kNormal), "runner-1");
  EXPECT_EQ(this->ChooseName(At(0), kUrgent), "runner-2");
  this->chooser.SetUpstreams({Runner(2, "huron-a", "huron")}, At(0));
  const auto choice =
      this->chooser.Choose("s", kNormal, At(0), {}, this->random);
  EXPECT_EQ(choice.error(), ChooseError::kLinkBudgetSpent);
}

// Guards against new requests for an upstream after its agent announced that it
// is leaving.
TEST_F(ChooserTest, LeavingUpstreamReceivesNoRequestsUntilItsNextIncarnation) {
  std::vector<UpstreamInfo> infos = Runners(2);
  this->chooser.SetUpstreams(infos, At(0));
  this->chooser.OnLeaving("runner-0");
  EXPECT_EQ(this->ServeMany(300).count("runner-0"), 0u);
  // A membership update with the same incarnation must not undo it.
  this->chooser.SetUpstreams(infos, At(400));
  EXPECT_EQ(this->ServeMany(300).count("runner-0"), 0u);
  infos[0].incarnation = 2;
  this->chooser.SetUpstreams(infos, At(800));
  EXPECT_GT(this->ServeMany(300)["runner-0"], 50);
}

// Guards against a slow outlier that is not put on probation, that more than a
// small share of the requests probe, or that stays on probation after it has
// recovered.
TEST_F(ChooserTest, SlowOutlierIsProbedAndReadmitted) {
  this->chooser.SetUpstreams(Runners(11), At(0));
  this->ServeMany(1000);
  const std::map<std::string, int64_t> slow = {{"runner-3", 50000}};
  this->ServeMany(1000, slow);
  EXPECT_TRUE(this->chooser.IsOnProbation("runner-3"));
  const int probes = this->ServeMany(10000, slow)["runner-3"];
  EXPECT_GE(probes, 10);
  EXPECT_LE(probes, 30);
  this->ServeMany(5000);
  EXPECT_FALSE(this->chooser.IsOnProbation("runner-3"));
  EXPECT_GT(this->ServeMany(1000)["runner-3"], 50);
}

// Guards against urgent requests that are used as probes while less urgent ones
// arrive.
TEST_F(ChooserTest, UrgentRequestsDoNotProbeWhileOthersArrive) {
  const std::map<std::string, int64_t> slow = {{"runner-3", 50000}};
  this->chooser.SetUpstreams(Runners(11), At(0));
  this->ServeMany(1000);
  for (int i = 0; i < 50; ++i) {
    this->chooser.OnSent("runner-3");
    this->chooser.OnAnswer("runner-3", kIdle, absl::Milliseconds(50),
                           At(this->now_ms));
  }
  // The next review of the pool starts the probation.
  this->now_ms += 200;
  this->ServeMany(1, slow, kNormal);
  ASSERT_TRUE(this->chooser.IsOnProbation("runner-3"));
  int urgent_probes = 0;
  for (int i = 0; i < 5000; ++i) {
    urgent_probes += this->ServeMany(9, slow, kUrgent)["runner-3"];
    this->ServeMany(1, slow, kNormal);
  }
  EXPECT_EQ(urgent_probes, 0);
  EXPECT_GT(this->ServeMany(20000, slow, kUrgent)["runner-3"], 0);
}

// Guards against a failing upstream that attracts requests by failing fast.
TEST_F(ChooserTest, FailingUpstreamIsPutOnProbation) {
  this->chooser.SetUpstreams(Runners(4), At(0));
  this->ServeMany(100);
  for (int i = 0; i < 3; ++i) {
    this->chooser.OnSent("runner-2");
    this->chooser.OnFailure("runner-2", At(this->now_ms));
  }
  this->now_ms += 200;
  this->ServeMany(1);
  EXPECT_TRUE(this->chooser.IsOnProbation("runner-2"));
  EXPECT_LE(this->ServeMany(1000)["runner-2"], 10);
  this->ServeMany(3000);
  EXPECT_FALSE(this->chooser.IsOnProbation("runner-2"));
}

// Guards against probation of most upstreams when several groups of them become
// slow in succession, before the first ones have recovered.
TEST_F(ChooserTest, AtMostHalfAreOnProbation) {
  this->chooser.SetUpstreams(Runners(8), At(0));
  this->ServeMany(1000);
  const auto serve_each = [this](int first, int last, int64_t us) {
    for (int i = 0; i < 200; ++i) {
      AgentLoad load = kIdle;
      load.service_us = static_cast<uint64_t>(us);
      const std::string name = StrCat("runner-", first + i % (last - first));
      this->chooser.OnSent(name);
      this->chooser.OnAnswer(name, load, absl::Microseconds(us),
                             At(this->now_ms));
    }
    this->ServeMany(200);
  };
  serve_each(0, 4, 50000);
  EXPECT_TRUE(this->chooser.IsOnProbation("runner-0"));
  serve_each(4, 7, 500000);
  int on_probation = 0;
  for (int i = 0; i < 8; ++i)
    on_probation += this->chooser.IsOnProbation(StrCat("runner-", i)) ? 1 : 0;
  EXPECT_EQ(on_probation, 4);
}

// Guards against an old report of a long queue that keeps requests away from an
// upstream forever.
TEST_F(ChooserTest, OldReportLosesItsWeight) {
  this->chooser.SetUpstreams(Runners(2), At(0));
  this->Report("runner-0", kBusy, At(0));
  this->now_ms = 100;
  EXPECT_GT(this->ServeMany(100)["runner-0"], 20);
}

// Guards against a flood of one account that keeps the other accounts away from
// some agents forever: when the reported waits differ by little, each agent
// must still receive some requests.
TEST_F(ChooserTest, SmallDifferencesOfLongWaitsAreNotDecisive) {
  this->chooser.SetUpstreams(Runners(11), At(0));
  std::map<std::string, int> counts;
  for (uint64_t i = 0; i < 11; ++i) {
    AgentLoad load = kBusy;
    load.wait_us = 50000 + 1000 * i;
    this->Report(StrCat("runner-", i), load, At(0));
  }
  for (int i = 0; i < 1100; ++i)
    counts[this->ChooseName(At(0))] += 1;
  for (int i = 0; i < 11; ++i)
    EXPECT_GT(counts[StrCat("runner-", i)], 50) << i;
}

// Guards against a flood that makes loaded upstreams outliers: the latency of a
// request that waited in a queue does not show how fast the upstream is.
TEST_F(ChooserTest, WaitInAQueueDoesNotCauseProbation) {
  this->chooser.SetUpstreams(Runners(4), At(0));
  this->ServeMany(1000);
  for (int i = 0; i < 100; ++i) {
    AgentLoad load = kIdle;
    load.queued = i % 2 == 0 ? 50 : 0;
    this->now_ms += 10;
    this->chooser.OnSent("runner-1");
    this->chooser.OnAnswer("runner-1", load, absl::Milliseconds(200),
                           At(this->now_ms));
    this->ServeMany(1);
  }
  EXPECT_FALSE(this->chooser.IsOnProbation("runner-1"));
}

// Guards against an upstream that never answers and therefore has no measured
// latency.
TEST_F(ChooserTest, SilentUpstreamIsPutOnProbation) {
  this->chooser.SetUpstreams(Runners(4), At(0));
  this->ServeMany(1000);
  for (int i = 0; i < 10; ++i) {
    this->chooser.OnSent("runner-1");
    this->chooser.OnAbandoned("runner-1", absl::Milliseconds(250),
                              At(this->now_ms));
  }
  this->now_ms += 200;
  this->ServeMany(1);
  EXPECT_TRUE(this->chooser.IsOnProbation("runner-1"));
}

// Guards against refusing a request because the link budget is spent while an
// upstream on probation is in the same region.
TEST_F(ChooserTest, UpstreamOnProbationIsBetterThanNone) {
  this->chooser.SetUpstreams(
      {Runner(1), Runner(2, "huron-a", "huron"), Runner(3, "huron-a", "huron")},
      At(0));
  for (int i = 0; i < 5; ++i) {
    this->chooser.OnSent("runner-1");
    this->chooser.OnFailure("runner-1", At(0));
  }
  while (this->link.TryTake(TrafficClass::kNormal, 100, At(300)))
    continue;
  EXPECT_EQ(this->ChooseName(At(300)), "runner-1");
  EXPECT_TRUE(this->chooser.IsOnProbation("runner-1"));
}

// Guards against herding: 40 entries with the same load reports must not all
// send to the upstream that was least loaded in them.
TEST_F(ChooserTest, SeveralEntriesDoNotHerd) {
  std::map<std::string, int> sent;
  for (uint32_t entry = 0; entry < 40; ++entry) {
    UpstreamChooser other(kEntry, nullptr);
    other.SetUpstreams(Runners(11), At(0));
    for (uint32_t i = 0; i < 11; ++i) {
      AgentLoad load = kIdle;
      load.running = i;
      other.OnSent(StrCat("runner-", i));
      other.OnAnswer(StrCat("runner-", i), load, absl::Milliseconds(5), At(0));
    }
    std::mt19937 bits(entry);
    const auto choice = other.Choose("s", kNormal, At(1), {}, bits);
    sent[choice.value().name] += 1;
  }
  // Two of 11 candidates: the best is among them for 7 of 40 entries.
  for (const auto& [name, count] : sent)
    EXPECT_LE(count, 14) << name;
}

// Guards against choosing an excluded or unusable upstream, against failing
// while a usable one is left, and against a wrong error.
RC_GTEST_PROP(ChooserPropertyTest,
              ChoosesOnlyUsableUpstreamsThatAreNotExcluded,
              ()) {
  std::mt19937 bits(1);
  UpstreamChooser chooser(kEntry, nullptr);
  std::vector<UpstreamInfo> infos = Runners(*rc::gen::inRange(1, 6));
  std::set<std::string> usable;
  std::vector<std::string> excluded;
  bool any_usable = false;
  for (UpstreamInfo& info : infos) {
    info.state = static_cast<UpstreamState>(*rc::gen::inRange(0, 5));
    info.region = *rc::gen::element<std::string>("erie", "huron");
    const bool is_excluded = *rc::gen::arbitrary<bool>();
    if (is_excluded)
      excluded.push_back(info.name);
    const bool is_usable = info.state != UpstreamState::kLeaving &&
                           info.state != UpstreamState::kDown;
    any_usable = any_usable || is_usable;
    if (is_usable && !is_excluded)
      usable.insert(info.name);
  }
  chooser.SetUpstreams(infos, At(0));
  const int failures = *rc::gen::inRange(0, 20);
  for (int i = 0; i < failures; ++i)
    chooser.OnFailure(infos[static_cast<size_t>(i * i) % infos.size()].name,
                      At(i));
  for (int i = 0; i < 20; ++i) {
    const auto choice =
        chooser.Choose("s", kNormal, At(99 + i), excluded, bits);
    if (choice)
      RC_ASSERT(usable.contains(choice.value().name));
    else
      RC_ASSERT(choice.error() == (any_usable ? ChooseError::kAllExcluded
                                              : ChooseError::kNoneUsable));
    RC_ASSERT(choice.has_value() == !usable.empty());
  }
  RC_ASSERT(chooser.Choose("other", kNormal, At(0), {}, bits).error() ==
            ChooseError::kUnknownService);
}

}  // namespace
}  // namespace cuminjunction

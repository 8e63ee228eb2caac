#include "request/fair_queue.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <map>
#include <set>
#include <tuple>

#include "request/baseline.h"

namespace cuminjunction {
namespace {

static_assert(AdmissionQueue<FairQueue>);
static_assert(AdmissionQueue<FifoQueue>);
static_assert(AdmissionQueue<StrictPriorityQueue>);

constexpr absl::Duration kService = absl::Milliseconds(5);
constexpr int kCapacityPerSecond = 1600;  // 8 slots, 5 ms each

const RequestClass kUrgentA = {"a", Urgency::kUrgent};
const RequestClass kNormalA = {"a", Urgency::kNormal};
const RequestClass kBatchA = {"a", Urgency::kBatch};
const RequestClass kUrgentB = {"b", Urgency::kUrgent};
const RequestClass kNormalB = {"b", Urgency::kNormal};
const RequestClass kBatchB = {"b", Urgency::kBatch};

absl::Time At(int64_t ms) {
  return absl::UnixEpoch() + absl::Milliseconds(ms);
}

AttemptId Id(uint64_t number) {
  return {{1, number}, 1};
}

constexpr int64_t kTicksPerMs = 10;
constexpr int64_t kTicks = 2000 * kTicksPerMs;

struct ByClass {
  bool operator()(const RequestClass& a, const RequestClass& b) const {
    return std::tie(a.account, a.urgency) < std::tie(b.account, b.urgency);
  }
};

template <class T>
using PerClass = std::map<RequestClass, T, ByClass>;

using Rates = PerClass<int>;

// Sends evenly spaced requests to a queue (`rates` in requests a second by
// class) for two seconds of virtual time. Returns, by class, the share of the
// requests that started within their timeout of 100 ms.
template <AdmissionQueue Q>
PerClass<double> ServedShares(Q& queue, const Rates& rates) {
  PerClass<int> sent;
  PerClass<int> started;
  PerClass<double> arrivals_due;
  std::map<uint64_t, RequestClass> class_of;
  std::multimap<absl::Time, AttemptId> finish_times;
  uint64_t number = 0;
  for (int64_t tick = 0; tick < kTicks; ++tick) {
    const absl::Time now = At(0) + absl::Microseconds(100 * tick);
    while (!finish_times.empty() && finish_times.begin()->first <= now) {
      queue.ReleaseSlot(finish_times.begin()->second, kService, now);
      finish_times.erase(finish_times.begin());
    }
    for (const auto& [cls, rate] : rates) {
      arrivals_due[cls] += rate / (1000.0 * kTicksPerMs);
      for (; arrivals_due[cls] >= 1; arrivals_due[cls] -= 1) {
        const absl::Time deadline = now + absl::Milliseconds(100);
        sent[cls] += 1;
        if (queue.Admit(cls, 1, deadline, now) != Refusal::kNone)
          continue;
        class_of[++number] = cls;
        queue.Push(Id(number), cls, 1, deadline, now);
      }
    }
    while (const std::optional<QueueExit> exit = queue.Pop(now)) {
      if (exit->refusal != Refusal::kNone)
        continue;
      started[class_of[exit->id.request.number]] += 1;
      finish_times.emplace(now + kService, exit->id);
    }
  }
  PerClass<double> shares;
  for (const auto& [cls, count] : sent)
    shares[cls] = static_cast<double>(started[cls]) / count;
  return shares;
}

const Rates kBatchFlood = {{kUrgentA, 400},
                           {kUrgentB, 400},
                           {kNormalA, 300},
                           {kBatchB, 10 * kCapacityPerSecond}};

// Guards against starvation of urgent requests by a flood of batch requests.
TEST(FairQueueTest, BatchFloodDoesNotStarveOtherClasses) {
  FairQueue queue({});
  PerClass<double> shares = ServedShares(queue, kBatchFlood);
  EXPECT_GT(shares[kUrgentA], 0.99);
  EXPECT_GT(shares[kUrgentB], 0.99);
  EXPECT_GT(shares[kNormalA], 0.99);
  // The flood uses the remaining capacity: 500 of 16,000 requests a second.
  EXPECT_GT(shares[kBatchB], 0.025);

  FifoQueue fifo({});
  EXPECT_LT(ServedShares(fifo, kBatchFlood)[kUrgentA], 0.5);
}

const Rates kUrgentFlood = {{kUrgentA, 10 * kCapacityPerSecond},
                            {kUrgentB, 300},
                            {kNormalB, 300},
                            {kBatchB, 300},
                            {kNormalA, 300}};

// Guards against starvation of all other classes by a flood of urgent requests
// of one client account.
TEST(FairQueueTest, UrgentFloodOfOneAccountLeavesGuaranteedSharesToOthers) {
  FairQueue queue({});
  PerClass<double> shares = ServedShares(queue, kUrgentFlood);
  EXPECT_GT(shares[kUrgentB], 0.99);
  EXPECT_GT(shares[kNormalB], 0.99);
  // Guaranteed shares: half of 25% and half of 10% of 1,600 requests a second.
  EXPECT_GT(shares[kNormalA] * 300, 0.9 * 200);
  EXPECT_GT(shares[kBatchB] * 300, 0.9 * 80);

  StrictPriorityQueue strict({});
  PerClass<double> baseline = ServedShares(strict, kUrgentFlood);
  EXPECT_LT(baseline[kNormalB], 0.1);
  EXPECT_LT(baseline[kUrgentB], 0.5);
}

// Guards against weights that have no effect.
TEST(FairQueueTest, WeightsDivideContendedSlots) {
  FairQueue queue({});
  queue.SetWeights({{"a", 3}, {"b", 1}});
  PerClass<double> shares =
      ServedShares(queue, {{kUrgentA, 4000}, {kUrgentB, 4000}});
  EXPECT_NEAR(shares[kUrgentA] / shares[kUrgentB], 3, 0.3);
}

// Guards against guaranteed slots that stay unused while another class could
// use them.
TEST(FairQueueTest, SingleClassUsesAllSlots) {
  FairQueue queue({});
  PerClass<double> shares =
      ServedShares(queue, {{kBatchA, 2 * kCapacityPerSecond}});
  EXPECT_GT(shares[kBatchA], 0.49);
}

// Starts requests of the class until all slots are occupied. Returns the number
// of the last one.
uint64_t FillSlots(FairQueue* queue, const RequestClass& cls, absl::Time now) {
  uint64_t number = 1000000;
  do {
    queue->Push(Id(++number), cls, 1, now + absl::Seconds(10), now);
  } while (queue->Pop(now));
  queue->Remove(Id(number));
  return number - 1;
}

// Guards against requests that wait although they will miss their deadline.
TEST(FairQueueTest, RefusesRequestsThatWouldMissTheirDeadline) {
  FairQueue queue({});
  const uint64_t last = FillSlots(&queue, kNormalA, At(0));
  queue.ReleaseSlot(Id(last), absl::Milliseconds(80), At(80));
  FillSlots(&queue, kNormalA, At(80));
  for (uint64_t i = 1; i <= 16; ++i)
    queue.Push(Id(i), kNormalA, 1, At(10000), At(81));
  // Two rounds of 80 ms must finish first.
  EXPECT_EQ(queue.Admit(kNormalA, 1, At(281), At(81)), Refusal::kOverload);
  EXPECT_EQ(queue.Admit(kNormalA, 1, At(381), At(81)), Refusal::kNone);
  EXPECT_EQ(queue.Admit(kNormalA, 1, At(81), At(81)), Refusal::kDeadline);
}

// Guards against an estimate that was once too high and is never corrected, as
// the queue refuses all further requests of the class because of it.
TEST(FairQueueTest, TooHighEstimateIsCorrected) {
  FairQueue queue({});
  const uint64_t last = FillSlots(&queue, kUrgentB, At(0));
  for (uint64_t id = last - 7; id <= last; ++id)
    queue.ReleaseSlot(Id(id), absl::Seconds(10), At(10000));
  const uint64_t batch = FillSlots(&queue, kBatchA, At(10000));
  EXPECT_EQ(queue.Admit(kUrgentB, 1, At(10100), At(10000)), Refusal::kOverload);
  EXPECT_EQ(queue.Admit(kUrgentB, 1, At(11101), At(11001)), Refusal::kNone);
  queue.Push(Id(1), kUrgentB, 1, At(11101), At(11001));
  queue.ReleaseSlot(Id(batch), absl::Milliseconds(5), At(11002));
  EXPECT_EQ(queue.Pop(At(11002)), (QueueExit{Id(1), Refusal::kNone}));
}

// Guards against a flood of one class that fills the whole queue.
TEST(FairQueueTest, FloodLeavesPlacesForOtherClasses) {
  FairQueue queue({.max_items = 100});
  uint64_t number = 0;
  for (int i = 0; i < 1000; ++i) {
    if (queue.Admit(kUrgentA, 1, At(10000), At(0)) == Refusal::kNone)
      queue.Push(Id(++number), kUrgentA, 1, At(10000), At(0));
  }
  EXPECT_LE(queue.Load().queued, 50u);
  EXPECT_EQ(queue.Admit(kBatchB, 1, At(10000), At(0)), Refusal::kNone);
}

// Guards against memory use that grows with each account name.
TEST(FairQueueTest, IdleClassesAreRemoved) {
  FairQueue queue({.max_classes = 10});
  for (uint64_t i = 0; i < 10; ++i)
    queue.Push(Id(i), {std::to_string(i), Urgency::kNormal}, 1, At(20), At(0));
  EXPECT_EQ(queue.Admit(kUrgentB, 1, At(20), At(0)), Refusal::kLimit);
  while (queue.Pop(At(30)))
    continue;
  EXPECT_EQ(queue.Admit(kUrgentB, 1, At(20100), At(20000)), Refusal::kNone);
}

// Guards against an expired request that takes a slot, or that stays in the
// queue while all slots are occupied.
TEST(FairQueueTest, ExpiredRequestIsPoppedAsRefusal) {
  FairQueue queue({});
  FillSlots(&queue, kNormalA, At(0));
  queue.Push(Id(1), kUrgentB, 1, At(50), At(0));
  EXPECT_EQ(queue.Pop(At(49)), std::nullopt);
  EXPECT_EQ(queue.Pop(At(50)), (QueueExit{Id(1), Refusal::kDeadline}));
  EXPECT_EQ(queue.Pop(At(50)), std::nullopt);
}

// Guards against a cancelled request that starts, a request that leaves the
// queue twice or never, and more running requests than slots.
RC_GTEST_PROP(FairQueueTest, EachRequestLeavesExactlyOnce, ()) {
  FairQueue queue({.slots = 3, .max_items = 40});
  const std::vector<RequestClass> classes = {kUrgentA, kNormalA, kBatchA,
                                             kUrgentB, kBatchB};
  std::set<uint64_t> waiting;
  std::set<uint64_t> running;
  absl::Time now = At(0);
  uint64_t number = 0;
  const auto steps =
      *rc::gen::container<std::vector<int>>(200, rc::gen::inRange(0, 1000));
  for (const int step : steps) {
    now += absl::Milliseconds(step % 7);
    const RequestClass& cls = classes[static_cast<size_t>(step) % 5];
    const absl::Time deadline = now + absl::Milliseconds(1 + step % 90);
    if (step < 500) {
      if (queue.Admit(cls, 1, deadline, now) == Refusal::kNone) {
        queue.Push(Id(++number), cls, 1, deadline, now);
        waiting.insert(number);
      }
    } else if (step < 600 && !waiting.empty()) {
      RC_ASSERT(queue.Remove(Id(*waiting.begin())));
      RC_ASSERT(!queue.Remove(Id(*waiting.begin())));
      waiting.erase(waiting.begin());
    } else if (step < 700 && !running.empty()) {
      RC_ASSERT(!queue.Remove(Id(*running.begin())));
      queue.ReleaseSlot(Id(*running.begin()), absl::Milliseconds(step % 20),
                        now);
      running.erase(running.begin());
    } else if (const std::optional<QueueExit> exit = queue.Pop(now)) {
      RC_ASSERT(waiting.erase(exit->id.request.number) == 1u);
      if (exit->refusal == Refusal::kNone)
        running.insert(exit->id.request.number);
    }
    RC_ASSERT(running.size() <= 3u);
    RC_ASSERT(queue.Load().queued == waiting.size());
    RC_ASSERT(queue.Load().running == running.size());
  }
  while (queue.Pop(At(10000000)))
    continue;
  RC_ASSERT(queue.Load().queued == 0u);
}

}  // namespace
}  // namespace cuminjunction

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "task/testing/schedule.h"

namespace rc {

template <>
struct Arbitrary<cuminjunction::FaultEvent> {
  static Gen<cuminjunction::FaultEvent> arbitrary() {
    using cuminjunction::Fault;
    using cuminjunction::FaultEvent;
    return gen::build<FaultEvent>(
        gen::set(&FaultEvent::step, gen::inRange(0, 240)),
        gen::set(&FaultEvent::fault,
                 gen::map(gen::inRange(0, static_cast<int>(Fault::kCount)),
                          [](int value) { return static_cast<Fault>(value); })),
        gen::set(&FaultEvent::target, gen::arbitrary<uint32_t>()),
        gen::set(&FaultEvent::amount, gen::inRange<uint32_t>(0, 150)));
  }
};

}  // namespace rc

namespace cuminjunction {
namespace {

// Guards against violations of P1, P2 or P3 by an order of events that no other
// test covers. The random schedules have lost replies, delayed commits,
// outages, processes paused between calls and during a call, reboots, killed
// processes, failing runtimes and concurrent operators.
RC_GTEST_PROP(SchedulesTest, InvariantsHoldUnderAnySchedule, ()) {
  Schedule schedule;
  schedule.workers = *rc::gen::inRange(2, 5);
  schedule.planners = *rc::gen::inRange(1, 4);
  schedule.shared_planner_lease = *rc::gen::arbitrary<bool>();
  schedule.events =
      *rc::gen::resize(30, rc::gen::arbitrary<std::vector<FaultEvent>>());
  const ScheduleResult result = RunSchedule(schedule);
  RC_ASSERT(result.violations == std::vector<std::string>());
}

// Runs the first schedules of bench_schedules, so that a seed with which the
// bench finds a violation can be added here.
TEST(SchedulesTest, SeedsOfTheBench) {
  for (uint64_t seed = 1; seed <= 20; ++seed)
    EXPECT_EQ(RunSchedule(MakeSchedule(seed)).violations,
              std::vector<std::string>())
        << "seed " << seed;
}

}  // namespace
}  // namespace cuminjunction

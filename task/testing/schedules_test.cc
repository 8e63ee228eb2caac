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

// P1, P2 and P3 under any schedule of faults: lost replies, late effects,
// outages, processes paused between and in the middle of calls, reboots, killed
// processes, failing runtimes and operators that race. Guards against every
// order of events that nobody has thought of.
RC_GTEST_PROP(SchedulesTest, PromisesHoldUnderAnySchedule, ()) {
  Schedule schedule;
  schedule.workers = *rc::gen::inRange(2, 5);
  schedule.planners = *rc::gen::inRange(1, 4);
  schedule.one_planner_lease = *rc::gen::arbitrary<bool>();
  schedule.events =
      *rc::gen::resize(30, rc::gen::arbitrary<std::vector<FaultEvent>>());
  const ScheduleResult result = RunSchedule(schedule);
  RC_ASSERT(result.broken == std::vector<std::string>());
}

// The schedules that bench_schedules runs, so that one of its seeds that broke
// a promise can be added here.
TEST(SchedulesTest, SeedsOfTheBench) {
  for (uint64_t seed = 1; seed <= 20; ++seed)
    EXPECT_EQ(RunSchedule(MakeSchedule(seed)).broken,
              std::vector<std::string>())
        << "seed " << seed;
}

}  // namespace
}  // namespace cuminjunction

// Tests of evacuated failure domains with whole entries and agents.

#include <memory>
#include <string>
#include <utility>

#include "fleet/evacuation_guard.h"
#include "fleet/testing/fleet_fixture.h"

namespace cuminjunction {
namespace {

constexpr char kOneTask[] =
    R"({"spec":"text","steps":[{"count":1,"cpu":500}]})";

// The domain that the runners of the fixture report.
constexpr char kDomain[] = "domain";

// Long enough for several pings and plans.
constexpr absl::Duration kSeveralPings = absl::Milliseconds(1200);

class EvacuationTest : public OneAgentTest {
 protected:
  EvacuationTest() { this->entry_settings.fleet.evacuate_ms = 5000; }

  void StartFleet(absl::Duration run_time) {
    this->StartRunner(run_time);
    this->agent_settings.fleet.evacuate_ms = 5000;
    this->StartEntry();
    this->StartAgent();
  }

  void Evacuate(const std::string& domain) {
    this->store->Put("op", "", StrCat("evacuate/", domain), "{}");
  }

  void EndEvacuation(const std::string& domain) {
    this->store->Remove("op", "", StrCat("evacuate/", domain));
  }

  bool Completes(const std::string& id) {
    return this->WaitForState(this->entry_settings, id, "completed");
  }
};

// Guards against starts in an evacuated domain, and against a domain that gets
// no work after its evacuation.
TEST_F(EvacuationTest, NoStartDuringAnEvacuationAndStartsAfterIt) {
  this->StartFleet(absl::Milliseconds(20));
  ASSERT_TRUE(this->Submit(this->entry_settings, "00000000000000a1", kOneTask));
  ASSERT_TRUE(this->Completes("00000000000000a1"));
  this->Evacuate(kDomain);
  absl::SleepFor(kSeveralPings);
  ASSERT_TRUE(this->Submit(this->entry_settings, "00000000000000a2", kOneTask));
  absl::SleepFor(kSeveralPings);
  EXPECT_EQ(this->ledger.Starts(), 1);
  this->EndEvacuation(kDomain);
  EXPECT_TRUE(this->Completes("00000000000000a2"));
  EXPECT_EQ(this->ledger.Violations(), 0);
}

}  // namespace
}  // namespace cuminjunction

// Tests that an answer reaches only the request that it is for, also if the
// process that asked, or the planner, was replaced meanwhile.

#include <future>
#include <memory>
#include <optional>
#include <string>

#include "fleet/testing/fleet_fixture.h"
#include "fleet/testing/port_process.h"
#include "fleet/testing/script_planner.h"
#include "testing/support/fault_proxy.h"

namespace cuminjunction {
namespace {

constexpr char kOneTask[] =
    R"({"spec":"text","steps":[{"count":1,"cpu":500}]})";

// Epochs above those of the planner that an entry starts.
constexpr uint64_t kEpoch = 100;

class ForeignAnswersTest : public OneAgentTest {
 protected:
  // A submission that the entry relays to the planner, since the store refuses
  // the entry's calls, and the answer that its caller will get.
  struct Relay {
    std::optional<StoreRequest> request;
    std::future<HttpResponse> answer;
  };

  Relay RelaySubmission(ScriptPlanner* planner, const std::string& id) {
    EXPECT_TRUE(planner->WaitFor<NodePong>());
    this->store->SetRefusing(true);
    Relay relay;
    relay.answer = std::async(std::launch::async, [this, id] {
      return this->Call(this->entry_settings.fleet.submissions, "POST",
                        StrCat("/plans/", id), kOneTask);
    });
    relay.request = planner->WaitFor<StoreRequest>();
    return relay;
  }
};

// Guards against a submission that is acknowledged and not stored: the planner
// answers a request of the entry's earlier process, and the entry took this for
// the answer to its own request.
TEST_F(ForeignAnswersTest, AnAnswerToAnEarlierProcessStoresNothing) {
  const Endpoint address = PortProcess::Address(this->entry_settings);
  this->StartEntry();
  auto planner = std::make_unique<ScriptPlanner>(address, kEpoch);
  Relay first = this->RelaySubmission(planner.get(), "00000000000000a1");
  ASSERT_TRUE(first.request);
  first.answer.wait();
  this->store->SetRefusing(false);
  this->entry = nullptr;
  this->StartEntry();
  planner = std::make_unique<ScriptPlanner>(address, kEpoch);
  Relay second = this->RelaySubmission(planner.get(), "00000000000000a2");
  ASSERT_TRUE(second.request);
  planner->Send(StoreDone{kEpoch, first.request->number});
  EXPECT_EQ(second.answer.get().status, 504);
}

// Guards against permits of another step: the agent sent the adviser's answer
// to the planner that is the current one by then, whose request has the same
// number.
TEST_F(ForeignAnswersTest, AnAnswerForAnEarlierPlannerIsDropped) {
  EventThread links("links");
  links.Start();
  auto adviser = std::move(AdviserStandin::Start().value());
  auto link = std::move(FaultProxy::Start(&links, adviser->Address()).value());
  // An answer takes about half a second.
  link->SetRate(400);
  this->StartRunner(absl::Milliseconds(50));
  this->agent_settings.fleet.adviser = link->Address();
  this->StartAgent();
  const Endpoint address = PortProcess::Address(this->agent_settings);
  const auto ask = [&](ScriptPlanner* planner, uint64_t epoch) {
    EXPECT_TRUE(planner->WaitFor<NodePong>());
    planner->Send(PermitRequest{.epoch = epoch,
                                .number = 1,
                                .step = {.submission = kSubmissionId},
                                .runners = {"runner"},
                                .timeout_ms = 60000});
  };
  adviser->Allow("runner", "first");
  ScriptPlanner first(address, kEpoch);
  ask(&first, kEpoch);
  ASSERT_TRUE(this->WaitUntil([&] { return adviser->Answers() == 1; }));
  adviser->Allow("runner", "second");
  ScriptPlanner second(address, kEpoch + 1);
  ask(&second, kEpoch + 1);
  const auto answer = second.WaitFor<PermitAnswer>();
  ASSERT_TRUE(answer);
  ASSERT_EQ(answer->granted.size(), 1u);
  EXPECT_EQ(answer->granted.front().second, "second");
  this->agent = nullptr;
  links.Stop();
}

}  // namespace
}  // namespace cuminjunction

// Tests of messages between a planner and an agent that are longer than a
// frame.

#include <atomic>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "base/event_thread.h"
#include "fleet/planner_nodes.h"
#include "fleet/testing/fleet_fixture.h"
#include "fleet/testing/port_process.h"
#include "fleet/testing/script_planner.h"
#include "testing/support/fault_proxy.h"

namespace cuminjunction {
namespace {

constexpr uint64_t kEpoch = 100;

// As in review/11: 44 serving and 22 filling images, named by their digests.
constexpr int kServingImages = 44;
constexpr int kFillingImages = 22;
constexpr size_t kDigestBytes = 64;

// With names of this length the estimates of one notice take more than a frame.
constexpr size_t kLongNameBytes = 8000;

constexpr size_t kMaxEstimateBytes = 32 * 1024;

// Runs of one VM whose report takes more than a frame.
constexpr int kRuns = 6000;
constexpr absl::Duration kGrant = absl::Minutes(10);

// Such a report takes about 3 s.
constexpr int64_t kThinLinkBytesPerSecond = 50000;

std::string ImageName(const std::string& kind, int number, size_t bytes) {
  return StrCat("registry.example/", kind, "-", number,
                "@sha256:", std::string(bytes, 'f'));
}

std::vector<InterferenceEstimate> ManyEstimates(size_t name_bytes) {
  std::vector<InterferenceEstimate> estimates;
  for (int serving = 0; serving < kServingImages; ++serving) {
    for (int filling = 0; filling < kFillingImages; ++filling)
      estimates.push_back({ImageName("serving", serving, name_bytes),
                           ImageName("filling", filling, name_bytes), 3, 0.5});
  }
  return estimates;
}

// A request that an agent without an adviser answers at once, after all earlier
// messages.
PermitRequest Probe(uint64_t epoch) {
  PermitRequest probe;
  probe.epoch = epoch;
  probe.number = 1;
  return probe;
}

class LargeMessagesTest : public OneAgentTest {
 protected:
  // Starts an agent that knows the estimates, which an earlier planner has sent
  // in parts.
  void StartAgentWithEstimates(size_t name_bytes) {
    this->StartRunner(absl::Milliseconds(50));
    this->StartAgent();
    ScriptPlanner planner(this->Address(), kEpoch);
    ASSERT_TRUE(planner.WaitFor<NodePong>());
    for (const InterferenceEstimate& estimate : ManyEstimates(name_bytes))
      planner.Send(InterferenceNotice{kEpoch, {estimate}});
    planner.Send(Probe(kEpoch));
    ASSERT_TRUE(planner.WaitFor<PermitAnswer>());
  }

  Endpoint Address() const {
    return PortProcess::Address(this->agent_settings);
  }
};

// Guards against VMs that get no work any more (review/11): an agent sent each
// new planner more estimates than a frame may hold, and the planner closed the
// connection.
TEST_F(LargeMessagesTest, ManyEstimatesDoNotCutOffAnAgent) {
  this->StartAgentWithEstimates(kLongNameBytes);
  ScriptPlanner next(this->Address(), kEpoch + 1);
  const auto notice = next.WaitFor<InterferenceNotice>();
  ASSERT_TRUE(notice);
  EXPECT_EQ(notice->pairs.size(), kMaxExportedPairs);
  ASSERT_GT(EncodeFleetMessage(*notice).size(), kMaxFramePayload);
  next.Send(Probe(kEpoch + 1));
  EXPECT_TRUE(next.WaitFor<PermitAnswer>());
}

// Guards against a takeover that waits for the estimates of all agents: each
// named both images of each pair, some 200 KB in all.
TEST_F(LargeMessagesTest, TheEstimatesOfAnAgentTakeLittleOfALink) {
  this->StartAgentWithEstimates(kDigestBytes);
  ScriptPlanner next(this->Address(), kEpoch + 1);
  const auto notice = next.WaitFor<InterferenceNotice>();
  ASSERT_TRUE(notice);
  EXPECT_LE(EncodeFleetMessage(*notice).size(), kMaxEstimateBytes);
}

// Guards against an agent that is cut off by the planner's estimates for the
// images on its VM (review/REPORT-3.md, more on case 11).
TEST_F(LargeMessagesTest, ManyEstimatesOfThePlannerReachAnAgent) {
  this->StartRunner(absl::Milliseconds(50));
  this->StartAgent();
  ScriptPlanner planner(this->Address(), kEpoch);
  ASSERT_TRUE(planner.WaitFor<NodePong>());
  const InterferenceNotice notice{kEpoch, ManyEstimates(kLongNameBytes)};
  ASSERT_GT(EncodeFleetMessage(notice).size(), kMaxFramePayload);
  planner.Send(notice);
  planner.Send(Probe(kEpoch));
  EXPECT_TRUE(planner.WaitFor<PermitAnswer>());
}

// Guards against an agent that is cut off by messages that name each run of its
// VM: the planner's starts and stops, and the agent's report to the next
// planner (review/10 with crashed runs).
TEST_F(LargeMessagesTest, MessagesThatNameManyRunsArrive) {
  this->StartRunner(absl::Hours(1));
  this->StartAgent();
  ScriptPlanner planner(this->Address(), kEpoch);
  ASSERT_TRUE(this->WaitUntil([&] {
    const auto report = planner.WaitFor<WorkerNotice>();
    return report && report->alive;
  }));
  planner.SetPing({}, kGrant);
  StartRuns starts;
  starts.epoch = kEpoch;
  starts.born_ms = this->runner->BornMs();
  starts.texts = {"text"};
  std::vector<uint32_t> runs(kRuns);
  const auto add_start = [&](uint32_t index) {
    RunOrder order;
    order.task = {kSubmissionId, 0, 0, index};
    order.run = ++runs[index];
    starts.runs.push_back(order);
  };
  for (uint32_t index = 0; index < kRuns; ++index)
    add_start(index);
  ASSERT_TRUE(this->WaitUntil([&] {
    if (!starts.runs.empty()) {
      ++starts.number;
      starts.echoed_timestamp_us = planner.TimestampUs();
      planner.Send(starts);
      starts.runs.clear();
    }
    // The agent refuses starts that wait for too long behind others.
    for (const StartRefused& refused : planner.TakeAll<StartRefused>())
      add_start(refused.task.index);
    return this->ledger.Running() == kRuns;
  }));
  StopRuns stops;
  stops.epoch = kEpoch + 1;
  for (uint32_t index = 0; index < kRuns; ++index)
    stops.runs.push_back({{kSubmissionId, 0, 0, index}, runs[index]});
  ScriptPlanner next(this->Address(), kEpoch + 1);
  const auto report = next.WaitFor<WorkerNotice>();
  ASSERT_TRUE(report);
  EXPECT_EQ(report->running.size(), size_t{kRuns});
  next.SetPing({}, kGrant);
  next.Send(stops);
  EXPECT_TRUE(this->WaitUntil([this] { return this->ledger.Running() == 0; }));
}

// A planner without a lease that counts the reports and the ends of its
// connection to one agent.
class CountingPlanner {
 public:
  CountingPlanner(Log* log, const Endpoint& agent)
      : thread("planner"),
        nodes(&this->thread.Context(),
              "planner",
              log,
              {.on_connected = [](const std::string&, bool) {},
               .on_disconnected = [this](const std::string&,
                                         bool) { ++this->ends; },
               .on_long_grants_ruled_out = [] {},
               .may_grant = [](const std::string&) { return false; },
               .on_granted = [](const std::string&, absl::Time) {},
               .on_message =
                   [this](const std::string&, FleetMessage&& message) {
                     if (std::holds_alternative<WorkerNotice>(message))
                       ++this->reports;
                   },
               .on_higher_epoch = [] {}}) {
    this->thread.Start();
    this->thread.Call([&] {
      this->nodes.Start(kEpoch);
      this->nodes.Add("agent-1", NodeRow{agent, true});
    });
  }

  ~CountingPlanner() {
    this->thread.Call([this] { this->nodes.Stop(); });
    this->thread.Stop();
  }

  // Returns the number of reports so far.
  int Tick() {
    return this->thread.Call([this] {
      this->nodes.Tick(absl::ZeroDuration(), false);
      return this->reports;
    });
  }

  int Ends() {
    return this->thread.Call([this] { return this->ends; });
  }

 private:
  EventThread thread;
  PlannerNodes nodes;
  int reports = 0;
  int ends = 0;
};

// Guards against an agent that is cut off while its report is on its way: on a
// thin link it takes longer than the planner waits for an answer.
TEST_F(LargeMessagesTest, AReportOnAThinLinkArrives) {
  const Settings settings = this->CommonSettings("agent-1");
  WorkerNotice report;
  for (uint32_t index = 0; index < kRuns; ++index)
    report.running.push_back({{kSubmissionId, 0, 0, index}, 1, "", 0, false});
  std::optional<PortProcess> process;
  process.emplace(
      settings, &this->log, [&] { process->Send(report); },
      [](FleetMessage&&) {});
  EventThread links("links");
  links.Start();
  auto link = std::move(
      FaultProxy::Start(&links, PortProcess::Address(settings)).value());
  link->SetRate(kThinLinkBytesPerSecond);
  {
    CountingPlanner planner(&this->log, link->Address());
    EXPECT_TRUE(this->WaitUntil([&] { return planner.Tick() == 1; }));
    EXPECT_EQ(planner.Ends(), 0);
  }
  process.reset();
  links.Stop();
}

// Guards against a message above the limit that ends its sender or fills the
// memory of the receiver: the sender closes the connection instead, and the
// next one works.
TEST_F(LargeMessagesTest, AMessageAboveTheLimitIsNotSent) {
  const Settings settings = this->CommonSettings("agent-1");
  StartedNotice too_long;
  too_long.submissions.insert(std::string(kMaxMessageBytes + 1, 'x'));
  std::atomic<int> connections = 0;
  std::optional<PortProcess> process;
  process.emplace(
      settings, &this->log,
      [&] {
        ++connections;
        process->Send(WorkerNotice());
      },
      [](FleetMessage&&) {});
  {
    CountingPlanner planner(&this->log, PortProcess::Address(settings));
    ASSERT_TRUE(this->WaitUntil([&] { return planner.Tick() == 1; }));
    process->Call([&] { process->Send(too_long); });
    EXPECT_TRUE(this->WaitUntil([&] { return planner.Tick() == 2; }));
    EXPECT_EQ(planner.Ends(), 1);
  }
  EXPECT_EQ(connections, 2);
  process.reset();
}

// Guards against a damaged notice that is read beyond its names, or taken for
// one that was cut short.
TEST(FleetMessageTest, AnEstimateWithoutANameIsABadValue) {
  const EstimateTable table{{"image"}, {{0, 1, 3, 0.5}}};
  const std::string bytes =
      EncodeFleetMessage(InterferenceNotice{}).substr(0, 1) +
      Encode(uint64_t{kEpoch}) + Encode(table);
  EXPECT_EQ(DecodeFleetMessage(bytes).error(), CodecError::kBadValue);
}

}  // namespace
}  // namespace cuminjunction

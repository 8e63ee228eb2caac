#ifndef FLEET_FLEET_MESSAGE_H_
#define FLEET_FLEET_MESSAGE_H_

// Messages between the planner of submissions and the other processes.
//
//   link->Send(EncodeFleetMessage(PlannerPing{...}));
//   Result<FleetMessage> message = DecodeFleetMessage(payload);
//
// The planner connects to every process. Each of its messages carries its
// epoch. A receiver that has received a higher epoch ignores the message and
// answers with a NodePong that carries the higher epoch.
//
// By a grant in a ping the planner lets an agent keep its runner running until
// the grant deadline. A planner that can't renew its grants thus knows when the
// tasks of an agent that it does not reach have stopped. While no entry reaches
// the store, the planner makes long grants; see FleetPlanner.

#include <cstdint>
#include <map>
#include <set>
#include <stdexcept>
#include <string>
#include <string_view>
#include <utility>
#include <variant>
#include <vector>

#include "base/codec.h"
#include "base/error.h"
#include "submission/crash.h"
#include "submission/estimate_table.h"
#include "submission/evacuation.h"
#include "submission/interference_model.h"
#include "submission/overload.h"
#include "submission/permits.h"
#include "submission/types.h"

namespace cuminjunction {

enum class FleetMessageError { kUnknownTag = 1 };

template <>
struct ErrorTraits<FleetMessageError> {
  static constexpr const char* kCategory = "fleet-message";
  static std::string_view Message(FleetMessageError error);
};

// Planner to all processes, several times a second.
struct PlannerPing {
  uint64_t epoch = 0;
  std::string planner;
  // Latest NodePong::timestamp_us that the planner received from this process;
  // 0 for none.
  int64_t echoed_timestamp_us = 0;
  // The grant in milliseconds from that timestamp on, during which the agent
  // may keep its runner running; 0 grants nothing.
  int64_t grant_ms = 0;
  // The planner's commits to the store fail; an entry that reaches the store
  // should take over.
  bool commits_failing = false;
  // All evacuated failure domains that the planner knows of.
  EvacuatedDomains evacuated_domains = {};

  template <class Archive>
  void serialize(Archive& archive) {
    archive(this->epoch, this->planner, this->echoed_timestamp_us,
            this->grant_ms, this->commits_failing, this->evacuated_domains);
  }
};

// Answer to a ping, or to a message of an outdated epoch.
struct NodePong {
  std::string vm;
  // Boot clock of the sender in microseconds; 0 in an answer to a message of an
  // outdated epoch.
  int64_t timestamp_us = 0;
  // The highest epoch that the process has received.
  uint64_t highest_epoch = 0;
  // The process is an entry that does not reach the store. With this report it
  // commits to assume long grants in force if it becomes the planner soon
  // after.
  bool store_unreachable = false;
  // The process is an entry that has sent no such report for so long that no
  // long grant can be in force.
  bool rules_out_long_grants = false;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(this->vm, this->timestamp_us, this->highest_epoch,
            this->store_unreachable, this->rules_out_long_grants);
  }
};

// An order to run a task, or the description of a run.
struct RunOrder {
  TaskRef task;
  uint32_t run = 0;
  std::string checkpoint;
  // Index of the task's text in StartRuns::texts.
  uint32_t text = 0;
  // True for a filling task.
  bool fills = false;
  // Limit of the tail latency in milliseconds; 0 unless this is a serving task.
  int64_t latency_objective_ms = 0;
  // Tasks of the same image share their interference coefficients.
  std::string image;
  int64_t millicores = 0;
  // The adviser's ticket; empty if there is none.
  std::string ticket;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(this->task, this->run, this->checkpoint, this->text, this->fills,
            this->latency_objective_ms, this->image, this->millicores,
            this->ticket);
  }
};

// Planner to agent: start these runs.
struct StartRuns {
  uint64_t epoch = 0;
  // Sequence number of the StartRuns messages on one connection, from 1.
  uint64_t number = 0;
  // RunnerInfo::born_ms of the incarnation that the runs are meant for. The
  // next one may have other labels or less capacity.
  int64_t born_ms = 0;
  // Latest NodePong::timestamp_us that the planner had received from the agent
  // when it sent this; see StartDeadline().
  int64_t echoed_timestamp_us = 0;
  std::vector<std::string> texts;
  std::vector<RunOrder> runs;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(this->epoch, this->number, this->born_ms, this->echoed_timestamp_us,
            this->texts, this->runs);
  }
};

struct StopRun {
  TaskRef task;
  uint32_t run = 0;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(this->task, this->run);
  }
};

// Planner to agent: stop these runs.
struct StopRuns {
  uint64_t epoch = 0;
  std::vector<StopRun> runs;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(this->epoch, this->runs);
  }
};

// Planner to agent: the outcomes of the runs of one incarnation of the runner
// are stored, up to the EndedRun::number `last_number`.
struct ConfirmEndedRuns {
  uint64_t epoch = 0;
  // RunnerInfo::born_ms, which identifies the incarnation.
  int64_t born_ms = 0;
  uint64_t last_number = 0;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(this->epoch, this->born_ms, this->last_number);
  }
};

// Planner to agent: the properties of the filling and serving runs on the VM,
// which an agent that was restarted can't learn from its runner.
struct DescribeRuns {
  uint64_t epoch = 0;
  std::vector<RunOrder> runs;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(this->epoch, this->runs);
  }
};

struct StateNotice {
  std::string submission;
  // A SubmissionState.
  uint8_t state = 0;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(this->submission, this->state);
  }
};

// Planner to entry: submission states that have changed.
struct StateNotices {
  uint64_t epoch = 0;
  std::vector<StateNotice> states;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(this->epoch, this->states);
  }
};

// Planner to entry: the number of submissions without a started task, by queue.
// Queues without such submissions are left out.
struct WaitingNotice {
  uint64_t epoch = 0;
  std::map<std::string, uint64_t> waiting;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(this->epoch, this->waiting);
  }
};

// Planner to entry, with each WaitingNotice: capacity and queued work by
// service.
struct CapacityNotice {
  uint64_t epoch = 0;
  std::vector<ServiceLoad> services;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(this->epoch, this->services);
  }
};

// Agent to planner: all runs on its runner. Sent when a connection is opened,
// when the runner's incarnation has changed, and once all ends are listed after
// a part of them.
struct WorkerNotice {
  // StartRuns::number of the last StartRuns that arrived on the connection.
  // Runs of later ones are in transit and not in the lists.
  uint64_t last_received_number = 0;
  RunnerInfo info;
  // The runner answers.
  bool alive = false;
  std::vector<ActiveRun> running;
  std::vector<EndedRun> ended;
  // The runner may have more ends: runs in neither list may have ended. A
  // report without it follows.
  bool more_ends = false;
  // The latest crashes of the runner, also those that were sent before: an
  // earlier planner may not have stored them.
  std::vector<RunnerCrash> crashes;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(this->last_received_number, this->info, this->alive, this->running,
            this->ended, this->more_ends, this->crashes);
  }
};

// Agent to planner: the information that the runner reports about itself has
// changed.
struct RunnerInfoNotice {
  RunnerInfo info;
  bool alive = false;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(this->info, this->alive);
  }
};

// Agent to planner: the runner or the agent refused to start a run.
struct StartRefused {
  TaskRef task;
  uint32_t run = 0;
  // A StartOutcome.
  uint8_t outcome = 0;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(this->task, this->run, this->outcome);
  }
};

// Agent to planner: the runner has started tasks of these submissions. One
// message covers all starts within a short time, since only the number of
// waiting submissions depends on it.
struct StartedNotice {
  std::set<std::string> submissions;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(this->submissions);
  }
};

// Agent to planner: these runs have ended.
struct EndedRunsNotice {
  // RunnerInfo::born_ms of the runner's incarnation.
  int64_t born_ms = 0;
  std::vector<EndedRun> ended_runs;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(this->born_ms, this->ended_runs);
  }
};

// Agent to planner: one sample of the latency ratios of serving tasks on its
// VM, with the load of the filling images there.
struct InterferenceSample {
  // Images of serving tasks with their latency ratios.
  std::vector<std::pair<std::string, double>> latency_ratios;
  FillingLoad filling_load;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(this->latency_ratios, this->filling_load);
  }
};

// The interference coefficients of pairs of images. Planner to agent: estimates
// from the samples of all agents, for some of the images on the agent's VM.
// Agent to planner, on a new connection: the latest estimates that the agent
// has, for a planner that has none yet.
struct InterferenceNotice {
  uint64_t epoch = 0;
  std::vector<InterferenceEstimate> pairs;

  template <class Archive>
  void save(Archive& archive) const {
    archive(this->epoch, ToEstimateTable(this->pairs));
  }

  template <class Archive>
  void load(Archive& archive) {
    EstimateTable table;
    archive(this->epoch, table);
    auto estimates = ParseEstimates(table);
    if (!estimates)
      throw std::out_of_range("estimate of an image without a name");
    this->pairs = std::move(estimates.value());
  }
};

// Planner to agent: ask the adviser for permits. The adviser handles one call
// at a time for each VM, so the planner spreads concurrent calls over the
// agents.
struct PermitRequest {
  uint64_t epoch = 0;
  // Identifies the request among those of this epoch; repeated in the answer,
  // which is sent only while no planner with a higher epoch has connected.
  uint64_t number = 0;
  StepRef step;
  std::vector<std::string> runners;
  // Timeout of the call in milliseconds.
  int64_t timeout_ms = 0;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(this->epoch, this->number, this->step, this->runners,
            this->timeout_ms);
  }
};

// Agent to planner: the answer to the PermitRequest with this number.
struct PermitAnswer {
  uint64_t number = 0;
  // False if the agent has no adviser or the call to it failed.
  bool answered = false;
  std::vector<GrantedRunner> granted;
  // Validity of the permits in milliseconds.
  int64_t valid_ms = 0;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(this->number, this->answered, this->granted, this->valid_ms);
  }
};

// Entry to planner: this submission is accepted and stored.
struct AcceptedNotice {
  Submission submission;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(this->submission);
  }
};

// The values are sent in StoreRequest::kind.
enum class StoreRequestKind : uint8_t {
  // Store the submission.
  kStore = 0,
  // Store its cancellation.
  kCancel = 1,
  // Store its fence; see fleet/submission_commit.h.
  kFence = 2,
};

// Entry to planner: store this submission, its cancellation or its fence for
// the entry, whose own calls the store refuses or does not answer.
struct StoreRequest {
  // Identifies the request among those of all processes of this entry's VM;
  // repeated in StoreDone.
  uint64_t number = 0;
  // Only the id is set unless it is to be stored.
  Submission submission;
  // A StoreRequestKind.
  uint8_t kind = 0;
  // Version of the submission's fence that the entry knows; 0 for none. The
  // planner must not store the submission under another one: the entry may have
  // fenced this request meanwhile.
  int64_t fence_version = 0;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(this->number, this->submission, this->kind, this->fence_version);
  }
};

// Planner to entry: the outcome of the StoreRequest with this number. That of a
// cancellation is sent only once its row is stored.
struct StoreDone {
  uint64_t epoch = 0;
  uint64_t number = 0;
  // A SubmissionOutcome (fleet/submission_commit.h), by default kStored.
  uint8_t outcome = 0;
  // SubmissionReply::version.
  int64_t version = 0;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(this->epoch, this->number, this->outcome, this->version);
  }
};

// Entry to planner: the cancellation of this submission is stored.
struct CancelledNotice {
  std::string submission;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(this->submission);
  }
};

// Agent to planner: the agent stops, and the runner has ended or its lease has
// expired. Nothing runs on the VM, and nothing starts there before a later
// process of the agent has received a grant.
struct WorkerVacated {
  // RunnerInfo::born_ms of the last incarnation of the runner.
  int64_t born_ms = 0;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(this->born_ms);
  }
};

using FleetMessage = std::variant<PlannerPing,
                                  NodePong,
                                  StartRuns,
                                  StopRuns,
                                  ConfirmEndedRuns,
                                  DescribeRuns,
                                  StateNotices,
                                  WaitingNotice,
                                  WorkerNotice,
                                  RunnerInfoNotice,
                                  StartRefused,
                                  EndedRunsNotice,
                                  InterferenceSample,
                                  InterferenceNotice,
                                  AcceptedNotice,
                                  StoreRequest,
                                  StoreDone,
                                  CancelledNotice,
                                  PermitRequest,
                                  PermitAnswer,
                                  StartedNotice,
                                  WorkerVacated,
                                  CapacityNotice>;

// Returns the payload of a frame: a tag byte, which is the index of the
// message's type in FleetMessage, and the message.
std::string EncodeFleetMessage(const FleetMessage& message);

// Fails with CodecError or FleetMessageError::kUnknownTag.
Result<FleetMessage> DecodeFleetMessage(std::string_view payload);

}  // namespace cuminjunction

#endif  // FLEET_FLEET_MESSAGE_H_

#ifndef DAEMON_FLEET_MESSAGE_H_
#define DAEMON_FLEET_MESSAGE_H_

// Messages between the planner of submissions and the other processes.
//
//   link->Send(EncodeFleetMessage(PlannerPing{...}));
//   Result<FleetMessage> message = DecodeFleetMessage(payload);
//
// The planner connects to every process. Each of its messages carries its
// epoch; a receiver that has seen a higher one answers with a NodePong that
// tells it, and does nothing else.

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <variant>
#include <vector>

#include "base/codec.h"
#include "base/error.h"
#include "submission/interference_model.h"
#include "submission/permits.h"
#include "submission/types.h"

namespace cuminjunction {

enum class FleetMessageError { kUnknownTag = 1 };

template <>
struct ErrorTraits<FleetMessageError> {
  static constexpr const char* kCategory = "fleet-message";
  static std::string_view Message(FleetMessageError error);
};

// Planner to all, several times a second.
struct PlannerPing {
  uint64_t epoch = 0;
  std::string planner;
  // The latest stamp of the receiver that the planner has got, in microseconds
  // of the receiver's boot clock; 0 for none.
  int64_t echoed_stamp_us = 0;
  // How long after that stamp the receiver's runner may run what it runs, in
  // milliseconds; 0 grants nothing.
  int64_t grant_ms = 0;
  // The planner's commits fail; an entry that reaches the store should plan.
  bool store_trouble = false;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(this->epoch, this->planner, this->echoed_stamp_us, this->grant_ms,
            this->store_trouble);
  }
};

// Answer to a ping.
struct NodePong {
  std::string vm;
  int64_t stamp_us = 0;
  // The highest epoch that the process has seen.
  uint64_t highest_epoch = 0;
  // The process is an entry that does not reach the store. It has promised to
  // count with long grants if it becomes the planner.
  bool store_lost = false;
  // The process is an entry that has made no such promise for so long that no
  // long grant can be in force.
  bool rules_out_long_grants = false;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(this->vm, this->stamp_us, this->highest_epoch, this->store_lost,
            this->rules_out_long_grants);
  }
};

struct RunOrder {
  TaskRef task;
  uint32_t run = 0;
  std::string checkpoint;
  // Position of the task's text in StartRuns::texts.
  uint32_t text = 0;
  bool fills = false;
  // Limit for the tail of its response times; 0 for a task that serves nobody.
  int64_t latency_objective_ms = 0;
  // Tasks of the same image behave alike.
  std::string image;
  int64_t millicores = 0;
  // The adviser's ticket; empty without.
  std::string ticket;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(this->task, this->run, this->checkpoint, this->text, this->fills,
            this->latency_objective_ms, this->image, this->millicores,
            this->ticket);
  }
};

// Planner to agent.
struct StartRuns {
  uint64_t epoch = 0;
  // Counts these messages on one connection, from 1.
  uint64_t number = 0;
  std::vector<std::string> texts;
  std::vector<RunOrder> runs;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(this->epoch, this->number, this->texts, this->runs);
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

struct StopRuns {
  uint64_t epoch = 0;
  std::vector<StopRun> runs;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(this->epoch, this->runs);
  }
};

// The ends up to this number of one life of the runner are stored.
struct ConfirmEnds {
  uint64_t epoch = 0;
  int64_t born_ms = 0;
  uint64_t up_to = 0;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(this->epoch, this->born_ms, this->up_to);
  }
};

// What an agent that was restarted needs to know of the runs it reported.
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
  uint8_t state = 0;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(this->submission, this->state);
  }
};

// Planner to entry: states that have changed.
struct StateNotices {
  uint64_t epoch = 0;
  std::vector<StateNotice> states;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(this->epoch, this->states);
  }
};

// Planner to entry: submissions without a started task, by queue. Queues
// without any are left out.
struct WaitingNotice {
  uint64_t epoch = 0;
  std::map<std::string, uint64_t> waiting;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(this->epoch, this->waiting);
  }
};

// Agent to planner: everything that its runner runs, after a connection is
// made and after the runner's life has changed.
struct WorkerNotice {
  // The last StartRuns that had arrived on the connection. Runs of later ones
  // are on their way and not in the lists.
  uint64_t orders_seen = 0;
  RunnerInfo info;
  bool alive = false;
  std::vector<ActiveRun> running;
  std::vector<EndedRun> ended;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(this->orders_seen, this->info, this->alive, this->running,
            this->ended);
  }
};

// Agent to planner: what the runner says of itself has changed.
struct InfoNotice {
  RunnerInfo info;
  bool alive = false;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(this->info, this->alive);
  }
};

// Agent to planner: a start was refused.
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

// Agent to planner: the runner has started tasks of these submissions. Told
// together for the starts of a moment, since only the number of waiting
// submissions depends on it.
struct StartedNotice {
  std::set<std::string> submissions;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(this->submissions);
  }
};

// Agent to planner.
struct EndNotices {
  int64_t born_ms = 0;
  std::vector<EndedRun> ends;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(this->born_ms, this->ends);
  }
};

// Agent to planner: the tails of serving tasks, as shares of their limits, and
// the filling images beside them with the parts of the VM that they use.
struct NeighbourNotice {
  std::vector<std::pair<std::string, double>> serving;
  FillingLoad filling;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(this->serving, this->filling);
  }
};

// Planner to agent: what all agents' looks have taught of the images on its VM.
struct PairsNotice {
  uint64_t epoch = 0;
  std::vector<InterferenceEstimate> pairs;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(this->epoch, this->pairs);
  }
};

// Planner to agent: ask the adviser. The adviser handles one call at a time for
// each VM, so that the calls of a burst are spread over the agents.
struct PermitRequest {
  uint64_t epoch = 0;
  uint64_t number = 0;
  StepRef step;
  std::vector<std::string> runners;
  // How long the answer may take.
  int64_t timeout_ms = 0;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(this->epoch, this->number, this->step, this->runners,
            this->timeout_ms);
  }
};

// Agent to planner: the answer to that request.
struct PermitAnswer {
  uint64_t number = 0;
  // The adviser has answered.
  bool answered = false;
  std::vector<GrantedRunner> granted;
  int64_t valid_ms = 0;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(this->number, this->answered, this->granted, this->valid_ms);
  }
};

// Entry to planner: a submission is stored.
struct AcceptedNotice {
  Submission submission;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(this->submission);
  }
};

// Entry to planner: the store refuses the entry; the planner is to store the
// submission, or its cancellation, in its place.
struct StoreRequest {
  uint64_t number = 0;
  Submission submission;
  // Only the id of the submission is set, which is to be cancelled.
  bool cancel = false;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(this->number, this->submission, this->cancel);
  }
};

// Planner to entry: the row of that request is stored.
struct StoreDone {
  uint64_t epoch = 0;
  uint64_t number = 0;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(this->epoch, this->number);
  }
};

// Entry to planner: a cancellation is stored.
struct CancelledNotice {
  std::string submission;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(this->submission);
  }
};

using FleetMessage = std::variant<PlannerPing,
                                  NodePong,
                                  StartRuns,
                                  StopRuns,
                                  ConfirmEnds,
                                  DescribeRuns,
                                  StateNotices,
                                  WaitingNotice,
                                  WorkerNotice,
                                  InfoNotice,
                                  StartRefused,
                                  EndNotices,
                                  NeighbourNotice,
                                  PairsNotice,
                                  AcceptedNotice,
                                  StoreRequest,
                                  StoreDone,
                                  CancelledNotice,
                                  PermitRequest,
                                  PermitAnswer,
                                  StartedNotice>;

// The payload of a frame: a tag byte and the message.
std::string EncodeFleetMessage(const FleetMessage& message);

// Fails with CodecError or FleetMessageError::kUnknownTag.
Result<FleetMessage> DecodeFleetMessage(std::string_view payload);

}  // namespace cuminjunction

#endif  // DAEMON_FLEET_MESSAGE_H_

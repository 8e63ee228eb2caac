#ifndef REQUEST_ENTRY_FRONT_H_
#define REQUEST_ENTRY_FRONT_H_

// One shard of an entry. It receives requests over HTTP, sends them to agents
// and returns the answers. A request stays on the thread of its shard.
//
//   EventThread thread("entry0");
//   thread.Start();
//   EntryFront shard(&thread, options, &chart, std::move(policy), nullptr,
//                    &log, &metrics);
//   Result<uint16_t> port = shard.Start();
//   shard.SetDocument(document);
//   shard.SetUpstreams(endpoints);
//   ...
//   shard.Drain([] { ... });   // after the last request in flight
//   shard.Stop();
//   thread.Stop();
//
// The public functions are callable from any thread but the shard's own.

#include <atomic>
#include <boost/asio/steady_timer.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "base/event_thread.h"
#include "base/http_front.h"
#include "base/log.h"
#include "base/metrics.h"
#include "config/document.h"
#include "request/attempts.h"
#include "request/decision_ring.h"
#include "request/entry_request.h"
#include "request/idempotency.h"
#include "request/link.h"
#include "request/route_policy.h"
#include "request/timer_queue.h"

namespace cuminjunction {

struct EntryOptions {
  // Name and incarnation of the entry process. The incarnation is above 0 and
  // increases with each start; all shards of a process share it.
  std::string process;
  uint64_t incarnation = 1;
  // Number of this shard, below kMaxShards. The lowest bits of a request's
  // number identify the shard that received it.
  uint32_t shard = 0;
  HttpFrontOptions http;
  // The most attempts of one request.
  uint32_t max_attempts = 3;
  // Time that an agent has to confirm a cancellation after the deadline, in
  // milliseconds. A confirmed cancellation has the outcome not-run, not
  // unknown.
  int cancel_grace_ms = 50;
  // Delay before reconnecting to an agent, in milliseconds. It doubles with
  // each failure up to kMaxReconnectMs.
  int initial_reconnect_ms = 100;
  // Timeout for connecting to an agent and receiving its Hello, in
  // milliseconds.
  int connect_timeout_ms = 2000;
  // The most bytes queued for writing to one agent. Above this limit it is sent
  // no new attempts.
  size_t max_link_bytes = 32 * 1024 * 1024;
  // Number of routing decisions kept for Explain().
  size_t max_decisions = 4096;
  // Time for which a draining shard still accepts new connections and requests,
  // and time for which it then waits for idle connections to close, in
  // milliseconds.
  int drain_grace_ms = 1000;
  int drain_linger_ms = 1000;
};

inline constexpr uint32_t kMaxShards = 256;

inline constexpr int kMaxReconnectMs = 2000;

class EntryFront : public LinkHandler {
 public:
  // `chart`, `claims`, `log` and `metrics` must outlive the shard. Without
  // `claims` requests with an idempotency key are refused.
  EntryFront(EventThread* thread,
             EntryOptions options,
             const RequestChart* chart,
             std::unique_ptr<RoutePolicy> policy,
             IdempotencyClaims* claims,
             Log* log,
             Metrics* metrics);
  ~EntryFront() override;
  EntryFront(const EntryFront&) = delete;
  EntryFront& operator=(const EntryFront&) = delete;

  // Starts listening. Returns the port, or kCannotListen.
  Result<uint16_t> Start();

  // Sets the configuration for requests that arrive from now on.
  void SetDocument(std::shared_ptr<const Document> document);

  // Sets the agents to stay connected to. Connections to other agents are
  // closed after their last attempt.
  void SetUpstreams(std::vector<UpstreamEndpoint> upstreams);

  // Calls `callback` with the policy on the thread of the shard.
  void RunWithPolicy(std::function<void(RoutePolicy*)> callback);

  // Accepts requests for a grace period, then stops listening. Calls `done` on
  // the shard's thread once the last request in flight is answered and its
  // connection is closed.
  void Drain(std::function<void()> done);

  // Answers all open requests with the outcome known so far, not-run or
  // unknown, and closes all sockets.
  void Stop();

  // Returns the retained routing decisions about a request as JSON objects.
  std::vector<std::string> Explain(const RequestId& id);

  // Number of agents with a usable connection.
  size_t ReadyCount() const { return this->ready_count.load(); }

 private:
  struct Agent;
  struct Attempt;
  struct Request;
  enum class TimerKind : uint8_t { kDeadline, kHedge, kCancelGrace };
  enum class SendReason : uint8_t { kFirst, kRetry, kHedge };
  struct TimerKey {
    uint64_t number = 0;
    TimerKind kind = TimerKind::kDeadline;
  };

  // LinkHandler (entry_links.cc):
  void OnMessage(Link* link, Message&& message) override;
  void OnClosed(Link* link, std::error_code error) override;

  // Connections to agents (entry_links.cc).
  void ApplyUpstreams(const std::vector<UpstreamEndpoint>& upstreams);
  void Connect(const std::shared_ptr<Agent>& agent);
  void ConnectLater(const std::shared_ptr<Agent>& agent);
  void OnConnected(const std::shared_ptr<Agent>& agent);
  void OnConnectTimeout(const std::shared_ptr<Agent>& agent);
  void OnConnectionLost(const std::shared_ptr<Agent>& agent,
                        std::error_code error);
  void CloseAgent(Agent* agent);
  void CloseIfUnused(Agent* agent);
  void UpdateUnusableAgents();
  void Handle(Agent* agent, Hello&& hello);
  void Handle(Agent* agent, Leaving&& leaving);
  void Handle(Agent* agent, AnswerHead&& head);
  void Handle(Agent* agent, AnswerChunk&& chunk);
  void Handle(Agent* agent, AnswerBroken&& broken);
  void Handle(Agent* agent, Refused&& refused);
  // Rejects messages that only an entry may send.
  template <class T>
  void Handle(Agent* agent, T&& message);

  // Requests (entry_front.cc).
  void OnExchange(HttpExchange* exchange);
  void ClaimKey(Request* request);
  void OnClaimed(uint64_t number, ClaimResult result);
  void FailWith(Request* request, EntryError error, std::string_view detail);
  void FinishRequest(Request* request, HttpReply&& reply, Outcome outcome);
  void ArmTimer();
  void OnTimer();
  void OnDeadline(Request* request);
  void OnCancelGraceExpired(Request* request);
  void BeginDrain(std::function<void()> done);
  void ScheduleDrainCheck();
  void AdvanceDrain(absl::Time now);
  void FinishDrain();
  void StopAll();

  // Attempts (entry_route.cc).
  void Route(Request* request, SendReason reason);
  bool Choose(const Request& request, absl::Time now);
  void SendAttempt(Request* request,
                   const std::shared_ptr<Agent>& agent,
                   SendReason reason,
                   absl::Time now);
  void LogDecision(const Request& request,
                   uint32_t attempt,
                   SendReason reason,
                   absl::Time now);
  void LogOutcome(const Request& request,
                  Outcome outcome,
                  std::string_view code);
  // Returns the request and its outstanding attempt, or null pointers for a
  // late message or one from another agent.
  std::pair<Request*, Attempt*> FindAttempt(const Agent* agent,
                                            const AttemptId& id);
  void OnWholeAnswer(Request* request, Attempt* attempt);
  void OnAttemptBroken(Request* request, uint32_t number);
  void OnAttemptRefused(Request* request, uint32_t number, Refusal reason);
  void RetryOrFail(Request* request, bool needs_budget);
  void SendHedge(Request* request);
  void FailUnanswered(Request* request);
  void RemoveAttempt(Request* request, uint32_t number);
  void CancelOutstanding(Request* request);

  EventThread* thread;
  EntryOptions options;
  const RequestChart* chart;
  std::unique_ptr<RoutePolicy> policy;
  IdempotencyClaims* claims;
  Log* log;
  std::unique_ptr<HttpFront> front;
  boost::asio::steady_timer timer;
  boost::asio::steady_timer drain_timer;
  std::shared_ptr<const Document> document;

  absl::flat_hash_map<std::string, std::shared_ptr<Agent>> agents;
  absl::flat_hash_map<Link*, std::shared_ptr<Agent>> agents_by_link;
  // Names of agents without a usable connection.
  std::vector<std::string> unusable_agents;
  std::atomic<size_t> ready_count = 0;

  absl::flat_hash_map<uint64_t, std::unique_ptr<Request>> requests;
  uint64_t last_number = 0;
  TimerQueue<TimerKey> timers;
  absl::Time armed_time = absl::InfiniteFuture();
  DecisionRing decisions;
  // Reused by each decision.
  RouteChoice choice;
  std::vector<std::string> exclude;
  std::string json;

  bool stopped = false;
  // Deadlines of the phases of a drain: the grace period, the time for
  // handshakes in progress and the wait for idle connections.
  absl::Time drain_deadline = absl::InfiniteFuture();
  absl::Time listen_deadline = absl::InfiniteFuture();
  absl::Time linger_deadline = absl::InfiniteFuture();
  std::function<void()> drain_done;
  // Callbacks from other threads hold a weak pointer to it and do nothing once
  // this object is destroyed.
  std::shared_ptr<bool> alive = std::make_shared<bool>(true);

  Counter& answered_total;
  Counter& not_run_total;
  Counter& unknown_total;
  Counter& attempts_total;
  Counter& retries_total;
  Counter& hedges_total;
  Counter& late_total;
  Counter& damaged_total;
  Summary& latency_seconds;
};

}  // namespace cuminjunction

#endif  // REQUEST_ENTRY_FRONT_H_

#ifndef REQUEST_ENTRY_FRONT_H_
#define REQUEST_ENTRY_FRONT_H_

// One shard of an entry: takes requests over HTTP and has them answered by
// agents. A request never leaves the thread of its shard.
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
  // grows with each start; all shards of a process share it.
  std::string process;
  uint64_t incarnation = 1;
  // Number of this shard, below kMaxShards. The lowest bits of a request's
  // number are the shard that took it.
  uint32_t shard = 0;
  HttpFrontOptions http;
  // The most attempts of one request.
  uint32_t max_attempts = 3;
  // How long an agent may take to confirm a cancellation after the deadline,
  // in milliseconds. A confirmation makes the outcome certain.
  int cancel_grace_ms = 50;
  // Time from a lost connection to the next try to connect to the agent, in
  // milliseconds. It doubles with each failure up to kMaxReconnectMs.
  int reconnect_ms = 100;
  // How long an agent may take to accept a connection and say Hello, in
  // milliseconds.
  int connect_timeout_ms = 2000;
  // The most bytes that wait for one agent to read them. Beyond them it gets
  // no new attempts.
  size_t max_link_bytes = 32 * 1024 * 1024;
  // Routing decisions kept for explain.
  size_t decisions_kept = 4096;
  // How long a draining shard takes new connections and requests, and how long
  // it then waits for connections without a request in flight, in
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

  // Listens. Returns the port, or kCannotListen.
  Result<uint16_t> Start();

  // The document in force for requests that arrive from now on.
  void SetDocument(std::shared_ptr<const Document> document);

  // The agents to keep connections to. Connections to others end with their
  // last attempt.
  void SetUpstreams(std::vector<UpstreamEndpoint> upstreams);

  // Runs `message` with the policy on the thread of the shard.
  void WithPolicy(std::function<void(RoutePolicy*)> message);

  // Answers on for a grace period, then accepts no connection any more and
  // calls `done` on the shard's thread once the last request in flight is
  // answered and its connection has ended.
  void Drain(std::function<void()> done);

  // Answers all open requests with what is certain about them and closes all
  // sockets.
  void Stop();

  // The decisions about a request that are still kept, as JSON objects.
  std::vector<std::string> Explain(const RequestId& id);

  // Agents with a usable connection.
  size_t ReadyCount() const { return this->ready_count.load(); }

 private:
  struct Agent;
  struct Attempt;
  struct Request;
  enum class TimerKind : uint8_t { kDeadline, kHedge, kGrace };
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
  void Lose(const std::shared_ptr<Agent>& agent, std::error_code error);
  void CloseAgent(Agent* agent);
  void CloseIfUnused(Agent* agent);
  void UpdateUnusable();
  void Handle(Agent* agent, Hello&& hello);
  void Handle(Agent* agent, Leaving&& leaving);
  void Handle(Agent* agent, AnswerHead&& head);
  void Handle(Agent* agent, AnswerChunk&& chunk);
  void Handle(Agent* agent, AnswerBroken&& broken);
  void Handle(Agent* agent, Refused&& refused);
  // Messages that only an entry sends.
  template <class T>
  void Handle(Agent* agent, T&& message);

  // Requests (entry_front.cc).
  void OnExchange(HttpExchange* exchange);
  void Claim(Request* request);
  void OnClaimed(uint64_t number, ClaimResult result);
  void FailWith(Request* request, EntryError error, std::string_view detail);
  void Finish(Request* request, HttpReply&& reply, Outcome outcome);
  void ArmTimer();
  void OnTimer();
  void OnDeadline(Request* request);
  void OnGraceEnded(Request* request);
  void BeginDrain(std::function<void()> done);
  void PollDrain();
  void StepDrain(absl::Time now);
  void EndDrain();
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
  // The request and its outstanding attempt, or nulls for a late or crossed
  // message.
  std::pair<Request*, Attempt*> Find(const Agent* agent, const AttemptId& id);
  void OnWholeAnswer(Request* request, Attempt* attempt);
  void OnAttemptBroken(Request* request, uint32_t number);
  void OnAttemptRefused(Request* request, uint32_t number, Refusal reason);
  void RetryOrEnd(Request* request, bool needs_budget);
  void Hedge(Request* request);
  void EndUnanswered(Request* request);
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
  absl::flat_hash_map<Link*, std::shared_ptr<Agent>> by_link;
  // Names of agents without a usable connection.
  std::vector<std::string> unusable;
  std::atomic<size_t> ready_count = 0;

  absl::flat_hash_map<uint64_t, std::unique_ptr<Request>> requests;
  uint64_t last_number = 0;
  TimerQueue<TimerKey> timers;
  absl::Time armed = absl::InfiniteFuture();
  DecisionRing decisions;
  // Reused by each decision.
  RouteChoice choice;
  std::vector<std::string> exclude;
  std::string json;

  bool stopped = false;
  // Ends of the steps of a drain: the grace period, the time for connections
  // that are being opened, and that for idle connections.
  absl::Time drain_until = absl::InfiniteFuture();
  absl::Time listen_until = absl::InfiniteFuture();
  absl::Time linger_until = absl::InfiniteFuture();
  std::function<void()> drain_done;
  // Ends with this object, for messages from other threads.
  std::shared_ptr<bool> alive = std::make_shared<bool>(true);

  Counter& answered_total;
  Counter& not_run_total;
  Counter& unknown_total;
  Counter& attempts_total;
  Counter& retries_total;
  Counter& hedges_total;
  Counter& late_total;
  Counter& damaged_total;
  Summary& seconds;
};

}  // namespace cuminjunction

#endif  // REQUEST_ENTRY_FRONT_H_

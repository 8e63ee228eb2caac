#ifndef REQUEST_AGENT_SERVER_H_
#define REQUEST_AGENT_SERVER_H_

// The agent of an upstream. It receives attempts from entries over framed TCP,
// queues them and forwards them to the upstream over HTTP.
//
//   EventThread thread("agent");
//   thread.Start();
//   AgentServer agent(&thread, options, std::move(queue), &log, &metrics);
//   Result<uint16_t> port = agent.Start();
//   ...
//   agent.Leave([] { ... });   // after the last request in flight
//   agent.Stop();
//   thread.Stop();
//
// Start(), Leave(), Stop() and State() are callable from any thread but the
// agent's own; everything else runs on that thread.

#include <atomic>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "base/event_thread.h"
#include "base/http_caller.h"
#include "base/log.h"
#include "base/metrics.h"
#include "request/agent_queue.h"
#include "request/link.h"
#include "request/timer_queue.h"
#include "request/tombstones.h"

namespace cuminjunction {

struct AgentOptions {
  // Name and incarnation that membership announces. The incarnation is above 0
  // and increases with each start.
  std::string process;
  uint64_t incarnation = 1;
  // Address to listen on for entries; port 0 selects a free port.
  std::string host = "127.0.0.1";
  uint16_t port = 0;
  // Names of the services that the upstream serves; empty accepts every name.
  std::vector<std::string> services;
  HttpCallerOptions upstream;
  // The most connections from entries. Further ones are closed immediately.
  size_t max_links = 256;
  // The most bytes of request bodies of attempts that have not ended.
  size_t max_body_bytes = 64 * 1024 * 1024;
  // The most bytes queued for writing to one entry. Above this limit its new
  // attempts are refused; above twice the limit its connection is closed.
  size_t max_link_bytes = 32 * 1024 * 1024;
  // Path of the health check of the upstream, the interval between checks while
  // the upstream is down and the timeout of a check, in milliseconds.
  std::string probe_path = "/";
  int probe_interval_ms = 500;
  int probe_timeout_ms = 1000;
  // Timeout for the Hello of a new connection, in milliseconds.
  int hello_timeout_ms = 5000;
  // Time that entries have to close their connections to a leaving agent after
  // its last request in flight, in milliseconds.
  int leave_linger_ms = 1000;
};

// State of the upstream as the agent announces it.
enum class AgentState : uint8_t { kDown, kUp, kLeaving };

class AgentServer : public LinkHandler {
 public:
  // `thread`, `log` and `metrics` must outlive the agent.
  AgentServer(EventThread* thread,
              AgentOptions options,
              std::unique_ptr<AgentQueue> queue,
              Log* log,
              Metrics* metrics);
  ~AgentServer() override;
  AgentServer(const AgentServer&) = delete;
  AgentServer& operator=(const AgentServer&) = delete;

  // Listens and starts the health check of the upstream. Returns the port, or
  // the system error.
  Result<uint16_t> Start();

  // Refuses new attempts from now on. Calls `done` on the agent's thread once
  // the last attempt has ended and its answer is written.
  void Leave(std::function<void()> done);

  // Closes all sockets. Attempts that have not ended are aborted; call Leave()
  // first to avoid that.
  void Stop();

  AgentState State() const { return this->state.load(); }

 private:
  enum class Phase : uint8_t { kReceiving, kQueued, kRunning };

  struct Attempt {
    AttemptId id;
    Phase phase = Phase::kReceiving;
    std::shared_ptr<Link> link;
    RequestClass request_class;
    absl::Time deadline;
    absl::Time started;
    uint64_t body_size = 0;
    HttpCall call;
  };

  struct Peer {
    std::shared_ptr<Link> link;
    // 0 until Hello is received.
    uint64_t incarnation = 0;
    absl::Time hello_deadline;
  };

  // LinkHandler:
  void OnMessage(Link* link, Message&& message) override;
  void OnClosed(Link* link, std::error_code error) override;

  // Connections (agent_links.cc).
  Result<uint16_t> Listen();
  void Accept();
  void AddPeer(boost::asio::ip::tcp::socket socket);
  void ClosePeer(Link* link, std::error_code error);
  void RefuseWaitingOfLink(Link* link);
  void Handle(Peer* peer, Hello&& hello);
  void BeginLeaving(std::function<void()> done);
  void FinishLeavingIfIdle();
  void FinishLeaving();
  void CloseAll();

  // Attempts (agent_server.cc).
  void Handle(Peer* peer, Submit&& submit);
  void Handle(Peer* peer, BodyChunk&& chunk);
  void Handle(Peer* peer, CancelAttempt&& cancel);
  // Rejects messages that only an agent may send.
  template <class T>
  void Handle(Peer* peer, T&& message);
  void HandleDuplicate(Peer* peer, const AttemptId& id);
  Refusal ReasonToRefuse(const Peer& peer, const Submit& submit) const;
  bool ServesService(const std::string& service) const;
  void Enqueue(uint64_t handle, Attempt* attempt, absl::Time now);
  void StartNext(absl::Time now);
  void StartCall(uint64_t handle, Attempt* attempt, absl::Time now);
  void OnAnswer(uint64_t handle, HttpAnswer&& answer);
  void SendAnswer(const Attempt& attempt, HttpAnswer&& answer, absl::Time now);
  void SendBroken(const Attempt& attempt, BrokenReason reason, absl::Time now);
  void Refuse(Link* link,
              const AttemptId& id,
              absl::Time deadline,
              Refusal reason,
              absl::Time now);
  void RefuseWaiting(uint64_t handle, Refusal reason, absl::Time now);
  void RefuseAllWaiting(Refusal reason, absl::Time now);
  void EraseAttempt(uint64_t handle);
  void ArmDeadlineTimer();
  void OnDeadlineTimer();

  // Health check of the upstream (agent_probe.cc).
  void StartHealthCheck();
  void SendHealthCheck();
  void OnHealthCheckAnswer(const HttpAnswer& answer);
  void SetUpstreamUp(bool up);
  void UpdateState();

  EventThread* thread;
  AgentOptions options;
  std::unique_ptr<AgentQueue> queue;
  Log* log;
  boost::asio::ip::tcp::acceptor acceptor;
  boost::asio::steady_timer deadline_timer;
  boost::asio::steady_timer probe_timer;
  boost::asio::steady_timer leave_timer;
  std::unique_ptr<HttpCaller> caller;

  absl::flat_hash_map<Link*, std::unique_ptr<Peer>> peers;
  absl::flat_hash_map<uint64_t, std::unique_ptr<Attempt>> attempts;
  absl::flat_hash_map<AttemptId, uint64_t> handles;
  uint64_t last_handle = 0;
  size_t held_body_bytes = 0;
  Tombstones tombstones;
  TimerQueue<uint64_t> deadlines;
  absl::Time armed_deadline = absl::InfiniteFuture();

  // The last health check succeeded.
  bool upstream_up = false;
  // New calls are suspended until the running health check has completed.
  bool awaiting_health_check = false;
  bool leaving = false;
  std::function<void()> leave_done;
  std::atomic<AgentState> state = AgentState::kDown;

  Counter& started_total;
  Counter& answered_total;
  Counter& broken_total;
  Counter& refused_total;
  Counter& duplicates_total;
  Counter& damaged_total;
  Counter& links_refused_total;
};

}  // namespace cuminjunction

#endif  // REQUEST_AGENT_SERVER_H_

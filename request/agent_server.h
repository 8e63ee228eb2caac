#ifndef REQUEST_AGENT_SERVER_H_
#define REQUEST_AGENT_SERVER_H_

// The agent beside an upstream: takes attempts from entries over framed TCP,
// queues them and calls the upstream.
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
  // and grows with each start.
  std::string process;
  uint64_t incarnation = 1;
  // Address to listen on for entries; port 0 lets the system choose.
  std::string host = "127.0.0.1";
  uint16_t port = 0;
  // Names of the services that the upstream serves; empty accepts every name.
  std::vector<std::string> services;
  HttpCallerOptions upstream;
  // The most connections from entries; one more is closed at once.
  size_t max_links = 256;
  // The most bytes of request bodies held for attempts that have not ended.
  size_t max_body_bytes = 64 * 1024 * 1024;
  // The most bytes that wait for one entry to read them. Beyond them its new
  // attempts are refused, beyond twice as many its connection is closed.
  size_t max_link_bytes = 32 * 1024 * 1024;
  // Path of the probe that finds out whether the upstream is back, the time
  // between probes and the time a probe may take, in milliseconds.
  std::string probe_path = "/";
  int probe_interval_ms = 500;
  int probe_timeout_ms = 1000;
  // How long a new connection may take to say Hello, in milliseconds.
  int hello_timeout_ms = 5000;
  // How long entries may take to close their connections after the last
  // request in flight of an agent that leaves, in milliseconds.
  int leave_linger_ms = 1000;
};

// What the agent announces about its upstream.
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

  // Listens and probes the upstream. Returns the port, or the error of the
  // system.
  Result<uint16_t> Start();

  // Refuses new work from now on. Calls `done` on the agent's thread once the
  // last attempt has ended and its answer is written.
  void Leave(std::function<void()> done);

  // Closes all sockets. Attempts that have not ended are cut off; call Leave()
  // before to avoid that.
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
    // 0 until its Hello has arrived.
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
  void DropAttemptsOf(Link* link);
  void Handle(Peer* peer, Hello&& hello);
  void BeginLeaving(std::function<void()> done);
  void EndLeavingIfIdle();
  void FinishLeaving();
  void CloseAll();

  // Attempts (agent_server.cc).
  void Handle(Peer* peer, Submit&& submit);
  void Handle(Peer* peer, BodyChunk&& chunk);
  void Handle(Peer* peer, CancelAttempt&& cancel);
  // Messages that only an agent sends.
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
  void Remove(uint64_t handle);
  void ArmDeadlineTimer();
  void OnDeadlineTimer();

  // State of the upstream (agent_probe.cc).
  void Suspect();
  void SendProbe();
  void OnProbeAnswer(const HttpAnswer& answer);
  void SetUpstreamUp(bool up);
  void Announce();

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
  absl::Time armed = absl::InfiniteFuture();

  // The upstream answered its last probe.
  bool upstream_up = false;
  // A probe runs and no new call starts until it has answered.
  bool probing = false;
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

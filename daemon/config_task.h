#ifndef DAEMON_CONFIG_TASK_H_
#define DAEMON_CONFIG_TASK_H_

// Keeps a process's configuration current: drives a ConfigNode over PeerNet.
//
//   ConfigTask config(&thread, &net, options, on_document, {}, &log);
//   thread.Post([&] { config.Start(); });
//   ...
//   config.OnPeerVersion("entry-1", endpoint, 17, 1);
//
// All calls are made on the event thread, and on_document is called there.

#include <boost/asio/steady_timer.hpp>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>

#include "base/event_thread.h"
#include "base/log.h"
#include "base/time.h"
#include "config/distribution.h"
#include "daemon/peer_net.h"

namespace cuminjunction {

// A configuration that has come into force in this process.
using DocumentListener =
    std::function<void(uint64_t version,
                       std::shared_ptr<const Document> document)>;

class ConfigTask {
 public:
  // `thread`, `net` and `log` must outlive this object. `start_over` is called
  // when a delta of the store could not be taken over, after which the store
  // must be read from its beginning; it may be empty.
  ConfigTask(EventThread* thread,
             PeerNet* net,
             const ConfigNodeOptions& options,
             DocumentListener listener,
             std::function<void()> start_over,
             Log* log);

  void Start();
  void Stop();

  // A peer told the version that it holds.
  void OnPeerVersion(const std::string& peer,
                     const Endpoint& address,
                     uint64_t version,
                     int distance);
  void OnPeerLost(const std::string& peer);

  // Where peers reach this process, for notices.
  void SetSelf(const Endpoint& address) { this->self_address = address; }

  // A message of the network.
  void OnNotice(const VersionNotice& notice, const PeerReply& reply);
  void OnRequest(const ConfigRequest& request, const PeerReply& reply);
  void OnPart(const ConfigPart& part);

  // The store was read: a delta, or nothing new.
  void OnStoreDelta(const Delta& delta);
  void OnStoreUnchanged();

  uint64_t Version() const { return this->node.State().Version(); }
  const ConfigState& State() const { return this->node.State(); }
  bool IsReady() { return this->node.IsReady(this->clock.Now()); }

 private:
  void Poll();
  void SendNotices();
  VersionNotice MakeNotice(bool wants_reply) const;
  void ScheduleTick();
  void TakeResult(const Result<bool>& applied, std::string_view source);

  PeerNet* net;
  ConfigNode node;
  std::string name;
  Endpoint self_address;
  DocumentListener listener;
  std::function<void()> start_over;
  Log* log;
  SteadyClock clock;
  boost::asio::steady_timer timer;
  std::map<std::string, Endpoint> addresses;
  // The peer that the present request went to.
  std::string asked;
};

}  // namespace cuminjunction

#endif  // DAEMON_CONFIG_TASK_H_

#ifndef DAEMON_PEER_NET_H_
#define DAEMON_PEER_NET_H_

// Framed TCP connections between processes of the system. They carry
// configuration and notices; requests and heartbeats have their own
// connections.
//
//   PeerNet net(&thread, &metrics, [&](PeerMessage&& message,
//                                      const PeerReply& reply) {
//     if (auto* request = std::get_if<ConfigRequest>(&message))
//       for (const ConfigPart& part : node.Answer(*request)) reply(part);
//   });
//   Result<uint16_t> port = net.Listen("127.0.0.1", 0);
//   net.Send({"127.0.0.1", 7200}, WorkerChangeNotice{"w1"});
//
// The first message to an address opens a connection, which later messages use
// again. Delivery is at most once: messages are lost when the connection
// breaks, and senders repeat those that must arrive. A message that can't be
// decoded closes the connection. All calls are made on the event thread.

#include <boost/asio/ip/tcp.hpp>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <variant>
#include <vector>

#include "base/error.h"
#include "base/event_thread.h"
#include "base/frame_link.h"
#include "base/metrics.h"
#include "config/distribution.h"
#include "settings/settings.h"

namespace cuminjunction {

enum class PeerError { kUnknownTag = 1, kBadAddress };

template <>
struct ErrorTraits<PeerError> {
  static constexpr const char* kCategory = "peer";
  static std::string_view Message(PeerError error);
};

// Sent to a worker's agent when the worker's row has changed.
struct WorkerChangeNotice {
  std::string worker;

  bool operator==(const WorkerChangeNotice&) const = default;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(this->worker);
  }
};

// Sent to an upstream's agent when an operator drains the upstream.
struct DrainNotice {
  std::string upstream;

  bool operator==(const DrainNotice&) const = default;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(this->upstream);
  }
};

// Announces the sender's configuration version and the address that serves it.
// Repeated until the receiver has announced the same version, since a notice
// may be lost.
struct VersionNotice {
  std::string name;
  std::string host;
  uint16_t port = 0;
  uint64_t version = 0;
  // The receiver answers with a notice of its own.
  bool wants_reply = false;

  bool operator==(const VersionNotice&) const = default;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(this->name, this->host, this->port, this->version,
            this->wants_reply);
  }
};

// Sent between entries: requests the configuration versions of the agents that
// send their heartbeats to the receiver.
struct VersionsRequest {
  bool operator==(const VersionsRequest&) const = default;

  template <class Archive>
  void serialize(Archive& /*archive*/) {}
};

struct NodeVersion {
  std::string name;
  uint64_t version = 0;

  bool operator==(const NodeVersion&) const = default;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(this->name, this->version);
  }
};

struct VersionsReply {
  std::vector<NodeVersion> nodes;

  bool operator==(const VersionsReply&) const = default;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(this->nodes);
  }
};

using PeerMessage = std::variant<ConfigRequest,
                                 ConfigPart,
                                 WorkerChangeNotice,
                                 DrainNotice,
                                 VersionsRequest,
                                 VersionsReply,
                                 VersionNotice>;

// Returns the payload of a frame: a tag byte, which is the index in the
// variant, and the message.
std::string EncodePeerMessage(const PeerMessage& message);

// Fails with CodecError or PeerError::kUnknownTag.
Result<PeerMessage> DecodePeerMessage(std::string_view payload);

// Sends a message on the connection on which the handled message arrived.
using PeerReply = std::function<void(const PeerMessage& message)>;

class PeerNet {
 public:
  using Handler =
      std::function<void(PeerMessage&& message, const PeerReply& reply)>;

  // `thread` and `metrics` must outlive this object.
  PeerNet(EventThread* thread, Metrics* metrics, Handler handler);

  // Accepts connections at `host`, which must be an IP address, and returns the
  // port; port 0 lets the system choose one. Fails with PeerError::kBadAddress
  // or the system's error.
  Result<uint16_t> Listen(const std::string& host, uint16_t port);

  // Sends without confirmation; connects first if needed.
  void Send(const Endpoint& to, const PeerMessage& message);

  // Stops accepting and closes all connections.
  void Close();

 private:
  void Accept();
  std::shared_ptr<FrameLink> MakeLink(boost::asio::ip::tcp::socket socket);
  Status OnPayload(const std::shared_ptr<FrameLink>& link,
                   std::string_view payload);

  EventThread* thread;
  Handler handler;
  Counter& damaged_messages;
  boost::asio::ip::tcp::acceptor acceptor;
  std::set<std::shared_ptr<FrameLink>> links;
  std::map<Endpoint, std::weak_ptr<FrameLink>> outgoing;
};

}  // namespace cuminjunction

#endif  // DAEMON_PEER_NET_H_

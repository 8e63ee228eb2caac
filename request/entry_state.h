#ifndef REQUEST_ENTRY_STATE_H_
#define REQUEST_ENTRY_STATE_H_

// Internal to the entry shard: its requests, attempts and agents.

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

#include "request/entry_front.h"

namespace cuminjunction {

// The connection to an agent.
struct EntryFront::Agent {
  Agent(boost::asio::io_context* context, UpstreamEndpoint endpoint)
      : endpoint(std::move(endpoint)), socket(*context), timer(*context) {}

  UpstreamEndpoint endpoint;
  // Used until the connection is open.
  boost::asio::ip::tcp::socket socket;
  boost::asio::steady_timer timer;
  std::shared_ptr<Link> link;
  // Hello has arrived and Leaving has not.
  bool ready = false;
  bool leaving = false;
  // No longer among the upstreams.
  bool retired = false;
  size_t outstanding = 0;
  // Tries to connect since the last usable connection.
  int failures = 0;
};

struct EntryFront::Attempt {
  uint32_t number = 0;
  std::shared_ptr<Agent> agent;
  // Place of its Submit in the stream to the agent.
  uint64_t position = 0;
  absl::Time sent;
  bool has_head = false;
  // The answer as far as it has arrived.
  AnswerHead answer;
};

struct EntryFront::Request {
  Request(const RequestChart* chart, bool idempotent)
      : attempts(chart, idempotent) {}

  RequestId id;
  HttpExchange* exchange = nullptr;
  RequestHead head;
  absl::Time arrived;
  // The body when it takes more than one frame.
  std::shared_ptr<const std::string> large_body;
  RequestAttempts attempts;
  std::vector<Attempt> outstanding;
  // Upstreams that were sent an attempt.
  std::vector<std::string> tried;
  Refusal last_refusal = Refusal::kNone;
  // Its deadline has passed and the agents were told.
  bool cancelling = false;
  // Waits for the claim of its idempotency key, or holds it.
  bool claiming = false;
  bool claimed = false;
};

}  // namespace cuminjunction

#endif  // REQUEST_ENTRY_STATE_H_

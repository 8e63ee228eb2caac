#ifndef REQUEST_ENTRY_STATE_H_
#define REQUEST_ENTRY_STATE_H_

// Internal to the entry shard: its requests, attempts and agents.

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

#include "request/entry_front.h"

namespace cuminjunction {

// An agent and the connection to it.
struct EntryFront::Agent {
  Agent(boost::asio::io_context* context, UpstreamEndpoint endpoint)
      : endpoint(std::move(endpoint)), socket(*context), timer(*context) {}

  UpstreamEndpoint endpoint;
  // Used until the connection is open.
  boost::asio::ip::tcp::socket socket;
  boost::asio::steady_timer timer;
  std::shared_ptr<Link> link;
  // Hello was received and Leaving was not.
  bool ready = false;
  bool leaving = false;
  // No longer in the list of upstreams.
  bool retired = false;
  size_t outstanding = 0;
  // Failed connection attempts since the last usable connection.
  int failures = 0;
};

struct EntryFront::Attempt {
  uint32_t number = 0;
  std::shared_ptr<Agent> agent;
  // Byte position of the Submit in the stream to the agent; see Link::Send().
  uint64_t position = 0;
  absl::Time sent;
  bool has_head = false;
  // The part of the answer received so far.
  AnswerHead answer;
};

struct EntryFront::Request {
  Request(const RequestChart* chart, bool idempotent)
      : attempts(chart, idempotent) {}

  RequestId id;
  HttpExchange* exchange = nullptr;
  RequestHead head;
  absl::Time arrived;
  // The body when it is larger than one frame; null otherwise.
  std::shared_ptr<const std::string> large_body;
  RequestAttempts attempts;
  std::vector<Attempt> outstanding;
  // Names of the upstreams that were sent an attempt.
  std::vector<std::string> tried_upstreams;
  Refusal last_refusal = Refusal::kNone;
  // The deadline has passed and the outstanding attempts were cancelled.
  bool cancelling = false;
  // The claim of the idempotency key is pending, or has succeeded.
  bool claim_pending = false;
  bool claim_held = false;
};

}  // namespace cuminjunction

#endif  // REQUEST_ENTRY_STATE_H_

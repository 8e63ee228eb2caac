#ifndef TESTING_SUPPORT_UPSTREAM_STANDIN_H_
#define TESTING_SUPPORT_UPSTREAM_STANDIN_H_

// An application that stands in for an upstream.
//
//   UpstreamStandin standin({.slots = 8, .service_us = 5000});
//   uint16_t port = standin.Start().value();
//   ...
//   standin.Executions();   // key -> how often a request of that key ran
//
// Any path is work: it takes one of the slots for a service time and answers
// with the request's key, a newline and padding. The key is the argument `key`
// of the URL, or the header Idempotency-Key. More requests than slots wait in
// the order of their arrival.
//
// Control over HTTP, which takes no slot:
//   POST /standin/slowness?factor=10   multiplies later service times
//   POST /standin/reset                forgets the executions
//   GET  /standin/executions           {"total": 3, "keys": {"a": 1, "b": 2}}
//   GET  /standin/health               200

#include <cstdint>
#include <map>
#include <memory>
#include <string>

#include "base/error.h"

namespace cuminjunction {

struct UpstreamStandinSettings {
  // 0 lets the kernel choose.
  uint16_t port = 0;
  uint32_t slots = 8;
  // Mean service time; the given part of it is exponential, the rest fixed. 0
  // answers at once without a slot.
  int64_t service_us = 5000;
  double exponential_share = 0.5;
  // Bytes of padding in an answer.
  size_t answer_bytes = 64;
  uint64_t seed = 1;
  // Each execution is appended here as "KEY MICROSECONDS" at its start, so that
  // it is known after a kill. Empty for none.
  std::string executions_file = {};
};

enum class StandinError { kCannotListen = 1 };

template <>
struct ErrorTraits<StandinError> {
  static constexpr const char* kCategory = "standin";
  static std::string_view Message(StandinError error);
};

class UpstreamStandin {
 public:
  explicit UpstreamStandin(UpstreamStandinSettings settings);
  ~UpstreamStandin();
  UpstreamStandin(const UpstreamStandin&) = delete;
  UpstreamStandin& operator=(const UpstreamStandin&) = delete;

  // Listens on 127.0.0.1 and returns the port. Fails with kCannotListen.
  Result<uint16_t> Start();

  // Closes all connections; requests in service get no answer.
  void Stop();

  // Multiplies the service times of requests that start later.
  void SetSlowness(double factor);

  // How often requests of each key were started. Callable from any thread.
  std::map<std::string, uint64_t> Executions() const;

  // Requests started, with and without a key.
  uint64_t Total() const;

 private:
  class Server;
  std::unique_ptr<Server> server;
};

}  // namespace cuminjunction

#endif  // TESTING_SUPPORT_UPSTREAM_STANDIN_H_

#ifndef TESTING_SUPPORT_ADVISER_STANDIN_H_
#define TESTING_SUPPORT_ADVISER_STANDIN_H_

// The adviser of the users' platform over HTTP, for tests.
//
//   auto adviser = AdviserStandin::Start().value();
//   adviser->Allow("i-agent-2", "ticket");
//   adviser->RefuseNext(1);          // 429

#include <map>
#include <memory>
#include <string>

#include "absl/synchronization/mutex.h"
#include "base/endpoint.h"
#include "base/http_server.h"

namespace cuminjunction {

class AdviserStandin {
 public:
  // Starts to serve on loopback. Fails with HttpError.
  static Result<std::unique_ptr<AdviserStandin>> Start();

  Endpoint Address() const { return {"127.0.0.1", this->server->Port()}; }

  // Lets every step run on the runner.
  void Allow(const std::string& runner, const std::string& ticket);

  // Number of calls that were answered with permits.
  int Answers() const;

  // Refuses the next calls.
  void RefuseNext(int count);

 private:
  HttpResponse Handle(const HttpRequest& request);

  mutable absl::Mutex mutex;
  std::map<std::string, std::string> tickets;
  int refuse = 0;
  int answers = 0;
  // Last, so that no request arrives after the rest is gone.
  std::unique_ptr<HttpServer> server;
};

}  // namespace cuminjunction

#endif  // TESTING_SUPPORT_ADVISER_STANDIN_H_

#include "testing/support/adviser_standin.h"

#include <nlohmann/json.hpp>
#include <utility>

namespace cuminjunction {

namespace {

using nlohmann::json;

// How long tickets are valid.
constexpr int kValidMs = 60000;

HttpResponse Answer(int status, const json& body) {
  HttpResponse response;
  response.status = status;
  response.body = body.dump();
  return response;
}

}  // namespace

Result<std::unique_ptr<AdviserStandin>> AdviserStandin::Start() {
  auto adviser = std::make_unique<AdviserStandin>();
  AdviserStandin* self = adviser.get();
  BOOST_OUTCOME_TRY(server,
                    HttpServer::Start({}, [self](const HttpRequest& request) {
                      return self->Handle(request);
                    }));
  adviser->server = std::move(server);
  return adviser;
}

void AdviserStandin::Allow(const std::string& runner,
                           const std::string& ticket) {
  absl::MutexLock lock(&this->mutex);
  this->tickets[runner] = ticket;
}

int AdviserStandin::Answers() const {
  absl::MutexLock lock(&this->mutex);
  return this->answers;
}

void AdviserStandin::RefuseNext(int count) {
  absl::MutexLock lock(&this->mutex);
  this->refuse = count;
}

HttpResponse AdviserStandin::Handle(const HttpRequest& request) {
  const json body = json::parse(request.body, nullptr, false);
  if (request.path != "/v1/advise" || !body.is_object() ||
      !body.contains("step") || !body.contains("workers"))
    return Answer(400, json::object());
  absl::MutexLock lock(&this->mutex);
  if (this->refuse > 0) {
    --this->refuse;
    return Answer(429, json::object());
  }
  ++this->answers;
  json granted = json::array();
  for (const std::string runner : body["workers"]) {
    const auto found = this->tickets.find(runner);
    if (found != this->tickets.end())
      granted.push_back({found->first, found->second});
  }
  return Answer(200, {{"granted", granted}, {"validMs", kValidMs}});
}

}  // namespace cuminjunction

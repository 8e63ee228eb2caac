#include "table/http_object_store.h"

#include <utility>

#include "absl/time/clock.h"
#include "table/wire.h"

namespace cuminjunction {

HttpObjectStore::HttpObjectStore(std::string url, int64_t timeout_ms)
    : url(std::move(url)), timeout_ms(timeout_ms) {}

Result<HttpResponse> HttpObjectStore::Send(const HttpRequest& request) {
  return this->client.Send(this->url, request,
                           absl::Now() + absl::Milliseconds(this->timeout_ms));
}

Status HttpObjectStore::Put(const std::string& name, const std::string& bytes) {
  const Result<std::string> body = ReadAnswer<ObjectError>(
      this->Send({"PUT", "/object", {{"name", name}}, {}, bytes}));
  if (!body)
    return body.error();
  return Ok();
}

Result<std::string> HttpObjectStore::Get(const std::string& name) {
  return ReadAnswerOfRead<ObjectError>(
      this->Send({"GET", "/object", {{"name", name}}, {}, ""}));
}

}  // namespace cuminjunction

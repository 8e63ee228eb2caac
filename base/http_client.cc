#include "base/http_client.h"

#include <curl/curl.h>

#include <algorithm>
#include <string_view>

#include "absl/time/clock.h"
#include "base/strings.h"

namespace cuminjunction {

namespace {

// An answer longer than this is treated as broken.
constexpr size_t kMaxAnswerBytes = 64 * 1024 * 1024;

void InitializeCurl() {
  static const CURLcode initialized = curl_global_init(CURL_GLOBAL_ALL);
  (void)initialized;
}

size_t AppendBody(char* data, size_t size, size_t count, void* closure) {
  auto* body = static_cast<std::string*>(closure);
  if (body->size() + size * count > kMaxAnswerBytes)
    return 0;
  body->append(data, size * count);
  return size * count;
}

size_t AppendHeader(char* data, size_t size, size_t count, void* closure) {
  auto* headers = static_cast<std::map<std::string, std::string>*>(closure);
  const std::string_view line(data, size * count);
  const size_t colon = line.find(':');
  if (colon != std::string_view::npos) {
    std::string name(line.substr(0, colon));
    std::transform(name.begin(), name.end(), name.begin(), ::tolower);
    std::string_view value = line.substr(colon + 1);
    while (!value.empty() && value.front() == ' ')
      value.remove_prefix(1);
    while (!value.empty() && (value.back() == '\r' || value.back() == '\n'))
      value.remove_suffix(1);
    (*headers)[name] = std::string(value);
  }
  return size * count;
}

std::string MakeUrl(const std::string& base_url, const HttpRequest& request) {
  std::string url = base_url + request.path;
  char separator = '?';
  for (const auto& [key, value] : request.query) {
    StrAppend(&url, std::string(1, separator), UrlEncode(key), "=",
              UrlEncode(value));
    separator = '&';
  }
  return url;
}

HttpError ErrorOf(CURLcode code) {
  switch (code) {
    case CURLE_COULDNT_CONNECT:
    case CURLE_COULDNT_RESOLVE_HOST:
    case CURLE_URL_MALFORMAT:
    case CURLE_UNSUPPORTED_PROTOCOL:
      return HttpError::kNotSent;
    default:
      return HttpError::kNoAnswer;
  }
}

}  // namespace

struct HttpClient::Impl {
  CURL* curl = nullptr;
};

HttpClient::HttpClient() : impl(std::make_unique<Impl>()) {
  InitializeCurl();
  this->impl->curl = curl_easy_init();
}

HttpClient::~HttpClient() {
  curl_easy_cleanup(this->impl->curl);
}

Result<HttpResponse> HttpClient::Send(const std::string& base_url,
                                      const HttpRequest& request,
                                      absl::Time deadline) {
  const int64_t left_ms = absl::ToInt64Milliseconds(deadline - absl::Now());
  if (left_ms <= 0 || this->impl->curl == nullptr)
    return HttpError::kNotSent;
  CURL* curl = this->impl->curl;
  // Keeps the connections of the handle.
  curl_easy_reset(curl);
  HttpResponse response;
  curl_slist* headers = curl_slist_append(nullptr, "Expect:");
  for (const auto& [name, value] : request.headers)
    headers = curl_slist_append(headers, StrCat(name, ": ", value).c_str());
  curl_easy_setopt(curl, CURLOPT_URL, MakeUrl(base_url, request).c_str());
  curl_easy_setopt(curl, CURLOPT_NOPROXY, "*");
  curl_easy_setopt(curl, CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt(curl, CURLOPT_TIMEOUT_MS, static_cast<long>(left_ms));
  curl_easy_setopt(curl, CURLOPT_HTTPHEADER, headers);
  curl_easy_setopt(curl, CURLOPT_WRITEFUNCTION, &AppendBody);
  curl_easy_setopt(curl, CURLOPT_WRITEDATA, &response.body);
  curl_easy_setopt(curl, CURLOPT_HEADERFUNCTION, &AppendHeader);
  curl_easy_setopt(curl, CURLOPT_HEADERDATA, &response.headers);
  if (!request.body.empty() || request.method == "POST" ||
      request.method == "PUT") {
    curl_easy_setopt(curl, CURLOPT_POSTFIELDS, request.body.data());
    curl_easy_setopt(curl, CURLOPT_POSTFIELDSIZE,
                     static_cast<long>(request.body.size()));
  }
  // libcurl sends a request again by itself when a kept connection closes
  // without an answer. A request with an effect would then run twice, so it
  // gets a connection of its own.
  if (request.method != "GET")
    curl_easy_setopt(curl, CURLOPT_FRESH_CONNECT, 1L);
  curl_easy_setopt(curl, CURLOPT_CUSTOMREQUEST, request.method.c_str());
  const CURLcode code = curl_easy_perform(curl);
  curl_slist_free_all(headers);
  if (code != CURLE_OK)
    return ErrorOf(code);
  long status = 0;
  curl_easy_getinfo(curl, CURLINFO_RESPONSE_CODE, &status);
  response.status = static_cast<int>(status);
  response.content_type = response.headers["content-type"];
  return response;
}

std::string UrlEncode(const std::string& text) {
  InitializeCurl();
  char* encoded =
      curl_easy_escape(nullptr, text.data(), static_cast<int>(text.size()));
  if (encoded == nullptr)
    return "";
  std::string out(encoded);
  curl_free(encoded);
  return out;
}

std::string UrlDecode(const std::string& text) {
  int size = 0;
  char* decoded = curl_easy_unescape(nullptr, text.data(),
                                     static_cast<int>(text.size()), &size);
  if (decoded == nullptr)
    return "";
  std::string out(decoded, static_cast<size_t>(size));
  curl_free(decoded);
  return out;
}

}  // namespace cuminjunction

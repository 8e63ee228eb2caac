#include "request/entry_request.h"

#include <strings.h>

#include <algorithm>
#include <array>
#include <charconv>
#include <optional>

#include "base/log.h"
#include "base/strings.h"

namespace cuminjunction {

namespace {

struct ErrorRow {
  EntryError error;
  unsigned status;
  std::string_view code;
  std::string_view message;
};

constexpr ErrorRow kErrors[] = {
    {EntryError::kNoService, 400, "no-service",
     "header Cuminjunction-Service is missing"},
    {EntryError::kUnknownService, 404, "unknown-service",
     "no service of this name"},
    {EntryError::kUnknownAccount, 400, "unknown-account",
     "no client account of this name"},
    {EntryError::kBadUrgency, 400, "bad-urgency",
     "urgency is not urgent, normal or batch"},
    {EntryError::kBadDeadline, 400, "bad-deadline",
     "deadline or timeout is not a number of milliseconds in range"},
    {EntryError::kBadPath, 400, "bad-path", "path does not start with '/'"},
    {EntryError::kBadHead, 400, "bad-head",
     "request line or header has a character that is not allowed"},
    {EntryError::kMethodNotAllowed, 405, "method-not-allowed",
     "method is not allowed"},
    {EntryError::kBodyTooLarge, 413, "body-too-large", "body is above 8 MiB"},
    {EntryError::kHeadersTooLarge, 431, "headers-too-large",
     "header block is above 32 KiB"},
    {EntryError::kTooManyConnections, 503, "too-many-connections",
     "entry has too many connections"},
    {EntryError::kOutOfMemory, 503, "out-of-memory",
     "entry holds too many bytes of bodies"},
    {EntryError::kDeadlinePassed, 504, "deadline",
     "deadline passed before the request started"},
    {EntryError::kNoUpstream, 503, "no-upstream",
     "no upstream of the service takes requests"},
    {EntryError::kRefused, 503, "refused", "every upstream asked has refused"},
    {EntryError::kKeyTaken, 409, "key-taken",
     "idempotency key was claimed by another request"},
    {EntryError::kKeyStoreDown, 503, "key-store-down",
     "idempotency key can't be claimed now"},
    {EntryError::kStopping, 503, "stopping", "entry is stopping"},
    {EntryError::kBroken, 502, "broken",
     "request may have run, and its answer was lost"},
    {EntryError::kNoAnswerInTime, 504, "no-answer-in-time",
     "request may have run, and no answer came before the deadline"},
};

constexpr std::string_view kReservedPrefix = "Cuminjunction-";

const ErrorRow& RowOf(EntryError error) {
  return kErrors[static_cast<size_t>(error) - 1];
}

bool EqualsIgnoreCase(std::string_view a, std::string_view b) {
  return a.size() == b.size() && strncasecmp(a.data(), b.data(), a.size()) == 0;
}

std::optional<std::string> ExtractHeader(HeaderList* headers,
                                         std::string_view name) {
  const auto found = std::find_if(
      headers->begin(), headers->end(),
      [&](const auto& header) { return EqualsIgnoreCase(header.first, name); });
  if (found == headers->end())
    return std::nullopt;
  std::string value = std::move(found->second);
  headers->erase(found);
  return value;
}

std::string FindHeader(const HeaderList& headers, std::string_view name) {
  for (const auto& [key, value] : headers) {
    if (EqualsIgnoreCase(key, name))
      return value;
  }
  return "";
}

// Neither a caller nor an upstream may set the headers that identify a request
// and report its outcome.
void EraseReservedHeaders(HeaderList* headers) {
  std::erase_if(*headers, [](const auto& header) {
    return EqualsIgnoreCase(
        std::string_view(header.first).substr(0, kReservedPrefix.size()),
        kReservedPrefix);
  });
}

std::optional<int64_t> ParseMillis(const std::string& text) {
  int64_t value = 0;
  const char* end = text.data() + text.size();
  const auto parsed = std::from_chars(text.data(), end, value);
  if (parsed.ec != std::errc() || parsed.ptr != end || value <= 0)
    return std::nullopt;
  return value;
}

Result<Urgency> ParseUrgency(const std::optional<std::string>& text,
                             Urgency fallback) {
  if (!text)
    return fallback;
  for (const Urgency urgency :
       {Urgency::kUrgent, Urgency::kNormal, Urgency::kBatch}) {
    if (*text == ToString(urgency))
      return urgency;
  }
  return EntryError::kBadUrgency;
}

Result<absl::Time> ParseDeadline(HeaderList* headers,
                                 const Service& service,
                                 absl::Time now) {
  const auto absolute = ExtractHeader(headers, "Cuminjunction-Deadline");
  const auto timeout = ExtractHeader(headers, "Cuminjunction-Timeout-Ms");
  absl::Time deadline = now + absl::Milliseconds(service.timeout_ms);
  if (absolute) {
    const std::optional<int64_t> millis = ParseMillis(*absolute);
    if (!millis)
      return EntryError::kBadDeadline;
    deadline = absl::FromUnixMillis(*millis);
  } else if (timeout) {
    const std::optional<int64_t> millis = ParseMillis(*timeout);
    if (!millis)
      return EntryError::kBadDeadline;
    deadline = now + absl::Milliseconds(*millis);
  }
  if (deadline > now + kMaxRequestTimeout)
    return EntryError::kBadDeadline;
  return deadline;
}

// The methods that HTTP defines as idempotent.
constexpr std::array<std::string_view, 5> kIdempotentMethods = {
    "GET", "HEAD", "PUT", "DELETE", "OPTIONS"};

bool IsIdempotentByDefault(std::string_view method) {
  return std::find(kIdempotentMethods.begin(), kIdempotentMethods.end(),
                   method) != kIdempotentMethods.end();
}

bool IsIdempotent(const Service& service, const std::string& method) {
  const std::vector<std::string>& methods = service.idempotent_methods;
  if (methods.empty())
    return IsIdempotentByDefault(method);
  return std::find(methods.begin(), methods.end(), method) != methods.end();
}

Status CheckRequestLine(const HttpExchange& exchange) {
  if (exchange.method == "CONNECT" || exchange.method == "TRACE")
    return EntryError::kMethodNotAllowed;
  if (!exchange.path.starts_with('/'))
    return EntryError::kBadPath;
  if (!IsValidHead(exchange.method, exchange.path, exchange.headers))
    return EntryError::kBadHead;
  return Ok();
}

}  // namespace

std::string_view ErrorTraits<EntryError>::Message(EntryError error) {
  return RowOf(error).message;
}

std::string_view CodeOf(EntryError error) {
  return RowOf(error).code;
}

unsigned StatusOf(EntryError error) {
  return RowOf(error).status;
}

Result<RequestHead> ParseRequestHead(HttpExchange* exchange,
                                     const Document& document,
                                     absl::Time now) {
  BOOST_OUTCOME_TRY(CheckRequestLine(*exchange));
  HeaderList* headers = &exchange->headers;
  const auto name = ExtractHeader(headers, "Cuminjunction-Service");
  if (!name)
    return EntryError::kNoService;
  const auto service = document.services.find(*name);
  if (service == document.services.end())
    return EntryError::kUnknownService;
  RequestHead head;
  head.service = *name;
  head.upstream_service = service->second.upstream;
  head.request_class.account = ExtractHeader(headers, "Cuminjunction-Account")
                                   .value_or(service->second.account);
  if (!document.accounts.contains(head.request_class.account))
    return EntryError::kUnknownAccount;
  BOOST_OUTCOME_TRY(
      urgency, ParseUrgency(ExtractHeader(headers, "Cuminjunction-Urgency"),
                            service->second.urgency));
  head.request_class.urgency = urgency;
  BOOST_OUTCOME_TRY(deadline, ParseDeadline(headers, service->second, now));
  head.deadline = deadline;
  head.idempotent = IsIdempotent(service->second, exchange->method);
  head.idempotency_key = FindHeader(*headers, "Idempotency-Key");
  EraseReservedHeaders(headers);
  return head;
}

HttpReply MakeErrorReply(EntryError error,
                         Outcome outcome,
                         const RequestId& id,
                         std::string_view detail) {
  HttpReply reply;
  reply.status = StatusOf(error);
  reply.headers.emplace_back("Content-Type", "application/json");
  reply.headers.emplace_back("Cuminjunction-Outcome", ToString(outcome));
  reply.headers.emplace_back("Cuminjunction-Request", ToString(id));
  if (reply.status == 503)
    reply.headers.emplace_back("Retry-After", "1");
  if (reply.status == 405)
    reply.headers.emplace_back("Allow",
                               "GET, HEAD, POST, PUT, DELETE, PATCH, OPTIONS");
  reply.body = StrCat(R"({"error":{"code":")", CodeOf(error),
                      R"(","category":"entry","message":)");
  AppendJsonString(RowOf(error).message, &reply.body);
  reply.body.append(R"(,"details":{"reason":)");
  AppendJsonString(detail, &reply.body);
  reply.body.append("}}}\n");
  return reply;
}

HttpReply MakeAnswerReply(AnswerHead&& answer) {
  HttpReply reply;
  reply.status = answer.status;
  reply.headers = std::move(answer.headers);
  EraseReservedHeaders(&reply.headers);
  reply.headers.emplace_back("Cuminjunction-Outcome",
                             ToString(Outcome::kAnswered));
  reply.headers.emplace_back("Cuminjunction-Request",
                             ToString(answer.id.request));
  reply.body = std::move(answer.bytes);
  return reply;
}

}  // namespace cuminjunction

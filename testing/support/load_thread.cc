#include "testing/support/load_thread.h"

#include <algorithm>
#include <boost/asio/buffer.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>
#include <utility>

#include "base/strings.h"

namespace cuminjunction {

namespace {

namespace asio = boost::asio;
using boost::system::error_code;
using std::chrono::duration_cast;
using std::chrono::microseconds;
using std::chrono::milliseconds;

constexpr milliseconds kSweepInterval(20);
// A server may need a moment to report that a deadline has passed.
constexpr milliseconds kGrace(1000);

}  // namespace

LoadThread::LoadThread(const LoadSettings& settings, int number, Time start)
    : settings(settings),
      number(number),
      start(start),
      stop(start + milliseconds(settings.duration_ms)),
      most_calls(settings.most_requests /
                 static_cast<uint64_t>(settings.threads)),
      random(settings.seed * 1000 + static_cast<uint64_t>(number)) {
  for (const LoadFlow& flow : settings.flows) {
    Source source;
    source.gap_s = std::exponential_distribution<double>(flow.per_second /
                                                         settings.threads);
    source.next =
        start + duration_cast<Time::duration>(
                    std::chrono::duration<double>(source.gap_s(this->random)));
    this->sources.push_back(source);
  }
  for (int i = 0; i < settings.connections; ++i) {
    const size_t target = static_cast<size_t>(i) % settings.targets.size();
    this->connections.push_back(
        std::make_unique<Connection>(&this->context, target));
    this->idle.push_back(this->connections.back().get());
  }
  std::shuffle(this->idle.begin(), this->idle.end(), this->random);
  this->result.flows.resize(settings.flows.size());
}

void LoadThread::Run() {
  this->ScheduleNext();
  this->Sweep();
  this->context.run();
}

bool LoadThread::IsOver() const {
  return !this->sending && this->open == 0 && this->backlog.empty();
}

void LoadThread::ScheduleNext() {
  Time next = Time::max();
  for (const Source& source : this->sources)
    next = std::min(next, source.next);
  if (next >= this->stop || this->calls >= this->most_calls) {
    this->sending = false;
    return;
  }
  this->next_timer.expires_at(next);
  this->next_timer.async_wait([this](const error_code& error) {
    if (!error)
      this->SendDue();
  });
}

void LoadThread::SendDue() {
  const Time now = std::chrono::steady_clock::now();
  for (size_t flow = 0; flow < this->sources.size(); ++flow) {
    Source& source = this->sources[flow];
    while (source.next <= now && source.next < this->stop &&
           this->calls < this->most_calls) {
      this->Assign({flow, ++this->calls, source.next, 0});
      source.next += duration_cast<Time::duration>(
          std::chrono::duration<double>(source.gap_s(this->random)));
    }
  }
  this->ScheduleNext();
}

bool LoadThread::IsReady(const Connection& connection) const {
  return this->settings.ready == nullptr ||
         (*this->settings.ready)[connection.target].load();
}

void LoadThread::Assign(const Call& call) {
  // The connection that was used last: few of them are open at low load.
  const auto last =
      std::find_if(this->idle.rbegin(), this->idle.rend(),
                   [this](Connection* idle) { return this->IsReady(*idle); });
  if (last == this->idle.rend()) {
    this->backlog.push_back(call);
    return;
  }
  Connection* connection = *last;
  this->idle.erase(std::next(last).base());
  this->Begin(connection, call);
}

std::string LoadThread::KeyOf(const Call& call) const {
  return StrCat(this->settings.key_prefix, "-", this->number, "-", call.number);
}

std::string LoadThread::Format(const Call& call) const {
  const LoadFlow& flow = this->settings.flows[call.flow];
  const std::string key = this->KeyOf(call);
  std::string text =
      StrCat(flow.method, " /work?key=", key, " HTTP/1.1\r\nHost: load\r\n",
             "Cuminjunction-Service: ", flow.service,
             "\r\nCuminjunction-Account: ", flow.account,
             "\r\nCuminjunction-Urgency: ", flow.urgency,
             "\r\nCuminjunction-Timeout-Ms: ", flow.timeout_ms, "\r\n");
  if (flow.send_key)
    StrAppend(&text, "Idempotency-Key: ", key, "\r\n");
  if (flow.method != "GET")
    StrAppend(&text, "Content-Length: 0\r\n");
  StrAppend(&text, "\r\n");
  return text;
}

void LoadThread::Begin(Connection* connection, const Call& call) {
  connection->busy = true;
  connection->call = call;
  connection->out = this->Format(call);
  this->open += 1;
  if (connection->connected)
    this->Write(connection);
  else
    this->Connect(connection);
}

void LoadThread::Connect(Connection* connection) {
  const LoadTarget& target = this->settings.targets[connection->target];
  error_code error;
  const asio::ip::tcp::endpoint endpoint(
      asio::ip::make_address(target.host, error), target.port);
  const uint64_t epoch = ++connection->epoch;
  connection->socket.async_connect(
      endpoint, [this, connection, epoch](const error_code& failed) {
        if (epoch != connection->epoch)
          return;
        if (failed)
          return this->End(connection, CallEnd::kNotConnected);
        error_code ignored;
        connection->socket.set_option(asio::ip::tcp::no_delay(true), ignored);
        connection->connected = true;
        this->Write(connection);
        this->Read(connection);
      });
}

void LoadThread::Write(Connection* connection) {
  // A request fits into the socket's buffer, so it is written at once.
  error_code error;
  asio::write(connection->socket, asio::buffer(connection->out), error);
  if (error)
    this->End(connection, CallEnd::kBroken);
}

void LoadThread::Read(Connection* connection) {
  const uint64_t epoch = connection->epoch;
  connection->socket.async_read_some(
      asio::buffer(connection->in),
      [this, connection, epoch](const error_code& error, size_t size) {
        if (epoch != connection->epoch)
          return;
        if (!error)
          return this->Receive(connection, size);
        if (connection->busy)
          return this->End(connection, CallEnd::kBroken);
        this->Reset(connection);
      });
}

void LoadThread::Receive(Connection* connection, size_t size) {
  connection->reader.Append({connection->in.data(), size});
  const uint64_t epoch = connection->epoch;
  while (const std::optional<CallReply> reply = connection->reader.Next()) {
    if (!connection->busy)
      return this->Reset(connection);
    const CallEnd end = this->Judge(connection->call, *reply);
    if (reply->closes)
      this->Reset(connection);
    this->Record(connection->call, end);
    this->Free(connection);
  }
  if (epoch != connection->epoch)
    return;
  if (connection->reader.IsBroken())
    return this->End(connection, CallEnd::kWrongAnswer);
  this->Read(connection);
}

void LoadThread::Reset(Connection* connection) {
  error_code ignored;
  connection->socket.close(ignored);
  connection->connected = false;
  connection->epoch += 1;
  connection->reader.Clear();
}

void LoadThread::End(Connection* connection, CallEnd end) {
  this->Reset(connection);
  if (!connection->busy)
    return;
  if (!this->Resend(*connection, end))
    this->Record(connection->call, end);
  this->Free(connection);
}

// Moves the call to an idle connection to another target. False when the call
// has ended, or when there is none.
bool LoadThread::Resend(const Connection& connection, CallEnd end) {
  Call call = connection.call;
  const LoadFlow& flow = this->settings.flows[call.flow];
  const bool may_resend = end == CallEnd::kNotConnected ||
                          (end == CallEnd::kBroken && flow.method == "GET");
  if (!may_resend || call.resent >= flow.resends ||
      this->Limit(call) < std::chrono::steady_clock::now())
    return false;
  const auto other =
      std::find_if(this->idle.begin(), this->idle.end(), [&](Connection* idle) {
        return idle->target != connection.target && this->IsReady(*idle);
      });
  if (other == this->idle.end())
    return false;
  Connection* next = *other;
  this->idle.erase(other);
  call.resent += 1;
  this->open += 1;
  next->busy = true;
  boost::asio::post(this->context, [this, next, call] {
    this->open -= 1;
    this->Begin(next, call);
  });
  return true;
}

void LoadThread::Free(Connection* connection) {
  connection->busy = false;
  this->open -= 1;
  if (this->backlog.empty() || !this->IsReady(*connection)) {
    this->idle.push_back(connection);
    return;
  }
  const Call call = this->backlog.front();
  this->backlog.pop_front();
  // Not from here: a server that refuses connections would nest the calls.
  connection->busy = true;
  this->open += 1;
  boost::asio::post(this->context, [this, connection, call] {
    this->open -= 1;
    this->Begin(connection, call);
  });
}

CallEnd LoadThread::Judge(const Call& call, const CallReply& reply) const {
  if (reply.outcome == "not-run")
    return CallEnd::kNotRun;
  if (reply.outcome == "unknown")
    return CallEnd::kUnknown;
  // A bare upstream sets no outcome.
  if (reply.status != 200)
    return CallEnd::kUnknown;
  return reply.body.starts_with(this->KeyOf(call) + "\n")
             ? CallEnd::kAnswered
             : CallEnd::kWrongAnswer;
}

LoadThread::Time LoadThread::Limit(const Call& call) const {
  const LoadFlow& flow = this->settings.flows[call.flow];
  return call.due + milliseconds(flow.timeout_ms);
}

void LoadThread::Record(const Call& call, CallEnd end) {
  const LoadFlow& flow = this->settings.flows[call.flow];
  LoadFlowResult& result = this->result.flows[call.flow];
  // Executions are compared over the whole run, warm-up or not.
  if (flow.method != "GET")
    result.keys[static_cast<size_t>(end)].push_back(this->KeyOf(call));
  if (call.due < this->start + milliseconds(this->settings.warm_up_ms))
    return;
  result.sent += 1;
  result.ends[static_cast<size_t>(end)] += 1;
  if (end != CallEnd::kAnswered)
    return;
  const Time now = std::chrono::steady_clock::now();
  const auto us = duration_cast<microseconds>(now - call.due).count();
  result.latencies_us.push_back(static_cast<uint32_t>(us));
  result.answered_in_time += now <= this->Limit(call) ? 1 : 0;
}

void LoadThread::Sweep() {
  const Time now = std::chrono::steady_clock::now();
  for (const auto& connection : this->connections) {
    if (connection->busy && this->Limit(connection->call) + kGrace < now)
      this->End(connection.get(), CallEnd::kBroken);
  }
  while (!this->backlog.empty() && this->Limit(this->backlog.front()) < now) {
    this->Record(this->backlog.front(), CallEnd::kNotSent);
    this->backlog.pop_front();
  }
  if (this->IsOver()) {
    for (const auto& connection : this->connections)
      this->Reset(connection.get());
    return;
  }
  this->sweep_timer.expires_after(kSweepInterval);
  this->sweep_timer.async_wait([this](const error_code& error) {
    if (!error)
      this->Sweep();
  });
}

}  // namespace cuminjunction

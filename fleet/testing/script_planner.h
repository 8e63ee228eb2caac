#ifndef FLEET_TESTING_SCRIPT_PLANNER_H_
#define FLEET_TESTING_SCRIPT_PLANNER_H_

// A planner for tests of one process: it connects to the process, pings it, and
// sends and receives what the test says.
//
//   ScriptPlanner planner(PortProcess::Address(settings), /*epoch=*/100);
//   planner.Send(PermitRequest{100, ...});
//   std::optional<PermitAnswer> answer = planner.WaitFor<PermitAnswer>();

#include <algorithm>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <cstdint>
#include <deque>
#include <memory>
#include <optional>
#include <string_view>
#include <system_error>
#include <utility>
#include <variant>
#include <vector>

#include "absl/synchronization/mutex.h"
#include "absl/time/time.h"
#include "base/endpoint.h"
#include "base/event_thread.h"
#include "base/frame_link.h"
#include "fleet/fleet_message.h"

namespace cuminjunction {

class ScriptPlanner {
 public:
  // A process takes the planner with the highest epoch for the current one.
  ScriptPlanner(const Endpoint& process, uint64_t epoch)
      : epoch(epoch), thread("planner"), ping_timer(this->thread.Context()) {
    this->thread.Start();
    this->thread.Call([&] {
      this->link = std::make_shared<FrameLink>(
          boost::asio::ip::tcp::socket(this->thread.Context()),
          FrameHandlers{.on_open = [this] { this->Ping(); },
                        .on_message =
                            [this](std::string_view payload) {
                              return this->OnPayload(payload);
                            },
                        .on_closed = [](std::error_code) {}});
      this->link->Connect(process);
    });
  }

  ~ScriptPlanner() {
    this->thread.Call([this] {
      this->ping_timer.cancel();
      this->link->Close();
    });
    this->thread.Stop();
  }

  void Send(const FleetMessage& message) {
    this->thread.Call([&] { this->link->Send(EncodeFleetMessage(message)); });
  }

  // Sends pings with these evacuations from now on, the first one at once, and
  // with a grant of this length from the latest timestamp on.
  void SetPing(const EvacuatedDomains& domains, absl::Duration grant) {
    this->thread.Call([&] {
      this->evacuations = domains;
      this->grant = grant;
      this->SendPing();
    });
  }

  // The latest timestamp of the process; 0 for none.
  int64_t TimestampUs() {
    return this->thread.Call([this] { return this->timestamp_us; });
  }

  // Removes and returns the first message of this type. Waits for it; no value
  // after a minute.
  template <class Message>
  std::optional<Message> WaitFor() {
    const auto is_wanted = [](const FleetMessage& message) {
      return std::holds_alternative<Message>(message);
    };
    const absl::MutexLock lock(&this->mutex);
    const auto find = [&] {
      return std::find_if(this->received.begin(), this->received.end(),
                          is_wanted);
    };
    const auto has_arrived = [&] { return find() != this->received.end(); };
    if (!this->mutex.AwaitWithTimeout(absl::Condition(&has_arrived),
                                      absl::Minutes(1)))
      return std::nullopt;
    const auto found = find();
    Message message = std::get<Message>(std::move(*found));
    this->received.erase(found);
    return message;
  }

  // Removes and returns all messages of this type that have arrived.
  template <class Message>
  std::vector<Message> TakeAll() {
    const absl::MutexLock lock(&this->mutex);
    std::vector<Message> taken;
    std::deque<FleetMessage> others;
    for (FleetMessage& message : this->received) {
      if (auto* wanted = std::get_if<Message>(&message))
        taken.push_back(std::move(*wanted));
      else
        others.push_back(std::move(message));
    }
    this->received = std::move(others);
    return taken;
  }

 private:
  void Ping() {
    if (this->link->IsClosed())
      return;
    this->SendPing();
    this->ping_timer.expires_after(std::chrono::milliseconds(200));
    this->ping_timer.async_wait([this](std::error_code error) {
      if (!error)
        this->Ping();
    });
  }

  void SendPing() {
    PlannerPing ping{.epoch = this->epoch, .planner = "script"};
    ping.echoed_timestamp_us = this->timestamp_us;
    if (this->timestamp_us > 0)
      ping.grant_ms = absl::ToInt64Milliseconds(this->grant);
    ping.evacuated_domains = this->evacuations;
    this->link->Send(EncodeFleetMessage(ping));
  }

  Status OnPayload(std::string_view payload) {
    BOOST_OUTCOME_TRY(message, DecodeFleetMessage(payload));
    if (const auto* pong = std::get_if<NodePong>(&message))
      this->timestamp_us = pong->timestamp_us;
    const absl::MutexLock lock(&this->mutex);
    this->received.push_back(std::move(message));
    return Ok();
  }

  const uint64_t epoch;
  // NodePong::timestamp_us of the last answer; used on the planner's thread.
  absl::Mutex mutex;
  std::deque<FleetMessage> received;
  EventThread thread;
  boost::asio::steady_timer ping_timer;
  // Used on the thread alone.
  EvacuatedDomains evacuations;
  absl::Duration grant;
  int64_t timestamp_us = 0;
  std::shared_ptr<FrameLink> link;
};

}  // namespace cuminjunction

#endif  // FLEET_TESTING_SCRIPT_PLANNER_H_

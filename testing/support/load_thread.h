#ifndef TESTING_SUPPORT_LOAD_THREAD_H_
#define TESTING_SUPPORT_LOAD_THREAD_H_

// One thread of the load generator with its connections. Internal.

#include <array>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <cstdint>
#include <deque>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "testing/support/call_reply.h"
#include "testing/support/load_generator.h"

namespace cuminjunction {

class LoadThread {
 public:
  using Time = std::chrono::steady_clock::time_point;

  LoadThread(const LoadSettings& settings, int number, Time start);

  // Sends this thread's part of the load and returns when all has ended.
  void Run();

  LoadResult& Result() { return this->result; }

 private:
  struct Call {
    size_t flow = 0;
    uint64_t number = 0;
    Time due;
    int resent = 0;
  };

  struct Connection {
    Connection(boost::asio::io_context* context, size_t target)
        : socket(*context), target(target) {}
    boost::asio::ip::tcp::socket socket;
    size_t target;
    bool connected = false;
    // Counts connects, so that callbacks of a closed socket are recognized.
    uint64_t epoch = 0;
    bool busy = false;
    Call call;
    std::string out;
    std::array<char, 16384> in;
    CallReplyReader reader;
  };

  struct Source {
    std::exponential_distribution<double> gap_s;
    Time next;
  };

  void ScheduleNext();
  void SendDue();
  void Assign(const Call& call);
  void Begin(Connection* connection, const Call& call);
  void Connect(Connection* connection);
  void Write(Connection* connection);
  void Read(Connection* connection);
  void Receive(Connection* connection, size_t size);
  void Reset(Connection* connection);
  void End(Connection* connection, CallEnd end);
  void Free(Connection* connection);
  bool IsReady(const Connection& connection) const;
  bool Resend(const Connection& connection, CallEnd end);
  void Record(const Call& call, CallEnd end);
  void Sweep();
  bool IsOver() const;
  std::string KeyOf(const Call& call) const;
  std::string Format(const Call& call) const;
  CallEnd Judge(const Call& call, const CallReply& reply) const;
  Time Limit(const Call& call) const;

  const LoadSettings& settings;
  int number;
  Time start;
  Time stop;
  uint64_t most_calls;
  std::mt19937_64 random;
  boost::asio::io_context context{1};
  boost::asio::steady_timer next_timer{context};
  boost::asio::steady_timer sweep_timer{context};
  std::vector<Source> sources;
  std::vector<std::unique_ptr<Connection>> connections;
  std::vector<Connection*> idle;
  std::deque<Call> backlog;
  uint64_t calls = 0;
  uint64_t open = 0;
  bool sending = true;
  LoadResult result;
};

}  // namespace cuminjunction

#endif  // TESTING_SUPPORT_LOAD_THREAD_H_

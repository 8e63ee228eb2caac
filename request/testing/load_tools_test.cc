// Tests of the tools that measure the request path. The benchmarks can't detect
// failures that these tools miss.

#include <gtest/gtest.h>
#include <sys/wait.h>
#include <unistd.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <csignal>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "testing/support/call_reply.h"
#include "testing/support/free_port.h"
#include "testing/support/load_generator.h"
#include "testing/support/upstream_standin.h"

namespace cuminjunction {
namespace {

LoadSettings SmallLoad(uint16_t port, const std::string& method) {
  LoadSettings settings;
  settings.targets = {{"127.0.0.1", port}};
  settings.flows = {
      {.method = method, .per_second = 20000, .timeout_ms = 60000}};
  settings.connections = 8;
  settings.duration_ms = 10000;
  settings.most_requests = 200;
  return settings;
}

// Ports that each process takes: two processes that take them at random from
// 17,000 have some in common.
constexpr size_t kPorts = 1000;

// Guards against two test programs, or two runs of the soak, that start
// processes on one port: the later process ends with "Address already in use".
TEST(FreePortTest, ProcessesGetPortsOfTheirOwn) {
  int pipe_ends[2];
  ASSERT_EQ(pipe(pipe_ends), 0);
  const pid_t child = fork();
  std::vector<uint16_t> ports(kPorts);
  for (uint16_t& port : ports)
    port = FreePort();
  if (child == 0) {
    const ssize_t size = static_cast<ssize_t>(kPorts * sizeof(uint16_t));
    const bool sent = write(pipe_ends[1], ports.data(), size) == size;
    // Keeps the ports until the other process has taken its own.
    pause();
    _exit(sent ? 0 : 1);
  }
  std::vector<uint16_t> ports_of_child(kPorts);
  size_t received = 0;
  while (received < kPorts * sizeof(uint16_t)) {
    const ssize_t size = read(
        pipe_ends[0], reinterpret_cast<char*>(ports_of_child.data()) + received,
        kPorts * sizeof(uint16_t) - received);
    ASSERT_GT(size, 0);
    received += static_cast<size_t>(size);
  }
  kill(child, SIGKILL);
  waitpid(child, nullptr, 0);
  close(pipe_ends[0]);
  close(pipe_ends[1]);
  const std::set<uint16_t> own(ports.begin(), ports.end());
  EXPECT_EQ(own.size(), kPorts);
  for (const uint16_t port : ports_of_child)
    EXPECT_FALSE(own.contains(port)) << port;
}

// Guards against executions that are not counted, which would hide an order
// that ran twice.
TEST(LoadToolsTest, StandinCountsEachExecutionOfAKey) {
  UpstreamStandin standin({.service_us = 100});
  const uint16_t port = standin.Start().value();
  for (const uint64_t times : {1u, 2u}) {
    const LoadResult result = RunLoad(SmallLoad(port, "POST"));
    const std::vector<std::string>& keys =
        result.flows[0].Keys(CallEnd::kAnswered);
    EXPECT_EQ(keys.size(), 200u);
    std::map<std::string, uint64_t> executions = standin.Executions();
    for (const std::string& key : keys)
      EXPECT_EQ(executions[key], times);
  }
}

// Guards against refused connections that are not counted.
TEST(LoadToolsTest, RefusedConnectionsAreCounted) {
  // Bound but not listening, so that no other process can listen on the port.
  boost::asio::io_context context;
  boost::asio::ip::tcp::acceptor bound(context);
  bound.open(boost::asio::ip::tcp::v4());
  bound.bind({boost::asio::ip::address_v4::loopback(), 0});
  const LoadResult result =
      RunLoad(SmallLoad(bound.local_endpoint().port(), "GET"));
  EXPECT_EQ(result.flows[0].Count(CallEnd::kNotConnected), 200u);
}

// Guards against an upstream stand-in that serves more concurrent requests than
// it has slots, or never serves waiting requests.
TEST(LoadToolsTest, RequestsBeyondTheSlotsWait) {
  UpstreamStandin standin({.slots = 1, .service_us = 1000});
  const uint16_t port = standin.Start().value();
  const LoadResult result = RunLoad(SmallLoad(port, "GET"));
  EXPECT_EQ(result.flows[0].Count(CallEnd::kAnswered), result.flows[0].sent);
  // 200 requests of at least 0.5 ms, due within 10 ms, through one slot.
  EXPECT_GT(result.flows[0].Quantile(0.99), 50000);
}

// Guards against misreading replies that arrive in pieces, split at any byte,
// and against not reading the outcome.
TEST(CallReplyTest, ReadsRepliesByteByByte) {
  const std::string text =
      "HTTP/1.1 503 Service Unavailable\r\ncontent-length: 3\r\n"
      "Cuminjunction-Outcome: not-run\r\nConnection: close\r\n\r\nabc";
  CallReplyReader reader;
  for (const char byte : text.substr(0, text.size() - 1)) {
    reader.Append(std::string(1, byte));
    EXPECT_FALSE(reader.Next());
  }
  reader.Append("cHTTP");
  const std::optional<CallReply> reply = reader.Next();
  ASSERT_TRUE(reply);
  EXPECT_EQ(reply->status, 503);
  EXPECT_EQ(reply->outcome, "not-run");
  EXPECT_EQ(reply->body, "abc");
  EXPECT_TRUE(reply->closes);
  EXPECT_FALSE(reader.Next());
  EXPECT_FALSE(reader.IsBroken());
}

// Guards against counting damaged replies as answers.
TEST(CallReplyTest, DamagedRepliesAreBroken) {
  for (const char* text :
       {"HTTP/1.1 2x0 OK\r\nContent-Length: 0\r\n\r\n", "nonsense\r\n\r\n",
        "HTTP/1.1 200 OK\r\nContent-Length: 1x\r\n\r\n"}) {
    CallReplyReader reader;
    reader.Append(text);
    EXPECT_FALSE(reader.Next()) << text;
    EXPECT_TRUE(reader.IsBroken()) << text;
  }
}

}  // namespace
}  // namespace cuminjunction

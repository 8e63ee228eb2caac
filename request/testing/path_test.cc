// End-to-end tests of the request path over sockets: entry, agent and upstream.

#include <future>

#include "request/testing/path_harness.h"

namespace cuminjunction {
namespace {

// Guards against a failure anywhere on the path of a plain request.
TEST(PathTest, AnswersThroughEntryAndAgent) {
  ScriptUpstream upstream([](const ScriptRequest& request) {
    return Reply(StrCat(request.head.substr(0, request.head.find('\r')), "|",
                        request.body));
  });
  PathHarness path;
  path.AddAgent(upstream.Port());
  ASSERT_TRUE(path.Connect());
  const CallerAnswer answer = path.Call("POST", "/a%20b?c=1", "hello");
  EXPECT_EQ(answer.status, 200);
  EXPECT_EQ(answer.Outcome(), "answered");
  EXPECT_EQ(answer.body, "POST /a%20b?c=1 HTTP/1.1|hello");
  EXPECT_EQ(answer.headers.at("x-upstream"), "script");
  EXPECT_EQ(path.Call("GET", "/x").status, 200);
}

// Guards against a caller or an upstream forging the headers that name a
// request and its outcome.
TEST(PathTest, OwnHeadersCannotBeForged) {
  ScriptUpstream upstream([](const ScriptRequest& request) -> ScriptReaction {
    const bool forged = request.head.find("forged") != std::string::npos;
    return {
        StrCat("HTTP/1.1 200 OK\r\nCuminjunction-Outcome: not-run\r\n"
               "Content-Length: 1\r\n\r\n",
               forged ? "1" : "0")};
  });
  PathHarness path;
  path.AddAgent(upstream.Port());
  ASSERT_TRUE(path.Connect());
  const CallerAnswer answer =
      path.Call("GET", "/", "", {"cuminjunction-request: forged"});
  EXPECT_EQ(answer.body, "0");
  EXPECT_EQ(answer.Outcome(), "answered");
}

// Guards against chunks of large bodies being lost, mixed up or reordered when
// several are sent concurrently in both directions.
TEST(PathTest, LargeBodiesBothWays) {
  ScriptUpstream upstream([](const ScriptRequest& request) {
    return Reply(request.body + request.body.substr(0, 1));
  });
  PathHarness path;
  path.AddAgent(upstream.Port());
  ASSERT_TRUE(path.Connect());
  std::vector<std::future<bool>> calls;
  calls.reserve(4);
  for (int i = 0; i < 4; ++i) {
    calls.push_back(std::async(std::launch::async, [&path, i] {
      std::string body(kMaxBodyBytes - 1 - static_cast<size_t>(i) * 100'000,
                       'a');
      for (size_t at = 0; at < body.size(); ++at)
        body[at] = static_cast<char>(
            'a' + (at * 31 + at / 65536 + static_cast<size_t>(i)) % 26);
      const CallerAnswer answer = path.Call("PUT", "/", body);
      return answer.status == 200 && answer.body == body + body.substr(0, 1);
    }));
  }
  for (std::future<bool>& call : calls)
    EXPECT_TRUE(call.get());
}

// Guards against truncating and returning an answer above the size limit.
TEST(PathTest, AnswerAboveTheLimitIsUnknown) {
  ScriptUpstream upstream([](const ScriptRequest&) {
    return Reply(std::string(kMaxBodyBytes + 1, 'x'));
  });
  PathHarness path;
  path.AddAgent(upstream.Port());
  ASSERT_TRUE(path.Connect());
  const CallerAnswer answer = path.Call("POST", "/", "x");
  EXPECT_EQ(answer.status, 502);
  EXPECT_EQ(answer.Outcome(), "unknown");
}

// Guards against an entry that reports an order as not run, or sends it again,
// when its agent is killed during the request, and against not retrying an
// idempotent request at another agent.
TEST(PathTest, AgentKilledMidRequest) {
  const auto slow = [](const ScriptRequest&) {
    ScriptReaction reaction = Reply("slow");
    reaction.delay = std::chrono::milliseconds(100);
    return reaction;
  };
  ScriptUpstream first(slow);
  ScriptUpstream second(slow);
  PathHarness path;
  TestAgent* killed = path.AddAgent(first.Port());
  path.AddAgent(second.Port());
  ASSERT_TRUE(path.Connect());
  std::vector<std::future<CallerAnswer>> orders;
  std::vector<std::future<CallerAnswer>> reads;
  orders.reserve(4);
  reads.reserve(4);
  for (int i = 0; i < 4; ++i) {
    orders.push_back(std::async(std::launch::async, [&path] {
      return path.Call("POST", "/order", "x");
    }));
    reads.push_back(std::async(std::launch::async,
                               [&path] { return path.Call("GET", "/read"); }));
  }
  ASSERT_TRUE(WaitUntil([&] { return first.Count() + second.Count() == 8; }));
  killed->Stop();
  int answered = 0;
  for (std::future<CallerAnswer>& order : orders) {
    const std::string outcome = order.get().Outcome();
    EXPECT_NE(outcome, "not-run");
    answered += outcome == "answered" ? 1 : 0;
  }
  for (std::future<CallerAnswer>& read : reads)
    EXPECT_EQ(read.get().status, 200);
  EXPECT_LT(answered, 4);
}

// Callers that send orders back to back until End() is called. Counts the
// outcomes.
struct Load {
  explicit Load(const PathHarness& path) {
    this->callers.reserve(6);
    for (int i = 0; i < 6; ++i) {
      this->callers.emplace_back([this, &path] {
        while (!this->ending) {
          const CallerAnswer answer = path.Call("POST", "/order", "x");
          if (answer.code == CURLE_COULDNT_CONNECT)
            return;
          const bool good =
              answer.code == CURLE_OK && answer.Outcome() == "answered";
          ++(good ? this->answered : this->failed);
        }
      });
    }
  }

  void End() {
    this->ending = true;
    for (std::thread& caller : this->callers)
      caller.join();
  }

  std::atomic<bool> ending = false;
  std::atomic<int> answered = 0;
  std::atomic<int> failed = 0;
  std::vector<std::thread> callers;
};

// Guards against a planned stop of an agent that fails a request or leaves its
// outcome unknown (P8).
TEST(PathTest, AgentLeavesUnderLoad) {
  ScriptUpstream upstream([](const ScriptRequest&) { return Reply("done"); });
  PathHarness path({}, {.retry_share = 0, .burst = 0});
  for (int i = 0; i < 3; ++i)
    path.AddAgent(upstream.Port());
  ASSERT_TRUE(path.Connect());
  Load load(path);
  for (int i = 0; i < 2; ++i) {
    const int before = load.answered;
    ASSERT_TRUE(WaitUntil([&] { return load.answered > before + 200; }));
    TestAgent* agent = path.agents[static_cast<size_t>(i)].get();
    std::promise<void> done;
    agent->server->Leave([&] { done.set_value(); });
    done.get_future().wait();
    agent->Stop();
  }
  const int before = load.answered;
  ASSERT_TRUE(WaitUntil([&] { return load.answered > before + 200; }));
  load.End();
  EXPECT_EQ(load.failed, 0);
}

// Guards against a planned stop of an entry that fails a request (P8).
TEST(PathTest, EntryDrainsUnderLoad) {
  ScriptUpstream upstream([](const ScriptRequest&) {
    ScriptReaction reaction = Reply("done");
    reaction.delay = std::chrono::milliseconds(5);
    return reaction;
  });
  EntryOptions options;
  options.drain_grace_ms = 100;
  PathHarness path(options);
  path.AddAgent(upstream.Port());
  ASSERT_TRUE(path.Connect());
  Load load(path);
  ASSERT_TRUE(WaitUntil([&] { return load.answered > 100; }));
  std::promise<void> done;
  path.entry->Drain([&] { done.set_value(); });
  done.get_future().wait();
  path.entry->Stop();
  load.End();
  EXPECT_EQ(load.failed, 0);
}

// Guards against unbounded memory growth from callers that send bodies and do
// not read the answers.
TEST(PathTest, HeldBytesAreBounded) {
  ScriptUpstream upstream([](const ScriptRequest&) { return Reply("x"); });
  EntryOptions options;
  options.http.max_held_bytes = 100'000;
  PathHarness path(options);
  path.AddAgent(upstream.Port());
  ASSERT_TRUE(path.Connect());
  const CallerAnswer answer = path.Call("POST", "/", std::string(200'000, 'x'));
  EXPECT_EQ(answer.status, 503);
  EXPECT_EQ(answer.Outcome(), "not-run");
  EXPECT_EQ(path.Call("POST", "/", std::string(50'000, 'x')).status, 200);
}

}  // namespace
}  // namespace cuminjunction

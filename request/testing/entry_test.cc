// Tests of an entry shard with scripted agents.

#include <boost/asio/write.hpp>
#include <future>

#include "request/testing/script_peer.h"

namespace cuminjunction {
namespace {

std::future<CallerAnswer> CallAsync(
    const PathHarness& path,
    const std::string& method,
    const std::string& path_and_query,
    const std::string& body = "",
    const std::vector<std::string>& headers = {}) {
  return std::async(std::launch::async, [=, &path] {
    return path.Call(method, path_and_query, body, headers);
  });
}

// Guards against returning an answer that arrives after the deadline to another
// request (P4).
TEST(EntryTest, AnswerAfterTheDeadlineIsDropped) {
  ScriptPeer agent("a");
  PathHarness path;
  ASSERT_TRUE(path.Connect({agent.Listen()}));
  const CallerAnswer first =
      path.Call("GET", "/1", "", {"Cuminjunction-Timeout-Ms: 30"});
  EXPECT_EQ(first.status, 504);
  EXPECT_EQ(first.Outcome(), "unknown");
  auto second = CallAsync(path, "GET", "/2");
  const std::vector<Submit> submits = agent.Wait<Submit>(2);
  agent.Send(AnswerTo(submits[0].id, "late"));
  agent.Send(AnswerTo(submits[1].id, "own"));
  EXPECT_EQ(second.get().body, "own");
  EXPECT_EQ(path.Count("late_answers_total"), 1u);
}

// Guards against returning answers to the wrong callers when they arrive in
// another order than the requests (P4).
TEST(EntryTest, CrossedAnswersReachTheirCallers) {
  ScriptPeer agent("a");
  PathHarness path;
  ASSERT_TRUE(path.Connect({agent.Listen()}));
  std::vector<std::future<CallerAnswer>> calls;
  calls.reserve(8);
  for (int i = 0; i < 8; ++i)
    calls.push_back(CallAsync(path, "GET", StrCat("/", i)));
  const std::vector<Submit> submits = agent.Wait<Submit>(8);
  for (size_t i = submits.size(); i > 0; --i)
    agent.Send(AnswerTo(submits[i - 1].id, submits[i - 1].path));
  for (int i = 0; i < 8; ++i)
    EXPECT_EQ(calls[static_cast<size_t>(i)].get().body, StrCat("/", i));
}

// Guards against accepting an answer from an agent that was not sent the
// attempt.
TEST(EntryTest, AnswerOfAnotherAgentIsDropped) {
  ScriptPeer a("a");
  ScriptPeer b("b");
  PathHarness path;
  ASSERT_TRUE(path.Connect({a.Listen(), b.Listen()}));
  auto call = CallAsync(path, "GET", "/1");
  ASSERT_TRUE(WaitUntil([&] {
    return a.Received<Submit>().size() + b.Received<Submit>().size() == 1;
  }));
  const bool at_a = a.Received<Submit>().size() == 1;
  ScriptPeer& right = at_a ? a : b;
  ScriptPeer& wrong = at_a ? b : a;
  const AttemptId id = right.Received<Submit>()[0].id;
  wrong.Send(AnswerTo(id, "wrong"));
  // An attempt that the entry has not sent.
  right.Send(AnswerTo({id.request, id.attempt + 1}, "wrong"));
  ASSERT_TRUE(WaitUntil([&] { return path.Count("late_answers_total") == 2; }));
  right.Send(AnswerTo(id, "right"));
  EXPECT_EQ(call.get().body, "right");
}

// Guards against "unknown" path_and_query the agent confirms that the request
// has not started, and against "not-run" path_and_query it does not.
TEST(EntryTest, RefusalAfterTheDeadlineMakesNotRunCertain) {
  ScriptPeer agent("a", [](Link* link, const Message& message) {
    if (const CancelAttempt* cancel = std::get_if<CancelAttempt>(&message))
      link->Send(Refused{cancel->id, Refusal::kTombstone, {}});
  });
  EntryOptions options;
  options.cancel_grace_ms = 20'000;
  PathHarness path(options);
  ASSERT_TRUE(path.Connect({agent.Listen()}));
  const CallerAnswer answer =
      path.Call("POST", "/1", "x", {"Cuminjunction-Timeout-Ms: 30"});
  EXPECT_EQ(answer.status, 504);
  EXPECT_EQ(answer.Outcome(), "not-run");
}

// Guards against retrying a non-idempotent request after its first attempt was
// written and lost (P6), and against not retrying an idempotent one.
TEST(EntryTest, LostAttemptIsRetriedOnlyWhenIdempotent) {
  const auto close_on_submit = [](Link* link, const Message& message) {
    if (std::holds_alternative<Submit>(message))
      link->CloseAfterWriting();
  };
  ScriptPeer bad("a", close_on_submit);
  ScriptPeer good("b", AnswerWithPath);
  PathHarness path;
  const UpstreamEndpoint bad_endpoint = bad.Listen();
  const UpstreamEndpoint good_endpoint = good.Listen();
  int unknown = 0;
  for (int i = 0; i < 6; ++i) {
    ASSERT_TRUE(path.Connect({bad_endpoint, good_endpoint}));
    EXPECT_EQ(path.Call("GET", "/get").body, "/get");
    ASSERT_TRUE(path.Connect({bad_endpoint, good_endpoint}));
    const CallerAnswer order = path.Call("POST", "/order", "x");
    unknown += order.Outcome() == "unknown" ? 1 : 0;
    EXPECT_EQ(order.status, order.Outcome() == "unknown" ? 502 : 200);
  }
  size_t orders = 0;
  for (ScriptPeer* peer : {&bad, &good}) {
    for (const Submit& submit : peer->Received<Submit>())
      orders += submit.path == "/order" ? 1 : 0;
  }
  EXPECT_EQ(orders, 6u);
  EXPECT_GT(unknown, 0);
}

// Guards against failing a request after a refusal when another upstream can
// run it.
TEST(EntryTest, RefusedOrderGoesToAnotherUpstream) {
  const auto refuse = [](Link* link, const Message& message) {
    if (const Submit* submit = std::get_if<Submit>(&message))
      link->Send(Refused{submit->id, Refusal::kOverload, {}});
  };
  ScriptPeer a("a", refuse);
  ScriptPeer b("b", AnswerWithPath);
  PathHarness path;
  ASSERT_TRUE(path.Connect({a.Listen(), b.Listen()}));
  for (int i = 0; i < 2; ++i)
    EXPECT_EQ(path.Call("POST", "/order", "x").body, "/order");
  EXPECT_EQ(a.Received<Submit>().size(), 2u);
  EXPECT_EQ(b.Received<Submit>().size(), 2u);
}

TEST(EntryTest, RefusalByAllIsNotRun) {
  ScriptPeer agent("a", [](Link* link, const Message& message) {
    if (const Submit* submit = std::get_if<Submit>(&message))
      link->Send(Refused{submit->id, Refusal::kOverload, {}});
  });
  PathHarness path;
  ASSERT_TRUE(path.Connect({agent.Listen()}));
  const CallerAnswer answer = path.Call("POST", "/order", "x");
  EXPECT_EQ(answer.status, 503);
  EXPECT_EQ(answer.Outcome(), "not-run");
  EXPECT_EQ(answer.headers.count("retry-after"), 1u);
}

// Guards against returning a truncated answer as a whole one (P4).
TEST(EntryTest, CutOffAnswerIsUnknown) {
  ScriptPeer agent("a", [](Link* link, const Message& message) {
    const Submit* submit = std::get_if<Submit>(&message);
    if (submit == nullptr)
      return;
    AnswerHead head = AnswerTo(submit->id, std::string(kMaxChunkBytes, 'x'));
    head.body_size = kMaxChunkBytes + 10;
    link->Send(head);
    link->Send(AnswerChunk{submit->id, false, "12345"});
    link->CloseAfterWriting();
  });
  PathHarness path;
  ASSERT_TRUE(path.Connect({agent.Listen()}));
  const CallerAnswer answer = path.Call("POST", "/order", "x");
  EXPECT_EQ(answer.status, 502);
  EXPECT_EQ(answer.Outcome(), "unknown");
}

// Guards against reporting attempts as unknown that were queued behind a
// stalled write. They certainly have not run and are sent to another upstream.
TEST(EntryTest, AttemptThatWasNeverWrittenIsSentElsewhere) {
  using boost::asio::ip::tcp;
  boost::asio::io_context context;
  // An agent that says Hello and then reads nothing.
  tcp::acceptor acceptor(context, {boost::asio::ip::address_v4::loopback(), 0});
  acceptor.set_option(boost::asio::socket_base::receive_buffer_size(4096));
  const UpstreamEndpoint stalled = {
      "stalled", "127.0.0.1", acceptor.local_endpoint().port(), {"runner"}};
  auto accepted = std::async(std::launch::async, [&] {
    tcp::socket socket = acceptor.accept();
    std::string payload;
    AppendMessage(Hello{kProtocolVersion, "stalled", 1}, &payload);
    std::string wire;
    AppendMessageFrames(payload, &wire);
    boost::asio::write(socket, boost::asio::buffer(wire));
    return socket;
  });
  PathHarness path;
  ASSERT_TRUE(path.Connect({stalled}));
  tcp::socket socket = accepted.get();
  const std::string large(kMaxBodyBytes, 'x');
  auto first = CallAsync(path, "POST", "/large", large);
  // The body of 8 MiB fills the buffers of the connection.
  ASSERT_TRUE(WaitUntil([&] { return path.Count("attempts_total") == 1; }));
  std::this_thread::sleep_for(std::chrono::milliseconds(50));
  auto second = CallAsync(path, "POST", "/small", "y");
  ASSERT_TRUE(WaitUntil([&] { return path.Count("attempts_total") == 2; }));
  ScriptPeer good("b", AnswerWithPath);
  path.entry->SetUpstreams({stalled, good.Listen()});
  ASSERT_TRUE(WaitUntil([&] { return path.entry->ReadyCount() == 2; }));
  socket.close();
  EXPECT_EQ(first.get().Outcome(), "unknown");
  EXPECT_EQ(second.get().body, "/small");
}

// Guards against a hedge that is not sent, and against not cancelling the
// slower attempt.
TEST(EntryTest, HedgeAnswersForASlowUpstream) {
  ScriptPeer a("a");
  ScriptPeer b("b");
  RoundRobinOptions policy;
  policy.hedge_delay = absl::Milliseconds(10);
  PathHarness path({}, policy);
  ASSERT_TRUE(path.Connect({a.Listen(), b.Listen()}));
  auto call = CallAsync(path, "GET", "/1");
  const AttemptId first = a.Wait<Submit>(1)[0].id;
  const AttemptId second = b.Wait<Submit>(1)[0].id;
  EXPECT_EQ(first.attempt + second.attempt, 3u);
  ScriptPeer& hedge = first.attempt == 2 ? a : b;
  ScriptPeer& slow = first.attempt == 2 ? b : a;
  hedge.Send(AnswerTo(first.attempt == 2 ? first : second, "hedge"));
  EXPECT_EQ(call.get().body, "hedge");
  EXPECT_EQ(slow.Wait<CancelAttempt>(1)[0].id.attempt, 1u);
}

// Guards against hedging a non-idempotent request (P6).
TEST(EntryTest, OrderIsNeverHedged) {
  ScriptPeer a("a");
  ScriptPeer b("b");
  RoundRobinOptions policy;
  policy.hedge_delay = absl::Milliseconds(1);
  PathHarness path({}, policy);
  ASSERT_TRUE(path.Connect({a.Listen(), b.Listen()}));
  path.Call("POST", "/1", "x", {"Cuminjunction-Timeout-Ms: 100"});
  EXPECT_EQ(path.Count("attempts_total"), 1u);
}

// Guards against an invalid message from an agent that crashes the entry or
// closes the connections to other agents, and against not reconnecting.
TEST(EntryTest, DamagedBytesOfAnAgentCloseItsConnectionOnly) {
  ScriptPeer bad("bad", [](Link* link, const Message& message) {
    // Only an entry may send a Submit.
    if (const Submit* submit = std::get_if<Submit>(&message))
      link->Send(*submit);
  });
  PathHarness path;
  const UpstreamEndpoint endpoint = bad.Listen();
  ASSERT_TRUE(path.Connect({endpoint}));
  EXPECT_EQ(path.Call("POST", "/1", "x").Outcome(), "unknown");
  EXPECT_EQ(path.Count("entry_links_damaged_total"), 1u);
  EXPECT_TRUE(WaitUntil([&] { return path.entry->ReadyCount() == 1; }));
}

class FixedClaims : public IdempotencyClaims {
 public:
  void Claim(const std::string& /*account*/,
             const std::string& key,
             const RequestId& /*id*/,
             absl::Time /*deadline*/,
             std::function<void(ClaimResult)> done) override {
    if (key == "silent")
      return;
    done(key == "taken"  ? ClaimResult::kTaken
         : key == "down" ? ClaimResult::kUnavailable
                         : ClaimResult::kClaimed);
  }
  void Release(const std::string& /*account*/,
               const std::string& key,
               const RequestId& /*id*/) override {
    this->released += key;
  }
  std::string released;
};

// Guards against running a request whose idempotency key was not claimed, and
// against keeping the claim of a request that has not run.
TEST(EntryTest, OrderWithAKeyRunsOnlyWithTheClaim) {
  ScriptPeer agent("a", AnswerWithPath);
  FixedClaims claims;
  PathHarness path({}, {}, &claims);
  ASSERT_TRUE(path.Connect({agent.Listen()}));
  const auto call = [&](const std::string& key) {
    return path.Call(
        "POST", "/1", "x",
        {"Idempotency-Key: " + key, "Cuminjunction-Timeout-Ms: 200"});
  };
  EXPECT_EQ(call("taken").status, 409);
  EXPECT_EQ(call("taken").Outcome(), "not-run");
  EXPECT_EQ(call("down").status, 503);
  EXPECT_EQ(call("silent").status, 504);
  EXPECT_EQ(agent.Received<Submit>().size(), 0u);
  EXPECT_EQ(claims.released, "silent");
  EXPECT_EQ(call("fresh").status, 200);
  EXPECT_EQ(claims.released, "silent");
}

// Guards against errors without their HTTP status or outcome.
TEST(EntryTest, BadRequestsAreAnsweredWithTheirType) {
  PathHarness path;
  const auto call = [&](const std::string& method,
                        const std::string& path_and_query,
                        const std::vector<std::string>& headers,
                        const std::string& body = "") {
    const CallerAnswer answer =
        CallEntry(path.port, method, path_and_query, headers, body);
    EXPECT_EQ(answer.Outcome(), "not-run");
    return answer.status;
  };
  const std::string service = "Cuminjunction-Service: check";
  EXPECT_EQ(call("GET", "/", {}), 400);
  EXPECT_EQ(call("GET", "/", {"Cuminjunction-Service: none"}), 404);
  EXPECT_EQ(call("TRACE", "/", {service}), 405);
  EXPECT_EQ(call("GET", "/", {service, "Cuminjunction-Account: x"}), 400);
  EXPECT_EQ(call("GET", "/", {service, "Cuminjunction-Urgency: x"}), 400);
  EXPECT_EQ(call("GET", "/", {service, "Cuminjunction-Timeout-Ms: -1"}), 400);
  EXPECT_EQ(call("GET", "/", {service, "Cuminjunction-Deadline: 1"}), 504);
  EXPECT_EQ(call("GET", "/", {service}), 503);
  EXPECT_EQ(call("GET", "/", {service, "X-A: b\x01 c"}), 400);
  EXPECT_EQ(
      call("GET", "/", {service, "X: " + std::string(kMaxHeaderBytes, 'x')}),
      431);
  const std::string large(kMaxBodyBytes + 1, 'x');
  EXPECT_EQ(call("POST", "/", {service}, large), 413);
  EXPECT_EQ(call("POST", "/", {service, "Transfer-Encoding: chunked"}, large),
            413);
}

// Guards against foreign bytes on the HTTP port that crash the entry.
TEST(EntryTest, ForeignBytesOnTheHttpPortAreSurvived) {
  PathHarness path;
  for (const std::string& bytes :
       {std::string("\0\xff\x01garbage\r\n\r\n", 14),
        "GET " + std::string(200'000, 'x'), std::string("GET / HTTP/9\r\n"),
        std::string("POST / HTTP/1.1\r\nContent-Length: -5\r\n\r\n")}) {
    ScriptPeer peer("raw");
    peer.ConnectRaw(path.port);
    peer.SendRaw(bytes);
  }
  EXPECT_EQ(path.Call("GET", "/").status, 503);
}

// Guards against a routing decision that Explain() does not return.
TEST(EntryTest, DecisionsOfARequestAreKept) {
  ScriptPeer agent("a", AnswerWithPath);
  PathHarness path;
  ASSERT_TRUE(path.Connect({agent.Listen()}));
  const CallerAnswer answer = path.Call("GET", "/1");
  const RequestId id =
      ParseRequestId(answer.headers.at("cuminjunction-request")).value();
  const std::vector<std::string> lines = path.entry->Explain(id);
  ASSERT_EQ(lines.size(), 1u);
  EXPECT_NE(lines[0].find(R"("upstream":"a","candidates":[{"name":"a")"),
            std::string::npos);
}

}  // namespace
}  // namespace cuminjunction

// Tests of an agent with a scripted upstream and scripted entries.

#include <boost/asio/write.hpp>
#include <future>

#include "base/time.h"
#include "request/testing/script_peer.h"

namespace cuminjunction {
namespace {

constexpr uint64_t kEntry = 7;

Submit SubmitOf(uint64_t number,
                const std::string& method = "POST",
                absl::Duration timeout = absl::Seconds(20)) {
  Submit submit;
  submit.id = {{kEntry, number}, 1};
  submit.account = "growers";
  submit.service = "runner";
  submit.deadline_us = ToMicros(absl::Now() + timeout);
  submit.idempotent = method == "GET";
  submit.method = method;
  submit.path = StrCat("/", number);
  return submit;
}

struct AgentFixture {
  explicit AgentFixture(ScriptUpstream::Script script, uint32_t slots = 8)
      : log(""),
        upstream(std::move(script)),
        agent("agent", upstream.Port(), &log, &metrics, slots) {
    EXPECT_TRUE(WaitUntil(
        [this] { return this->agent.server->State() == AgentState::kUp; }));
  }

  uint16_t Port() const { return this->agent.endpoint.port; }
  uint64_t Count(const std::string& name) {
    return this->metrics.GetCounter(name).Value();
  }

  Log log;
  Metrics metrics;
  ScriptUpstream upstream;
  TestAgent agent;
};

ScriptReaction SlowReply(std::chrono::milliseconds delay) {
  ScriptReaction reaction = Reply("slow");
  reaction.delay = delay;
  return reaction;
}

// Guards against an attempt that runs twice because its Submit is sent again
// after a reconnect (P6).
TEST(AgentTest, DuplicatedSubmitRunsOnce) {
  AgentFixture fixture([](const ScriptRequest&) {
    return SlowReply(std::chrono::milliseconds(100));
  });
  ScriptPeer first("entry");
  first.Connect(fixture.Port(), kEntry);
  const Submit submit = SubmitOf(1);
  first.Send(submit);
  ASSERT_TRUE(WaitUntil([&] { return fixture.upstream.Count() == 1; }));
  first.Disconnect();
  ScriptPeer second("entry");
  second.Connect(fixture.Port(), kEntry);
  second.Send(submit);
  EXPECT_EQ(second.Wait<AnswerHead>(1)[0].bytes, "slow");
  second.Send(submit);
  second.Wait<AnswerBroken>(1);
  EXPECT_EQ(fixture.upstream.Count(), 1);
}

// Guards against an attempt that starts after its cancellation because its
// Submit was delayed (P5).
TEST(AgentTest, CancelBeforeSubmitLeavesATombstone) {
  AgentFixture fixture([](const ScriptRequest&) { return Reply("ran"); });
  ScriptPeer entry("entry");
  entry.Connect(fixture.Port(), kEntry);
  const Submit submit = SubmitOf(1);
  entry.Send(CancelAttempt{submit.id, submit.deadline_us});
  entry.Wait<Refused>(1);
  entry.Send(submit);
  EXPECT_EQ(entry.Wait<Refused>(2)[1].reason, Refusal::kTombstone);
  EXPECT_EQ(fixture.upstream.Count(), 0);
}

// Guards against reporting an attempt as refused that has run and whose
// tombstone has expired since (P5). Found by the model of request attempts.
TEST(AgentTest, CancelOfAForgottenAttemptIsNotRefused) {
  AgentFixture fixture([](const ScriptRequest&) { return Reply("ran"); });
  ScriptPeer entry("entry");
  entry.Connect(fixture.Port(), kEntry);
  const Submit ran = SubmitOf(1, "POST", absl::Milliseconds(200));
  entry.Send(ran);
  entry.Wait<AnswerHead>(1);
  absl::SleepFor(FromMicros(ran.deadline_us) + 2 * kMaxClockSkew - absl::Now());
  entry.Send(CancelAttempt{ran.id, ran.deadline_us});
  const Submit other = SubmitOf(2);
  entry.Send(CancelAttempt{other.id, other.deadline_us});
  EXPECT_EQ(entry.Wait<Refused>(1)[0].id, other.id);
}

// Guards against an attempt starting after it was refused for its deadline
// while it waited (P5).
TEST(AgentTest, RefusedWhileQueuedNeverStarts) {
  AgentFixture fixture(
      [](const ScriptRequest&) {
        return SlowReply(std::chrono::milliseconds(150));
      },
      1);
  ScriptPeer entry("entry");
  entry.Connect(fixture.Port(), kEntry);
  entry.Send(SubmitOf(1));
  Submit waiting = SubmitOf(2, "POST", absl::Milliseconds(40));
  entry.Send(waiting);
  EXPECT_EQ(entry.Wait<Refused>(1)[0].reason, Refusal::kDeadline);
  // The duplicate has a later deadline.
  waiting.deadline_us = SubmitOf(2).deadline_us;
  entry.Send(waiting);
  EXPECT_EQ(entry.Wait<Refused>(2)[1].reason, Refusal::kTombstone);
  entry.Wait<AnswerHead>(1);
  EXPECT_EQ(fixture.upstream.Count(), 1);
}

// Guards against starting a waiting attempt of a disconnected entry, and
// against leaking the slot of its running attempt.
TEST(AgentTest, EntryConnectionLostRefusesWaitingAttempts) {
  AgentFixture fixture(
      [](const ScriptRequest&) {
        return SlowReply(std::chrono::milliseconds(100));
      },
      1);
  ScriptPeer lost("entry");
  lost.Connect(fixture.Port(), kEntry);
  lost.Send(SubmitOf(1));
  lost.Send(SubmitOf(2));
  ASSERT_TRUE(WaitUntil([&] { return fixture.upstream.Count() == 1; }));
  lost.Disconnect();
  ScriptPeer entry("entry");
  entry.Connect(fixture.Port(), kEntry);
  entry.Send(SubmitOf(3));
  entry.Wait<AnswerHead>(1);
  EXPECT_EQ(fixture.upstream.Count(), 2);
}

// Guards against a truncated answer of an upstream being sent as a whole one
// (P4).
TEST(AgentTest, BrokenAnswersAreReportedAsBroken) {
  AgentFixture fixture([](const ScriptRequest& request) -> ScriptReaction {
    const auto close = std::chrono::milliseconds(0);
    if (request.StartsWith("POST /1 "))
      return {"HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\n12345", close,
              true};
    if (request.StartsWith("POST /2 ")) {
      return {
          "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
          "5\r\n12345\r\n",
          close, true};
    }
    // Without a length, the end of the answer can't be distinguished from a
    // crash.
    if (request.StartsWith("POST /3 "))
      return {"HTTP/1.1 200 OK\r\n\r\n12345", close, true};
    if (request.StartsWith("POST /4 "))
      return {"garbage\r\n\r\n", close, true};
    return {"", close, true};
  });
  ScriptPeer entry("entry");
  entry.Connect(fixture.Port(), kEntry);
  for (uint64_t number = 1; number <= 5; ++number) {
    entry.Send(SubmitOf(number));
    entry.Wait<AnswerBroken>(number);
  }
  EXPECT_EQ(entry.Received<AnswerHead>().size(), 0u);
  EXPECT_EQ(fixture.upstream.Count(), 5);
}

// Guards against an invalid header of an upstream closing the connection to the
// entry, which would treat it as a protocol error.
TEST(AgentTest, HeadersThatAreNotAllowedAreLeftOut) {
  AgentFixture fixture([](const ScriptRequest&) -> ScriptReaction {
    return {
        "HTTP/1.1 200 OK\r\nX A: 1\r\nX-B: \x01\r\nX-C: 3\r\n"
        "Content-Length: 0\r\n\r\n"};
  });
  ScriptPeer entry("entry");
  entry.Connect(fixture.Port(), kEntry);
  entry.Send(SubmitOf(1));
  const HeaderList expected = {{"X-C", "3"}};
  EXPECT_EQ(entry.Wait<AnswerHead>(1)[0].headers, expected);
}

// Guards against libcurl resending an order when a persistent connection is
// closed without an answer (P6).
TEST(AgentTest, OrderIsNotResentOnANewConnection) {
  AgentFixture fixture([](const ScriptRequest& request) -> ScriptReaction {
    if (request.StartsWith("GET"))
      return Reply("kept");
    return {"", std::chrono::milliseconds(0), true};
  });
  ScriptPeer entry("entry");
  entry.Connect(fixture.Port(), kEntry);
  entry.Send(SubmitOf(1, "GET"));
  entry.Wait<AnswerHead>(1);
  entry.Send(SubmitOf(2, "POST"));
  entry.Wait<AnswerBroken>(1);
  EXPECT_EQ(fixture.upstream.Count(), 2);
}

// Guards against the outcome "unknown" for a request whose upstream is down,
// and against an agent that stays down after the upstream has recovered.
TEST(AgentTest, UpstreamDownRefusesUntilAProbeSucceeds) {
  Log log("");
  Metrics metrics;
  // A free port: the upstream that listened on it has stopped.
  auto gone = std::make_unique<ScriptUpstream>(
      [](const ScriptRequest&) { return Reply(""); });
  const uint16_t port = gone->Port();
  gone->Stop();
  TestAgent agent("agent", port, &log, &metrics);
  ScriptPeer entry("entry");
  entry.Connect(agent.endpoint.port, kEntry);
  entry.Send(SubmitOf(1));
  EXPECT_EQ(entry.Wait<Refused>(1)[0].reason, Refusal::kUpstreamDown);
  EXPECT_EQ(agent.server->State(), AgentState::kDown);
  ScriptUpstream back([](const ScriptRequest&) { return Reply("back"); }, port);
  ASSERT_TRUE(
      WaitUntil([&] { return agent.server->State() == AgentState::kUp; }));
  entry.Send(SubmitOf(2));
  EXPECT_EQ(entry.Wait<AnswerHead>(1)[0].bytes, "back");
}

// Guards against a leaving agent that accepts new attempts (P7) or exits before
// a request in flight is answered (P8).
TEST(AgentTest, LeavingRefusesNewWorkAndFinishesTheOld) {
  AgentFixture fixture([](const ScriptRequest&) {
    return SlowReply(std::chrono::milliseconds(100));
  });
  ScriptPeer entry("entry");
  entry.Connect(fixture.Port(), kEntry);
  entry.Send(SubmitOf(1));
  ASSERT_TRUE(WaitUntil([&] { return fixture.upstream.Count() == 1; }));
  std::promise<void> done;
  fixture.agent.server->Leave([&] { done.set_value(); });
  entry.Wait<Leaving>(1);
  EXPECT_EQ(fixture.agent.server->State(), AgentState::kLeaving);
  entry.Send(SubmitOf(2));
  EXPECT_EQ(entry.Wait<Refused>(1)[0].reason, Refusal::kLeaving);
  EXPECT_EQ(entry.Wait<AnswerHead>(1)[0].bytes, "slow");
  entry.Disconnect();
  done.get_future().wait();
  EXPECT_EQ(fixture.upstream.Count(), 1);
}

// Guards against forwarding a request for a service that this upstream does not
// serve.
TEST(AgentTest, UnknownServiceIsRefused) {
  AgentFixture fixture([](const ScriptRequest&) { return Reply(""); });
  ScriptPeer entry("entry");
  entry.Connect(fixture.Port(), kEntry);
  Submit submit = SubmitOf(1);
  submit.service = "other";
  entry.Send(submit);
  EXPECT_EQ(entry.Wait<Refused>(1)[0].reason, Refusal::kUnknownService);
}

std::string EncodeFrame(const std::string& payload) {
  std::string wire;
  AppendMessageFrames(payload, &wire);
  return wire;
}

template <class T>
std::string EncodeFrame(const T& message) {
  std::string payload;
  AppendMessage(message, &payload);
  return EncodeFrame(payload);
}

// Guards against damaged or foreign bytes that crash the agent or are processed
// as messages.
TEST(AgentTest, DamagedBytesCloseTheirConnectionOnly) {
  AgentFixture fixture([](const ScriptRequest&) { return Reply("fine"); });
  const std::string hello =
      EncodeFrame(Hello{kProtocolVersion, "entry", kEntry});
  Submit foreign = SubmitOf(1);
  foreign.id.request.entry_incarnation = kEntry + 1;
  std::string flipped = EncodeFrame(SubmitOf(1));
  flipped[20] = static_cast<char>(flipped[20] ^ 1);
  const std::vector<std::string> bad = {
      std::string("GET / HTTP/1.1\r\n\r\n"),
      std::string("\xff\xff\xff\xff\0\0\0\0", 8),
      EncodeFrame(std::string("")),
      EncodeFrame(std::string("\x7f")),
      EncodeFrame(SubmitOf(1)),
      hello + hello,
      hello + flipped,
      hello + EncodeFrame(foreign),
      hello + EncodeFrame(Leaving{}),
      EncodeFrame(Hello{kProtocolVersion + 1, "entry", kEntry}),
  };
  for (const std::string& bytes : bad) {
    ScriptPeer peer("raw");
    peer.ConnectRaw(fixture.Port());
    peer.SendRaw(bytes);
    EXPECT_TRUE(peer.RawClosed());
  }
  EXPECT_TRUE(WaitUntil([&] {
    return fixture.Count("agent_links_damaged_total") == bad.size();
  }));
  EXPECT_EQ(fixture.upstream.Count(), 0);
  ScriptPeer entry("entry");
  entry.Connect(fixture.Port(), kEntry);
  entry.Send(SubmitOf(2));
  EXPECT_EQ(entry.Wait<AnswerHead>(1)[0].bytes, "fine");
}

// Guards against unbounded memory growth when an entry does not read its
// answers.
TEST(AgentTest, EntryThatDoesNotReadIsClosed) {
  Log log("");
  Metrics metrics;
  ScriptUpstream upstream([](const ScriptRequest&) {
    return Reply(std::string(kMaxBodyBytes, 'x'));
  });
  AgentOptions options;
  options.max_link_bytes = kMaxBodyBytes;
  TestAgent agent("agent", upstream.Port(), &log, &metrics, 8, options);
  ScriptPeer peer("raw");
  peer.ConnectRaw(agent.endpoint.port);
  std::string wire = EncodeFrame(Hello{kProtocolVersion, "entry", kEntry});
  for (uint64_t number = 1; number <= 8; ++number)
    wire += EncodeFrame(SubmitOf(number));
  peer.SendRaw(wire);
  EXPECT_TRUE(WaitUntil([&] {
    return metrics.GetCounter("agent_links_damaged_total").Value() == 1;
  }));
}

// Guards against sending a body to the upstream that is longer than announced
// or whose last chunk is marked wrongly.
TEST(AgentTest, BodyThatDoesNotMatchItsSizeIsNotRun) {
  AgentFixture fixture([](const ScriptRequest&) { return Reply(""); });
  for (const bool last : {false, true}) {
    ScriptPeer entry("entry");
    entry.Connect(fixture.Port(), kEntry);
    Submit submit = SubmitOf(last ? 1 : 2);
    submit.body_size = 10;
    submit.bytes = "12345";
    entry.Send(submit);
    entry.Send(BodyChunk{submit.id, last, last ? "123" : "123456"});
    EXPECT_TRUE(WaitUntil([&] { return entry.IsClosed(); }));
  }
  EXPECT_EQ(fixture.upstream.Count(), 0);
}

}  // namespace
}  // namespace cuminjunction

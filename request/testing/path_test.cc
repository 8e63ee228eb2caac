// The request path over real sockets: entry, agent and upstream.

#include "request/testing/path_harness.h"

namespace cuminjunction {
namespace {

// Guards against a break anywhere on the path of a plain request.
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

}  // namespace
}  // namespace cuminjunction

#include "admin/api.h"

#include <gtest/gtest.h>

namespace cuminjunction {
namespace {

// Records the last call and answers with it.
struct FakeServices {
  AdminReply ApplyConfig(const std::string& text,
                         std::optional<uint64_t> base,
                         const std::string& name) {
    return nlohmann::json{
        {"text", text}, {"base", base.value_or(0)}, {"operator", name}};
  }
  AdminReply ValidateConfig(const std::string&) {
    return AdminFailure{AdminError::kRejected, {{"line", 3}}};
  }
  AdminReply DiffConfig(const std::string&) { return nlohmann::json(); }
  AdminReply GetConfig() {
    return AdminFailure{AdminError::kUnavailable, nullptr};
  }
  AdminReply ConfigHistory() { return nlohmann::json(); }
  AdminReply GetStatus() { return nlohmann::json{{"bytes", "\xff"}}; }
  AdminReply GetJobs() { return nlohmann::json(); }
  AdminReply StopJob(const std::string& name) {
    return nlohmann::json{{"stopped", name}};
  }
  AdminReply ResumeJob(const std::string& name) {
    return nlohmann::json{{"resumed", name}};
  }
  AdminReply CancelTask(const std::string&) { return nlohmann::json(); }
  AdminReply RetryTask(const std::string& id) {
    return nlohmann::json{{"retried", id}};
  }
  AdminReply ReadmitWorker(const std::string& name) {
    return nlohmann::json{{"readmitted", name}};
  }
  AdminReply Drain(const std::string& kind, const std::string& name) {
    return nlohmann::json{{kind, name}};
  }
  AdminReply ExplainTask(const std::string&) { return nlohmann::json(); }
  AdminReply ExplainRequest(const std::string&) { return nlohmann::json(); }
  std::string MetricsText() { return "m 1\n"; }
  bool IsReady() { return false; }
};

HttpResponse Handle(const HttpRequest& request) {
  FakeServices services;
  return HandleAdminRequest(services, request);
}

TEST(AdminApiTest, DecodesPathArguments) {
  EXPECT_EQ(Handle({"POST", "/v1/jobs/a%2Fb/stop", {}, {}, ""}).body,
            "{\"stopped\":\"a/b\"}\n");
  EXPECT_EQ(Handle({"POST", "/v1/drain/rack/r1", {}, {}, ""}).body,
            "{\"rack\":\"r1\"}\n");
  EXPECT_EQ(Handle({"POST", "/v1/tasks/a.1.0/retry", {}, {}, ""}).body,
            "{\"retried\":\"a.1.0\"}\n");
  EXPECT_EQ(Handle({"POST", "/v1/workers/w1/readmit", {}, {}, ""}).body,
            "{\"readmitted\":\"w1\"}\n");
}

TEST(AdminApiTest, PassesBaseAndOperator) {
  const auto json =
      nlohmann::json::parse(Handle({"PUT",
                                    "/v1/config",
                                    {{"base", "7"}},
                                    {{"cuminjunction-operator", "ann"}},
                                    "text"})
                                .body);
  EXPECT_EQ(json["base"], 7);
  EXPECT_EQ(json["operator"], "ann");
}

// Guards against a mistyped request being carried out as another one, or
// answered without a status of its own.
TEST(AdminApiTest, EachFailureHasItsStatus) {
  EXPECT_EQ(Handle({"GET", "/v1/nothing", {}, {}, ""}).status, 404);
  EXPECT_EQ(Handle({"DELETE", "/v1/config", {}, {}, ""}).status, 405);
  EXPECT_EQ(Handle({"POST", "/v1/drain/region/x", {}, {}, ""}).status, 404);
  EXPECT_EQ(Handle({"POST", "/v1/jobs//stop", {}, {}, ""}).status, 404);
  EXPECT_EQ(Handle({"PUT", "/v1/config", {{"base", "7x"}}, {}, ""}).status,
            400);
  EXPECT_EQ(Handle({"POST", "/v1/config/validate", {}, {}, ""}).status, 422);
  EXPECT_EQ(Handle({"GET", "/v1/config", {}, {}, ""}).status, 503);
  EXPECT_EQ(Handle({"GET", "/readyz", {}, {}, ""}).status, 503);
}

// Guards against names that are not UTF-8 ending the process: nlohmann's
// dump() throws on them by default.
TEST(AdminApiTest, BytesThatAreNotUtf8AreReplaced) {
  EXPECT_EQ(Handle({"GET", "/v1/status", {}, {}, ""}).status, 200);
}

}  // namespace
}  // namespace cuminjunction

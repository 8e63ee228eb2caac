// Configuration traces: the store and the nodes. Inputs:
//
//   store {down, lost_replies}
//   submit, settle {change, base, accounts: [name]}
//   node {node, peers, join_ms}: starts a node, also in place of another one
//   tell {from, to}: a node tells another one its version
//   fetch {node}: the node asks the peer of its choice and gets the answer
//   read {node}: the node reads the store
//   look {node}

#include <map>
#include <utility>

#include "config/distribution.h"
#include "config/store.h"
#include "testing/support/replay.h"
#include "testing/support/replay_table.h"

namespace cuminjunction {

namespace {

using nlohmann::json;

class ConfigTarget : public TraceTarget {
 public:
  Result<TraceOutcome> Step(const json& input, absl::Time now) override {
    const std::string op = input.at("op").get<std::string>();
    if (op == "store") {
      this->table.down = input.value("down", this->table.down);
      this->table.lost_replies = input.value("lost_replies", 0);
      return json::object();
    }
    if (op == "submit" || op == "settle")
      return this->Submit(op, input, now);
    if (op == "node")
      return this->StartNode(input);
    return this->StepNode(op, input, now);
  }

 private:
  struct Member {
    explicit Member(const ConfigNodeOptions& options) : node(options) {}
    ConfigNode node;
    StoreCursor cursor;
  };

  json Submit(const std::string& op, const json& input, absl::Time now) {
    DocumentChange submission;
    for (const json& item : input.at("accounts")) {
      const std::string name = item.get<std::string>();
      submission.document.accounts[name] = {name, 1, {1000, 1024, 0}};
    }
    submission.base = input.at("base").get<uint64_t>();
    submission.operator_name = "operator";
    submission.change_id = input.at("change").get<std::string>();
    Change other;
    const Result<uint64_t> version =
        op == "submit" ? this->store.Accept(submission, now, &other)
                       : this->store.ResolveOutcome(submission, &other);
    if (version)
      return json{{"version", version.value()}};
    return json{{"error", version.error().message()},
                {"other", other.change_id}};
  }

  json StartNode(const json& input) {
    ConfigNodeOptions options;
    options.name = input.at("node").get<std::string>();
    options.expected_peers = input.at("peers").get<int>();
    options.join_deadline =
        absl::UnixEpoch() +
        absl::Milliseconds(input.at("join_ms").get<int64_t>());
    this->members.erase(options.name);
    this->members.emplace(options.name, options);
    return json::object();
  }

  Result<TraceOutcome> StepNode(const std::string& op,
                                const json& input,
                                absl::Time now) {
    const std::string name =
        input.at(op == "tell" ? "to" : "node").get<std::string>();
    const auto found = this->members.find(name);
    if (found == this->members.end())
      return ReplayError::kBadInput;
    Member* member = &found->second;
    if (op == "tell") {
      const std::string from = input.at("from").get<std::string>();
      const auto peer = this->members.find(from);
      if (peer == this->members.end())
        return ReplayError::kBadInput;
      member->node.OnPeerVersion(from, peer->second.node.State().Version(), 0,
                                 now);
    } else if (op == "fetch") {
      BOOST_OUTCOME_TRYV(this->Fetch(member, now));
    } else if (op == "read") {
      BOOST_OUTCOME_TRYV(this->ReadTable(member));
    } else if (op != "look") {
      return ReplayError::kBadInput;
    }
    return json{{"version", member->node.State().Version()},
                {"accounts", member->node.State().Sections().size()},
                {"ready", member->node.IsReady(now)}};
  }

  Status Fetch(Member* member, absl::Time now) {
    const auto request = member->node.Poll(now);
    if (!request)
      return Ok();
    const auto peer = this->members.find(request->peer);
    if (peer == this->members.end())
      return Ok();
    for (const ConfigPart& part : peer->second.node.Answer(request->request)) {
      BOOST_OUTCOME_TRYV(member->node.OnPart(request->peer, part, now));
    }
    return Ok();
  }

  // A store that is down changes nothing.
  Status ReadTable(Member* member) {
    const auto delta = ReadStore(&this->table, &member->cursor);
    if (!delta)
      return Ok();
    if (!delta.value()) {
      member->node.OnStoreUnchanged();
      return Ok();
    }
    BOOST_OUTCOME_TRYV(member->node.OnStoreDelta(*delta.value()));
    return Ok();
  }

  ReplayTable table;
  ConfigStore<ReplayTable> store{&this->table};
  std::map<std::string, Member> members;
};

}  // namespace

std::unique_ptr<TraceTarget> MakeConfigTarget() {
  return std::make_unique<ConfigTarget>();
}

}  // namespace cuminjunction

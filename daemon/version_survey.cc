#include "daemon/version_survey.h"

namespace cuminjunction {

void VersionSurvey::Ask() {
  this->reported.clear();
  const std::string& self = this->gossip->Self().name;
  for (const Member& member : this->gossip->Members()) {
    if (member.role == Role::kEntry && member.name != self &&
        !HasEnded(member.state))
      this->net->Send({member.host, member.tcp_port}, VersionsRequest{});
  }
}

VersionsReply VersionSurvey::Answer() const {
  const absl::Time now = SteadyClock().Now();
  VersionsReply reply;
  for (const auto& [name_hash, record] : this->gossip->Table().Records()) {
    if (MemberTable::HasDirectEvidence(record, now))
      reply.nodes.push_back({record.member.name, record.member.config_version});
  }
  reply.nodes.push_back(
      {this->gossip->Self().name, this->gossip->Self().config_version});
  return reply;
}

void VersionSurvey::OnReply(const VersionsReply& reply) {
  for (const NodeVersion& node : reply.nodes)
    this->reported[node.name] = node.version;
}

std::vector<Member> VersionSurvey::Members() const {
  std::vector<Member> members = this->gossip->Members();
  const absl::Time now = SteadyClock().Now();
  for (Member& member : members) {
    const auto found = this->reported.find(member.name);
    const auto record =
        this->gossip->Table().Records().find(HashName(member.name));
    const bool heard_here = record != this->gossip->Table().Records().end() &&
                            MemberTable::HasDirectEvidence(record->second, now);
    if (found != this->reported.end() && !heard_here)
      member.config_version = found->second;
  }
  return members;
}

}  // namespace cuminjunction

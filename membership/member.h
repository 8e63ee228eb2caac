#ifndef MEMBERSHIP_MEMBER_H_
#define MEMBERSHIP_MEMBER_H_

// The description and state of one process of the cluster.
//
// A member is identified by its name. A process that restarts keeps its name
// or its address and announces a higher incarnation, which replaces
// all data of the lower one.
//
//   if (member.role == Role::kAgent && IsEligible(member.state))
//     upstreams.push_back(member);

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace cuminjunction {

enum class Role : uint8_t { kEntry, kAgent };

// The first four are announced by the member itself, the others are judged by
// an entry. The names match charts/member.yaml.
enum class MemberState : uint8_t {
  kAlive,
  kUpstreamDown,
  kLeaving,
  kLeft,
  kSuspect,
  kUnreachable,
  kDead,
};

// The largest value of each enum, for checking received bytes.
inline constexpr Role kLastRole = Role::kAgent;
inline constexpr MemberState kLastMemberState = MemberState::kDead;

// The name of the state in charts/member.yaml.
std::string_view StateName(MemberState state);

// The state of that name, or nullopt.
std::optional<MemberState> ParseMemberState(std::string_view name);

// Whether the member announces the state, as opposed to an entry judging it.
bool IsAnnounced(MemberState state);

// Whether new work may go to an upstream in this state. Suspect and
// unreachable members stay eligible for peers that still reach them.
bool IsEligible(MemberState state);

// Whether the incarnation has ended: it left or is dead.
bool HasEnded(MemberState state);

struct Member {
  std::string name;
  Role role = Role::kAgent;
  // Start of the process in milliseconds since the Unix epoch, raised when
  // an entry has a higher one for the same name.
  uint64_t incarnation = 0;
  std::string host;
  // UDP port of the membership messages.
  uint16_t port = 0;
  // TCP port: of request frames at an agent, of its peers at an entry.
  uint16_t tcp_port = 0;
  // TCP port of an agent for configuration and notices of entries.
  uint16_t peer_port = 0;
  std::string failure_domain;
  std::string region;
  // Names of the services whose upstream the agent stands beside.
  std::vector<std::string> services;
  MemberState state = MemberState::kAlive;
  // Version of the configuration that the process runs; 0 for none.
  uint64_t config_version = 0;

  auto operator<=>(const Member&) const = default;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(this->name, this->role, this->incarnation, this->host, this->port,
            this->tcp_port, this->peer_port, this->failure_domain, this->region,
            this->services, this->state, this->config_version);
  }
};

// How an agent reaches an entry, as acknowledgements carry it.
struct EntryContact {
  std::string name;
  std::string host;
  uint16_t port = 0;
  uint16_t tcp_port = 0;
  std::string failure_domain;
  std::string region;

  bool operator==(const EntryContact&) const = default;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(this->name, this->host, this->port, this->tcp_port,
            this->failure_domain, this->region);
  }
};

// 64-bit FNV-1a hash of a name, which stands for the name in short messages.
uint64_t HashName(std::string_view name);

}  // namespace cuminjunction

#endif  // MEMBERSHIP_MEMBER_H_

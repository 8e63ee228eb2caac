#include "membership/member.h"

#include <array>

namespace cuminjunction {

namespace {

// Indexed by MemberState.
constexpr std::array<std::string_view, 7> kStateNames = {
    "alive",   "upstream_down", "leaving", "left",
    "suspect", "unreachable",   "dead",
};

constexpr uint64_t kFnvOffset = 0xcbf29ce484222325;
constexpr uint64_t kFnvPrime = 0x100000001b3;

}  // namespace

std::string_view StateName(MemberState state) {
  return kStateNames.at(static_cast<size_t>(state));
}

std::optional<MemberState> ParseMemberState(std::string_view name) {
  for (size_t i = 0; i < kStateNames.size(); ++i) {
    if (kStateNames[i] == name)
      return static_cast<MemberState>(i);
  }
  return std::nullopt;
}

bool IsAnnounced(MemberState state) {
  return state <= MemberState::kLeft;
}

bool IsEligible(MemberState state) {
  return state == MemberState::kAlive || state == MemberState::kSuspect ||
         state == MemberState::kUnreachable;
}

bool HasEnded(MemberState state) {
  return state == MemberState::kLeft || state == MemberState::kDead;
}

uint64_t HashName(std::string_view name) {
  uint64_t hash = kFnvOffset;
  for (const char c : name) {
    hash ^= static_cast<uint8_t>(c);
    hash *= kFnvPrime;
  }
  return hash;
}

}  // namespace cuminjunction

#ifndef MEMBERSHIP_MESSAGE_H_
#define MEMBERSHIP_MESSAGE_H_

// Datagrams of the membership protocol.
//
// A datagram is a magic byte, a type byte, the message and the CRC-32 of all
// before it:
//
//   std::string bytes = EncodeMessage(Heartbeat{...});
//   Result<Datagram> message = ParseMessage(bytes);
//   if (!message) ...   // counted and dropped
//   if (auto* heartbeat = std::get_if<Heartbeat>(&message.value())) ...
//
// A member is named by the hash of its name wherever the receiver is known to
// have the full announcement.

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "base/codec.h"
#include "base/error.h"
#include "membership/member.h"

namespace cuminjunction {

enum class DatagramError {
  // Too short or without the magic byte: not a message of ours.
  kForeign = 1,
  kChecksum,
  kUnknownType,
  // The checksum holds but the content can't be read.
  kMalformed,
};

template <>
struct ErrorTraits<DatagramError> {
  static constexpr const char* kCategory = "membership";
  static std::string_view Message(DatagramError error);
};

// The fields of a member that change while it runs: about 20 bytes.
struct MemberSummary {
  uint64_t name_hash = 0;
  uint64_t incarnation = 0;
  // Counts the heartbeats of the incarnation; orders evidence of life.
  uint64_t sequence = 0;
  MemberState state = MemberState::kAlive;
  uint64_t config_version = 0;

  bool operator==(const MemberSummary&) const = default;

  // The hash takes 8 bytes as it is, since a variable-length integer would
  // take 10.
  template <class Archive>
  void serialize(Archive& archive) {
    archive(cereal::binary_data(&this->name_hash, sizeof(this->name_hash)),
            this->incarnation, this->sequence, this->state,
            this->config_version);
  }
};

// From an agent to an entry.
struct Heartbeat {
  MemberSummary summary;
  // Hash of the entry list that this entry last sent to the agent.
  uint32_t entries_hash = 0;
  // The agent heartbeats to another entry from now on. Without this, the entry
  // would suspect the agent, and a whole region when many agents move at once.
  bool is_last = false;
  // Sent until the entry acknowledges a heartbeat without asking for it.
  std::optional<Member> announcement;

  bool operator==(const Heartbeat&) const = default;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(
        this->summary,
        cereal::binary_data(&this->entries_hash, sizeof(this->entries_hash)),
        this->is_last, this->announcement);
  }
};

// From an entry to an agent. Also sent unasked, with sequence 0, when the
// newest configuration version changes.
struct Acknowledgement {
  uint64_t sequence = 0;
  // The newest configuration version that the entry knows.
  uint64_t config_version = 0;
  bool lacks_announcement = false;
  // A higher incarnation that the entry knows for the name of the agent, or 0.
  uint64_t higher_incarnation = 0;
  // Present when its hash differs from the one in the heartbeat.
  std::optional<std::vector<EntryContact>> entries;

  bool operator==(const Acknowledgement&) const = default;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(this->sequence, this->config_version, this->lacks_announcement,
            this->higher_incarnation, this->entries);
  }
};

// All fields of a member.
struct FullRecord {
  Member member;
  uint64_t sequence = 0;

  bool operator==(const FullRecord&) const = default;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(this->member, this->sequence);
  }
};

// From an entry to another entry.
struct Digest {
  MemberSummary sender;
  std::vector<MemberSummary> summaries;
  std::vector<FullRecord> records;
  // Name hashes whose full records the sender lacks.
  std::vector<uint64_t> requested;
  // Requests a summary of each member that the receiver vouches for.
  bool requests_all = false;

  bool operator==(const Digest&) const = default;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(this->sender, this->summaries, this->records, this->requested,
            this->requests_all);
  }
};

using Datagram = std::variant<Heartbeat, Acknowledgement, Digest>;

// The datagram of a message.
std::string EncodeMessage(const Datagram& message);

// Reads a datagram. Fails with a DatagramError.
Result<Datagram> ParseMessage(std::string_view bytes);

// Hash of an entry list, for telling whether it changed.
uint32_t HashEntries(const std::vector<EntryContact>& entries);

// The summary of a full record.
MemberSummary MakeSummary(const Member& member, uint64_t sequence);

}  // namespace cuminjunction

#endif  // MEMBERSHIP_MESSAGE_H_

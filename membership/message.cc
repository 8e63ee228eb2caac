#include "membership/message.h"

#include <algorithm>
#include <cstring>

#include "base/frame.h"

namespace cuminjunction {

namespace {

constexpr char kMagic = '\xc7';
constexpr size_t kHeaderBytes = 2;
constexpr size_t kChecksumBytes = sizeof(uint32_t);

// The type byte of a message is its index in the variant.
template <class T>
Result<Datagram> DecodeAs(std::string_view body) {
  Result<T> message = Decode<T>(body);
  if (!message)
    return DatagramError::kMalformed;
  return Datagram(std::move(message).value());
}

bool IsValid(const MemberSummary& summary) {
  return summary.state <= kLastMemberState;
}

bool IsValid(const Member& member) {
  return member.state <= kLastMemberState && member.role <= kLastRole &&
         !member.name.empty();
}

// A member speaks only for the states that it may announce.
bool IsValid(const Heartbeat& heartbeat) {
  return IsAnnounced(heartbeat.summary.state) &&
         (!heartbeat.announcement || (IsValid(*heartbeat.announcement) &&
                                      HashName(heartbeat.announcement->name) ==
                                          heartbeat.summary.name_hash &&
                                      heartbeat.announcement->incarnation ==
                                          heartbeat.summary.incarnation));
}

bool IsValid(const Acknowledgement&) {
  return true;
}

bool IsValid(const Digest& digest) {
  return IsAnnounced(digest.sender.state) &&
         std::all_of(
             digest.summaries.begin(), digest.summaries.end(),
             [](const MemberSummary& summary) { return IsValid(summary); }) &&
         std::all_of(
             digest.records.begin(), digest.records.end(),
             [](const FullRecord& record) { return IsValid(record.member); });
}

Result<Datagram> DecodeBody(uint8_t type, std::string_view body) {
  switch (type) {
    case 0:
      return DecodeAs<Heartbeat>(body);
    case 1:
      return DecodeAs<Acknowledgement>(body);
    case 2:
      return DecodeAs<Digest>(body);
    default:
      return DatagramError::kUnknownType;
  }
}

}  // namespace

std::string_view ErrorTraits<DatagramError>::Message(DatagramError error) {
  switch (error) {
    case DatagramError::kForeign:
      return "datagram is not a membership message";
    case DatagramError::kChecksum:
      return "datagram has a wrong checksum";
    case DatagramError::kUnknownType:
      return "datagram has an unknown type";
    case DatagramError::kMalformed:
      return "datagram has unreadable content";
  }
  return "unknown membership error";
}

std::string EncodeMessage(const Datagram& message) {
  std::string out;
  out.push_back(kMagic);
  out.push_back(static_cast<char>(message.index()));
  ByteWriter writer(&out);
  std::visit([&writer](const auto& value) { writer(value); }, message);
  const uint32_t checksum = Crc32(out);
  writer.Bytes(&checksum, sizeof(checksum));
  return out;
}

Result<Datagram> ParseMessage(std::string_view bytes) {
  if (bytes.size() < kHeaderBytes + kChecksumBytes || bytes[0] != kMagic)
    return DatagramError::kForeign;
  const std::string_view covered =
      bytes.substr(0, bytes.size() - kChecksumBytes);
  uint32_t checksum = 0;
  std::memcpy(&checksum, bytes.data() + covered.size(), sizeof(checksum));
  if (checksum != Crc32(covered))
    return DatagramError::kChecksum;
  BOOST_OUTCOME_TRY(message, DecodeBody(static_cast<uint8_t>(covered[1]),
                                        covered.substr(kHeaderBytes)));
  if (!std::visit([](const auto& value) { return IsValid(value); }, message))
    return DatagramError::kMalformed;
  return message;
}

uint32_t HashEntries(const std::vector<EntryContact>& entries) {
  return Crc32(Encode(entries));
}

MemberSummary MakeSummary(const Member& member, uint64_t sequence) {
  return {HashName(member.name), member.incarnation, sequence, member.state,
          member.config_version};
}

}  // namespace cuminjunction

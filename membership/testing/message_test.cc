#include "membership/message.h"

#include <gtest/gtest.h>

#include "membership/testing/fleet.h"

namespace cuminjunction {
namespace {

std::vector<Datagram> SampleMessages() {
  const Member agent =
      MakeMember("runner-3", Role::kAgent, "erie", 7001, 1'770'000'000'000);
  Acknowledgement acknowledgement{9, 120, true, 0, std::nullopt};
  acknowledgement.entries = {
      {"entry-1", "10.0.0.2", 7000, 7100, "erie-a", "erie"}};
  Digest digest;
  digest.sender = MakeSummary(agent, 4);
  digest.summaries = {MakeSummary(agent, 12)};
  digest.records = {{agent, 12}};
  digest.requested = {HashName("runner-4")};
  return {MakeHeartbeat(agent, 77),
          Heartbeat{MakeSummary(agent, 77), 5, true, {}}, acknowledgement,
          digest};
}

TEST(Datagram, KeepsItsContent) {
  for (const Datagram& message : SampleMessages()) {
    const Result<Datagram> read = ParseMessage(EncodeMessage(message));
    ASSERT_TRUE(read.has_value());
    EXPECT_TRUE(read.value() == message);
  }
}

// Guards the budget per node: an unchanged heartbeat grows by a field.
TEST(Datagram, UnchangedHeartbeatIsSmall) {
  Member agent = MakeMember("a-long-name-of-an-agent-in-erie", Role::kAgent,
                            "erie", 7001, 1'770'000'000'000);
  agent.config_version = 1'000'000;
  const Heartbeat heartbeat{
      MakeSummary(agent, 40'000'000), 0xffffffff, false, {}};
  EXPECT_LE(EncodeMessage(heartbeat).size(), 40U);
}

// Guards against acting on bytes that were damaged on the way: each single bit
// and each cut is noticed.
TEST(Datagram, DamageIsATypedError) {
  for (const Datagram& message : SampleMessages()) {
    const std::string bytes = EncodeMessage(message);
    for (size_t bit = 0; bit < bytes.size() * 8; ++bit) {
      std::string damaged = bytes;
      damaged[bit / 8] = static_cast<char>(damaged[bit / 8] ^ (1 << bit % 8));
      const Result<Datagram> read = ParseMessage(damaged);
      ASSERT_FALSE(read.has_value()) << "bit " << bit;
      EXPECT_EQ(read.error(),
                bit < 8 ? DatagramError::kForeign : DatagramError::kChecksum);
    }
    for (size_t size = 0; size < bytes.size(); ++size)
      EXPECT_FALSE(ParseMessage(bytes.substr(0, size)).has_value());
  }
}

// Guards against content that a faulty or hostile sender gives a right
// checksum: states that only an entry may judge, names that don't match.
TEST(Datagram, ImplausibleContentIsMalformed) {
  const Member agent = MakeMember("runner-3", Role::kAgent, "erie", 7001, 5);
  Heartbeat judged = MakeHeartbeat(agent, 1);
  judged.summary.state = MemberState::kDead;
  Heartbeat misnamed = MakeHeartbeat(agent, 1);
  misnamed.summary.name_hash = 1;
  Heartbeat out_of_range = MakeHeartbeat(agent, 1);
  out_of_range.announcement->state = static_cast<MemberState>(7);
  for (const Heartbeat& heartbeat : {judged, misnamed, out_of_range}) {
    const Result<Datagram> read = ParseMessage(EncodeMessage(heartbeat));
    ASSERT_FALSE(read.has_value());
    EXPECT_EQ(read.error(), DatagramError::kMalformed);
  }
}

}  // namespace
}  // namespace cuminjunction

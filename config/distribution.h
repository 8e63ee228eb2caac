#ifndef CONFIG_DISTRIBUTION_H_
#define CONFIG_DISTRIBUTION_H_

// How a node gets the configuration and keeps it current: a state machine
// without sockets, threads or clocks.
//
//   ConfigNode node(options);
//   node.OnPeerVersion("entry-1", 17, 0, now);   // from a heartbeat or notice
//   if (auto out = node.Poll(now))
//     Send(out->peer, out->request);
//   ...
//   Result<bool> higher = node.OnPart("entry-1", part, now);
//
// An entry also passes in what it reads from the store. A node takes higher
// versions only, from whichever side has them first; every node answers
// requests, so a version survives a store outage as long as one node holds it.
// A node that replaces another one becomes ready when it has the highest
// version that its peers told.

#include <compare>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "absl/time/time.h"
#include "config/state.h"

namespace cuminjunction {

// Bytes of a part, well below the limit of a frame (128 KiB).
inline constexpr size_t kMaxPartBytes = 64 * 1024;
// Parts of a transfer at most; 16 MiB in all.
inline constexpr uint32_t kMaxParts = 256;
// Milliseconds without a part after which a request goes to another peer.
inline constexpr int64_t kConfigRequestTimeoutMs = 500;
// Milliseconds for which a peer that did not answer is asked last.
inline constexpr int64_t kPeerBlockedMs = 5000;
// Milliseconds after which a notice is repeated to a peer that has not told the
// version; doubled for each repetition up to the second figure.
inline constexpr int64_t kNoticeRepeatMs = 500;
inline constexpr int64_t kMaxNoticeRepeatMs = 8000;

// Tells a peer the version that the sender holds; heartbeats carry the version
// too. A node sends it to its peers on each new version, which acknowledges the
// notices that it got itself, and again to those that stay behind.
struct ConfigNotice {
  uint64_t version = 0;

  auto operator<=>(const ConfigNotice&) const = default;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(this->version);
  }
};

// Asks for what changed since version `have`.
struct ConfigRequest {
  // Chosen by the asking node; the parts of the answer carry it.
  uint64_t id = 0;
  uint64_t have = 0;
  // All sections are wanted, whatever the version.
  bool whole = false;

  auto operator<=>(const ConfigRequest&) const = default;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(this->id, this->have, this->whole);
  }
};

// A piece of an encoded Delta.
struct ConfigPart {
  uint64_t id = 0;
  uint32_t index = 0;
  uint32_t count = 0;
  std::string bytes;

  auto operator<=>(const ConfigPart&) const = default;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(this->id, this->index, this->count, this->bytes);
  }
};

struct ConfigNodeOptions {
  std::string name;
  // Peers to hear from before a new node is ready, unless it reaches the store
  // or the join deadline passes.
  int expected_peers = 1;
  absl::Time join_deadline;
  // Always asks for all sections; the baseline of the bench.
  bool always_whole = false;
};

struct OutgoingConfigRequest {
  std::string peer;
  ConfigRequest request;

  auto operator<=>(const OutgoingConfigRequest&) const = default;
};

// Not thread-safe.
class ConfigNode {
 public:
  explicit ConfigNode(ConfigNodeOptions options);

  const ConfigState& State() const { return this->state; }

  // The store was read and had this delta, or nothing new. Returns true when a
  // higher version is held now; errors are those of ConfigState::Apply, after
  // which the store must be read from its beginning.
  Result<bool> OnStoreDelta(const Delta& delta);
  void OnStoreUnchanged() { this->store_reached = true; }

  // A peer told its version. `distance` is 0 in the same failure domain, 1 in
  // the same region and 2 elsewhere.
  void OnPeerVersion(const std::string& peer,
                     uint64_t version,
                     int distance,
                     absl::Time now);
  // A peer is dead or was replaced.
  void OnPeerLost(const std::string& peer);

  // The request to send now, if one is due. To be called after each event and
  // on a timer.
  std::optional<OutgoingConfigRequest> Poll(absl::Time now);

  // The peers to send a notice to now. To be called after each event and on a
  // timer.
  std::vector<std::string> DueNotices(absl::Time now);

  // The answer to a peer's request.
  std::vector<ConfigPart> Answer(const ConfigRequest& request);

  // A part arrived. Returns true when a higher version is held now. A damaged
  // transfer fails with ConfigError or CodecError, changes nothing, and is
  // replaced by a request for all sections.
  Result<bool> OnPart(const std::string& peer,
                      const ConfigPart& part,
                      absl::Time now);

  // Whether the node may act on its configuration. Stays true once it is.
  bool IsReady(absl::Time now);

  // The highest version that peers told.
  uint64_t HighestHeard() const;

 private:
  struct Peer {
    uint64_t version = 0;
    int distance = 0;
    absl::Time blocked_until = absl::InfinitePast();
    // The version it was told last, when to repeat that, and the milliseconds
    // until the repetition after.
    uint64_t told = 0;
    absl::Time repeat_at;
    int64_t repeat_ms = kNoticeRepeatMs;
  };
  struct Transfer {
    std::string peer;
    uint64_t id = 0;
    absl::Time deadline;
    uint32_t count = 0;
    std::map<uint32_t, std::string> parts;
  };

  std::string ChoosePeer(absl::Time now) const;
  bool IsNoticeDue(Peer* peer, absl::Time now) const;
  Result<bool> Finish(const Transfer& finished);
  void Block(const std::string& peer, absl::Time now);
  bool AcceptsPart(const ConfigPart& part) const;

  ConfigNodeOptions options;
  ConfigState state;
  std::map<std::string, Peer> peers;
  std::optional<Transfer> transfer;
  uint64_t next_id = 1;
  // No notice is due before this time unless the version changes.
  absl::Time next_notice = absl::InfinitePast();
  uint64_t noticed_version = 0;
  bool needs_whole = false;
  bool store_reached = false;
  bool ready = false;
  // The last answer, since many peers ask for the same.
  ConfigRequest answered;
  uint64_t answered_version = 0;
  std::string answer_bytes;
};

}  // namespace cuminjunction

#endif  // CONFIG_DISTRIBUTION_H_

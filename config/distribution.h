#ifndef CONFIG_DISTRIBUTION_H_
#define CONFIG_DISTRIBUTION_H_

// Distribution of the configuration to a node and between nodes, as a state
// machine without sockets, threads or clocks.
//
//   ConfigNode node(options);
//   node.OnPeerVersion("entry-1", 17, 0, now);   // from a heartbeat or notice
//   if (auto out = node.Poll(now))
//     Send(out->peer, out->request);
//   ...
//   Result<bool> higher = node.OnPart("entry-1", part, now);
//
// An entry also passes in the deltas that it reads from the store. A node
// applies only higher versions, from whichever source delivers them first.
// Every node answers requests, so a version remains available during a store
// outage as long as one node has it. A replacement node becomes ready when it
// has the highest version that its peers reported.

#include <compare>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "absl/time/time.h"
#include "config/state.h"

namespace cuminjunction {

// Maximum bytes of a part, well below the limit of a frame (128 KiB).
inline constexpr size_t kMaxPartBytes = 64 * 1024;
// Maximum parts of a transfer; limits it to 16 MiB.
inline constexpr uint32_t kMaxParts = 256;
// A transfer that receives no part for this many milliseconds is abandoned and
// requested from another peer.
inline constexpr int64_t kConfigRequestTimeoutMs = 500;
// For this many milliseconds a peer that did not answer, or sent a damaged
// part, is chosen only when there is no other.
inline constexpr int64_t kPeerDeprioritizedMs = 5000;
// Exponential backoff, in milliseconds, of notices to a peer that has not
// reported the version: the initial and the maximum delay.
inline constexpr int64_t kNoticeRepeatMs = 500;
inline constexpr int64_t kMaxNoticeRepeatMs = 8000;

// Announces the sender's version to a peer; heartbeats carry the version too. A
// node sends it to its peers on each new version, which acknowledges the
// notices that it received itself, and repeats it to peers that report a lower
// version.
struct ConfigNotice {
  uint64_t version = 0;

  auto operator<=>(const ConfigNotice&) const = default;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(this->version);
  }
};

// Requests the changes since `base_version`, the version of the requesting
// node.
struct ConfigRequest {
  // Chosen by the requesting node and copied to each part of the answer.
  uint64_t id = 0;
  uint64_t base_version = 0;
  // Requests all sections, regardless of `base_version`.
  bool whole = false;

  auto operator<=>(const ConfigRequest&) const = default;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(this->id, this->base_version, this->whole);
  }
};

// One part of an encoded Delta. `index` is below `count`, the number of parts.
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
  // Number of peers that must report a version before a new node becomes ready.
  // Access to the store replaces them; after `join_deadline` one peer is
  // enough.
  int expected_peers = 1;
  absl::Time join_deadline;
  // Always requests all sections; the baseline of the bench.
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

  // Applies a delta that was read from the store, or records that the store had
  // nothing new. Returns true when the local version increased. Fails with the
  // errors of ConfigState::Apply; the caller must then read the store from its
  // beginning.
  Result<bool> OnStoreDelta(const Delta& delta);
  void OnStoreUnchanged() { this->store_reached = true; }

  // Records the version that a peer reported. `distance` is 0 in the same
  // failure domain, 1 in the same region and 2 elsewhere.
  void OnPeerVersion(const std::string& peer,
                     uint64_t version,
                     int distance,
                     absl::Time now);
  // Removes a peer that is dead or was replaced, and cancels a transfer from
  // it.
  void OnPeerLost(const std::string& peer);

  // Returns the request to send now, if one is due. Call this after each event
  // and on a timer.
  std::optional<OutgoingConfigRequest> Poll(absl::Time now);

  // Returns the peers to send a notice to now, and counts the notices as sent.
  // Call this after each event and on a timer.
  std::vector<std::string> DueNotices(absl::Time now);

  // Returns the answer to a peer's request.
  std::vector<ConfigPart> Answer(const ConfigRequest& request);

  // Processes a received part. Returns true when the local version increased. A
  // damaged transfer fails with ConfigError or CodecError and leaves the
  // configuration unchanged. When the assembled delta can't be applied, the
  // next request asks for all sections.
  Result<bool> OnPart(const std::string& peer,
                      const ConfigPart& part,
                      absl::Time now);

  // Returns true when the node may act on its configuration. Never returns to
  // false once it was true.
  bool IsReady(absl::Time now);

  // The highest version that peers reported.
  uint64_t HighestPeerVersion() const;

 private:
  struct Peer {
    uint64_t version = 0;
    int distance = 0;
    absl::Time deprioritized_until = absl::InfinitePast();
    // The version of the last notice to this peer, the time of the next
    // repetition, and the current backoff.
    uint64_t notified_version = 0;
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
  Result<bool> ApplyTransfer(const Transfer& completed);
  void Deprioritize(const std::string& peer, absl::Time now);
  bool AcceptsPart(const ConfigPart& part) const;

  ConfigNodeOptions options;
  ConfigState state;
  std::map<std::string, Peer> peers;
  std::optional<Transfer> transfer;
  uint64_t next_id = 1;
  // No notice is due before this time, unless the version changes or a peer
  // that was not yet notified of it reports.
  absl::Time next_notice_at = absl::InfinitePast();
  uint64_t last_notice_version = 0;
  bool needs_whole = false;
  bool store_reached = false;
  bool ready = false;
  // Cache of the last answer, since many peers send the same request.
  ConfigRequest cached_request;
  uint64_t cached_version = 0;
  std::string cached_answer;
};

}  // namespace cuminjunction

#endif  // CONFIG_DISTRIBUTION_H_

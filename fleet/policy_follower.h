#ifndef FLEET_POLICY_FOLLOWER_H_
#define FLEET_POLICY_FOLLOWER_H_

// Follows what the operator writes to the platform's store: the configuration
// and the evacuations of failure domains.
//
//   PolicyFollower follower(&context, &store, evacuation_bound, &log, &metrics,
//                           {.on_policy = ..., .on_evacuations = ...});
//   follower.Start();
//   follower.AsOf();   // how recent the knowledge is

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "absl/time/time.h"
#include "base/log.h"
#include "base/metrics.h"
#include "platform/store.h"
#include "submission/evacuation.h"
#include "submission/policy.h"

namespace cuminjunction {

struct PolicyFollowerHandlers {
  // A higher version of the configuration was read.
  std::function<void(const FleetPolicy& policy)> on_policy;
  // The set of evacuated failure domains has changed. Called before on_policy
  // when one read brings both, so that nobody plans without the set.
  std::function<void(const EvacuatedDomains& domains)> on_evacuations;
};

class PolicyFollower {
 public:
  // The pointers must outlive this object. With an `evacuation_bound` above
  // zero, FleetSettings::evacuate_ms, the feed is read more often. With zero
  // the evacuations are ignored.
  PolicyFollower(boost::asio::io_context* context,
                 Store* store,
                 absl::Duration evacuation_bound,
                 Log* log,
                 Metrics* metrics,
                 PolicyFollowerHandlers handlers);

  void Start();

  const FleetPolicy& Policy() const { return this->policy; }
  const EvacuatedDomains& Evacuations() const { return this->evacuations; }
  // The evacuations are those at this time of the boot clock, or later ones.
  absl::Time AsOf() const { return this->as_of; }
  // True if the last read of the store failed.
  bool IsStoreUnreachable() const { return this->store_unreachable; }

 private:
  // Pages of a read of the whole table.
  struct Pages {
    absl::Time sent;
    // Version of the first page, the oldest: the feed continues there.
    int64_t feed_version = 0;
    std::vector<StoreRow> rows;
  };

  // Reads the whole table, then its feed of changes.
  void Read();
  void ReadPage(const std::string& from, const std::shared_ptr<Pages>& pages);
  void OnPage(RowsReply&& reply, const std::shared_ptr<Pages>& pages);
  void ReadFeed(absl::Duration wait);
  void OnFeed(RowsReply&& reply, absl::Time sent);
  // The domains that these rows evacuate in addition to `known`, without those
  // whose evacuation they end.
  EvacuatedDomains ApplyEvacuations(const std::vector<StoreRow>& rows,
                                    EvacuatedDomains known) const;
  void SetEvacuations(EvacuatedDomains&& domains);
  void ApplyConfiguration(const std::vector<StoreRow>& rows);
  void OnReadFailed(const RowsReply& reply, absl::Time sent);
  void OnReadSucceeded();

  Store* store;
  bool reads_evacuations;
  absl::Duration feed_wait;
  Log* log;
  Metrics* metrics;
  PolicyFollowerHandlers handlers;
  boost::asio::steady_timer timer;
  FleetPolicy policy;
  EvacuatedDomains evacuations;
  absl::Time as_of = absl::InfinitePast();
  // Version of the store up to which the feed was read.
  int64_t version = 0;
  bool store_unreachable = false;
  // Reads that have failed since the last one that succeeded.
  int64_t failures = 0;
};

}  // namespace cuminjunction

#endif  // FLEET_POLICY_FOLLOWER_H_

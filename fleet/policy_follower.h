#ifndef FLEET_POLICY_FOLLOWER_H_
#define FLEET_POLICY_FOLLOWER_H_

// Follows the operator's configuration in the platform's store.
//
//   PolicyFollower follower(&context, &store, &log, &metrics, handler);
//   follower.Start();   // calls `handler` with each higher version

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstdint>
#include <functional>
#include <vector>

#include "base/log.h"
#include "base/metrics.h"
#include "platform/store.h"
#include "submission/policy.h"

namespace cuminjunction {

class PolicyFollower {
 public:
  using Handler = std::function<void(const FleetPolicy& policy)>;

  // The pointers must outlive this object.
  PolicyFollower(boost::asio::io_context* context,
                 Store* store,
                 Log* log,
                 Metrics* metrics,
                 Handler handler);

  void Start();

  const FleetPolicy& Policy() const { return this->policy; }
  // True if the last read of the store failed.
  bool IsStoreUnreachable() const { return this->store_unreachable; }

 private:
  // Reads the whole configuration, then its feed of changes.
  void Read();
  void ReadFeed();
  void OnReply(RowsReply&& reply, absl::Time sent);
  void ApplyRows(const std::vector<StoreRow>& rows);
  void OnReadFailed(const RowsReply& reply, absl::Time sent);
  void OnReadSucceeded();

  Store* store;
  Log* log;
  Metrics* metrics;
  Handler handler;
  boost::asio::steady_timer timer;
  FleetPolicy policy;
  // Version of the store up to which the feed was read.
  int64_t version = 0;
  bool store_unreachable = false;
  // Reads that have failed since the last one that succeeded.
  int64_t failures = 0;
};

}  // namespace cuminjunction

#endif  // FLEET_POLICY_FOLLOWER_H_

#ifndef DAEMON_POLICY_FOLLOWER_H_
#define DAEMON_POLICY_FOLLOWER_H_

// Follows the operator's configuration in the platform's store.
//
//   PolicyFollower follower(&context, &store, &log, [](const FleetPolicy&
//   policy) {
//     ...                                          // a higher version
//   });
//   follower.Start();

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstdint>
#include <functional>
#include <vector>

#include "base/log.h"
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
                 Handler handler);

  void Start();

  const FleetPolicy& Policy() const { return this->policy; }
  // The last call to the store failed.
  bool IsStoreLost() const { return this->store_lost; }

 private:
  void Read();
  void Follow();
  void Take(const std::vector<StoreRow>& rows);
  void OnError(std::error_code error);
  void OnAnswer();

  Store* store;
  Log* log;
  Handler handler;
  boost::asio::steady_timer timer;
  FleetPolicy policy;
  int64_t version = 0;
  bool store_lost = false;
};

}  // namespace cuminjunction

#endif  // DAEMON_POLICY_FOLLOWER_H_

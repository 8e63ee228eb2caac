#ifndef FLEET_METRICS_FRONT_H_
#define FLEET_METRICS_FRONT_H_

// Serves a process's metrics as Prometheus text.
//
//   MetricsFront front(&context, &metrics);
//   Status started = front.Start({"10.0.0.5", 9464});

#include <boost/asio/io_context.hpp>
#include <memory>

#include "base/endpoint.h"
#include "base/error.h"
#include "base/http_front.h"
#include "base/metrics.h"

namespace cuminjunction {

class MetricsFront {
 public:
  // The pointers must outlive this object.
  MetricsFront(boost::asio::io_context* context, Metrics* metrics);

  // Listens; does nothing when the port is 0. Fails with HttpFrontError.
  Status Start(const Endpoint& address);

 private:
  boost::asio::io_context* context;
  Metrics* metrics;
  std::unique_ptr<HttpFront> front;
};

}  // namespace cuminjunction

#endif  // FLEET_METRICS_FRONT_H_

#include "fleet/metrics_front.h"

namespace cuminjunction {

MetricsFront::MetricsFront(boost::asio::io_context* context, Metrics* metrics)
    : context(context), metrics(metrics) {}

Status MetricsFront::Start(const Endpoint& address) {
  if (address.port == 0)
    return Ok();
  this->front = std::make_unique<HttpFront>(
      this->context,
      HttpFrontOptions{.host = address.host, .port = address.port},
      [this](HttpExchange* exchange) {
        this->front->Answer(
            exchange,
            {200, {{"Content-Type", "text/plain"}}, this->metrics->Text()});
      });
  BOOST_OUTCOME_TRY(this->front->Start());
  return Ok();
}

}  // namespace cuminjunction

#include "fleet/node_row.h"

#include <chrono>

namespace cuminjunction {

namespace {

constexpr absl::Duration kCallTimeout = absl::Seconds(1);
constexpr std::chrono::milliseconds kRetryDelay(300);

}  // namespace

NodeRegistration::NodeRegistration(boost::asio::io_context* context,
                                   Store* store,
                                   const NodeRow& row,
                                   const std::string& vm,
                                   Log* log)
    : store(store), row(row), vm(vm), log(log), timer(*context) {}

void NodeRegistration::Start() {
  this->store->Commit(
      {.expects = {}, .puts = {{kNodeTable, this->vm, Encode(this->row)}}},
      kCallTimeout, [this](CommitReply&& reply) {
        if (!reply.error) {
          this->registered = true;
          this->log->Write(
              LogLine("node_registered").Add("version", reply.version));
          return;
        }
        this->log->Write(LogLine("node_registration_failed", LogLevel::kWarning)
                             .Add("error", reply.error));
        this->timer.expires_after(kRetryDelay);
        this->timer.async_wait([this](std::error_code error) {
          if (!error)
            this->Start();
        });
      });
}

}  // namespace cuminjunction

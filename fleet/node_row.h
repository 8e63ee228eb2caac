#ifndef FLEET_NODE_ROW_H_
#define FLEET_NODE_ROW_H_

// The row in the store by which planners find the address of a process.
//
//   NodeRegistration registration(&context, &store, row, "erie-a-1", &log);
//   registration.Start();   // retries until the row is stored

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <string>

#include "base/codec.h"
#include "base/endpoint.h"
#include "base/log.h"
#include "platform/store.h"

namespace cuminjunction {

// Names of the tables, except that of the planner's lease.
inline constexpr char kNodeTable[] = "node";
inline constexpr char kSubmissionTable[] = "submission";
inline constexpr char kCancellationTable[] = "cancellation";
inline constexpr char kProgressTable[] = "progress";
inline constexpr char kVacantTable[] = "vacant";
inline constexpr char kFenceTable[] = "fence";

// Part of the store (StoreOptions::part) that holds all rows of the system.
inline constexpr char kFleetPart[] = "fleet";

struct NodeRow {
  // Address on which the process accepts connections of planners.
  Endpoint address;
  // True for an agent, which supervises a runner; false for an entry.
  bool is_agent = false;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(this->address, this->is_agent);
  }
};

// Writes the row of this process to the store.
class NodeRegistration {
 public:
  // `context`, `store` and `log` must outlive this object.
  NodeRegistration(boost::asio::io_context* context,
                   Store* store,
                   const NodeRow& row,
                   const std::string& vm,
                   Log* log);

  // Starts to write the row; a failed write is retried.
  void Start();

  // True once the row is stored.
  bool IsRegistered() const { return this->registered; }

 private:
  Store* store;
  NodeRow row;
  std::string vm;
  Log* log;
  boost::asio::steady_timer timer;
  bool registered = false;
};

}  // namespace cuminjunction

#endif  // FLEET_NODE_ROW_H_

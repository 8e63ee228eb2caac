#ifndef REQUEST_DECISION_RING_H_
#define REQUEST_DECISION_RING_H_

// A ring buffer with the log lines of a shard's most recent routing decisions,
// for the command `explain REQUEST`.
//
//   DecisionRing decisions(/*capacity=*/4096);
//   decisions.Add(request_id, std::move(line));
//   for (const std::string& json : decisions.Find(request_id)) ...

#include <cstdint>
#include <string>
#include <vector>

#include "base/log.h"
#include "request/types.h"

namespace cuminjunction {

class DecisionRing {
 public:
  explicit DecisionRing(size_t capacity) : slots(capacity) {}

  void Add(const RequestId& id, LogLine&& line) {
    if (this->slots.empty())
      return;
    Slot& slot = this->slots[this->next++ % this->slots.size()];
    slot.id = id;
    slot.line = std::move(line);
  }

  // The lines about a request as JSON objects, oldest first. Empty when newer
  // lines have overwritten all of them.
  std::vector<std::string> Find(const RequestId& id) const {
    std::vector<std::string> out;
    for (size_t i = 0; i < this->slots.size(); ++i) {
      const Slot& slot = this->slots[(this->next + i) % this->slots.size()];
      if (slot.id == id)
        out.push_back(slot.line.Finish());
    }
    return out;
  }

 private:
  struct Slot {
    RequestId id;
    LogLine line{""};
  };

  std::vector<Slot> slots;
  size_t next = 0;
};

}  // namespace cuminjunction

#endif  // REQUEST_DECISION_RING_H_

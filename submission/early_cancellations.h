#ifndef SUBMISSION_EARLY_CANCELLATIONS_H_
#define SUBMISSION_EARLY_CANCELLATIONS_H_

// Cancellations of submissions that the planner does not have.
//
//   EarlyCancellations early;
//   early.Add("5c0e7a21d94b36f8", now);
//   if (early.Remove(submission.id)) ...  // it is cancelled when it is added
//   for (const std::string& id : early.TakeBefore(now - kTime, 90)) ...
//
// Load pattern: callers that get no answer give up and cancel by the thousand
// what was never stored. Each cancellation is kept only for as long as a copy
// of the submission may still be on its way.

#include <cstddef>
#include <deque>
#include <string>
#include <utility>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "absl/time/time.h"

namespace cuminjunction {

class EarlyCancellations {
 public:
  // Adds a cancellation that was read or received at this time. One that is
  // there keeps its time.
  void Add(const std::string& id, absl::Time now);

  // Returns false if there was none.
  bool Remove(const std::string& id) { return this->times.erase(id) > 0; }

  bool Contains(const std::string& id) const {
    return this->times.contains(id);
  }

  // Removes the cancellations that were added before this time, at most
  // `max_count` of them, and returns their ids, the oldest first.
  std::vector<std::string> TakeBefore(absl::Time time, size_t max_count);

  size_t Count() const { return this->times.size(); }

 private:
  absl::flat_hash_map<std::string, absl::Time> times;
  // In the order of their times, also those that were removed.
  std::deque<std::pair<absl::Time, std::string>> by_time;
};

}  // namespace cuminjunction

#endif  // SUBMISSION_EARLY_CANCELLATIONS_H_

#ifndef REQUEST_TIMER_QUEUE_H_
#define REQUEST_TIMER_QUEUE_H_

// A queue of deadlines that share one timer. Uses no clock.
//
//   TimerQueue<uint64_t> deadlines;
//   deadlines.Add(deadline, number);
//   arm the timer for deadlines.Next();
//   while (std::optional<uint64_t> number = deadlines.PopDue(now)) ...
//
// A single key can't be removed; the caller ignores obsolete keys when they are
// due. Compact() bounds the memory of obsolete keys.

#include <algorithm>
#include <optional>
#include <utility>
#include <vector>

#include "absl/time/time.h"

namespace cuminjunction {

template <class Key>
class TimerQueue {
 public:
  void Add(absl::Time time, Key key) {
    this->heap.emplace_back(time, std::move(key));
    std::push_heap(this->heap.begin(), this->heap.end(), Later);
  }

  // The earliest time; infinite when empty.
  absl::Time Next() const {
    return this->heap.empty() ? absl::InfiniteFuture()
                              : this->heap.front().first;
  }

  // Removes and returns the earliest key whose time is not after `now`.
  std::optional<Key> PopDue(absl::Time now) {
    if (this->heap.empty() || this->heap.front().first > now)
      return std::nullopt;
    std::pop_heap(this->heap.begin(), this->heap.end(), Later);
    Key key = std::move(this->heap.back().second);
    this->heap.pop_back();
    return key;
  }

  // Removes the keys for which `is_live` is false. Does nothing until the queue
  // holds more than 2 * `live_count` + 1,024 keys.
  template <class IsLive>
  void Compact(size_t live_count, IsLive is_live) {
    if (this->heap.size() <= 2 * live_count + 1024)
      return;
    std::erase_if(this->heap,
                  [&](const auto& item) { return !is_live(item.second); });
    std::make_heap(this->heap.begin(), this->heap.end(), Later);
  }

  size_t Count() const { return this->heap.size(); }

 private:
  using Item = std::pair<absl::Time, Key>;

  static bool Later(const Item& a, const Item& b) { return a.first > b.first; }

  std::vector<Item> heap;
};

}  // namespace cuminjunction

#endif  // REQUEST_TIMER_QUEUE_H_

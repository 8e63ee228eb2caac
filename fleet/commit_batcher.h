#ifndef FLEET_COMMIT_BATCHER_H_
#define FLEET_COMMIT_BATCHER_H_

// Sends commits to the store in batches: those that arrive while a transaction
// is under way share the next one.
//
//   CommitBatcher batcher(&context, &store);
//   batcher.Commit(commit, absl::Milliseconds(700), [](CommitReply&& reply) {
//     ...
//   });
//
// With a fast store each commit is sent at once. With a slow one the number of
// transactions does not grow with that of the commits; see commit_batch.h.
// A commit that was not sent in time fails with kNotSent, which is certain.

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <vector>

#include "absl/time/time.h"
#include "fleet/commit_batch.h"
#include "platform/store.h"

namespace cuminjunction {

class CommitBatcher {
 public:
  using Done = std::function<void(CommitReply&&)>;

  // The pointers must outlive this object.
  CommitBatcher(boost::asio::io_context* context, Store* store);
  // Calls none of the callbacks that wait.
  ~CommitBatcher();
  CommitBatcher(const CommitBatcher&) = delete;
  CommitBatcher& operator=(const CommitBatcher&) = delete;

  // Does what Store::Commit() does, with the same errors, and calls `done` at
  // the latest after `timeout`. The commit must name no row that must be
  // written in an order with the rows of other commits.
  void Commit(StoreCommit commit, absl::Duration timeout, Done done);

  // True while transactions take so long that their number matters: the last
  // one, or a read since then, took longer than 150 ms, one that is under way
  // does, or the store has refused one within the last half second.
  bool IsSlow(absl::Time now) const;

  // Records how long the store took for a read, which shows whether it is still
  // slow while no transactions are sent. After a fast answer, transactions that
  // were sent before that read do not keep further ones from being sent.
  void RecordLatency(absl::Duration latency);

 private:
  struct Item {
    StoreCommit commit;
    absl::Time deadline;
    // Null once it was called.
    Done done;
    // Is not merged with others, after a conflict that none of the commits of
    // its batch explains.
    bool alone = false;
    // An earlier transaction with it may have been, or may still be, carried
    // out, so that a later refusal is not certain.
    bool resent = false;
  };
  struct Batch {
    absl::Time sent_at;
    std::vector<std::shared_ptr<Item>> items;
  };

  // When the next transaction may be sent: at once, at a later time, or, as
  // long as no reply comes, never.
  absl::Time NextSend() const;
  // Sends the commits that wait if a transaction may be sent now.
  void SendNext();
  // `answered` is false for a transaction that the store did not decide on.
  void NoteLatency(absl::Duration latency, bool answered);
  void OnReply(uint64_t number, const CommitReply& reply);
  void Finish(Item* item, CommitReply&& reply);
  // Ends the commits whose deadline has passed, and sets the timer.
  void OnTimer();
  void SetTimer();

  Store* store;
  boost::asio::steady_timer timer;
  // Commits that wait, in the order of their arrival.
  std::deque<std::shared_ptr<Item>> waiting;
  // Commits under way by the number of their batch.
  std::map<uint64_t, Batch> batches;
  uint64_t next_batch = 1;
  bool last_was_slow = false;
  // Send time of the latest call that was answered fast.
  absl::Time fast_answer_sent = absl::InfinitePast();
  absl::Time last_refusal = absl::InfinitePast();
  // False once this object is destroyed.
  std::shared_ptr<bool> active = std::make_shared<bool>(true);
};

}  // namespace cuminjunction

#endif  // FLEET_COMMIT_BATCHER_H_

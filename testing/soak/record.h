#ifndef TESTING_SOAK_RECORD_H_
#define TESTING_SOAK_RECORD_H_

// What callers of a soak have seen, and the promises that were broken.
//
//   Record record;
//   record.Accept("00000a0000000001");
//   record.Show("00000a0000000001", "completed", 0);
//   ... record.Broken() ...

#include <map>
#include <set>
#include <string>
#include <vector>

#include "absl/synchronization/mutex.h"
#include "absl/time/time.h"

namespace cuminjunction {

// Callable from any thread.
class Record {
 public:
  void Accept(const std::string& id);
  bool IsAccepted(const std::string& id) const;
  void Refuse(const std::string& id);
  void Break(const std::string& what);

  // A call that cancels an accepted submission is about to be sent.
  void SendCancel(const std::string& id);
  // Such a call was acknowledged at this time.
  void AcknowledgeCancel(const std::string& id, absl::Time at);

  // Takes note of a state that was read. `crashes` is the most crashes of
  // runners that one of its tasks has seen.
  void Show(const std::string& id, const std::string& state, int crashes);

  // Accepted submissions of which no final state was shown.
  std::vector<std::string> Unfinished() const;

  size_t AcceptedCount() const;
  size_t FailedCount() const;
  std::set<std::string> Refused() const;
  // When the cancellation was first acknowledged, by submission.
  std::map<std::string, absl::Time> Cancelled() const;
  bool IsCancelSent(const std::string& id) const;
  std::vector<std::string> Broken() const;

 private:
  mutable absl::Mutex mutex;
  // The last state that was shown, by submission.
  std::map<std::string, std::string> accepted;
  std::set<std::string> refused;
  std::set<std::string> cancel_sent;
  std::map<std::string, absl::Time> cancelled;
  std::vector<std::string> broken;
};

}  // namespace cuminjunction

#endif  // TESTING_SOAK_RECORD_H_

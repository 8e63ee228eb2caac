#ifndef DAEMON_ENTRY_PROCESS_H_
#define DAEMON_ENTRY_PROCESS_H_

// A process with the role entry.
//
//   auto entry = EntryProcess::Start(settings, &log);
//   ...                          // until SIGTERM
//   entry.value()->Shutdown();   // cuts off no request in flight

#include <memory>

#include "base/log.h"
#include "settings/settings.h"

namespace cuminjunction {

class EntryProcess {
 public:
  // Fails with the error of a port that can't be listened on, or of a chart
  // that can't be read.
  static Result<std::unique_ptr<EntryProcess>> Start(const Settings& settings,
                                                     Log* log);
  ~EntryProcess();
  EntryProcess(const EntryProcess&) = delete;
  EntryProcess& operator=(const EntryProcess&) = delete;

  // Reports not ready, answers on for the grace period of the settings, and
  // returns when the last request in flight has been answered.
  void Shutdown();

  // The ports that the process listens on.
  const ListenSettings& Listening() const;

 private:
  struct Impl;
  explicit EntryProcess(std::unique_ptr<Impl> impl);
  std::unique_ptr<Impl> impl;
};

}  // namespace cuminjunction

#endif  // DAEMON_ENTRY_PROCESS_H_

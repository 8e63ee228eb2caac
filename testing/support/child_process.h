#ifndef TESTING_SUPPORT_CHILD_PROCESS_H_
#define TESTING_SUPPORT_CHILD_PROCESS_H_

// Processes that a bench or soak starts. These are test tools, so they may
// start processes; it ends only these, by their ids.
//
//   ChildProcess child;
//   child.Start({"build/upstream_standin", "--port", "0"});
//   int port = child.ReadPort();
//   child.Signal(SIGTERM);
//   child.Wait();

#include <sys/types.h>

#include <string>
#include <string_view>
#include <vector>

#include "absl/time/time.h"

namespace cuminjunction {

class ChildProcess {
 public:
  ChildProcess() = default;
  // Kills the process when it still runs.
  ~ChildProcess();
  ChildProcess(const ChildProcess&) = delete;
  ChildProcess& operator=(const ChildProcess&) = delete;

  // Starts the program at argv[0] with pipes as standard input and output. Must
  // not run already. Returns false when it can't be started.
  bool Start(const std::vector<std::string>& argv);

  // Reads the line {"port": N} that the process prints when it listens. 0 when
  // it ends or prints something else.
  int ReadPort();

  // Writes to standard input of the process.
  void Write(std::string_view text) const;

  void Signal(int signal) const;

  // Waits for the end of the process. Kills it after `limit` and returns false.
  bool Wait(absl::Duration limit = absl::Seconds(10));

  // True when the process has ended since it was started; ExitCode() tells how.
  bool HasEnded();

  // Exit code of the last process, -1 when a signal ended it.
  int ExitCode() const { return this->exit_code; }

  bool IsRunning() const { return this->pid > 0; }
  pid_t Pid() const { return this->pid; }

 private:
  void CloseFiles();

  pid_t pid = 0;
  int exit_code = 0;
  int input = -1;
  int output = -1;
};

// Folder of the programs: that of the running one.
std::string ProgramFolder();

}  // namespace cuminjunction

#endif  // TESTING_SUPPORT_CHILD_PROCESS_H_

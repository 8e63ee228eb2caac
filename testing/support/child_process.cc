#include "testing/support/child_process.h"

#include <fcntl.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

#include <climits>
#include <csignal>
#include <cstdlib>

#include "absl/time/clock.h"

namespace cuminjunction {

ChildProcess::~ChildProcess() {
  if (!this->IsRunning())
    return;
  this->Signal(SIGKILL);
  this->Wait();
}

bool ChildProcess::Start(const std::vector<std::string>& argv) {
  int to_child[2];
  int from_child[2];
  if (pipe2(to_child, O_CLOEXEC) != 0)
    return false;
  if (pipe2(from_child, O_CLOEXEC) != 0) {
    close(to_child[0]);
    close(to_child[1]);
    return false;
  }
  posix_spawn_file_actions_t actions;
  posix_spawn_file_actions_init(&actions);
  posix_spawn_file_actions_adddup2(&actions, to_child[0], STDIN_FILENO);
  posix_spawn_file_actions_adddup2(&actions, from_child[1], STDOUT_FILENO);
  std::vector<char*> arguments;
  arguments.reserve(argv.size() + 1);
  for (const std::string& argument : argv)
    arguments.push_back(const_cast<char*>(argument.c_str()));
  arguments.push_back(nullptr);
  const int error = posix_spawn(&this->pid, arguments[0], &actions, nullptr,
                                arguments.data(), environ);
  posix_spawn_file_actions_destroy(&actions);
  close(to_child[0]);
  close(from_child[1]);
  this->input = to_child[1];
  this->output = from_child[0];
  if (error == 0)
    return true;
  this->pid = 0;
  this->CloseFiles();
  return false;
}

int ChildProcess::ReadPort() {
  std::string line;
  char byte = 0;
  while (read(this->output, &byte, 1) == 1 && byte != '\n')
    line.push_back(byte);
  const size_t colon = line.find(':');
  return colon == std::string::npos ? 0 : std::atoi(line.c_str() + colon + 1);
}

void ChildProcess::Write(std::string_view text) const {
  while (!text.empty()) {
    const ssize_t written = write(this->input, text.data(), text.size());
    if (written <= 0)
      return;
    text.remove_prefix(static_cast<size_t>(written));
  }
}

void ChildProcess::Signal(int signal) const {
  if (this->IsRunning())
    kill(this->pid, signal);
}

bool ChildProcess::Wait(absl::Duration limit) {
  const absl::Time until = absl::Now() + limit;
  bool in_time = true;
  while (this->IsRunning()) {
    int status = 0;
    if (waitpid(this->pid, &status, WNOHANG) != 0) {
      this->exit_code = WIFEXITED(status) ? WEXITSTATUS(status) : -1;
      this->pid = 0;
      break;
    }
    if (in_time && absl::Now() > until) {
      in_time = false;
      this->Signal(SIGKILL);
    }
    absl::SleepFor(absl::Milliseconds(5));
  }
  this->CloseFiles();
  return in_time;
}

bool ChildProcess::HasEnded() {
  int status = 0;
  if (!this->IsRunning() || waitpid(this->pid, &status, WNOHANG) == 0)
    return false;
  this->exit_code = WIFEXITED(status) ? WEXITSTATUS(status) : -1;
  this->pid = 0;
  this->CloseFiles();
  return true;
}

void ChildProcess::CloseFiles() {
  for (int* file : {&this->input, &this->output}) {
    if (*file >= 0)
      close(*file);
    *file = -1;
  }
}

std::string ProgramFolder() {
  char path[PATH_MAX];
  const ssize_t size = readlink("/proc/self/exe", path, sizeof(path));
  const std::string whole(path, size > 0 ? static_cast<size_t>(size) : 0);
  return whole.substr(0, whole.rfind('/'));
}

}  // namespace cuminjunction

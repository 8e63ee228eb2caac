#ifndef DAEMON_AGENT_PROCESS_H_
#define DAEMON_AGENT_PROCESS_H_

// A process with the role agent: beside an upstream, on a worker, or both.
//
//   auto agent = AgentProcess::Start(settings, &log);
//   ...                          // until SIGTERM
//   agent.value()->Shutdown();   // cuts off no request in flight

#include <memory>

#include "base/log.h"
#include "settings/settings.h"

namespace cuminjunction {

class AgentProcess {
 public:
  // Fails with the error of a port that can't be listened on, or of a chart
  // that can't be read.
  static Result<std::unique_ptr<AgentProcess>> Start(const Settings& settings,
                                                     Log* log);
  ~AgentProcess();
  AgentProcess(const AgentProcess&) = delete;
  AgentProcess& operator=(const AgentProcess&) = delete;

  // Announces the departure, refuses new requests, and returns when the last
  // one in flight has been answered. Tasks of a worker run on: the next agent
  // on this VM adopts them.
  void Shutdown();

  // The ports that the process listens on.
  const ListenSettings& Listening() const;

 private:
  struct Impl;
  explicit AgentProcess(std::unique_ptr<Impl> impl);
  std::unique_ptr<Impl> impl;
};

}  // namespace cuminjunction

#endif  // DAEMON_AGENT_PROCESS_H_

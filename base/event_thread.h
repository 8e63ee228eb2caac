#ifndef BASE_EVENT_THREAD_H_
#define BASE_EVENT_THREAD_H_

// A thread that owns its sockets, timers and state.
//
// Objects that live on an EventThread are touched only from it. Other threads
// talk to them by posting a message:
//
//   EventThread thread("membership");
//   thread.Start();
//   thread.Post([&] { membership.Leave(); });
//   ...
//   thread.Stop();   // runs what was posted before, then joins

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <future>
#include <memory>
#include <optional>
#include <string>
#include <thread>
#include <utility>

namespace cuminjunction {

class EventThread {
 public:
  explicit EventThread(std::string name);
  ~EventThread();
  EventThread(const EventThread&) = delete;
  EventThread& operator=(const EventThread&) = delete;

  // Starts the thread. Call once.
  void Start();

  // Stops the event loop after the messages posted before, and joins. Sockets
  // and timers that live on the thread must be closed by a message before.
  void Stop();

  // Runs `message` on the thread. Callable from any thread.
  template <class F>
  void Post(F&& message) {
    boost::asio::post(this->context, std::forward<F>(message));
  }

  // Runs `function` on the thread and returns its result. Must not be called
  // from the thread itself.
  template <class F>
  auto Call(F&& function) -> decltype(function()) {
    std::packaged_task<decltype(function())()> task(std::forward<F>(function));
    auto result = task.get_future();
    boost::asio::post(this->context, [&task] { task(); });
    return result.get();
  }

  boost::asio::io_context& Context() { return this->context; }

 private:
  std::string name;
  boost::asio::io_context context{1};
  std::optional<
      boost::asio::executor_work_guard<boost::asio::io_context::executor_type>>
      work;
  std::thread thread;
};

}  // namespace cuminjunction

#endif  // BASE_EVENT_THREAD_H_

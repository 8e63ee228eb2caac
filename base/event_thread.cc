#include "base/event_thread.h"

#include <pthread.h>

namespace cuminjunction {

namespace {

// The kernel's limit for a thread name, without the terminating null.
constexpr size_t kMaxThreadName = 15;

}  // namespace

EventThread::EventThread(std::string name) : name(std::move(name)) {}

EventThread::~EventThread() {
  this->Stop();
}

void EventThread::Start() {
  this->work.emplace(boost::asio::make_work_guard(this->context));
  this->thread = std::thread([this] {
    pthread_setname_np(pthread_self(),
                       this->name.substr(0, kMaxThreadName).c_str());
    this->context.run();
  });
}

void EventThread::Stop() {
  if (!this->thread.joinable())
    return;
  this->Post([this] {
    this->work.reset();
    this->context.stop();
  });
  this->thread.join();
}

}  // namespace cuminjunction

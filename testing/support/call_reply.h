#ifndef TESTING_SUPPORT_CALL_REPLY_H_
#define TESTING_SUPPORT_CALL_REPLY_H_

// Reading of HTTP replies by the load generator.
//
//   CallReplyReader reader;
//   reader.Append(received);
//   if (std::optional<CallReply> reply = reader.Next()) ...
//
// The load generator needs several times the throughput of a general client and
// meets only replies with a Content-Length, so it reads just these.

#include <optional>
#include <string>
#include <string_view>

namespace cuminjunction {

struct CallReply {
  int status = 0;
  // Value of Cuminjunction-Outcome; empty without one.
  std::string outcome;
  std::string body;
  bool closes = false;
};

class CallReplyReader {
 public:
  void Append(std::string_view bytes) { this->buffer.append(bytes); }

  // The next whole reply, or nullopt when more bytes are needed or the bytes
  // are no reply (then IsBroken()).
  std::optional<CallReply> Next();

  bool IsBroken() const { return this->broken; }

  void Clear() {
    this->buffer.clear();
    this->broken = false;
  }

 private:
  std::string buffer;
  bool broken = false;
};

}  // namespace cuminjunction

#endif  // TESTING_SUPPORT_CALL_REPLY_H_

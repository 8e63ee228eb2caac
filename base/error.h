#ifndef BASE_ERROR_H_
#define BASE_ERROR_H_

// Errors and results.
//
// Every function that can fail returns Result<T>: a value or a std::error_code.
// A module declares its failures as an enum and describes them once:
//
//   enum class FrameError { kTooLong = 1, kChecksum };
//   template <>
//   struct ErrorTraits<FrameError> {
//     static constexpr const char* kCategory = "frame";
//     static std::string_view Message(FrameError error);
//   };
//
//   Result<int> Parse(std::string_view bytes) {
//     if (bytes.size() > kLimit) return FrameError::kTooLong;
//     ...
//   }
//
// A failure that has more to tell than a code (a file and line, a conflicting
// change) is described by a struct next to the enum.

#include <boost/outcome/std_result.hpp>
#include <boost/outcome/try.hpp>
#include <string>
#include <string_view>
#include <system_error>
#include <type_traits>

namespace cuminjunction {

// Describes an error enum: the name of its category and a message for each
// value. Specialized by each module.
template <class E>
struct ErrorTraits;

template <class E>
concept ErrorEnum = std::is_enum_v<E> && requires(E error) {
  { ErrorTraits<E>::kCategory } -> std::convertible_to<const char*>;
  { ErrorTraits<E>::Message(error) } -> std::convertible_to<std::string_view>;
};

// The std::error_category of an error enum.
template <ErrorEnum E>
class EnumCategory : public std::error_category {
 public:
  const char* name() const noexcept override {
    return ErrorTraits<E>::kCategory;
  }
  std::string message(int value) const override {
    return std::string(ErrorTraits<E>::Message(static_cast<E>(value)));
  }
};

// Makes an enum value into a std::error_code. Found by argument-dependent
// lookup from the constructor of std::error_code.
template <ErrorEnum E>
std::error_code make_error_code(E error) {
  static const EnumCategory<E> category;
  return {static_cast<int>(error), category};
}

// A value or the reason why there is none.
template <class T>
using Result = boost::outcome_v2::std_result<T>;

// Success without a value, or an error.
using Status = Result<void>;

// The success value of Status.
inline Status Ok() {
  return boost::outcome_v2::success();
}

}  // namespace cuminjunction

template <cuminjunction::ErrorEnum E>
struct std::is_error_code_enum<E> : std::true_type {};

#endif  // BASE_ERROR_H_

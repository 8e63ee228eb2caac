#ifndef BASE_STRINGS_H_
#define BASE_STRINGS_H_

// Abseil's string functions for std::string_view.
//
// Debian builds Abseil with a string_view of its own, which std::string_view
// does not convert to. These wrappers convert it:
//
//   std::string text = StrCat("port ", port, " of ", name);

#include <string>
#include <string_view>
#include <type_traits>
#include <vector>

#include "absl/strings/str_cat.h"
#include "absl/strings/str_join.h"
#include "absl/strings/str_split.h"
#include "absl/strings/string_view.h"

namespace cuminjunction {

inline absl::string_view ToAbsl(std::string_view text) {
  return {text.data(), text.size()};
}

namespace strings_internal {

template <class T>
decltype(auto) Pass(const T& value) {
  if constexpr (std::is_same_v<T, std::string_view>)
    return ToAbsl(value);
  else
    return (value);
}

}  // namespace strings_internal

// The arguments as text, one after another.
template <class... Args>
std::string StrCat(const Args&... args) {
  return absl::StrCat(strings_internal::Pass(args)...);
}

// Appends the arguments as text to `out`.
template <class... Args>
void StrAppend(std::string* out, const Args&... args) {
  absl::StrAppend(out, strings_internal::Pass(args)...);
}

// The parts of `text` between the separators. Empty parts are kept.
inline std::vector<std::string> StrSplit(std::string_view text,
                                         char separator) {
  return absl::StrSplit(ToAbsl(text), separator);
}

// The parts with `separator` between them.
template <class Range>
std::string StrJoin(const Range& parts, std::string_view separator) {
  return absl::StrJoin(parts, ToAbsl(separator));
}

}  // namespace cuminjunction

#endif  // BASE_STRINGS_H_

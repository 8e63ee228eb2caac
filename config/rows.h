#ifndef CONFIG_ROWS_H_
#define CONFIG_ROWS_H_

// Rows of the configuration in the platform's table.
//
//   config/head             ConfigHead; written by every change
//   config/section/SECTION  Section
//   config-history/VERSION  Change; the last kKeptHistory versions
//
// The history lies outside of `config/`, so that a node that follows the
// configuration reads only what it needs.

#include <compare>
#include <cstdint>
#include <string>
#include <vector>

#include "absl/time/time.h"
#include "base/strings.h"
#include "base/time.h"
#include "config/state.h"

namespace cuminjunction {

inline constexpr char kConfigPrefix[] = "config/";
inline constexpr char kHeadKey[] = "config/head";
inline constexpr char kSectionPrefix[] = "config/section/";
inline constexpr uint64_t kKeptHistory = 1000;
// Names of changed sections that a history row lists at most.
inline constexpr size_t kMaxNamesInHistory = 50;

// An accepted change.
struct Change {
  uint64_t version = 0;
  std::string operator_name;
  int64_t time_us = 0;
  // Chosen by whoever submits the change; tells it from all others.
  std::string change_id;
  // Names of changed and removed sections, the first ones when there are many.
  std::vector<std::string> sections;
  uint64_t section_count = 0;

  auto operator<=>(const Change&) const = default;

  // When it was accepted, by the entry's clock.
  absl::Time Time() const { return FromMicros(this->time_us); }

  template <class Archive>
  void serialize(Archive& archive) {
    archive(this->version, this->operator_name, this->time_us, this->change_id,
            this->sections, this->section_count);
  }
};

struct ConfigHead {
  uint64_t version = 0;
  std::string operator_name;
  int64_t time_us = 0;
  std::string change_id;
  // ConfigState::Digest() at this version.
  uint64_t digest = 0;

  auto operator<=>(const ConfigHead&) const = default;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(this->version, this->operator_name, this->time_us, this->change_id,
            this->digest);
  }
};

inline std::string HistoryKey(uint64_t version) {
  return StrCat("config-history/", version);
}

}  // namespace cuminjunction

#endif  // CONFIG_ROWS_H_

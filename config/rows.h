#ifndef CONFIG_ROWS_H_
#define CONFIG_ROWS_H_

// Rows of the configuration in the platform's table.
//
//   config/head             ConfigHead; written by every change
//   config/section/SECTION  Section
//   config-history/VERSION  Change; the last kKeptHistory versions
//
// The history has a prefix of its own, so that a node that scans `config/` for
// updates does not read it.

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
// Maximum number of section names in a history row.
inline constexpr size_t kMaxNamesInHistory = 50;

// An accepted change.
struct Change {
  uint64_t version = 0;
  std::string operator_name;
  int64_t time_us = 0;
  // Unique id, chosen by the submitter of the change.
  std::string change_id;
  // Names of changed and removed sections; at most kMaxNamesInHistory.
  std::vector<std::string> sections;
  // Number of all changed and removed sections.
  uint64_t section_count = 0;

  auto operator<=>(const Change&) const = default;

  // Time of acceptance by the entry's clock.
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

#ifndef SUBMISSION_ESTIMATE_TABLE_H_
#define SUBMISSION_ESTIMATE_TABLE_H_

// Interference estimates with the name of each image stored once, for messages.
//
//   const EstimateTable table = ToEstimateTable(estimates);
//   Result<std::vector<InterferenceEstimate>> read = ParseEstimates(table);

#include <cstdint>
#include <string>
#include <vector>

#include "base/codec.h"
#include "base/error.h"
#include "submission/interference_model.h"

namespace cuminjunction {

struct EstimateTable {
  struct Row {
    // Indexes into `images`.
    uint32_t serving = 0;
    uint32_t filling = 0;
    double interference = 0;
    double variance = 0;

    bool operator==(const Row&) const = default;

    template <class Archive>
    void serialize(Archive& archive) {
      archive(this->serving, this->filling, this->interference, this->variance);
    }
  };

  std::vector<std::string> images;
  std::vector<Row> rows;

  bool operator==(const EstimateTable&) const = default;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(this->images, this->rows);
  }
};

// Keeps the order of the estimates.
EstimateTable ToEstimateTable(
    const std::vector<InterferenceEstimate>& estimates);

// Fails with CodecError::kBadValue if a row names an image that the table does
// not have.
Result<std::vector<InterferenceEstimate>> ParseEstimates(
    const EstimateTable& table);

}  // namespace cuminjunction

#endif  // SUBMISSION_ESTIMATE_TABLE_H_

#include "submission/estimate_table.h"

#include <string_view>

#include "absl/container/flat_hash_map.h"

namespace cuminjunction {

EstimateTable ToEstimateTable(
    const std::vector<InterferenceEstimate>& estimates) {
  EstimateTable table;
  absl::flat_hash_map<std::string_view, uint32_t> indexes;
  const auto index_of = [&](const std::string& image) {
    const auto [entry, added] =
        indexes.try_emplace(image, static_cast<uint32_t>(table.images.size()));
    if (added)
      table.images.push_back(image);
    return entry->second;
  };
  table.rows.reserve(estimates.size());
  for (const InterferenceEstimate& estimate : estimates) {
    const uint32_t serving = index_of(estimate.serving);
    const uint32_t filling = index_of(estimate.filling);
    table.rows.push_back(
        {serving, filling, estimate.interference, estimate.variance});
  }
  return table;
}

Result<std::vector<InterferenceEstimate>> ParseEstimates(
    const EstimateTable& table) {
  std::vector<InterferenceEstimate> estimates;
  estimates.reserve(table.rows.size());
  for (const EstimateTable::Row& row : table.rows) {
    if (row.serving >= table.images.size() ||
        row.filling >= table.images.size())
      return CodecError::kBadValue;
    estimates.push_back({table.images[row.serving], table.images[row.filling],
                         row.interference, row.variance});
  }
  return estimates;
}

}  // namespace cuminjunction

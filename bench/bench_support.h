#ifndef BENCH_BENCH_SUPPORT_H_
#define BENCH_BENCH_SUPPORT_H_

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace bbv {

// Returns the value below which `share` of `values` lie; 0 for none.
inline double Percentile(std::vector<double> values, double share) {
  if (values.empty())
    return 0;
  std::sort(values.begin(), values.end());
  const auto it = static_cast<std::size_t>(
      std::lround(share * static_cast<double>(values.size() - 1)));
  return values[it];
}

// Prints rows of equal keys as one JSON array and as a table.
inline void PrintRows(const std::vector<nlohmann::ordered_json>& rows) {
  if (rows.empty())
    return;
  std::string header;
  for (const auto& [key, value] : rows.front().items())
    header += (header.empty() ? "" : " | ") + key;
  std::printf("%s\n", header.c_str());
  for (const auto& row : rows) {
    std::string line;
    for (const auto& [key, value] : row.items()) {
      char number[32];
      std::snprintf(number, sizeof(number), "%.4g",
                    value.is_number() ? value.get<double>() : 0.0);
      line += (line.empty() ? "" : " | ") +
              (value.is_string() ? value.get<std::string>() : number);
    }
    std::printf("%s\n", line.c_str());
  }
  std::printf("%s\n", nlohmann::ordered_json(rows).dump().c_str());
}

}  // namespace bbv

#endif  // BENCH_BENCH_SUPPORT_H_

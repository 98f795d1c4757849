#include "bbv_fleet/response_length_estimator.h"

#include <algorithm>
#include <cassert>
#include <cmath>

namespace bbv {
namespace {

// Number of responses that the configured length counts for, and number of
// responses after which the weight of a new one no longer decreases.
constexpr double kPriorWeight = 20;
constexpr double kMaxWeight = 100;

// Fraction of the mean deviation that is added to the mean, so that the total
// of about a hundred calls on one target rarely exceeds the estimate.
constexpr double kDeviationFactor = 0.5;

double CapAtLimit(double tokens, double limit) {
  return limit > 0 ? std::min(tokens, limit) : tokens;
}

}  // namespace

double ResponseLengthEstimator::EstimateTokens(const std::string& service,
                                               double usual,
                                               double limit) const {
  const auto it = statistics_.find(service);
  if (it != statistics_.end())
    return CapAtLimit(
        it->second.tokens + kDeviationFactor * it->second.deviation, limit);
  return usual > 0 ? CapAtLimit(usual, limit) : limit;
}

void ResponseLengthEstimator::Record(const std::string& service,
                                     double tokens,
                                     double usual,
                                     double limit) {
  assert(tokens >= 0);
  const Statistics first{usual, 0, usual > 0 ? kPriorWeight : 0};
  Statistics& statistics =
      statistics_.try_emplace(service, first).first->second;
  statistics.weight = std::min(kMaxWeight, statistics.weight + 1);
  const double difference = CapAtLimit(tokens, limit) - statistics.tokens;
  statistics.tokens += difference / statistics.weight;
  statistics.deviation +=
      (std::abs(difference) - statistics.deviation) / statistics.weight;
}

}  // namespace bbv

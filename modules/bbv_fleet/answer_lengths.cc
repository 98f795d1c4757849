#include "bbv_fleet/answer_lengths.h"

#include <algorithm>
#include <cassert>
#include <cmath>

namespace bbv {
namespace {

// Answers for which the configured length counts, and answers seen after which
// the weight of each new one shrinks no further.
constexpr double kUsualWeight = 20;
constexpr double kMostWeight = 100;

// Part of the usual deviation that is expected on top of the mean: of some
// hundred calls on a target, all together then seldom take more.
constexpr double kDeviationShare = 0.5;

double Bounded(double tokens, double limit) {
  return limit > 0 ? std::min(tokens, limit) : tokens;
}

}  // namespace

double ResponseLengthEstimator::EstimateTokens(const std::string& service,
                                               double usual,
                                               double limit) const {
  const auto it = averages_.find(service);
  if (it != averages_.end())
    return Bounded(it->second.tokens + kDeviationShare * it->second.deviation,
                   limit);
  return usual > 0 ? Bounded(usual, limit) : limit;
}

void ResponseLengthEstimator::Record(const std::string& service,
                                     double tokens,
                                     double usual,
                                     double limit) {
  assert(tokens >= 0);
  const Average first{usual, 0, usual > 0 ? kUsualWeight : 0};
  Average& average = averages_.try_emplace(service, first).first->second;
  average.weight = std::min(kMostWeight, average.weight + 1);
  const double difference = Bounded(tokens, limit) - average.tokens;
  average.tokens += difference / average.weight;
  average.deviation +=
      (std::abs(difference) - average.deviation) / average.weight;
}

}  // namespace bbv

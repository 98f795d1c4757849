#ifndef MODULES_BBV_FLEET_RESPONSE_LENGTH_ESTIMATOR_H_
#define MODULES_BBV_FLEET_RESPONSE_LENGTH_ESTIMATOR_H_

#include <map>
#include <string>

namespace bbv {

// Estimates the response length, in tokens, of each service.
//
// Admission reserves KV cache for a call's prompt and its response. Callers
// often send a limit several times the length of the response, so targets that
// reserve memory up to the limit reject calls while part of their memory stays
// unused.
//
// The estimate starts at the configured typical length and is updated by each
// completed response with a bounded weight, so that old responses lose
// influence. Deterministic. Not thread-safe; must be used from one thread.
class ResponseLengthEstimator {
 public:
  // Returns the expected response length of `service`, capped at `limit`.
  // Before the first response this is `usual`, or `limit` if `usual` is not
  // known. A value of 0 means that `usual` or `limit` is not known; returns 0
  // if neither is known and no response has been recorded.
  double EstimateTokens(const std::string& service,
                        double usual,
                        double limit) const;

  // Records a complete response of `tokens` tokens to a call that was limited
  // to `limit` tokens (0 for no limit).
  void Record(const std::string& service,
              double tokens,
              double usual,
              double limit);

 private:
  struct Statistics {
    double tokens = 0;
    // Mean absolute deviation from `tokens`.
    double deviation = 0;
    // Number of responses in the mean, up to a maximum. Includes the weight of
    // the configured typical length.
    double weight = 0;
  };

  std::map<std::string, Statistics> statistics_;
};

}  // namespace bbv

#endif  // MODULES_BBV_FLEET_RESPONSE_LENGTH_ESTIMATOR_H_

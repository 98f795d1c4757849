#ifndef MODULES_BBV_FLEET_ANSWER_LENGTHS_H_
#define MODULES_BBV_FLEET_ANSWER_LENGTHS_H_

#include <map>
#include <string>

namespace bbv {

// How many tokens the answers of each service turn out to have.
//
// Answers the load at which engines' memory binds: a call needs memory for its
// prompt and for the answer that it gets, while the limit that callers send is
// often several times that. Targets that keep memory up to the limits turn
// calls away while a part of their memory stays unused.
// Starts from the configured usual length, follows the answers seen, and
// forgets with each of them. Deterministic. Thread safety: none, owned by one
// thread.
class ResponseLengthEstimator {
 public:
  // Returns the tokens to expect of an answer of `service`: `usual` before any
  // was seen, never more than `limit`. 0 of either means that it is not known;
  // without both, and without answers, it returns 0.
  double EstimateTokens(const std::string& service,
                        double usual,
                        double limit) const;

  // Takes an answer that ended whole after `tokens`, of a call that was limited
  // to `limit` tokens (0 for no limit).
  void Record(const std::string& service,
              double tokens,
              double usual,
              double limit);

 private:
  struct Average {
    double tokens = 0;
    // Mean distance of answers from that.
    double deviation = 0;
    // Answers that it rests on, the usual length counted as some.
    double weight = 0;
  };

  std::map<std::string, Average> averages_;
};

}  // namespace bbv

#endif  // MODULES_BBV_FLEET_ANSWER_LENGTHS_H_

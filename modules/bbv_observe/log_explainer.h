#ifndef MODULES_BBV_OBSERVE_LOG_EXPLAINER_H_
#define MODULES_BBV_OBSERVE_LOG_EXPLAINER_H_

#include <cstdint>
#include <istream>
#include <string>
#include <vector>

namespace bbv {

// Merges the log lines of several entries about one request into a timeline.
//
// A prefix before the JSON object of a line is ignored, as are lines without an
// object. Thread safety: none.
class LogExplainer {
 public:
  // `id` is the request's id as chosen by the caller.
  explicit LogExplainer(std::string id);

  // Adds the matching lines of a log, which may be of several processes.
  void Read(std::istream* log);

  // Whether any line about the request was found.
  bool found() const { return !lines_.empty(); }

  // Returns the timeline, one event per line, followed by the first cause: the
  // first event that reports a failure.
  std::string ToText() const;

  // Returns the lines as a JSON array, sorted by time.
  std::string ToJson() const;

 private:
  struct Line {
    int64_t time_ms = 0;
    std::string json;
  };

  std::vector<Line> SortedByTime() const;

  std::string id_;
  std::vector<Line> lines_;
};

}  // namespace bbv

#endif  // MODULES_BBV_OBSERVE_LOG_EXPLAINER_H_

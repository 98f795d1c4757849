#ifndef MODULES_BBV_OBSERVE_LOG_EXPLAINER_H_
#define MODULES_BBV_OBSERVE_LOG_EXPLAINER_H_

#include <cstdint>
#include <istream>
#include <string>
#include <vector>

namespace bbv {

// Joins the lines that entries logged about one request into a timeline.
//
// Lines that are not JSON objects are passed over, and whatever stands before
// the object on its line. Thread safety: none.
class LogExplainer {
 public:
  // `id` is the caller's id of the request.
  explicit LogExplainer(std::string id);

  // Takes the log of one or more processes.
  void Read(std::istream* log);

  // Whether any line speaks of the request.
  bool found() const { return !lines_.empty(); }

  // Returns the timeline, one event a line, and the first cause: the first
  // line that tells of something that went wrong.
  std::string ToText() const;

  // Returns the lines as a JSON array in the order of time.
  std::string ToJson() const;

 private:
  struct Line {
    int64_t time_ms = 0;
    std::string json;
  };

  std::vector<Line> Sorted() const;

  std::string id_;
  std::vector<Line> lines_;
};

}  // namespace bbv

#endif  // MODULES_BBV_OBSERVE_LOG_EXPLAINER_H_

#ifndef MODULES_BBV_HTTP_EVENT_SPLITTER_H_
#define MODULES_BBV_HTTP_EVENT_SPLITTER_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace bbv {

// One whole event of a text/event-stream body, with its blank line.
struct StreamEvent {
  std::string_view text;
  // Its id line as a number, if it has one.
  std::optional<int64_t> id;
};

// Cuts an event stream into whole events and keeps what is not whole yet.
//
// Thread safety: none, one stream's owner.
class EventSplitter {
 public:
  // Longest part of an event that is kept.
  static constexpr std::size_t kMaxEventBytes = 256U << 10U;

  // Takes received bytes and returns the events that are whole now. Their
  // texts point into the splitter or `data` and stay valid until the next call
  // and while `data` does.
  const std::vector<StreamEvent>& Split(std::string_view data);

  // Whether what has come of an event is longer than any event may be: the rest
  // need not be waited for.
  bool is_overlong() const { return partial_.size() > kMaxEventBytes; }

  // Whether part of an event is being kept.
  bool has_partial_event() const { return !partial_.empty(); }

  // Forgets everything, before another source's stream.
  void Reset();

 private:
  std::string partial_;
  std::string joined_;
  std::vector<StreamEvent> events_;
};

}  // namespace bbv

#endif  // MODULES_BBV_HTTP_EVENT_SPLITTER_H_

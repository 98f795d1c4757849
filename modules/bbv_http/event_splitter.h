#ifndef MODULES_BBV_HTTP_EVENT_SPLITTER_H_
#define MODULES_BBV_HTTP_EVENT_SPLITTER_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace bbv {

// A complete event of a text/event-stream body.
struct StreamEvent {
  // Includes the blank line that ends the event.
  std::string_view text;
  // Value of the event's id line, if it is a whole number of at most 63 bits.
  std::optional<int64_t> id;
};

// Whether `event` carries data. Without any it is a comment or a setting.
// Thread safe.
bool HasData(const StreamEvent& event);

// Splits an event stream into complete events and buffers an incomplete one
// until its remaining bytes arrive.
//
// Thread safety: none; used only by the owner of the stream.
class EventSplitter {
 public:
  // Size above which an incomplete event counts as overlong.
  static constexpr std::size_t kMaxEventBytes = 256U << 10U;

  // Appends received bytes and returns the events that they complete. The texts
  // point into the splitter or into `data`; they are valid until the next call
  // and only as long as `data` is. The time taken depends on `data` alone, not
  // on the incomplete event.
  const std::vector<StreamEvent>& Split(std::string_view data);

  // Whether the incomplete event exceeds kMaxEventBytes, so that the stream can
  // be abandoned.
  bool is_overlong() const { return partial_bytes() > kMaxEventBytes; }

  // Whether an incomplete event is buffered.
  bool has_partial_event() const { return partial_bytes() > 0; }

  // Discards all buffered data and releases its memory.
  void Reset();

 private:
  std::size_t partial_bytes() const { return buffer_.size() - consumed_; }

  // The events returned last, up to `consumed_`, and the incomplete one.
  std::string buffer_;
  std::size_t consumed_ = 0;
  std::vector<StreamEvent> events_;
};

}  // namespace bbv

#endif  // MODULES_BBV_HTTP_EVENT_SPLITTER_H_

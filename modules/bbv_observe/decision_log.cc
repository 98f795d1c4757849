#include "bbv_observe/decision_log.h"

#include <poll.h>
#include <unistd.h>

#include <chrono>
#include <nlohmann/json.hpp>
#include <utility>

namespace bbv {
namespace {

constexpr std::size_t kMaxBufferBytes = 512U << 10U;
// POSIX's PIPE_BUF on Linux: once poll() reports a pipe as writable, a write of
// this size does not block.
constexpr std::size_t kMaxWriteBytes = 4096;
constexpr int kMaxWritesPerFlush = 16;
constexpr int kMaxLinesPerSecondOfEvent = 40;

std::string_view EventName(Event event) {
  for (const EventDescription& it : AllEvents()) {
    if (it.event == event)
      return it.name;
  }
  return "?";
}

}  // namespace

DecisionLog::DecisionLog(std::string node) : node_(std::move(node)) {}

void DecisionLog::Write(Event event,
                        Instant now,
                        std::initializer_list<LogField> fields) {
  if (!Admit(event, now) || buffer_.size() > kMaxBufferBytes) {
    ++dropped_;
    return;
  }
  Append(event, fields);
}

bool DecisionLog::Admit(Event event, Instant now) {
  RateWindow& window = rate_windows_[event];
  if (now - window.started_at >= std::chrono::seconds(1)) {
    window.started_at = now;
    window.lines = 0;
  }
  return ++window.lines <= kMaxLinesPerSecondOfEvent;
}

void DecisionLog::Append(Event event, std::initializer_list<LogField> fields) {
  nlohmann::ordered_json line;
  line["time_ms"] = std::chrono::duration_cast<Milliseconds>(
                        std::chrono::system_clock::now().time_since_epoch())
                        .count();
  line["node"] = node_;
  line["event"] = static_cast<int>(event);
  line["name"] = EventName(event);
  for (const LogField& it : fields) {
    std::visit([&](const auto& value) { line[std::string(it.name)] = value; },
               it.value);
  }
  buffer_ += line.dump(-1, ' ', false,
                       nlohmann::ordered_json::error_handler_t::replace);
  buffer_ += '\n';
}

void DecisionLog::Flush(Instant now) {
  if (dropped_ != reported_dropped_ && buffer_.size() < kMaxBufferBytes / 2 &&
      Admit(Event::kLogLinesDropped, now)) {
    reported_dropped_ = dropped_;
    Append(Event::kLogLinesDropped,
           {{"total", static_cast<int64_t>(dropped_)}});
  }
  std::size_t at = 0;
  for (int it = 0; it < kMaxWritesPerFlush && at < buffer_.size(); ++it) {
    pollfd out{STDOUT_FILENO, POLLOUT, 0};
    if (poll(&out, 1, 0) <= 0 || (out.revents & POLLOUT) == 0)
      break;
    const ssize_t n = write(STDOUT_FILENO, buffer_.data() + at,
                            std::min(kMaxWriteBytes, buffer_.size() - at));
    if (n <= 0)
      break;
    at += static_cast<std::size_t>(n);
  }
  buffer_.erase(0, at);
}

}  // namespace bbv

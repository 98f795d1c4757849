#include "bbv_node/log_follower.h"

#include <utility>

#include "bbv_core/event.h"

namespace bbv {
namespace {

constexpr Milliseconds kRetryDelay{200};

}  // namespace

LogFollower::LogFollower(const SocketAddress& address,
                         Milliseconds timeout,
                         std::string stream,
                         Callbacks callbacks)
    : client_(address, timeout),
      stream_(std::move(stream)),
      callbacks_(std::move(callbacks)),
      wait_(timeout / 2) {}

LogFollower::~LogFollower() {
  Stop();
}

void LogFollower::Start() {
  thread_ = std::thread([this] { Run(); });
}

void LogFollower::Stop() {
  stopping_ = true;
  client_.Abort();
  if (thread_.joinable())
    thread_.join();
}

void LogFollower::Run() {
  uint64_t offset = 0;
  bool available = false;
  bool first = true;
  while (!stopping_) {
    auto records = client_.Read(stream_, offset, wait_);
    if (stopping_)
      return;
    if (records.has_value() != available || first) {
      available = records.has_value();
      first = false;
      LogEvent(available ? Event::kLogAvailable : Event::kLogUnavailable,
               {{"stream", stream_},
                {"error", available ? "" : records.error().ToString()}});
      callbacks_.on_availability_changed(available);
    }
    if (!records) {
      std::this_thread::sleep_for(kRetryDelay);
      continue;
    }
    if (records->first_offset > offset) {
      LogEvent(Event::kLogGap, {{"stream", stream_},
                                {"from", std::to_string(offset)},
                                {"to", std::to_string(records->first_offset)}});
    }
    offset = records->first_offset + records->records.size();
    callbacks_.on_records(std::move(*records));
  }
}

}  // namespace bbv

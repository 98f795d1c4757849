#include "bbv_entry/configuration_follower.h"

#include <cassert>
#include <utility>

#include "platform/configuration_codec.h"

namespace bbv {
namespace {

constexpr Milliseconds kCallTimeout{1500};
// Number of entries of a zone that read for it.
constexpr std::size_t kReaders = 2;
// Maximum long-poll times of a read for the next configuration, of the zone's
// first reader and of the other one. The first one bounds how long silently
// broken connections can hide a change from the zone.
constexpr Milliseconds kFirstLongPoll{1300};
constexpr Milliseconds kOtherLongPoll{6000};
// Additional time within which the response to a long poll must arrive.
constexpr Milliseconds kLongPollMargin{450};
constexpr Milliseconds kRetryInterval{250};
// Interval between reads of an entry that is not a reader and has no
// configuration yet.
constexpr Milliseconds kInitialReadInterval{1000};
// Time that the zone's reader has to distribute a configuration, and the range
// over which the entries that read it themselves are staggered after that.
constexpr Milliseconds kReaderDistributionTime{300};
constexpr Milliseconds kCatchUpSpread{300};
constexpr int kOk = 200;
constexpr int kGone = 410;

}  // namespace

ConfigurationFollower::ConfigurationFollower(StoreClient* store,
                                             DecisionLog* log,
                                             OnRead on_read)
    : store_(store), log_(log), on_read_(std::move(on_read)) {
  assert(store != nullptr && log != nullptr && on_read_);
}

uint64_t ConfigurationFollower::version() const {
  return current_ == nullptr ? 0 : current_->configuration().version;
}

void ConfigurationFollower::OnPeerVersion(uint64_t version, Instant now) {
  if (version <= this->version())
    return;
  if (!behind_since_)
    behind_since_ = now;
}

bool ConfigurationFollower::IsBehind(uint64_t jitter_seed, Instant now) const {
  const auto spread = static_cast<int64_t>(
      jitter_seed % static_cast<uint64_t>(kCatchUpSpread.count()));
  return behind_since_ &&
         now >= *behind_since_ + kReaderDistributionTime + Milliseconds(spread);
}

void ConfigurationFollower::OnTick(std::size_t reader_rank,
                                   uint64_t jitter_seed,
                                   Instant now) {
  const bool waits_too_long =
      reader_rank == 0 && wait_end_ && *wait_end_ > now + kFirstLongPoll;
  // A newer version ends a long poll, unless its connection is broken.
  if (wait_end_ && (waits_too_long || IsBehind(jitter_seed, now)))
    AbandonWait();
  if (call_in_flight_ || now < next_call_at_)
    return;
  const bool is_reader = reader_rank < kReaders;
  const bool must_read = !has_position_ || IsBehind(jitter_seed, now);
  // Until the first configuration every entry reads the store, in case no
  // reader distributes it.
  const bool is_initial_read = current_ == nullptr && now >= next_initial_read_;
  if (!is_reader && !is_initial_read && !IsBehind(jitter_seed, now))
    return;
  next_initial_read_ = now + kInitialReadInterval;
  call_in_flight_ = true;
  if (is_reader && !must_read)
    WaitForNext(reader_rank == 0 ? kFirstLongPoll : kOtherLongPoll, now);
  else
    ReadNewest();
}

void ConfigurationFollower::ApplyRead(std::string_view text) {
  if (Apply(text, "store", EventLoop::Now()))
    on_read_();
}

void ConfigurationFollower::OnReadFailed() {
  call_in_flight_ = false;
  // The next call reads the newest records, which include changes missed
  // meanwhile.
  has_position_ = false;
  next_call_at_ = EventLoop::Now() + kRetryInterval;
}

void ConfigurationFollower::AbandonWait() {
  ++wait_;
  wait_end_.reset();
  store_->CloseIdleConnections();
  call_in_flight_ = false;
}

void ConfigurationFollower::ReadNewest() {
  store_->ReadNewest(platform::kOperatorTopic, {}, kCallTimeout,
                     [this](const Result<platform::NewestPage>& page) {
                       if (!page) {
                         OnReadFailed();
                         return;
                       }
                       if (page->era < read_position_.era) {
                         // The response was sent before the store was restored.
                         OnReadFailed();
                         return;
                       }
                       call_in_flight_ = false;
                       for (const platform::KeyedRecord& it : page->records) {
                         if (it.key != platform::kConfigurationKey)
                           continue;
                         ApplyRead(it.value);
                       }
                       has_position_ = true;
                       read_position_ = {page->era, page->end_offset};
                       // If a peer's newer version was written after this read,
                       // the peer reports it again.
                       behind_since_.reset();
                     });
}

void ConfigurationFollower::WaitForNext(Milliseconds wait, Instant now) {
  wait_end_ = now + wait;
  store_->Call(
      platform::EncodeRead(platform::kOperatorTopic, read_position_.offset,
                           static_cast<int>(wait.count())),
      wait + kLongPollMargin,
      [this, wait_end = now + wait,
       id = ++wait_](const Result<StoreAnswer>& answer) {
        if (id != wait_)
          return;
        wait_end_.reset();
        if (!answer || answer->status != kOk) {
          OnReadFailed();
          const bool is_gone = answer && answer->status == kGone;
          // The store holds the call no longer than this, so that the
          // connection may be broken.
          const bool is_silent = !answer && EventLoop::Now() >= wait_end;
          if (is_gone || is_silent)
            next_call_at_ = EventLoop::Now();
          return;
        }
        if (answer->era != read_position_.era) {
          // Offsets of different eras are not comparable; read the newest
          // records again.
          OnReadFailed();
          next_call_at_ = EventLoop::Now();
          return;
        }
        const auto page =
            platform::DecodeRead(answer->body, read_position_.offset);
        if (!page) {
          OnReadFailed();
          return;
        }
        call_in_flight_ = false;
        for (const platform::KeyedRecord& it : page->records) {
          if (it.key == platform::kConfigurationKey && !it.value.empty())
            ApplyRead(it.value);
        }
        read_position_.offset += static_cast<int64_t>(page->records.size());
      });
}

bool ConfigurationFollower::Apply(std::string_view text,
                                  std::string_view source,
                                  Instant now) {
  auto decoded = platform::DecodeConfiguration(text);
  if (!decoded) {
    log_->Write(
        Event::kFleetConfigurationRejected, now,
        {{"from", std::string(source)}, {"error", decoded.error().ToString()}});
    return false;
  }
  if (current_ != nullptr &&
      decoded->version <= current_->configuration().version)
    return false;
  const auto version = static_cast<int64_t>(decoded->version);
  current_ = std::make_shared<FleetIndex>(std::move(*decoded));
  text_ = text;
  applied_at_ = now;
  behind_since_.reset();
  log_->Write(Event::kFleetConfigurationApplied, now,
              {{"version", version},
               {"from", std::string(source)},
               {"routes", static_cast<int64_t>(
                              current_->configuration().routes.size())}});
  return true;
}

}  // namespace bbv

#include "bbv_entry/configuration_follower.h"

#include <cassert>
#include <utility>

#include "platform/configuration_codec.h"

namespace bbv {
namespace {

constexpr Milliseconds kCallTimeout{1500};
// Longest wait of one read for the next configuration. Bounds how long a
// connection that has gone silent hides a change.
constexpr int kConfigurationWaitMs = 2500;
// Time beyond that within which the answer must come.
constexpr Milliseconds kWaitSlack{600};
constexpr Milliseconds kRetryPause{250};
// Pause between looks for the first configuration by an entry that is no
// reader.
constexpr Milliseconds kLookPause{1000};
// Time that the zone's reader has to hand on a configuration, and by how much
// the entries that read it then are spread.
constexpr Milliseconds kBehindPatience{300};
constexpr Milliseconds kBehindSpread{300};
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

void ConfigurationFollower::HearOfVersion(uint64_t version, Instant now) {
  if (version <= this->version())
    return;
  if (!behind_since_)
    behind_since_ = now;
}

bool ConfigurationFollower::IsBehind(uint64_t draw, Instant now) const {
  const auto spread =
      static_cast<int64_t>(draw % static_cast<uint64_t>(kBehindSpread.count()));
  return behind_since_ &&
         now >= *behind_since_ + kBehindPatience + Milliseconds(spread);
}

void ConfigurationFollower::OnTick(bool is_reader, uint64_t draw, Instant now) {
  if (calling_ || now < not_before_)
    return;
  const bool must_read = !positioned_ || IsBehind(draw, now);
  // Before the first configuration every entry looks for one, in case that no
  // reader hands it on.
  const bool looks = current_ == nullptr && now >= next_look_;
  if (!is_reader && !looks && !IsBehind(draw, now))
    return;
  next_look_ = now + kLookPause;
  calling_ = true;
  if (is_reader && !must_read)
    WaitForNext();
  else
    ReadNewest();
}

void ConfigurationFollower::TakeRead(std::string_view text) {
  if (Take(text, "store", EventLoop::Now()))
    on_read_();
}

void ConfigurationFollower::Failed() {
  calling_ = false;
  // What changed meanwhile is found from the newest records.
  positioned_ = false;
  not_before_ = EventLoop::Now() + kRetryPause;
}

void ConfigurationFollower::ReadNewest() {
  store_->ReadNewest(platform::kOperatorTopic, {}, kCallTimeout,
                     [this](const Result<platform::NewestPage>& page) {
                       if (!page) {
                         Failed();
                         return;
                       }
                       if (page->era < read_to_.era) {
                         // Left over from before the store's return.
                         Failed();
                         return;
                       }
                       calling_ = false;
                       for (const platform::KeyedRecord& it : page->records) {
                         if (it.key != platform::kConfigurationKey)
                           continue;
                         TakeRead(it.value);
                       }
                       positioned_ = true;
                       read_to_ = {page->era, page->end_offset};
                       // What the others have may have come later than this
                       // read; then they say so again.
                       behind_since_.reset();
                     });
}

void ConfigurationFollower::WaitForNext() {
  store_->Call(
      platform::EncodeRead(platform::kOperatorTopic, read_to_.offset,
                           kConfigurationWaitMs),
      Milliseconds(kConfigurationWaitMs) + kWaitSlack,
      [this](const Result<StoreAnswer>& answer) {
        if (!answer || answer->status != kOk) {
          Failed();
          if (answer && answer->status == kGone)
            not_before_ = EventLoop::Now();
          return;
        }
        if (answer->era != read_to_.era) {
          // Offsets of another era say nothing: the newest is read anew.
          Failed();
          not_before_ = EventLoop::Now();
          return;
        }
        const auto page = platform::DecodeRead(answer->body, read_to_.offset);
        if (!page) {
          Failed();
          return;
        }
        calling_ = false;
        for (const platform::KeyedRecord& it : page->records) {
          if (it.key == platform::kConfigurationKey && !it.value.empty())
            TakeRead(it.value);
        }
        read_to_.offset += static_cast<int64_t>(page->records.size());
      });
}

bool ConfigurationFollower::Take(std::string_view text,
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

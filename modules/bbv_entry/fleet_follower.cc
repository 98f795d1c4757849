#include "bbv_entry/fleet_follower.h"

#include <cassert>
#include <utility>

#include "platform/configuration_codec.h"
#include "platform/target_codec.h"

namespace bbv {
namespace {

constexpr Milliseconds kCallTimeout{1500};
// Longest wait of one read for the next configuration. Bounds how long a
// connection that has gone silent hides a change.
constexpr int kConfigurationWaitMs = 2500;
// Time beyond that within which the answer must come.
constexpr Milliseconds kWaitSlack{600};
constexpr Milliseconds kRetryPause{250};
// After the list could not be read, entries that live are back within this
// time of its return.
constexpr Milliseconds kListReturn{2300};
constexpr int kOk = 200;
constexpr int kGone = 410;

}  // namespace

ConfigurationFollower::ConfigurationFollower(StoreClient* store,
                                             DecisionLog* log)
    : store_(store), log_(log) {
  assert(store != nullptr && log != nullptr);
}

void ConfigurationFollower::OnTick(Instant now) {
  if (calling_ || now < not_before_)
    return;
  calling_ = true;
  if (positioned_)
    WaitForNext();
  else
    ReadNewest();
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
                       calling_ = false;
                       const Instant now = EventLoop::Now();
                       bool found = false;
                       for (const platform::KeyedRecord& it : page->records) {
                         if (it.key != platform::kConfigurationKey)
                           continue;
                         Take(it.value, "store", now);
                         found = true;
                       }
                       positioned_ = true;
                       next_offset_ = page->end_offset;
                       if (!found && current_ == nullptr)
                         not_before_ = now + kRetryPause / 5;
                     });
}

void ConfigurationFollower::WaitForNext() {
  store_->Call(
      platform::EncodeRead(platform::kOperatorTopic, next_offset_,
                           kConfigurationWaitMs),
      Milliseconds(kConfigurationWaitMs) + kWaitSlack,
      [this](const Result<StoreAnswer>& answer) {
        if (!answer || answer->status != kOk) {
          Failed();
          if (answer && answer->status == kGone)
            not_before_ = EventLoop::Now();
          return;
        }
        const auto page = platform::DecodeRead(answer->body, next_offset_);
        if (!page) {
          Failed();
          return;
        }
        calling_ = false;
        const Instant now = EventLoop::Now();
        for (const platform::KeyedRecord& it : page->records) {
          if (it.key == platform::kConfigurationKey && !it.value.empty())
            Take(it.value, "store", now);
        }
        next_offset_ += static_cast<int64_t>(page->records.size());
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
  log_->Write(Event::kFleetConfigurationApplied, now,
              {{"version", version},
               {"from", std::string(source)},
               {"routes", static_cast<int64_t>(
                              current_->configuration().routes.size())}});
  return true;
}

TargetFollower::TargetFollower(StoreClient* store,
                               DecisionLog* log,
                               TargetBoard* board)
    : store_(store), log_(log), board_(board) {
  assert(store != nullptr && log != nullptr && board != nullptr);
}

void TargetFollower::OnTick(Instant now) {
  if (must_remove_missing_ && positioned_ && now >= list_began_ + kListReturn)
    RemoveMissing(now);
  if (calling_ || now < not_before_)
    return;
  calling_ = true;
  if (positioned_) {
    ReadOn();
    return;
  }
  list_began_ = now;
  must_remove_missing_ = true;
  ReadNewest({});
}

void TargetFollower::Failed() {
  calling_ = false;
  positioned_ = false;
  not_before_ = EventLoop::Now() + kRetryPause;
}

void TargetFollower::ReadNewest(const std::string& after_key) {
  store_->ReadNewest(platform::kTargetTopic, after_key, kCallTimeout,
                     [this, first = after_key.empty()](
                         const Result<platform::NewestPage>& page) {
                       if (!page) {
                         Failed();
                         return;
                       }
                       const Instant now = EventLoop::Now();
                       // Pages are no snapshot: reading on from the first one's
                       // end repeats what changed between them.
                       if (first)
                         next_offset_ = page->end_offset;
                       for (const platform::KeyedRecord& it : page->records)
                         TakeRecord(it, now);
                       if (page->more && !page->records.empty()) {
                         ReadNewest(page->records.back().key);
                         return;
                       }
                       calling_ = false;
                       positioned_ = true;
                       complete_ = true;
                       not_before_ = now + pause_;
                     });
}

void TargetFollower::ReadOn() {
  store_->Call(platform::EncodeRead(platform::kTargetTopic, next_offset_, 0),
               kCallTimeout, [this](const Result<StoreAnswer>& answer) {
                 if (!answer || answer->status != kOk) {
                   Failed();
                   if (answer && answer->status == kGone)
                     not_before_ = EventLoop::Now();
                   return;
                 }
                 const auto page =
                     platform::DecodeRead(answer->body, next_offset_);
                 if (!page) {
                   Failed();
                   return;
                 }
                 calling_ = false;
                 const Instant now = EventLoop::Now();
                 for (const platform::KeyedRecord& it : page->records)
                   TakeRecord(it, now);
                 next_offset_ += static_cast<int64_t>(page->records.size());
                 not_before_ = now + pause_;
               });
}

void TargetFollower::TakeRecord(const platform::KeyedRecord& record,
                                Instant now) {
  if (record.key.empty())
    return;
  if (record.value.empty()) {
    if (board_->Remove(record.key))
      log_->Write(Event::kTargetGone, now,
                  {{"target", record.key}, {"evidence", "removed from list"}});
    return;
  }
  const auto decoded = platform::DecodeTargetRecord(record.key, record.value);
  if (!decoded) {
    log_->Write(Event::kTargetRecordRejected, now, {{"target", record.key}});
    return;
  }
  const bool known = board_->Find(record.key) != nullptr;
  if (!known)
    last_new_target_ = now;
  if (!board_->Apply(*decoded, now))
    return;
  const LayerRange layers = decoded->layers.value_or(LayerRange{});
  log_->Write(known ? Event::kTargetChanged : Event::kTargetListed, now,
              {{"target", decoded->id},
               {"service", decoded->service},
               {"address", decoded->address},
               {"zone", decoded->zone},
               {"leaving", decoded->leaving},
               {"from_layer", static_cast<int64_t>(layers.from)},
               {"to_layer", static_cast<int64_t>(layers.to)}});
}

void TargetFollower::RemoveMissing(Instant now) {
  must_remove_missing_ = false;
  for (const std::string& id : board_->RemoveUnlistedSince(list_began_)) {
    log_->Write(Event::kTargetGone, now,
                {{"target", id}, {"evidence", "missing after list returned"}});
  }
}

}  // namespace bbv

#include "bbv_entry/target_follower.h"

#include <algorithm>
#include <cassert>
#include <utility>

#include "bbv_core/hashing.h"
#include "bbv_entry/list_messages.h"
#include "platform/target_codec.h"

namespace bbv {
namespace {

constexpr Milliseconds kCallTimeout{1500};
// Pause after a read that failed, for each rank before this entry's: while the
// store is away, the zone's first readers look for its return.
constexpr Milliseconds kRetryPause{250};
constexpr std::size_t kLongestRetry = 6;
// By how much entries that missed a read are spread.
constexpr uint64_t kCatchUpSpreadMs = 100;
// After the list could not be read, entries that live are back within this
// time of its return.
constexpr Milliseconds kListReturn{2300};
// Readers of a zone that hand on whole lists when they start.
constexpr std::size_t kHandingOnAtStart = 2;
// Part of the time in which a leaving target must be left alone that a picture
// of the list may be old.
constexpr int kPicturePercent = 70;
// Pause between two reads of the first reader, so that many changes come in few
// answers.
constexpr Milliseconds kReadPause{200};
// The longest that an answer of the store is on its way.
constexpr Milliseconds kAnswerOnTheWay{250};
// Time beyond a read's wait within which its answer must come.
constexpr Milliseconds kWaitSlack{600};
constexpr int kOk = 200;
constexpr int kGone = 410;

}  // namespace

TargetFollower::TargetFollower(StoreClient* store,
                               DecisionLog* log,
                               TargetBoard* board,
                               Milliseconds leave_within,
                               OnRead on_read)
    : store_(store),
      log_(log),
      board_(board),
      on_read_(std::move(on_read)),
      schedule_(
          std::max(Milliseconds(1), leave_within * kPicturePercent / 100)) {
  assert(store != nullptr && log != nullptr && board != nullptr && on_read_);
}

void TargetFollower::OnTick(std::size_t rank, uint64_t draw, Instant now) {
  rank_ = rank;
  if (must_remove_missing_ && positioned_ && now >= list_began_ + kListReturn)
    RemoveMissing(now);
  if (calling_ || now < not_before_)
    return;
  const bool catches_up = catch_up_at_ && now >= *catch_up_at_;
  if (positioned_ && !catches_up && rank > 0 &&
      now < schedule_.NextRead(rank, draw))
    return;
  catch_up_at_.reset();
  calling_ = true;
  read_began_ = now;
  read_changes_.clear();
  read_removals_.clear();
  read_heartbeats_.clear();
  read_whole_ = !positioned_ || schedule_.IsTorn(now);
  if (!read_whole_) {
    read_from_ = known_to_.offset;
    // With the pause before it a read takes no longer than the others count on.
    const bool waits = rank == 0 && !catches_up;
    ReadOn(waits ? std::max(Milliseconds(0), schedule_.wait() - kReadPause)
                 : Milliseconds(0));
    return;
  }
  ReadNewest({});
}

void TargetFollower::BeginWholeList(Instant read_at) {
  list_began_ = read_at;
  must_remove_missing_ = true;
}

void TargetFollower::Failed() {
  calling_ = false;
  // Entries may lapse while the store is away, so that only the whole list
  // tells what is gone; unless another entry goes on reading meanwhile.
  positioned_ = false;
  not_before_ =
      EventLoop::Now() +
      kRetryPause * static_cast<int>(1 + std::min(rank_, kLongestRetry));
}

bool TargetFollower::GoesOn(int64_t era) {
  if (era == known_to_.era)
    return true;
  Failed();
  if (era > known_to_.era)
    not_before_ = EventLoop::Now();
  return false;
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
                       if (first) {
                         read_from_ = page->end_offset;
                         read_era_ = page->era;
                       }
                       if (page->era != read_era_) {
                         // The pages are of different copies.
                         Failed();
                         return;
                       }
                       if (StorePosition{read_era_, read_from_} < known_to_) {
                         // Another entry has read more meanwhile.
                         calling_ = false;
                         return;
                       }
                       for (const platform::KeyedRecord& it : page->records)
                         TakeRecord(it, now);
                       if (page->has_more && !page->records.empty()) {
                         ReadNewest(page->records.back().key);
                         return;
                       }
                       FinishRead(read_from_, now);
                     });
}

void TargetFollower::ReadOn(Milliseconds wait) {
  store_->Call(
      platform::EncodeRead(platform::kTargetTopic, read_from_,
                           static_cast<int>(wait.count())),
      wait + (wait.count() > 0 ? kWaitSlack : kCallTimeout),
      [this](const Result<StoreAnswer>& answer) {
        if (!answer || answer->status != kOk) {
          Failed();
          if (answer && answer->status == kGone)
            not_before_ = EventLoop::Now();
          return;
        }
        if (!GoesOn(answer->era))
          return;
        read_era_ = answer->era;
        const auto page = platform::DecodeRead(answer->body, read_from_);
        if (!page) {
          Failed();
          return;
        }
        const Instant now = EventLoop::Now();
        const int64_t to =
            read_from_ + static_cast<int64_t>(page->records.size());
        // What another entry has read meanwhile is newer than these.
        read_from_ = std::max(read_from_, std::min(known_to_.offset, to));
        for (const platform::KeyedRecord& it : page->records) {
          if (it.offset >= read_from_)
            TakeRecord(it, now);
        }
        FinishRead(to, now);
      });
}

void TargetFollower::FinishRead(int64_t to, Instant now) {
  calling_ = false;
  const bool was_complete = std::exchange(complete_, true);
  positioned_ = true;
  // Only a list that was read whole tells what is missing.
  if (read_whole_)
    BeginWholeList(read_began_);
  known_to_ = std::max(known_to_, StorePosition{read_era_, to});
  // Waiting at the store for heartbeats would only read them one by one.
  const bool only_heartbeats = !read_whole_ && read_changes_.empty() &&
                               read_removals_.empty() && to > read_from_;
  not_before_ = now + (only_heartbeats ? schedule_.wait() : kReadPause);
  // A read that waited tells how things are at its end.
  const Instant true_at = std::max(read_began_, now - kAnswerOnTheWay);
  schedule_.TakePicture(true_at);
  if (!was_complete && rank_ >= kHandingOnAtStart)
    return;
  wire::TargetListDeltaT delta;
  delta.from = read_from_;
  delta.to = to;
  delta.era = read_era_;
  delta.whole = read_whole_;
  delta.age_ms = RemainingMilliseconds(now, true_at);
  for (const auto& [id, record] : read_changes_)
    delta.changed.push_back(ToMessage(record));
  for (const auto& [id, removed] : read_removals_)
    delta.removed.push_back(id);
  for (const auto& [hash, heartbeat] : read_heartbeats_)
    delta.heartbeats.emplace_back(hash, static_cast<uint32_t>(heartbeat));
  on_read_(std::move(delta));
}

void TargetFollower::TakeRecord(const platform::KeyedRecord& record,
                                Instant now) {
  if (record.key.empty())
    return;
  const uint32_t hash = ShortHash(record.key);
  if (record.value.empty()) {
    read_changes_.erase(record.key);
    read_heartbeats_.erase(hash);
    read_removals_[record.key] = true;
    RemoveTarget(record.key, now);
    return;
  }
  const auto decoded = platform::DecodeTargetRecord(record.key, record.value);
  if (!decoded) {
    log_->Write(Event::kTargetRecordRejected, now, {{"target", record.key}});
    return;
  }
  read_removals_.erase(record.key);
  const auto change = read_changes_.find(record.key);
  // A whole list names every target; others are told what is new to this one.
  if (change == read_changes_.end() && !read_whole_ &&
      board_->IsListedAs(*decoded))
    read_heartbeats_[hash] = decoded->heartbeat;
  else
    read_changes_[record.key] = *decoded;
  ApplyRecord(*decoded, now);
}

void TargetFollower::RemoveTarget(const std::string& id, Instant now) {
  if (board_->Remove(id))
    log_->Write(Event::kTargetGone, now,
                {{"target", id}, {"evidence", "removed from list"}});
}

void TargetFollower::ApplyRecord(const TargetRecord& record, Instant now) {
  const bool known = board_->Find(record.id) != nullptr;
  if (!known)
    last_new_target_ = now;
  if (!board_->Apply(record, now))
    return;
  const LayerRange layers = record.layers.value_or(LayerRange{});
  log_->Write(known ? Event::kTargetChanged : Event::kTargetListed, now,
              {{"target", record.id},
               {"service", record.service},
               {"address", record.address},
               {"zone", record.zone},
               {"leaving", record.leaving},
               {"from_layer", static_cast<int64_t>(layers.from)},
               {"to_layer", static_cast<int64_t>(layers.to)}});
}

void TargetFollower::Take(const wire::TargetListDeltaT& delta, Instant now) {
  const Instant read_at = now - Milliseconds(delta.age_ms);
  const StorePosition from{delta.era, delta.from};
  const StorePosition to{delta.era, delta.to};
  // Says less than is known here.
  if (complete_ && to < known_to_)
    return;
  if (!delta.whole && (!complete_ || from > known_to_)) {
    if (!catch_up_at_ && complete_)
      catch_up_at_ =
          now + Milliseconds(static_cast<int64_t>(
                    HashPair(known_to_.offset, delta.to) % kCatchUpSpreadMs));
    return;
  }
  if (!delta.whole && schedule_.IsTorn(now))
    return;
  if (delta.whole)
    BeginWholeList(read_at);
  for (const std::string& it : delta.removed)
    RemoveTarget(it, now);
  for (const wire::ListedTargetT& it : delta.changed)
    ApplyRecord(FromMessage(it), now);
  bool knows_all = true;
  for (const wire::HeartbeatRow& it : delta.heartbeats)
    knows_all &= board_->ApplyHeartbeat(it.target(), it.heartbeat(), now);
  known_to_ = to;
  complete_ = true;
  positioned_ = knows_all;
  schedule_.TakePicture(read_at);
}

void TargetFollower::RemoveMissing(Instant now) {
  must_remove_missing_ = false;
  for (const std::string& id : board_->RemoveUnlistedSince(list_began_)) {
    log_->Write(Event::kTargetGone, now,
                {{"target", id}, {"evidence", "missing after list returned"}});
  }
}

}  // namespace bbv

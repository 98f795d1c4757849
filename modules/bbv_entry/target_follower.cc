#include "bbv_entry/target_follower.h"

#include <algorithm>
#include <cassert>
#include <utility>

#include "bbv_core/hashing.h"
#include "bbv_core/json_text.h"
#include "bbv_entry/target_messages.h"
#include "platform/target_codec.h"

namespace bbv {
namespace {

constexpr Milliseconds kCallTimeout{1500};
// Delay after a failed read, multiplied by rank + 1: while the store is
// unreachable, the zone's first readers probe it most often.
constexpr Milliseconds kRetryInterval{250};
constexpr std::size_t kMaxRetryRank = 6;
// Range in milliseconds over which the reads of entries that missed a delta are
// staggered.
constexpr uint64_t kCatchUpSpreadMs = 100;
// Time after a gap in reading the list within which live targets renew their
// records.
constexpr Milliseconds kListRecoveryTime{2300};
// Number of readers per zone that distribute the whole list when they start.
constexpr std::size_t kInitialPublishers = 2;
// Maximum age of the known list as a percentage of the time within which
// entries must stop sending calls to a leaving target.
constexpr int kMaxListAgePercent = 70;
// Interval between reads of the first reader, so that many changes arrive in
// few answers.
constexpr Milliseconds kReadInterval{200};
// Maximum transit time of an answer of the store.
constexpr Milliseconds kMaxAnswerTransit{250};
// Additional time within which the answer to a long poll must arrive.
constexpr Milliseconds kLongPollMargin{600};
// Limit on the rejected records that are remembered.
constexpr std::size_t kMaxRejected = 1024;
constexpr int kOk = 200;
constexpr int kGone = 410;

}  // namespace

TargetFollower::TargetFollower(StoreClient* store,
                               DecisionLog* log,
                               TargetRegistry* registry,
                               Milliseconds leave_within,
                               OnRead on_read)
    : store_(store),
      log_(log),
      registry_(registry),
      on_read_(std::move(on_read)),
      schedule_(
          std::max(Milliseconds(1), leave_within * kMaxListAgePercent / 100)) {
  assert(store != nullptr && log != nullptr && registry != nullptr && on_read_);
}

void TargetFollower::OnTick(std::size_t rank,
                            uint64_t jitter_seed,
                            Instant now) {
  rank_ = rank;
  if (missing_removal_due_ && has_position_ &&
      now >= continuous_since_ + kListRecoveryTime)
    RemoveMissingTargets(now);
  if (call_in_flight_ || now < next_call_at_)
    return;
  const bool is_catching_up = catch_up_at_ && now >= *catch_up_at_;
  if (has_position_ && !is_catching_up && rank > 0 &&
      now < schedule_.NextRead(rank, jitter_seed))
    return;
  catch_up_at_.reset();
  call_in_flight_ = true;
  read_began_ = now;
  read_changes_.clear();
  read_removals_.clear();
  read_heartbeats_.clear();
  is_full_read_ = !has_position_ || schedule_.NeedsFullRead(now);
  if (!is_full_read_) {
    read_from_ = known_position_.offset;
    // The interval before the read is subtracted, so that both together do not
    // exceed the wait that the other readers assume.
    const bool waits = rank == 0 && !is_catching_up;
    ReadNext(waits ? std::max(Milliseconds(0),
                              schedule_.long_poll_wait() - kReadInterval)
                   : Milliseconds(0));
    return;
  }
  ReadNewest({});
}

void TargetFollower::SetServices(std::set<std::string, std::less<>> services,
                                 Instant now) {
  for (const std::string& id : registry_->SetServices(std::move(services))) {
    log_->Write(
        Event::kTargetGone, now,
        {{"target", id}, {"evidence", "a later target has its address"}});
  }
}

void TargetFollower::StartMissingTargetGrace(Instant read_at) {
  continuous_since_ = read_at;
  missing_removal_due_ = true;
}

void TargetFollower::OnReadFailed() {
  call_in_flight_ = false;
  // Records may expire while the store is unreachable, so that only the whole
  // list shows which targets are gone, unless deltas from another entry close
  // the gap meanwhile.
  has_position_ = false;
  next_call_at_ =
      EventLoop::Now() +
      kRetryInterval * static_cast<int>(1 + std::min(rank_, kMaxRetryRank));
}

bool TargetFollower::AcceptEra(int64_t era) {
  if (era == known_position_.era)
    return true;
  OnReadFailed();
  if (era > known_position_.era)
    next_call_at_ = EventLoop::Now();
  return false;
}

void TargetFollower::ReadNewest(const std::string& after_key) {
  store_->ReadNewest(
      platform::kTargetTopic, after_key, kCallTimeout,
      [this, after_key](const Result<platform::NewestPage>& page) {
        if (!page) {
          OnReadFailed();
          return;
        }
        const Instant now = EventLoop::Now();
        // The pages are not a snapshot: reading on from the end offset of the
        // first one repeats the changes made between them.
        if (after_key.empty()) {
          read_from_ = page->end_offset;
          read_era_ = page->era;
        }
        if (page->era != read_era_) {
          // The store was restored between two pages.
          OnReadFailed();
          return;
        }
        if (StorePosition{read_era_, read_from_} < known_position_) {
          // Another entry has read further meanwhile.
          call_in_flight_ = false;
          return;
        }
        for (const platform::KeyedRecord& it : page->records)
          ApplyReadRecord(it, now);
        if (page->has_more && !page->records.empty()) {
          const std::string& last_key = page->records.back().key;
          // The next page would begin where this one did.
          if (last_key.empty() || last_key == after_key)
            OnReadFailed();
          else
            ReadNewest(last_key);
          return;
        }
        FinishRead(read_from_, now);
      });
}

void TargetFollower::ReadNext(Milliseconds wait) {
  store_->Call(
      platform::EncodeRead(platform::kTargetTopic, read_from_,
                           static_cast<int>(wait.count())),
      wait + (wait.count() > 0 ? kLongPollMargin : kCallTimeout),
      [this](const Result<StoreAnswer>& answer) {
        if (!answer || answer->status != kOk) {
          OnReadFailed();
          if (answer && answer->status == kGone)
            next_call_at_ = EventLoop::Now();
          return;
        }
        if (!AcceptEra(answer->era))
          return;
        read_era_ = answer->era;
        const auto page = platform::DecodeRead(answer->body, read_from_);
        if (!page) {
          OnReadFailed();
          return;
        }
        const Instant now = EventLoop::Now();
        const int64_t to =
            read_from_ + static_cast<int64_t>(page->records.size());
        // Skip records that another entry has read meanwhile.
        read_from_ = std::max(read_from_, std::min(known_position_.offset, to));
        for (const platform::KeyedRecord& it : page->records) {
          if (it.offset >= read_from_)
            ApplyReadRecord(it, now);
        }
        FinishRead(to, now);
      });
}

void TargetFollower::FinishRead(int64_t to, Instant now) {
  call_in_flight_ = false;
  const bool was_complete = std::exchange(complete_, true);
  has_position_ = true;
  // Only a read of the whole list shows which targets are missing.
  if (is_full_read_)
    StartMissingTargetGrace(read_began_);
  known_position_ = std::max(known_position_, StorePosition{read_era_, to});
  // Long-polling would return heartbeats one by one, so wait for several.
  const bool only_heartbeats = !is_full_read_ && read_changes_.empty() &&
                               read_removals_.empty() && to > read_from_;
  next_call_at_ =
      now + (only_heartbeats ? schedule_.long_poll_wait() : kReadInterval);
  // The result of a long poll is as recent as its end, less the transit time.
  const Instant as_of = std::max(read_began_, now - kMaxAnswerTransit);
  schedule_.RecordSnapshot(as_of);
  if (!was_complete && rank_ >= kInitialPublishers)
    return;
  wire::TargetListDeltaT delta;
  delta.from = read_from_;
  delta.to = to;
  delta.era = read_era_;
  delta.whole = is_full_read_;
  delta.age_ms = RemainingMilliseconds(now, as_of);
  for (const auto& [id, record] : read_changes_)
    delta.changed.push_back(ToMessage(record));
  for (const auto& [id, removed] : read_removals_)
    delta.removed.push_back(id);
  for (const auto& [hash, heartbeat] : read_heartbeats_)
    delta.heartbeats.emplace_back(hash, static_cast<uint32_t>(heartbeat));
  on_read_(std::move(delta));
}

void TargetFollower::ApplyReadRecord(const platform::KeyedRecord& record,
                                     Instant now) {
  if (record.key.empty())
    return;
  const uint32_t hash = HashBytes32(record.key);
  if (record.value.empty()) {
    read_changes_.erase(record.key);
    read_heartbeats_.erase(hash);
    read_removals_[record.key] = true;
    RemoveTarget(record.key, now);
    return;
  }
  const auto decoded = platform::DecodeTargetRecord(record.key, record.value);
  if (!decoded) {
    LogRejected(record.key, record.value, now);
    return;
  }
  read_removals_.erase(record.key);
  const auto change = read_changes_.find(record.key);
  // A delta with the whole list contains every target. Other deltas contain
  // only a heartbeat for a target that is unchanged here.
  if (change == read_changes_.end() && !is_full_read_ &&
      registry_->IsListedAs(*decoded))
    read_heartbeats_[hash] = decoded->heartbeat;
  else
    read_changes_[record.key] = *decoded;
  ApplyRecord(*decoded, now);
}

void TargetFollower::LogRejected(const std::string& id,
                                 std::string_view value,
                                 Instant now) {
  if (rejected_.size() >= kMaxRejected)
    rejected_.clear();
  // The two ways of reading the store differ in keys that are not UTF-8.
  const std::string name = ReplaceMalformedUtf8(id);
  if (!rejected_.insert(HashBytes(value, HashBytes(name))).second)
    return;
  ++rejected_records_;
  log_->Write(
      Event::kTargetRecordRejected, now,
      {{"target", name}, {"bytes", static_cast<int64_t>(value.size())}});
}

void TargetFollower::RemoveTarget(const std::string& id, Instant now) {
  if (registry_->Remove(id))
    log_->Write(Event::kTargetGone, now,
                {{"target", id}, {"evidence", "removed from list"}});
}

void TargetFollower::ApplyRecord(const TargetRecord& record, Instant now) {
  const bool known = registry_->Find(record.id) != nullptr;
  if (!registry_->Apply(record, now))
    return;
  if (!known)
    last_new_target_ = now;
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

void TargetFollower::ApplyDelta(const wire::TargetListDeltaT& delta,
                                Instant now) {
  const Instant read_at = now - Milliseconds(delta.age_ms);
  const StorePosition from{delta.era, delta.from};
  const StorePosition to{delta.era, delta.to};
  // The delta is older than the known list.
  if (complete_ && to < known_position_)
    return;
  if (!delta.whole && (!complete_ || from > known_position_)) {
    if (!catch_up_at_ && complete_)
      catch_up_at_ = now + Milliseconds(static_cast<int64_t>(
                               CombineHashes(known_position_.offset, delta.to) %
                               kCatchUpSpreadMs));
    return;
  }
  if (!delta.whole && schedule_.NeedsFullRead(now))
    return;
  if (delta.whole)
    StartMissingTargetGrace(read_at);
  for (const std::string& it : delta.removed)
    RemoveTarget(it, now);
  for (const wire::ListedTargetT& it : delta.changed) {
    if (const auto record = FromMessage(it))
      ApplyRecord(*record, now);
    else
      LogRejected(it.id, {}, now);
  }
  bool knows_all = true;
  for (const wire::HeartbeatRow& it : delta.heartbeats)
    knows_all &= registry_->ApplyHeartbeat(it.target(), it.heartbeat(), now);
  known_position_ = to;
  complete_ = true;
  has_position_ = knows_all;
  schedule_.RecordSnapshot(read_at);
}

void TargetFollower::RemoveMissingTargets(Instant now) {
  missing_removal_due_ = false;
  for (const std::string& id :
       registry_->RemoveUnlistedSince(continuous_since_)) {
    log_->Write(Event::kTargetGone, now,
                {{"target", id}, {"evidence", "missing after list returned"}});
  }
}

}  // namespace bbv

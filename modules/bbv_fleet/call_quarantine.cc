#include "bbv_fleet/call_quarantine.h"

#include <algorithm>
#include <cassert>

namespace bbv {
namespace {

// Time until the first probe; each probe that crashes multiplies it.
constexpr Milliseconds kFirstProbeDelay{60'000};
constexpr int kProbeDelayFactor = 10;
constexpr Milliseconds kMaxProbeDelay{24LL * 3600 * 1000};
// How long a probe may take to begin its output.
constexpr Milliseconds kProbeTimeout{30'000};
constexpr Milliseconds kUnusedLifetime{24LL * 3600 * 1000};
constexpr Milliseconds kLiftedLifetime{600'000};
constexpr std::size_t kMaxRows = 32;

Milliseconds ProbeDelay(int failed_probes) {
  Milliseconds delay = kFirstProbeDelay;
  for (int it = 0; it < failed_probes && delay < kMaxProbeDelay; ++it)
    delay *= kProbeDelayFactor;
  return std::min(delay, kMaxProbeDelay);
}

// Whether `call_traits`, in any order, contain all of `traits`.
bool HoldsAll(const std::vector<uint64_t>& call_traits,
              const std::vector<uint64_t>& traits) {
  return std::all_of(traits.begin(), traits.end(), [&](uint64_t trait) {
    return std::find(call_traits.begin(), call_traits.end(), trait) !=
           call_traits.end();
  });
}

}  // namespace

bool CallQuarantine::Add(const std::string& service,
                         const std::vector<uint64_t>& traits,
                         int crashes,
                         Instant now) {
  assert(!traits.empty() && std::is_sorted(traits.begin(), traits.end()));
  if (FindActive(service, traits) != nullptr)
    return false;
  for (auto& [key, row] : rows_) {
    if (key.first == service && !row.lifted && HoldsAll(row.traits, traits))
      Lift(&row, now);
  }
  LimitRows(now);
  QuarantineRow& row = rows_[{service, traits}];
  row.service = service;
  row.traits = traits;
  row.crashes = crashes;
  row.since = now;
  row.last_refused = now;
  row.probe_at = now + ProbeDelay(row.failed_probes);
  row.lifted = false;
  ++row.version;
  return true;
}

const QuarantineRow* CallQuarantine::Find(
    const std::string& service,
    const std::vector<uint64_t>& call_traits) const {
  for (const auto& [key, row] : rows_) {
    if (!row.lifted && key.first == service &&
        HoldsAll(call_traits, row.traits))
      return &row;
  }
  return nullptr;
}

QuarantineRow* CallQuarantine::FindActive(
    const std::string& service,
    const std::vector<uint64_t>& call_traits) {
  const QuarantineRow* row = Find(service, call_traits);
  return row == nullptr ? nullptr : &rows_.at({row->service, row->traits});
}

QuarantineDecision CallQuarantine::Decide(
    const std::string& service,
    const std::vector<uint64_t>& call_traits,
    bool may_probe,
    Instant now) {
  QuarantineRow* row = FindActive(service, call_traits);
  if (row == nullptr)
    return QuarantineDecision::kAllowed;
  Instant& probe_deadline = probe_deadlines_[{service, row->traits}];
  if (may_probe && now >= row->probe_at && now >= probe_deadline) {
    probe_deadline = now + kProbeTimeout;
    return QuarantineDecision::kProbe;
  }
  row->last_refused = now;
  return QuarantineDecision::kRefused;
}

bool CallQuarantine::RecordOutput(const std::string& service,
                                  const std::vector<uint64_t>& call_traits,
                                  Instant now) {
  QuarantineRow* row = FindActive(service, call_traits);
  if (row == nullptr)
    return false;
  for (; row != nullptr; row = FindActive(service, call_traits))
    Lift(row, now);
  return true;
}

bool CallQuarantine::RecordCrash(const std::string& service,
                                 const std::vector<uint64_t>& call_traits,
                                 Instant sent_at,
                                 Instant now) {
  QuarantineRow* row = FindActive(service, call_traits);
  if (row == nullptr || sent_at < row->probe_at)
    return false;
  ++row->failed_probes;
  ++row->crashes;
  ++row->version;
  row->probe_at = now + ProbeDelay(row->failed_probes);
  return true;
}

bool CallQuarantine::Merge(const QuarantineRow& row, Instant now) {
  const Key key{row.service, row.traits};
  const auto known = rows_.find(key);
  if (known != rows_.end() && known->second.version >= row.version) {
    QuarantineRow& own = known->second;
    if (own.version == row.version)
      own.last_refused = std::max(own.last_refused, row.last_refused);
    return false;
  }
  const bool was_active = known != rows_.end() && !known->second.lifted;
  if (known == rows_.end())
    LimitRows(now);
  QuarantineRow& own = rows_[key];
  own = row;
  if (row.lifted)
    own.lifted_at = now;
  return was_active == row.lifted;
}

void CallQuarantine::Lift(QuarantineRow* row, Instant now) {
  row->lifted = true;
  row->lifted_at = now;
  ++row->version;
  probe_deadlines_.erase({row->service, row->traits});
}

void CallQuarantine::LimitRows(Instant now) {
  if (rows_.size() < kMaxRows)
    return;
  const auto least_used = std::min_element(
      rows_.begin(), rows_.end(), [](const auto& left, const auto& right) {
        const QuarantineRow& a = left.second;
        const QuarantineRow& b = right.second;
        return a.lifted != b.lifted ? a.lifted
                                    : a.last_refused < b.last_refused;
      });
  if (!least_used->second.lifted)
    Lift(&least_used->second, now);
  rows_.erase(least_used);
}

void CallQuarantine::OnTick(Instant now) {
  for (auto it = rows_.begin(); it != rows_.end();) {
    QuarantineRow& row = it->second;
    if (!row.lifted && now >= row.last_refused + kUnusedLifetime)
      Lift(&row, now);
    it = row.lifted && now >= row.lifted_at + kLiftedLifetime ? rows_.erase(it)
                                                              : std::next(it);
  }
}

std::vector<QuarantineRow> CallQuarantine::Rows() const {
  std::vector<QuarantineRow> rows;
  rows.reserve(rows_.size());
  for (const auto& [key, row] : rows_)
    rows.push_back(row);
  return rows;
}

int CallQuarantine::active() const {
  return static_cast<int>(
      std::count_if(rows_.begin(), rows_.end(),
                    [](const auto& it) { return !it.second.lifted; }));
}

}  // namespace bbv

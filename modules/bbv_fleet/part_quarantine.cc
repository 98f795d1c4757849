#include "bbv_fleet/part_quarantine.h"

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

// Whether `call_parts`, in any order, contain all of `parts`.
bool HoldsAll(const std::vector<uint64_t>& call_parts,
              const std::vector<uint64_t>& parts) {
  return std::all_of(parts.begin(), parts.end(), [&](uint64_t part) {
    return std::find(call_parts.begin(), call_parts.end(), part) !=
           call_parts.end();
  });
}

}  // namespace

bool PartQuarantine::Add(const std::string& service,
                         const std::vector<uint64_t>& parts,
                         int crashes,
                         Instant now) {
  assert(!parts.empty() && std::is_sorted(parts.begin(), parts.end()));
  if (FindActive(service, parts) != nullptr)
    return false;
  for (auto& [key, row] : rows_) {
    if (key.first == service && !row.lifted && HoldsAll(row.parts, parts))
      Lift(&row, now);
  }
  LimitRows(now);
  QuarantineRow& row = rows_[{service, parts}];
  row.service = service;
  row.parts = parts;
  row.crashes = crashes;
  row.since = now;
  row.last_refused = now;
  row.probe_at = now + ProbeDelay(row.failed_probes);
  row.lifted = false;
  ++row.version;
  return true;
}

const QuarantineRow* PartQuarantine::Find(
    const std::string& service,
    const std::vector<uint64_t>& call_parts) const {
  for (const auto& [key, row] : rows_) {
    if (!row.lifted && key.first == service && HoldsAll(call_parts, row.parts))
      return &row;
  }
  return nullptr;
}

QuarantineRow* PartQuarantine::FindActive(
    const std::string& service,
    const std::vector<uint64_t>& call_parts) {
  const QuarantineRow* row = Find(service, call_parts);
  return row == nullptr ? nullptr : &rows_.at({row->service, row->parts});
}

QuarantineDecision PartQuarantine::Decide(
    const std::string& service,
    const std::vector<uint64_t>& call_parts,
    bool may_probe,
    Instant now) {
  QuarantineRow* row = FindActive(service, call_parts);
  if (row == nullptr)
    return QuarantineDecision::kAllowed;
  Instant& probe_deadline = probe_deadlines_[{service, row->parts}];
  if (may_probe && now >= row->probe_at && now >= probe_deadline) {
    probe_deadline = now + kProbeTimeout;
    return QuarantineDecision::kProbe;
  }
  row->last_refused = now;
  return QuarantineDecision::kRefused;
}

bool PartQuarantine::RecordOutput(const std::string& service,
                                  const std::vector<uint64_t>& call_parts,
                                  Instant now) {
  QuarantineRow* row = FindActive(service, call_parts);
  if (row == nullptr)
    return false;
  for (; row != nullptr; row = FindActive(service, call_parts))
    Lift(row, now);
  return true;
}

bool PartQuarantine::RecordCrash(const std::string& service,
                                 const std::vector<uint64_t>& call_parts,
                                 Instant sent_at,
                                 Instant now) {
  QuarantineRow* row = FindActive(service, call_parts);
  if (row == nullptr || sent_at < row->probe_at)
    return false;
  ++row->failed_probes;
  ++row->crashes;
  ++row->version;
  row->probe_at = now + ProbeDelay(row->failed_probes);
  return true;
}

bool PartQuarantine::Merge(const QuarantineRow& row, Instant now) {
  const Key key{row.service, row.parts};
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

void PartQuarantine::Lift(QuarantineRow* row, Instant now) {
  row->lifted = true;
  row->lifted_at = now;
  ++row->version;
  probe_deadlines_.erase({row->service, row->parts});
}

void PartQuarantine::LimitRows(Instant now) {
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

void PartQuarantine::OnTick(Instant now) {
  for (auto it = rows_.begin(); it != rows_.end();) {
    QuarantineRow& row = it->second;
    if (!row.lifted && now >= row.last_refused + kUnusedLifetime)
      Lift(&row, now);
    it = row.lifted && now >= row.lifted_at + kLiftedLifetime ? rows_.erase(it)
                                                              : std::next(it);
  }
}

std::vector<QuarantineRow> PartQuarantine::Rows() const {
  std::vector<QuarantineRow> rows;
  rows.reserve(rows_.size());
  for (const auto& [key, row] : rows_)
    rows.push_back(row);
  return rows;
}

int PartQuarantine::active() const {
  return static_cast<int>(
      std::count_if(rows_.begin(), rows_.end(),
                    [](const auto& it) { return !it.second.lifted; }));
}

}  // namespace bbv

#ifndef MODULES_BBV_ADMISSION_ACCOUNT_DEMAND_H_
#define MODULES_BBV_ADMISSION_ACCOUNT_DEMAND_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <tuple>
#include <vector>

#include "bbv_core/instant.h"

namespace bbv {

// Calls that compete for the same capacity.
struct DemandGroup {
  // Short hash of the service's name.
  uint32_t service = 0;
  // 0 is the highest priority.
  uint8_t priority = 0;

  bool operator<(const DemandGroup& other) const {
    return std::tie(service, priority) <
           std::tie(other.service, other.priority);
  }
  bool operator==(const DemandGroup&) const = default;
};

// The calls of one client account in a group.
struct DemandKey {
  DemandGroup group;
  // Short hash of the account's name, or kOtherAccounts.
  uint32_t account = 0;

  bool operator<(const DemandKey& other) const {
    return std::tie(group, account) < std::tie(other.group, other.account);
  }
  bool operator==(const DemandKey&) const = default;
};

// Stands for the accounts that have no row of their own.
inline constexpr uint32_t kOtherAccounts = 0;

// Recent demand in tokens, with exponential decay.
struct Demand {
  // Tokens of the calls that arrived, and of those that were sent to a target.
  double asked = 0;
  double taken = 0;
  // Tokens of the calls that wait for capacity or were refused for want of it.
  double unmet = 0;

  Demand& operator+=(const Demand& other);
  // Orders rows by what an account asks for, met or not.
  double total() const { return asked + unmet; }
};

using DemandTable = std::map<DemandKey, Demand>;

// Adds `part` to `sums`, row by row. Thread safe.
void AddDemand(const DemandTable& part, DemandTable* sums);

// Keeps the rows of the accounts with the largest demand. The other rows of a
// group are added up in one for kOtherAccounts, which counts as well. Groups
// with the least demand are left out if there are more than `max_rows`.
// Precondition: max_rows > 0. Thread safe.
DemandTable LimitRows(const DemandTable& rows, std::size_t max_rows);

// Measures the demand at one entry.
//
// Deterministic. Not thread-safe; must be used from one thread. `now` must not
// decrease from call to call.
class DemandMeter {
 public:
  // Time constant of the decay of tokens asked and taken: divided by it they
  // are a rate.
  static constexpr Milliseconds kWindow{4000};

  void RecordAsked(const DemandKey& key, double tokens, Instant now);
  void RecordTaken(const DemandKey& key, double tokens, Instant now);
  void RecordRefused(const DemandKey& key, double tokens, Instant now);

  // A call begins or ceases to wait for capacity.
  void AddWaiting(const DemandKey& key, double tokens);
  void RemoveWaiting(const DemandKey& key, double tokens);

  // Returns the demand at `now`.
  const DemandTable& Rows(Instant now);

 private:
  void Decay(Instant now);

  // Tokens of refused calls are part of `unmet` and decay.
  DemandTable recent_;
  std::map<DemandKey, double> waiting_;
  DemandTable rows_;
  Instant updated_at_{};
};

}  // namespace bbv

#endif  // MODULES_BBV_ADMISSION_ACCOUNT_DEMAND_H_

#ifndef MODULES_BBV_MEMBERSHIP_STORE_POSITION_H_
#define MODULES_BBV_MEMBERSHIP_STORE_POSITION_H_

#include <cstdint>

namespace bbv {

// Read position in a partition of the store.
//
// When the store is restored from an older backup its offsets go back and are
// assigned again; its era number is then incremented. Of two positions the one
// with the later era is the more recent, regardless of the offsets; within an
// era it is the one with the larger offset. Thread safe, as any value type.
struct StorePosition {
  // Incremented each time the store is restored; 0 if the store does not report
  // it.
  int64_t era = 0;
  int64_t offset = 0;

  bool operator==(const StorePosition&) const = default;
  bool operator<(const StorePosition& other) const {
    return era != other.era ? era < other.era : offset < other.offset;
  }
  bool operator>(const StorePosition& other) const { return other < *this; }
};

}  // namespace bbv

#endif  // MODULES_BBV_MEMBERSHIP_STORE_POSITION_H_

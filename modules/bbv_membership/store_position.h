#ifndef MODULES_BBV_MEMBERSHIP_STORE_POSITION_H_
#define MODULES_BBV_MEMBERSHIP_STORE_POSITION_H_

#include <cstdint>

namespace bbv {

// How far a partition of the store has been read.
//
// Answers the store's return from an older copy: offsets go back then and are
// given out again, and the era rises. Of two reads the one of the later era
// knows more, whatever their offsets; within an era the larger offset does.
// Thread safe, as any value.
struct StorePosition {
  // Rises by one with each return; 0 for a store that does not tell.
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

#ifndef MODULES_BBV_ONCE_CLAIM_RECORD_H_
#define MODULES_BBV_ONCE_CLAIM_RECORD_H_

#include <cstdint>
#include <string>
#include <vector>

#include "bbv_core/error.h"
#include "bbv_wire/request_id.h"

namespace bbv {

// Who holds a claim: one run of the side process beside `target`.
struct ClaimHolder {
  std::string target;
  uint64_t epoch = 0;
  bool operator==(const ClaimHolder&) const = default;
};

// A key that its holder wants to run.
struct Claim {
  RequestId key;
  uint64_t fingerprint = 0;
};

// The kept answer of a key that was run. The body is left out above the size
// that CallRunner keeps on the log.
struct ClaimAnswer {
  RequestId key;
  uint16_t status = 0;
  bool body_recorded = true;
  std::string content_type;
  std::string body;
};

// One record of the claim stream: everything a side had to say in one append.
struct ClaimRecord {
  ClaimHolder holder;
  std::vector<Claim> claims;
  std::vector<ClaimAnswer> answers;
  // Claims of the holder that it will not run.
  std::vector<RequestId> voided_keys;

  bool empty() const {
    return claims.empty() && answers.empty() && voided_keys.empty();
  }
};

// Returns the record as text for the log, and back (step kLogRead on faults).
// Thread safe.
std::string EncodeClaimRecord(const ClaimRecord& record);
Result<ClaimRecord> DecodeClaimRecord(const std::string& text);

}  // namespace bbv

#endif  // MODULES_BBV_ONCE_CLAIM_RECORD_H_

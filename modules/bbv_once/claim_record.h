#ifndef MODULES_BBV_ONCE_CLAIM_RECORD_H_
#define MODULES_BBV_ONCE_CLAIM_RECORD_H_

#include <cstdint>
#include <string>
#include <vector>

#include "bbv_core/error.h"
#include "bbv_wire/request_id.h"

namespace bbv {

// The holder of a claim: the side node of `target` during one epoch. A restart
// or a gap in the claim stream starts a new epoch.
struct ClaimHolder {
  std::string target;
  uint64_t epoch = 0;
  bool operator==(const ClaimHolder&) const = default;
};

// A claim on the right to run the call with idempotency key `key`. The
// fingerprint identifies the call's content, so that a key reused for another
// call is detected.
struct Claim {
  RequestId key;
  uint64_t fingerprint = 0;
};

// The recorded answer to a call that ran. Bodies above CallRunner's size limit
// for the log are omitted and `body_recorded` is false.
struct ClaimAnswer {
  RequestId key;
  uint16_t status = 0;
  bool body_recorded = true;
  std::string content_type;
  std::string body;
};

// One record of the claim stream. A side node batches its pending claims,
// answers and voided keys into one record per append.
struct ClaimRecord {
  ClaimHolder holder;
  std::vector<Claim> claims;
  std::vector<ClaimAnswer> answers;
  // Keys whose claims the holder withdraws without running the calls.
  std::vector<RequestId> voided_keys;

  bool empty() const {
    return claims.empty() && answers.empty() && voided_keys.empty();
  }
};

// Encodes a record as JSON text for the log.
// Thread safe.
std::string EncodeClaimRecord(const ClaimRecord& record);

// Decodes a record read from the log. Fails with Step::kLogRead if the text is
// malformed.
// Thread safe.
Result<ClaimRecord> DecodeClaimRecord(const std::string& text);

}  // namespace bbv

#endif  // MODULES_BBV_ONCE_CLAIM_RECORD_H_

#ifndef MODULES_BBV_ROUTING_ACCOUNT_INDEX_H_
#define MODULES_BBV_ROUTING_ACCOUNT_INDEX_H_

#include <string>
#include <unordered_map>

#include "bbv_config/configuration.h"

namespace bbv {

// Looks up client accounts by the hash of their bearer key.
//
// Thread safety: none, one thread at a time.
class AccountIndex {
 public:
  // Replaces the contents with the accounts of `configuration`.
  void Rebuild(const Configuration& configuration);

  // Returns the account whose key has this SHA-256 hash, or nullptr. The
  // pointer is valid until the next call to Rebuild().
  const Account* Find(const std::string& key_sha256) const;

 private:
  std::unordered_map<std::string, Account> accounts_by_key_;
};

}  // namespace bbv

#endif  // MODULES_BBV_ROUTING_ACCOUNT_INDEX_H_

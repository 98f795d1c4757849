#include "bbv_routing/account_index.h"

namespace bbv {

void AccountIndex::Rebuild(const Configuration& configuration) {
  accounts_by_key_.clear();
  for (const auto& [name, account] : configuration.accounts)
    accounts_by_key_[account.key_sha256] = account;
}

const Account* AccountIndex::Find(const std::string& key_sha256) const {
  const auto it = accounts_by_key_.find(key_sha256);
  return it == accounts_by_key_.end() ? nullptr : &it->second;
}

}  // namespace bbv

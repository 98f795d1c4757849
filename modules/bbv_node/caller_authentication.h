#ifndef MODULES_BBV_NODE_CALLER_AUTHENTICATION_H_
#define MODULES_BBV_NODE_CALLER_AUTHENTICATION_H_

#include <httplib.h>

#include <memory>
#include <mutex>
#include <optional>
#include <string>

#include "bbv_config/configuration.h"
#include "bbv_routing/account_index.h"

namespace bbv {

// Returns the lower-case hexadecimal SHA-256 of `text`. Thread safe.
std::string Sha256Hexadecimal(const std::string& text);

// Returns the bearer key from the Authorization header of a request, or "" if
// there is none. Thread safe.
std::string BearerKey(const httplib::Request& request);

// Immutable snapshot of the configuration for HTTP threads. Replaced as a whole
// when the configuration changes.
struct ConfigurationView {
  Configuration configuration;
  AccountIndex accounts;
};

// Publishes the current snapshot from the control thread to the HTTP threads.
//
// Thread safety: all methods may be called from any thread.
class ConfigurationViewHolder {
 public:
  void Set(const Configuration& configuration);
  std::shared_ptr<const ConfigurationView> Get() const;

  // Returns the account that owns the request's bearer key, if any.
  std::optional<Account> Authenticate(const httplib::Request& request) const;

 private:
  mutable std::mutex mutex_;
  std::shared_ptr<const ConfigurationView> view_ =
      std::make_shared<ConfigurationView>();
};

}  // namespace bbv

#endif  // MODULES_BBV_NODE_CALLER_AUTHENTICATION_H_

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

// Returns the bearer key of a request, or "". Thread safe.
std::string BearerKey(const httplib::Request& request);

// The part of the configuration that HTTP threads read, exchanged whole when
// the configuration changes.
struct ConfigurationView {
  Configuration configuration;
  AccountIndex accounts;
};

// Hands the present view from the control thread to the HTTP threads.
//
// Thread safety: all methods from any thread.
class ConfigurationViewHolder {
 public:
  void Set(const Configuration& configuration);
  std::shared_ptr<const ConfigurationView> Get() const;

  // Returns the account that the request's bearer key belongs to.
  std::optional<Account> Authenticate(const httplib::Request& request) const;

 private:
  mutable std::mutex mutex_;
  std::shared_ptr<const ConfigurationView> view_ =
      std::make_shared<ConfigurationView>();
};

}  // namespace bbv

#endif  // MODULES_BBV_NODE_CALLER_AUTHENTICATION_H_

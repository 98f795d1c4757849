#include "bbv_node/caller_authentication.h"

#include <openssl/evp.h>

#include <array>
#include <utility>

namespace bbv {
namespace {

constexpr std::string_view kBearerPrefix = "Bearer ";

}  // namespace

std::string Sha256Hexadecimal(const std::string& text) {
  std::array<unsigned char, EVP_MAX_MD_SIZE> digest{};
  unsigned int length = 0;
  EVP_Digest(text.data(), text.size(), digest.data(), &length, EVP_sha256(),
             nullptr);
  constexpr char kDigits[] = "0123456789abcdef";
  std::string result;
  for (unsigned int i = 0; i < length; ++i) {
    result += kDigits[digest[i] >> 4];
    result += kDigits[digest[i] & 15];
  }
  return result;
}

std::string BearerKey(const httplib::Request& request) {
  const std::string value = request.get_header_value("Authorization");
  if (!value.starts_with(kBearerPrefix))
    return "";
  return value.substr(kBearerPrefix.size());
}

void ConfigurationViewHolder::Set(const Configuration& configuration) {
  auto view = std::make_shared<ConfigurationView>();
  view->configuration = configuration;
  view->accounts.Rebuild(configuration);
  const std::scoped_lock lock(mutex_);
  view_ = std::move(view);
}

std::shared_ptr<const ConfigurationView> ConfigurationViewHolder::Get() const {
  const std::scoped_lock lock(mutex_);
  return view_;
}

std::optional<Account> ConfigurationViewHolder::Authenticate(
    const httplib::Request& request) const {
  const std::string key = BearerKey(request);
  if (key.empty())
    return std::nullopt;
  const auto view = Get();
  const Account* account = view->accounts.Find(Sha256Hexadecimal(key));
  if (account == nullptr)
    return std::nullopt;
  return *account;
}

}  // namespace bbv

#include "bbv_http/http_message.h"

#include <ostream>

#include <boost/beast/core/string.hpp>
#include <boost/beast/http/rfc7230.hpp>
#include <boost/beast/http/status.hpp>

namespace bbv {

bool SameFieldName(std::string_view left, std::string_view right) {
  return boost::beast::iequals({left.data(), left.size()},
                               {right.data(), right.size()});
}

const std::string* HttpHead::Find(std::string_view name) const {
  for (const HttpField& it : fields) {
    if (SameFieldName(it.name, name))
      return &it.value;
  }
  return nullptr;
}

bool HasListToken(std::string_view list, std::string_view token) {
  boost::beast::http::token_list tokens({list.data(), list.size()});
  return tokens.exists({token.data(), token.size()});
}

bool IsConnectionSpecificField(std::string_view name) {
  constexpr std::string_view kNames[] = {
      "connection", "keep-alive", "transfer-encoding", "content-length", "te",
      "trailer",    "upgrade",    "proxy-connection",  "expect"};
  for (const std::string_view it : kNames) {
    if (SameFieldName(it, name))
      return true;
  }
  return false;
}

bool IsEndToEndField(const HttpHead& head, const HttpField& field) {
  if (IsConnectionSpecificField(field.name))
    return false;
  const std::string* connection = head.Find("Connection");
  return connection == nullptr || !HasListToken(*connection, field.name);
}

void AppendField(std::string_view name,
                 std::string_view value,
                 std::string* out) {
  out->append(name);
  out->append(": ");
  out->append(value);
  out->append("\r\n");
}

std::string_view StatusPhrase(int status) {
  const auto phrase = boost::beast::http::obsolete_reason(
      boost::beast::http::int_to_status(status));
  return {phrase.data(), phrase.size()};
}

}  // namespace bbv

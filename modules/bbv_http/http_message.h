#ifndef MODULES_BBV_HTTP_HTTP_MESSAGE_H_
#define MODULES_BBV_HTTP_HTTP_MESSAGE_H_

#include <string>
#include <string_view>
#include <vector>

namespace bbv {

// A header field as received.
struct HttpField {
  std::string name;
  std::string value;
};

// The start line and header fields of a request or response.
struct HttpHead {
  // Requests only.
  std::string method;
  std::string target;
  // Responses only.
  int status = 0;
  std::string reason;
  std::vector<HttpField> fields;

  // Returns the value of the first field named `name`, compared
  // case-insensitively, or nullptr. Thread safe.
  const std::string* Find(std::string_view name) const;
};

// A complete response with its body in memory.
struct HttpResponse {
  HttpHead head;
  std::string body;
};

// Compares two field names case-insensitively. Thread safe.
bool SameFieldName(std::string_view left, std::string_view right);

// Whether the comma-separated `list` contains `token`. Thread safe.
bool HasListToken(std::string_view list, std::string_view token);

// Whether the field applies to a single connection or message framing, so that
// it must not be forwarded.
bool IsConnectionSpecificField(std::string_view name);

// Whether `field` of a message with `head` is for the message's final
// recipient, not for the connection. Thread safe.
bool IsEndToEndField(const HttpHead& head, const HttpField& field);

// Appends "name: value" and CRLF. Thread safe.
void AppendField(std::string_view name,
                 std::string_view value,
                 std::string* out);

// Returns the standard reason phrase of `status`, or "Unknown". Thread safe.
std::string_view StatusPhrase(int status);

}  // namespace bbv

#endif  // MODULES_BBV_HTTP_HTTP_MESSAGE_H_

#ifndef MODULES_BBV_HTTP_HTTP_MESSAGE_H_
#define MODULES_BBV_HTTP_HTTP_MESSAGE_H_

#include <string>
#include <string_view>
#include <vector>

namespace bbv {

// One header field as it was received.
struct HttpField {
  std::string name;
  std::string value;
};

// The head of a request or of an answer.
struct HttpHead {
  // Requests only.
  std::string method;
  std::string target;
  // Answers only.
  int status = 0;
  std::string reason;
  std::vector<HttpField> fields;

  // Returns the first field named `name` without regard to case, or nullptr.
  // Thread safe.
  const std::string* Find(std::string_view name) const;
};

// Whether two field names are equal without regard to case. Thread safe.
bool SameFieldName(std::string_view left, std::string_view right);

// Whether a comma-separated `list` names `token`. Thread safe.
bool HasListToken(std::string_view list, std::string_view token);

// Whether the field concerns one connection only and is never passed on.
bool IsConnectionSpecificField(std::string_view name);

// Appends "name: value" and the line's end. Thread safe.
void AppendField(std::string_view name,
                 std::string_view value,
                 std::string* out);

// Returns the standard phrase of a status, "Unknown" for others. Thread safe.
std::string_view StatusPhrase(int status);

}  // namespace bbv

#endif  // MODULES_BBV_HTTP_HTTP_MESSAGE_H_

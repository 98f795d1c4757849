#ifndef MODULES_BBV_ENTRY_RESPONSE_HEAD_H_
#define MODULES_BBV_ENTRY_RESPONSE_HEAD_H_

#include <string>
#include <string_view>

#include "bbv_http/bbv_http.h"

namespace bbv {

// Returns the type of a response's body without parameters; empty if there is
// none. The result refers to `head`. Thread safe.
std::string_view MediaType(const HttpHead& head);

// Returns the field lines of `head` that are relayed to a caller. Thread safe.
std::string RelayedFields(const HttpHead& head);

}  // namespace bbv

#endif  // MODULES_BBV_ENTRY_RESPONSE_HEAD_H_

#ifndef MODULES_BBV_NODE_CALLER_REQUEST_SCOPE_H_
#define MODULES_BBV_NODE_CALLER_REQUEST_SCOPE_H_

#include <string>

#include "bbv_node/entry_node.h"
#include "bbv_node/http_responses.h"

namespace bbv {

// RAII guard that counts a caller's request as open during its lifetime.
//
// Thread safety: none; used by one handler at a time.
class CallerRequestScope {
 public:
  // Writes a refusal to `response` if the node accepts no more requests.
  CallerRequestScope(EntryNode* node, httplib::Response* response)
      : node_(node) {
    const Reason reason = node->BeginCallerRequest();
    admitted_ = reason == Reason::kNone;
    if (admitted_)
      return;
    node->metrics().CountRefusal(reason);
    SetRefusalResponse(response, {Outcome::kNotRun, reason, kRetryAfterMs});
  }
  CallerRequestScope(const CallerRequestScope&) = delete;
  CallerRequestScope& operator=(const CallerRequestScope&) = delete;
  ~CallerRequestScope() {
    if (admitted_)
      node_->EndCallerRequest();
  }

  bool admitted() const { return admitted_; }

 private:
  static constexpr uint32_t kRetryAfterMs = 1000;

  EntryNode* node_;
  bool admitted_ = false;
};

}  // namespace bbv

#endif  // MODULES_BBV_NODE_CALLER_REQUEST_SCOPE_H_

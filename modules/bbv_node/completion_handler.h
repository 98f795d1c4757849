#ifndef MODULES_BBV_NODE_COMPLETION_HANDLER_H_
#define MODULES_BBV_NODE_COMPLETION_HANDLER_H_

#include <httplib.h>

namespace bbv {

class EntryNode;

// Registers POST /v1/completions and /v1/chat/completions on `server`.
// `node` must outlive the server. See docs/CALLERS.md for the API.
void AddCompletionRoutes(httplib::Server* server, EntryNode* node);

}  // namespace bbv

#endif  // MODULES_BBV_NODE_COMPLETION_HANDLER_H_

#ifndef MODULES_BBV_NODE_OPERATOR_HANDLER_H_
#define MODULES_BBV_NODE_OPERATOR_HANDLER_H_

#include <httplib.h>

namespace bbv {

class EntryNode;

// Adds the operators' interface, under /operator/, to `server`. The command
// `bluebellvalve` is its client. `node` must outlive the server.
void AddOperatorRoutes(httplib::Server* server, EntryNode* node);

}  // namespace bbv

#endif  // MODULES_BBV_NODE_OPERATOR_HANDLER_H_

#ifndef MODULES_BBV_NODE_OPERATOR_HANDLER_H_
#define MODULES_BBV_NODE_OPERATOR_HANDLER_H_

#include <httplib.h>

namespace bbv {

class EntryNode;

// Registers the operator API under /operator/ on `server`. Its client is the
// command line tool `bluebellvalve`. `node` must outlive the server.
void AddOperatorRoutes(httplib::Server* server, EntryNode* node);

}  // namespace bbv

#endif  // MODULES_BBV_NODE_OPERATOR_HANDLER_H_

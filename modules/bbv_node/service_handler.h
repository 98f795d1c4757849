#ifndef MODULES_BBV_NODE_SERVICE_HANDLER_H_
#define MODULES_BBV_NODE_SERVICE_HANDLER_H_

#include <httplib.h>

namespace bbv {

class EntryNode;

// Registers /services/NAME/... on `server` for GET, POST, PUT, PATCH, DELETE
// and OPTIONS. `node` must outlive the server. See docs/CALLERS.md for the API.
void AddServiceRoutes(httplib::Server* server, EntryNode* node);

}  // namespace bbv

#endif  // MODULES_BBV_NODE_SERVICE_HANDLER_H_

#ifndef MODULES_BBV_NODE_SERVICE_HANDLER_H_
#define MODULES_BBV_NODE_SERVICE_HANDLER_H_

#include <httplib.h>

namespace bbv {

class EntryNode;

// Adds /services/NAME/... for every method to `server`.
// `node` must outlive the server. See docs/CALLERS.md for the interface.
void AddServiceRoutes(httplib::Server* server, EntryNode* node);

}  // namespace bbv

#endif  // MODULES_BBV_NODE_SERVICE_HANDLER_H_

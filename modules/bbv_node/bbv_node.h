// bbv_node: runs the role logic of bbv_roles with threads, sockets and clocks.
//
// A single control thread owns all decision state. I/O threads (peer network,
// HTTP connections, engine and log workers) transfer data and post events to
// it. This is the only module that reads a clock or a socket.
#ifndef MODULES_BBV_NODE_BBV_NODE_H_
#define MODULES_BBV_NODE_BBV_NODE_H_

#include "bbv_node/control_thread.h"
#include "bbv_node/entry_node.h"
#include "bbv_node/peer_network.h"
#include "bbv_node/side_node.h"
#include "bbv_node/stop_signal.h"

#endif  // MODULES_BBV_NODE_BBV_NODE_H_

// bbv_node: threads, sockets and clocks around the decisions of bbv_roles.
//
// One control thread owns all decision state. Traffic threads (the peer
// network, HTTP connections, engine and log workers) move bytes and post
// events to it. This is the only module that reads a clock or a socket.
#ifndef MODULES_BBV_NODE_BBV_NODE_H_
#define MODULES_BBV_NODE_BBV_NODE_H_

#include "bbv_node/control_thread.h"
#include "bbv_node/entry_node.h"
#include "bbv_node/peer_network.h"
#include "bbv_node/side_node.h"
#include "bbv_node/stop_signal.h"

#endif  // MODULES_BBV_NODE_BBV_NODE_H_

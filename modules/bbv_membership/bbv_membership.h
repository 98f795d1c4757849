// bbv_membership: group membership of the entries, election of relays and store
// readers within an availability zone, and gossip between entries.
//
// Entries of an availability zone are ranked by capacity and then by hash. The
// highest ranked entry relays the zone's state to other zones; the highest
// ranked entries that can reach the store read it on behalf of the zone. Needs
// bbv_core and bbv_wire. Opens no socket, reads no clock, starts no thread.
#ifndef MODULES_BBV_MEMBERSHIP_BBV_MEMBERSHIP_H_
#define MODULES_BBV_MEMBERSHIP_BBV_MEMBERSHIP_H_

#include "bbv_membership/fleet_gossip.h"
#include "bbv_membership/member_table.h"
#include "bbv_membership/read_schedule.h"
#include "bbv_membership/store_position.h"
#include "bbv_membership/zone_aggregator.h"

#endif  // MODULES_BBV_MEMBERSHIP_BBV_MEMBERSHIP_H_

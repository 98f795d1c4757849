// bbv_membership: which entries live, which of them does a duty for its zone,
// and what entries tell each other.
//
// An availability zone's entries rank themselves by capacity and hash; the
// first relays the zone's state, the first ones that reach the store read it
// for the zone. Needs bbv_core and bbv_wire. Opens no socket, reads no clock,
// starts no thread.
#ifndef MODULES_BBV_MEMBERSHIP_BBV_MEMBERSHIP_H_
#define MODULES_BBV_MEMBERSHIP_BBV_MEMBERSHIP_H_

#include "bbv_membership/fleet_gossip.h"
#include "bbv_membership/member_table.h"
#include "bbv_membership/read_schedule.h"
#include "bbv_membership/store_position.h"
#include "bbv_membership/zone_aggregator.h"

#endif  // MODULES_BBV_MEMBERSHIP_BBV_MEMBERSHIP_H_

// bbv_wire: messages between the project's own processes.
//
// wire.fbs is the schema, wire_generated.h its committed output. Frame encoding
// is a 4-byte little-endian length and a FlatBuffers `Frame`, verified before
// anything is read from it. Needs FlatBuffers. Opens no socket.
#ifndef MODULES_BBV_WIRE_BBV_WIRE_H_
#define MODULES_BBV_WIRE_BBV_WIRE_H_

#include "bbv_wire/frame_codec.h"
#include "bbv_wire/request_id.h"
#include "bbv_wire/wire_generated.h"

#endif  // MODULES_BBV_WIRE_BBV_WIRE_H_

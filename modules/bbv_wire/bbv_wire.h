// bbv_wire: the message format used between the project's processes.
//
// wire_generated.h is generated from the schema wire.fbs and committed. A frame
// consists of a 4-byte little-endian length and a FlatBuffers `Frame`, which is
// verified before any field is read. Depends on FlatBuffers. Opens no socket.
#ifndef MODULES_BBV_WIRE_BBV_WIRE_H_
#define MODULES_BBV_WIRE_BBV_WIRE_H_

#include "bbv_wire/frame_codec.h"
#include "bbv_wire/request_id.h"
#include "bbv_wire/wire_generated.h"

#endif  // MODULES_BBV_WIRE_BBV_WIRE_H_

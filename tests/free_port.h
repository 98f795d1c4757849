#ifndef TESTS_FREE_PORT_H_
#define TESTS_FREE_PORT_H_

namespace bbv {

// Returns a TCP port of loopback that is free and that no other call returns,
// in this process or another, until this process ends; 0 when none can be had.
// Thread safe.
int FreePort();

}  // namespace bbv

#endif  // TESTS_FREE_PORT_H_

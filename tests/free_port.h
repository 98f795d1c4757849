#ifndef TESTS_FREE_PORT_H_
#define TESTS_FREE_PORT_H_

namespace bbv {

// Returns a TCP port of loopback that was free a moment ago, 0 when none can be
// had. Thread safe.
int FreePort();

}  // namespace bbv

#endif  // TESTS_FREE_PORT_H_

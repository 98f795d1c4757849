#ifndef MODULES_BBV_NODE_STOP_SIGNAL_H_
#define MODULES_BBV_NODE_STOP_SIGNAL_H_

namespace bbv {

// Blocks SIGTERM and SIGINT so that WaitForStopSignal() receives them, and
// ignores SIGPIPE. Further stop signals have no effect, so that a shutdown in
// progress interrupts no request. Call once, before any thread is started.
void BlockStopSignals();

// Blocks until SIGTERM or SIGINT arrives. Precondition: BlockStopSignals() has
// been called.
void WaitForStopSignal();

}  // namespace bbv

#endif  // MODULES_BBV_NODE_STOP_SIGNAL_H_

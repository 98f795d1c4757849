#ifndef MODULES_BBV_NODE_STOP_SIGNAL_H_
#define MODULES_BBV_NODE_STOP_SIGNAL_H_

namespace bbv {

// Routes SIGTERM and SIGINT to WaitForStopSignal(). A further signal changes
// nothing: a stop under way cuts no request. Call once, before any thread is
// started.
void BlockStopSignals();

// Blocks until the process is told to stop. Precondition: BlockStopSignals().
void WaitForStopSignal();

}  // namespace bbv

#endif  // MODULES_BBV_NODE_STOP_SIGNAL_H_

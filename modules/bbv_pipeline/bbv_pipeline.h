// bbv_pipeline: model requests, from both ends.
//
// RequestCoordinator runs at an entry: it opens attempts on chains of targets,
// delivers each token once and in order, and starts a new attempt when a stage
// fails. SequenceRunner runs at a side: it admits attempts, keeps each one's
// next position and batches engine steps. Both are pure state machines that
// take (event, now) and call an interface for what should be done.
#ifndef MODULES_BBV_PIPELINE_BBV_PIPELINE_H_
#define MODULES_BBV_PIPELINE_BBV_PIPELINE_H_

#include "bbv_pipeline/request_coordinator.h"
#include "bbv_pipeline/sequence_runner.h"

#endif  // MODULES_BBV_PIPELINE_BBV_PIPELINE_H_

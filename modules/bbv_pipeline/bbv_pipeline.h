// bbv_pipeline: both ends of model requests.
//
// RequestCoordinator runs at an entry: it starts attempts on chains of targets,
// delivers each token once and in order, and starts a new attempt if a stage
// fails. SequenceRunner runs at a side: it admits attempts, tracks the next
// position of each one and batches engine steps. Both are deterministic state
// machines that take (event, now) and act through an interface.
#ifndef MODULES_BBV_PIPELINE_BBV_PIPELINE_H_
#define MODULES_BBV_PIPELINE_BBV_PIPELINE_H_

#include "bbv_pipeline/request_coordinator.h"
#include "bbv_pipeline/sequence_runner.h"

#endif  // MODULES_BBV_PIPELINE_BBV_PIPELINE_H_

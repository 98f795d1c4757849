#include "bbv_roles/side_logic.h"

#include <cassert>
#include <utility>

#include "bbv_core/event.h"

namespace bbv {

SideLogic::SideLogic(const SideOptions& options, SideActions* actions)
    : options_(options),
      sharing_([actions](const std::string& peer, wire::FrameT frame) {
        actions->Send(peer, std::move(frame));
      }),
      loader_(
          options.target,
          options.epoch,
          [actions](const LoadOrder& order) { actions->SendLoadOrder(order); }),
      sequences_(options.target, options.sequence_limits, actions),
      calls_({options.target, options.epoch}, options.call_limits, actions) {
  assert(actions != nullptr);
}

void SideLogic::HandleFrame(const std::string& peer,
                            const wire::FrameT& frame,
                            Instant now) {
  if (sharing_.HandleFrame(peer, frame, now))
    ConfigurationChanged();
  const wire::BodyUnion& body = frame.body;
  switch (body.type) {
    case wire::Body::StepBatch:
      sequences_.HandleSteps(*body.AsStepBatch(), now);
      return;
    case wire::Body::ReleaseBatch:
      sequences_.HandleReleases(peer, *body.AsReleaseBatch(), now);
      return;
    case wire::Body::Resume:
      sequences_.HandleResume(peer, *body.AsResume());
      return;
    case wire::Body::ServiceCall:
      calls_.HandleCall(peer, *body.AsServiceCall(), now);
      return;
    default:
      return;
  }
}

void SideLogic::PeerLost(const std::string& peer, Instant now) {
  sequences_.PeerLost(peer, now);
  calls_.PeerLost(peer);
}

void SideLogic::HandleConfigurationRecords(const LogRecords& records,
                                           Instant now) {
  if (sharing_.HandleLogRecords(records))
    ConfigurationChanged();
  loader_.Reconcile(sharing_.configuration(), sharing_.fold().version(), now);
}

void SideLogic::HandleClaimRecords(const LogRecords& records, Instant now) {
  calls_.HandleClaimRecords(records, now);
}

void SideLogic::SetLogAvailable(bool available) {
  calls_.SetLogAvailable(available);
}

void SideLogic::HandleAppendResult(const Result<void>& result, Instant now) {
  calls_.HandleAppendResult(result, now);
}

void SideLogic::HandleEngineResults(const Result<wire::EngineResultsT>& results,
                                    Instant now) {
  if (results) {
    sequences_.HandleEngineResults(*results, now);
    return;
  }
  LogEvent(Event::kEngineFault, {{"error", results.error().ToString()}});
  sequences_.HandleEngineFault(now);
}

void SideLogic::HandleOrderResult(const Result<EngineState>& result,
                                  Instant now) {
  loader_.HandleOrderResult(result, now);
  sequences_.SetLoadedVersions(loader_.loaded_versions());
}

void SideLogic::HandleCallResult(const RequestId& id,
                                 Result<wire::ServiceAnswerT> result,
                                 Instant now) {
  calls_.HandleCallResult(id, std::move(result), now);
}

void SideLogic::SetStopping(bool stopping) {
  stopping_ = stopping;
  UpdateLeaving();
}

void SideLogic::Tick(Instant now) {
  sequences_.Tick(now);
  calls_.Tick(now);
  loader_.Reconcile(sharing_.configuration(), sharing_.fold().version(), now);
}

wire::HeartbeatT SideLogic::MakeHeartbeat() const {
  wire::HeartbeatT heartbeat;
  heartbeat.configuration_offset = sharing_.fold().next_offset();
  heartbeat.configuration_digest = sharing_.fold().digest();
  heartbeat.leaving = stopping_ || draining_;
  heartbeat.loaded_versions = loader_.loaded_versions();
  heartbeat.ready = !options_.is_engine || !loader_.loaded_versions().empty();
  heartbeat.queued = sequences_.queued() + calls_.queued();
  heartbeat.running = sequences_.running() + calls_.running();
  heartbeat.limit = options_.is_engine ? sequences_.limit()
                                       : options_.call_limits.maximum_running;
  heartbeat.step_microseconds = sequences_.step_microseconds();
  return heartbeat;
}

bool SideLogic::idle() const {
  return sequences_.running() == 0 && sequences_.queued() == 0 && calls_.idle();
}

void SideLogic::ConfigurationChanged() {
  const auto& targets = sharing_.configuration().targets;
  const auto it = targets.find(options_.target);
  // A target that is removed from the configuration drains: it finishes its
  // current work and accepts none.
  draining_ = it == targets.end() || it->second.state == TargetState::kDraining;
  UpdateLeaving();
}

void SideLogic::UpdateLeaving() {
  sequences_.SetLeaving(stopping_ || draining_);
  calls_.SetLeaving(stopping_ || draining_);
}

}  // namespace bbv

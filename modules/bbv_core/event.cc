#include "bbv_core/event.h"

#include <glog/logging.h>

#include <algorithm>
#include <array>
#include <cstdio>

namespace bbv {
namespace {

constexpr std::array kEventCatalogue = {
    EventDescription{Event::kNodeStarted, "node-started"},
    EventDescription{Event::kNodeReady, "node-ready"},
    EventDescription{Event::kNodeLeaving, "node-leaving"},
    EventDescription{Event::kNodeStopped, "node-stopped"},
    EventDescription{Event::kPeerConnected, "peer-connected"},
    EventDescription{Event::kPeerLost, "peer-lost"},
    EventDescription{Event::kPeerSilent, "peer-silent"},
    EventDescription{Event::kPeerRejected, "peer-rejected"},
    EventDescription{Event::kFrameRejected, "frame-rejected"},
    EventDescription{Event::kConfigurationApplied, "configuration-applied"},
    EventDescription{Event::kConfigurationFromPeer, "configuration-from-peer"},
    EventDescription{Event::kConfigurationRecordRejected,
                     "configuration-record-rejected"},
    EventDescription{Event::kLogUnavailable, "log-unavailable"},
    EventDescription{Event::kLogAvailable, "log-available"},
    EventDescription{Event::kLogGap, "log-gap"},
    EventDescription{Event::kAttemptStarted, "attempt-started"},
    EventDescription{Event::kAttemptFailed, "attempt-failed"},
    EventDescription{Event::kRequestRefused, "request-refused"},
    EventDescription{Event::kRequestFinished, "request-finished"},
    EventDescription{Event::kRequestResumed, "request-resumed"},
    EventDescription{Event::kClientRequestRejected, "client-request-rejected"},
    EventDescription{Event::kEngineFault, "engine-fault"},
    EventDescription{Event::kEngineLoaded, "engine-loaded"},
    EventDescription{Event::kEngineOrderRefused, "engine-order-refused"},
    EventDescription{Event::kClaimWon, "claim-won"},
    EventDescription{Event::kClaimLost, "claim-lost"},
    EventDescription{Event::kCallOutcomeUnknown, "call-outcome-unknown"},
    EventDescription{Event::kInstanceListUnavailable,
                     "instance-list-unavailable"},
    EventDescription{Event::kInstanceLeaving, "instance-leaving"},
    EventDescription{Event::kLogLinesDropped, "log-lines-dropped"},
    EventDescription{Event::kFleetConfigurationApplied,
                     "fleet-configuration-applied"},
    EventDescription{Event::kFleetConfigurationRejected,
                     "fleet-configuration-rejected"},
    EventDescription{Event::kStoreLost, "store-lost"},
    EventDescription{Event::kStoreRegained, "store-regained"},
    EventDescription{Event::kTargetListed, "target-listed"},
    EventDescription{Event::kTargetChanged, "target-changed"},
    EventDescription{Event::kTargetGone, "target-gone"},
    EventDescription{Event::kTargetSuspected, "target-suspected"},
    EventDescription{Event::kTargetRecordRejected, "target-record-rejected"},
    EventDescription{Event::kPlannerGained, "planner-gained"},
    EventDescription{Event::kPlannerLost, "planner-lost"},
    EventDescription{Event::kLayerOrderSent, "layer-order-sent"},
    EventDescription{Event::kLayerOrderAnswered, "layer-order-answered"},
    EventDescription{Event::kCallSent, "call-sent"},
    EventDescription{Event::kCallSendFailed, "call-send-failed"},
    EventDescription{Event::kCallFailed, "call-failed"},
    EventDescription{Event::kCallRefused, "call-refused"},
    EventDescription{Event::kCallFinished, "call-finished"},
    EventDescription{Event::kCallerLeft, "caller-left"},
    EventDescription{Event::kSettingsReloaded, "settings-reloaded"},
    EventDescription{Event::kCallPathLost, "call-path-lost"},
    EventDescription{Event::kCallPathChanged, "call-path-changed"},
    EventDescription{Event::kZoneCopyBroken, "zone-copy-broken"},
    EventDescription{Event::kZoneCopyWhole, "zone-copy-whole"},
    EventDescription{Event::kStoreEraChanged, "store-era-changed"},
    EventDescription{Event::kTargetLeaves, "target-leaves"},
    EventDescription{Event::kTargetRests, "target-rests"},
    EventDescription{Event::kTargetCrashed, "target-crashed"},
    EventDescription{Event::kPartQuarantined, "part-quarantined"},
    EventDescription{Event::kPartQuarantineEnded, "part-quarantine-ended"},
    EventDescription{Event::kPartProbed, "part-probed"},
    EventDescription{Event::kTargetLimited, "target-limited"},
    EventDescription{Event::kTargetLimitEnded, "target-limit-ended"},
    EventDescription{Event::kCallerConnectionEnded, "caller-connection-ended"},
    EventDescription{Event::kCallerTurnedAway, "caller-turned-away"},
    EventDescription{Event::kNodeCongested, "node-congested"},
    EventDescription{Event::kTargetFaultDoubted, "target-fault-doubted"},
    EventDescription{Event::kCallSendCancelled, "call-send-cancelled"},
    EventDescription{Event::kTargetReplaced, "target-replaced"},
    EventDescription{Event::kAnswerMalformed, "answer-malformed"},
    EventDescription{Event::kCrashWithdrawn, "crash-withdrawn"},
    EventDescription{Event::kQuarantineNotStored, "quarantine-not-stored"},
    EventDescription{Event::kCrashRestored, "crash-restored"},
    EventDescription{Event::kCallDisplaced, "call-displaced"},
    EventDescription{Event::kRoomKept, "room-kept"},
    EventDescription{Event::kStreamHeld, "stream-held"},
    EventDescription{Event::kStreamMoved, "stream-moved"},
};

// Returns whether `event` occurs in the normal processing of every request.
// Such events are logged only at verbosity 1 or higher.
constexpr bool IsPerRequest(Event event) {
  return event == Event::kAttemptStarted || event == Event::kRequestFinished ||
         event == Event::kClaimWon || event == Event::kRequestRefused;
}

constexpr bool IsWarning(Event event) {
  switch (event) {
    case Event::kPeerSilent:
    case Event::kPeerRejected:
    case Event::kFrameRejected:
    case Event::kConfigurationRecordRejected:
    case Event::kLogUnavailable:
    case Event::kLogGap:
    case Event::kAttemptFailed:
    case Event::kEngineFault:
    case Event::kCallOutcomeUnknown:
    case Event::kInstanceListUnavailable:
      return true;
    default:
      return false;
  }
}

std::string_view EventName(Event event) {
  const auto* it = std::find_if(
      kEventCatalogue.begin(), kEventCatalogue.end(),
      [event](const EventDescription& row) { return row.event == event; });
  return it == kEventCatalogue.end() ? "?" : it->name;
}

}  // namespace

std::span<const EventDescription> AllEvents() {
  return kEventCatalogue;
}

void LogEvent(Event event, std::initializer_list<EventField> fields) {
  if (IsPerRequest(event) && !VLOG_IS_ON(1))
    return;
  const int severity =
      IsWarning(event) ? google::GLOG_WARNING : google::GLOG_INFO;
  if (severity < FLAGS_minloglevel)
    return;
  char number[16];
  std::snprintf(number, sizeof(number), "BBV%04u ",
                static_cast<unsigned>(event));
  std::string line = number;
  line += EventName(event);
  for (const EventField& field : fields) {
    line += ' ';
    line += field.name;
    line += '=';
    line += field.value.empty() ? "-" : field.value;
  }
  if (IsWarning(event))
    LOG(WARNING) << line;
  else
    LOG(INFO) << line;
}

}  // namespace bbv

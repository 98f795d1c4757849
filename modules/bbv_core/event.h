#ifndef MODULES_BBV_CORE_EVENT_H_
#define MODULES_BBV_CORE_EVENT_H_

#include <cstdint>
#include <span>
#include <string>
#include <string_view>

namespace bbv {

// The numbered log events. Numbers are never reused. docs/EVENTS.md documents
// every event; event_test.cc checks that it matches AllEvents().
enum class Event : uint16_t {
  kNodeStarted = 1,
  kNodeReady = 2,
  kNodeLeaving = 3,
  kNodeStopped = 4,
  kPeerConnected = 10,
  kPeerLost = 11,
  kPeerSilent = 12,
  kPeerRejected = 13,
  kFrameRejected = 14,
  kConfigurationApplied = 20,
  kConfigurationFromPeer = 21,
  kConfigurationRecordRejected = 22,
  kLogUnavailable = 23,
  kLogAvailable = 24,
  kLogGap = 25,
  kAttemptStarted = 30,
  kAttemptFailed = 31,
  kRequestRefused = 32,
  kRequestFinished = 33,
  kRequestResumed = 34,
  kClientRequestRejected = 35,
  kEngineFault = 40,
  kEngineLoaded = 41,
  kEngineOrderRefused = 42,
  kClaimWon = 50,
  kClaimLost = 51,
  kCallOutcomeUnknown = 52,
  kInstanceListUnavailable = 60,
  kInstanceLeaving = 61,
  kLogLinesDropped = 70,
  kFleetConfigurationApplied = 71,
  kFleetConfigurationRejected = 72,
  kStoreLost = 73,
  kStoreRegained = 74,
  kTargetListed = 75,
  kTargetChanged = 76,
  kTargetGone = 77,
  kTargetSuspected = 78,
  kTargetRecordRejected = 79,
  kPlannerGained = 80,
  kPlannerLost = 81,
  kLayerOrderSent = 82,
  kLayerOrderAnswered = 83,
  kCallSent = 84,
  kCallSendFailed = 85,
  kCallFailed = 86,
  kCallRefused = 87,
  kCallFinished = 88,
  kCallerLeft = 89,
  kSettingsReloaded = 90,
  kCallPathLost = 91,
  kCallPathChanged = 92,
  kZoneCopyBroken = 93,
  kZoneCopyWhole = 94,
  kStoreEraChanged = 95,
  kTargetLeaves = 96,
  kTargetRests = 97,
  kTargetCrashed = 98,
  kPartQuarantined = 99,
  kPartQuarantineEnded = 100,
  kPartProbed = 101,
  kTargetLimited = 102,
  kTargetLimitEnded = 103,
  kCallerConnectionEnded = 110,
  kCallerTurnedAway = 111,
  kNodeCongested = 112,
  kTargetFaultDoubted = 113,
  kCallSendCancelled = 114,
  kTargetReplaced = 115,
  kAnswerMalformed = 116,
  kCrashWithdrawn = 140,
  kQuarantineNotStored = 141,
  kCrashRestored = 142,
  kCallDisplaced = 150,
  kRoomKept = 151,
  kStreamHeld = 160,
  kStreamMoved = 161,
};

// The name under which an event is logged.
struct EventDescription {
  Event event;
  std::string_view name;
};

// Returns all events in ascending order of their numbers. Thread safe.
std::span<const EventDescription> AllEvents();

// A name-value pair that is logged with an event.
struct EventField {
  std::string_view name;
  std::string value;
};

// Writes a line such as "BBV0010 peer-connected peer=..." to the log. The event
// determines the severity; per-request events are written only at verbosity 1
// or higher. Thread safe.
void LogEvent(Event event, std::initializer_list<EventField> fields);

}  // namespace bbv

#endif  // MODULES_BBV_CORE_EVENT_H_

#include "bbv_roles/configuration_sharing.h"

#include <utility>

#include "bbv_core/event.h"

namespace bbv {
namespace {

constexpr Milliseconds kPullInterval{1000};

void ReportFault(const Error& error) {
  LogEvent(Event::kConfigurationRecordRejected, {{"error", error.ToString()}});
}

}  // namespace

ConfigurationSharing::ConfigurationSharing(Send send)
    : send_(std::move(send)), log_(ReportFault) {}

bool ConfigurationSharing::HandleLogRecords(const LogRecords& records) {
  const bool changed = log_.ApplyLogRecords(records);
  if (changed) {
    LogEvent(Event::kConfigurationApplied,
             {{"version", std::to_string(fold().version())}});
  }
  return changed;
}

bool ConfigurationSharing::HandleFrame(const std::string& peer,
                                       const wire::FrameT& frame,
                                       Instant now) {
  const wire::BodyUnion& body = frame.body;
  if (const auto* heartbeat = body.AsHeartbeat())
    HandleHeartbeat(peer, *heartbeat, now);
  else if (const auto* pull = body.AsConfigurationPull())
    HandlePull(peer, *pull);
  else if (const auto* share = body.AsConfigurationShare())
    return HandleShare(*share);
  return false;
}

bool ConfigurationSharing::HandleShare(const wire::ConfigurationShareT& share) {
  const bool changed =
      log_.ApplyPeerUpdate({share.first_offset, share.records, share.snapshot});
  if (changed) {
    LogEvent(Event::kConfigurationFromPeer,
             {{"version", std::to_string(fold().version())}});
  }
  return changed;
}

void ConfigurationSharing::HandleHeartbeat(const std::string& peer,
                                           const wire::HeartbeatT& heartbeat,
                                           Instant now) {
  if (heartbeat.configuration_offset <= fold().next_offset() ||
      now < next_pull_at_)
    return;
  next_pull_at_ = now + kPullInterval;
  wire::ConfigurationPullT pull;
  pull.from_offset = fold().next_offset();
  send_(peer, MakeFrame(wire::ConfigurationPullT(pull)));
}

void ConfigurationSharing::HandlePull(const std::string& peer,
                                      const wire::ConfigurationPullT& pull) {
  ConfigurationUpdate update = log_.MakeUpdate(pull.from_offset);
  if (update.records.empty() && update.snapshot.empty())
    return;
  wire::ConfigurationShareT share;
  share.first_offset = update.first_offset;
  share.records = std::move(update.records);
  share.snapshot = std::move(update.snapshot);
  send_(peer, MakeFrame(std::move(share)));
}

}  // namespace bbv

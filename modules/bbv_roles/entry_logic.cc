#include "bbv_roles/entry_logic.h"

#include <cassert>
#include <utility>

namespace bbv {
namespace {

// Number of records after which an entry writes a checkpoint. Entries do not
// coordinate; whichever reaches the number first writes it.
constexpr uint64_t kRecordsPerCheckpoint = 64;
constexpr Milliseconds kCheckpointInterval{5000};

}  // namespace

EntryLogic::EntryLogic(std::string name,
                       std::string zone,
                       uint64_t seed,
                       EntryActions* actions,
                       ChoicePolicy policy)
    : actions_(actions),
      sharing_([actions](const std::string& peer, wire::FrameT frame) {
        actions->Send(peer, std::move(frame));
      }),
      chooser_(&targets_, std::move(zone), seed, policy),
      requests_(std::move(name), seed + 1, &targets_, &chooser_, actions),
      services_(&targets_, &chooser_, actions) {
  assert(actions != nullptr);
}

void EntryLogic::HandleFrame(const std::string& peer,
                             const wire::FrameT& frame,
                             Instant now) {
  if (sharing_.HandleFrame(peer, frame, now))
    ConfigurationChanged();
  const wire::BodyUnion& body = frame.body;
  switch (body.type) {
    case wire::Body::Heartbeat:
      targets_.ApplyHeartbeat(peer, *body.AsHeartbeat());
      return;
    case wire::Body::TokenBatch:
      requests_.HandleTokens(*body.AsTokenBatch(), now);
      return;
    case wire::Body::AttemptFailure:
      requests_.HandleFailure(peer, *body.AsAttemptFailure(), now);
      return;
    case wire::Body::Resumed:
      requests_.HandleResumed(*body.AsResumed(), now);
      return;
    case wire::Body::ServiceAnswer:
      services_.HandleAnswer(peer, *body.AsServiceAnswer(), now);
      return;
    default:
      return;
  }
}

void EntryLogic::PeerConnected(const std::string& peer) {
  targets_.SetConnected(peer, true);
}

void EntryLogic::PeerLost(const std::string& peer, Instant now) {
  targets_.SetConnected(peer, false);
  requests_.PeerLost(peer, now);
  services_.PeerLost(peer, now);
}

void EntryLogic::HandleConfigurationRecords(const LogRecords& records,
                                            Instant now) {
  if (sharing_.HandleLogRecords(records))
    ConfigurationChanged();
  WriteCheckpointIfDue(now);
}

void EntryLogic::ApplyInstanceList(const std::vector<std::string>& leaving) {
  targets_.ApplyInstanceList(leaving);
}

void EntryLogic::StartRequest(ModelRequest request, Instant now) {
  requests_.Start(std::move(request), now);
}

void EntryLogic::DetachRequest(const RequestId& id, Instant now) {
  requests_.Detach(id, now);
}

void EntryLogic::StartCall(uint64_t caller,
                           wire::ServiceCallT call,
                           Instant deadline,
                           Instant now) {
  services_.Start(caller, std::move(call), deadline, now);
}

void EntryLogic::Tick(Instant now) {
  requests_.Tick(now);
  services_.Tick(now);
}

wire::HeartbeatT EntryLogic::MakeHeartbeat() const {
  wire::HeartbeatT heartbeat;
  heartbeat.configuration_offset = sharing_.fold().next_offset();
  heartbeat.configuration_digest = sharing_.fold().digest();
  heartbeat.ready = ready();
  heartbeat.leaving = leaving_;
  return heartbeat;
}

bool EntryLogic::ready() const {
  return sharing_.fold().version() > 0 || sharing_.log().caught_up();
}

void EntryLogic::ConfigurationChanged() {
  const Configuration& configuration = sharing_.configuration();
  accounts_.Rebuild(configuration);
  targets_.Rebuild(configuration);
  for (auto it = connected_addresses_.begin();
       it != connected_addresses_.end();) {
    const auto target = configuration.targets.find(it->first);
    if (target != configuration.targets.end() &&
        target->second.address == it->second) {
      ++it;
      continue;
    }
    actions_->Disconnect(it->first);
    it = connected_addresses_.erase(it);
  }
  for (const auto& [name, target] : configuration.targets) {
    if (connected_addresses_.try_emplace(name, target.address).second)
      actions_->Connect(name, target.address);
  }
}

void EntryLogic::WriteCheckpointIfDue(Instant now) {
  if (sharing_.log().records_since_checkpoint() < kRecordsPerCheckpoint ||
      now < next_checkpoint_at_)
    return;
  next_checkpoint_at_ = now + kCheckpointInterval;
  actions_->AppendConfiguration(
      MakeCheckpointRecord(sharing_.fold().Snapshot()));
}

}  // namespace bbv

#include "bbv_entry/stall_watch.h"

#include <cassert>
#include <set>
#include <utility>

namespace bbv {
namespace {

constexpr Milliseconds kQuestionPause{150};
constexpr Milliseconds kQuestionTimeout{300};
constexpr Milliseconds kDoubtPause{200};
constexpr Milliseconds kDoubtTimeout{70};
constexpr Milliseconds kProbePause{1000};
// Share of its memory in use below which a target has room for any call.
constexpr double kRoomShare = 0.7;

}  // namespace

StallWatch::StallWatch(HttpClient* client,
                       TargetBoard* board,
                       OnFault on_fault,
                       OnLeaving on_leaving)
    : client_(client),
      board_(board),
      on_fault_(std::move(on_fault)),
      on_leaving_(std::move(on_leaving)) {
  assert(client != nullptr && board != nullptr);
}

void StallWatch::Suspect(const std::string& target_id, Instant now) {
  Instant& next = next_question_[target_id];
  const FleetTarget* target = board_->Find(target_id);
  if (now < next || target == nullptr || target->IsResting(now))
    return;
  next = now + kQuestionPause + kQuestionTimeout;
  AskForReport(client_, {target->record.address, now + kQuestionTimeout},
               [this, target_id](const ReportAnswer& answer) {
                 OnReport(target_id, answer);
               });
}

void StallWatch::Probe(const std::string& target_id, Instant now) {
  Instant& next = next_probe_[target_id];
  const FleetTarget* target = board_->Find(target_id);
  if (now < next || target == nullptr || target->IsResting(now) ||
      !board_->IsUsable(*target, now))
    return;
  next = now + kProbePause;
  AskForReport(
      client_,
      {target->record.address, now + kDoubtTimeout, /*may_reuse=*/false},
      [this, target_id](const ReportAnswer& answer) {
        if (!answer.answered)
          on_fault_(target_id, "its streams fell silent and it gives no report",
                    false);
      });
}

void StallWatch::Doubt(const std::string& target_id,
                       double capacity,
                       Instant now) {
  FleetTarget* target = board_->Find(target_id);
  if (target == nullptr || !board_->IsUsable(*target, now))
    return;
  board_->MarkFull(target, now);
  Instant& next = next_doubt_[target_id];
  if (now < next || target->IsResting(now))
    return;
  next = now + kDoubtPause;
  AskForReport(
      client_,
      {target->record.address, now + kDoubtTimeout, /*may_reuse=*/false},
      [this, target_id, capacity](const ReportAnswer& answer) {
        OnDoubtedReport(target_id, capacity, answer);
      });
}

void StallWatch::OnDoubtedReport(const std::string& target_id,
                                 double capacity,
                                 const ReportAnswer& answer) {
  if (!answer.answered) {
    on_fault_(target_id, "turned a call away and gives no report", true);
    return;
  }
  const auto& report = answer.report;
  FleetTarget* target = board_->Find(target_id);
  if (!report || target == nullptr)
    return;
  const Instant now = EventLoop::Now();
  const bool same_layers = target->record.layers == report->load.layers;
  board_->ApplyReport(target_id, report->load, now);
  // Layers that it gives up, or loads, explain a refusal as well.
  const bool has_room = same_layers && !report->order_in_progress &&
                        capacity > 0 &&
                        report->load.used_token_layers < kRoomShare * capacity;
  if (board_->RecordRefusal(target, has_room, now))
    on_leaving_(target_id);
}

void StallWatch::OnReport(const std::string& target_id,
                          const ReportAnswer& answer) {
  next_question_[target_id] = EventLoop::Now() + kQuestionPause;
  if (!answer.answered) {
    on_fault_(target_id, "no report", false);
    return;
  }
  const auto& report = answer.report;
  if (!report)
    return;
  board_->ApplyReport(target_id, report->load, EventLoop::Now());
  // Every waiting stream names its hop; each hop counts once.
  std::set<std::string> hops;
  for (const auto& it : report->stalled_calls)
    hops.insert(it.hop_address);
  for (const std::string& it : hops) {
    if (const FleetTarget* hop = board_->FindAddress(it))
      on_fault_(std::string(hop->record.id), "streams wait for it", true);
  }
}

}  // namespace bbv

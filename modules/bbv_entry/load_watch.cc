#include "bbv_entry/load_watch.h"

#include <cassert>

#include "bbv_core/hashing.h"
#include "bbv_entry/target_question.h"

namespace bbv {
namespace {

constexpr Milliseconds kPause{1000};
constexpr Milliseconds kTimeout{400};

}  // namespace

LoadWatch::LoadWatch(HttpClient* client, TargetBoard* board)
    : client_(client), board_(board) {
  assert(client != nullptr && board != nullptr);
}

void LoadWatch::OnTick(const FleetIndex& index, Instant now) {
  for (const auto& [id, row] : board_->rows()) {
    const ServiceDescription* service = index.FindService(row->record.service);
    if (service == nullptr || !service->engine || !row->record.layers ||
        row->IsInBackoff(now) || !board_->IsUsable(*row, now))
      continue;
    // Spread over the pause by id.
    const auto first = now + Milliseconds(HashBytes(id) % kPause.count());
    Instant& next = next_.try_emplace(id, first).first->second;
    if (now < next)
      continue;
    next = now + kPause;
    Ask(id, *row, now);
  }
  std::erase_if(next_, [this](const auto& it) {
    return board_->Find(it.first) == nullptr;
  });
}

void LoadWatch::Ask(const std::string& id,
                    const FleetTarget& target,
                    Instant now) {
  AskForReport(client_, {target.record.address, now + kTimeout},
               [this, id](const ReportAnswer& answer) {
                 if (answer.report) {
                   board_->ApplyReport(id, answer.report->load,
                                       EventLoop::Now() - kReportLag);
                 }
               });
}

}  // namespace bbv

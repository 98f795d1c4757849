#include "bbv_entry/load_poller.h"

#include <algorithm>
#include <cassert>

#include "bbv_core/hashing.h"
#include "bbv_entry/target_requests.h"

namespace bbv {
namespace {

constexpr Milliseconds kPollInterval{1000};
constexpr Milliseconds kReportTimeout{400};
// Part of a target's rate limit that reports may take; calls take the rest.
constexpr double kPolledPart = 1 - TargetRateLimit::kUsablePart;
constexpr double kMillisecondsPerSecond = 1000;
constexpr Milliseconds kMaxPollInterval{60'000};

Milliseconds PollInterval(const FleetTarget& target) {
  const auto limit = target.rate_limit.per_second();
  if (!limit)
    return kPollInterval;
  const double milliseconds =
      kMillisecondsPerSecond / std::max(kPolledPart * *limit, 1e-3);
  return std::clamp(Milliseconds(static_cast<int64_t>(milliseconds)),
                    kPollInterval, kMaxPollInterval);
}

}  // namespace

LoadPoller::LoadPoller(HttpClient* client, TargetRegistry* registry)
    : client_(client), registry_(registry) {
  assert(client != nullptr && registry != nullptr);
}

void LoadPoller::OnTick(const FleetIndex& index, Instant now) {
  for (const auto& [id, row] : registry_->rows()) {
    const ServiceDescription* service = index.FindService(row->record.service);
    if (service == nullptr || !service->engine || !row->record.layers ||
        row->IsInBackoff(now) || !registry_->IsUsable(*row, now))
      continue;
    // Staggers the targets over the interval by a hash of their ids.
    const auto first =
        now + Milliseconds(HashBytes(id) % kPollInterval.count());
    Instant& next = next_poll_.try_emplace(id, first).first->second;
    if (now < next)
      continue;
    next = now + PollInterval(*row);
    Poll(id, *row, now);
  }
  std::erase_if(next_poll_, [this](const auto& it) {
    return registry_->Find(it.first) == nullptr;
  });
}

void LoadPoller::Poll(const std::string& id,
                      const FleetTarget& target,
                      Instant now) {
  FetchReport(client_,
              {target.record.address, target.record.started_unix_ms,
               now + kReportTimeout},
              [this, id](const ReportAnswer& answer) {
                if (answer.report) {
                  registry_->ApplyReport(id, answer.report->load,
                                         EventLoop::Now() - kTypicalReportAge);
                }
              });
}

}  // namespace bbv

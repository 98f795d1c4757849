#include "bbv_fleet/memory_ledger.h"

#include <utility>

namespace bbv {
namespace {

// Parts of the instance's memory, in percent, up to which the sum of all held
// bytes may be raised.
constexpr std::size_t kLargeRequestPercent = 40;
constexpr std::size_t kSmallRequestPercent = 45;
constexpr std::size_t kLargeAnswerPercent = 60;
constexpr std::size_t kSmallAnswerPercent = 63;

struct HeldText {
  // Destroyed after the text.
  MemoryLedger::Hold hold;
  std::string text;
};

}  // namespace

MemoryLedger::Hold::Hold(Hold&& other) noexcept
    : ledger_(other.ledger_),
      use_(other.use_),
      bytes_(std::exchange(other.bytes_, 0)) {}

MemoryLedger::Hold& MemoryLedger::Hold::operator=(Hold&& other) noexcept {
  if (this == &other)
    return *this;
  Release();
  ledger_ = other.ledger_;
  use_ = other.use_;
  bytes_ = std::exchange(other.bytes_, 0);
  return *this;
}

bool MemoryLedger::Hold::GrowTo(std::size_t bytes) {
  if (bytes <= bytes_)
    return true;
  if (ledger_ != nullptr && !ledger_->HasRoom(use_, bytes_, bytes))
    return false;
  return Set(bytes);
}

bool MemoryLedger::Hold::Set(std::size_t bytes) {
  if (ledger_ == nullptr)
    return true;
  const bool has_room =
      bytes <= bytes_ || ledger_->HasRoom(use_, bytes_, bytes);
  ledger_->held_bytes_ += bytes;
  ledger_->held_bytes_ -= bytes_;
  bytes_ = bytes;
  return has_room;
}

std::size_t MemoryLedger::Bound(Use use, std::size_t bytes) const {
  const bool is_large = bytes > kMaxSmallBody;
  std::size_t percent = is_large ? kLargeAnswerPercent : kSmallAnswerPercent;
  if (use == Use::kRequest)
    percent = is_large ? kLargeRequestPercent : kSmallRequestPercent;
  return instance_bytes_ / 100 * percent;
}

bool MemoryLedger::HasRoom(Use use,
                           std::size_t old_bytes,
                           std::size_t new_bytes) const {
  return held_bytes_ - old_bytes + new_bytes <= Bound(use, new_bytes);
}

std::shared_ptr<const std::string> ShareHeldText(std::string text,
                                                 MemoryLedger::Hold hold) {
  auto held =
      std::make_shared<HeldText>(HeldText{std::move(hold), std::move(text)});
  return {held, &held->text};
}

}  // namespace bbv

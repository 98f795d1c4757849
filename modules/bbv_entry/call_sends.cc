#include "bbv_entry/call_sends.h"

#include <algorithm>
#include <cassert>
#include <utility>

namespace bbv {

TargetSend* CallSends::Add(std::unique_ptr<TargetSend> send) {
  assert(send != nullptr);
  sends_.push_back(std::move(send));
  TargetSend* added = sends_.back().get();
  if (is_sending()) {
    replacements_.push_back(added);
    return added;
  }
  if (active_ != nullptr)
    active_->DropBody();
  active_ = added;
  return added;
}

const CallDispatch& CallSends::path() const {
  static const CallDispatch kNoPath;
  return active_ == nullptr ? kNoPath : active_->dispatch;
}

bool CallSends::IsReplacement(const TargetSend* send) const {
  return std::find(replacements_.begin(), replacements_.end(), send) !=
         replacements_.end();
}

TargetSend* CallSends::TakeReplacement(int number) {
  const auto it = std::find_if(
      replacements_.begin(), replacements_.end(),
      [number](const TargetSend* send) { return send->number == number; });
  assert(it != replacements_.end());
  TargetSend* send = *it;
  replacements_.erase(it);
  return send;
}

void CallSends::Promote(int number) {
  assert(!is_sending());
  active_->DropBody();
  active_ = TakeReplacement(number);
}

}  // namespace bbv

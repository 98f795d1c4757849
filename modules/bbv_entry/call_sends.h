#ifndef MODULES_BBV_ENTRY_CALL_SENDS_H_
#define MODULES_BBV_ENTRY_CALL_SENDS_H_

#include <memory>
#include <vector>

#include "bbv_entry/target_send.h"

namespace bbv {

// All sends of a call: the active one, whose output is relayed, and the
// replacements that take over if they bring output before it does. Ended sends
// are kept, since they may still be executing one of their own callbacks.
//
// Thread safety: none, the loop's thread.
class CallSends {
 public:
  // Adds a send that is about to begin, which is not null. It is a replacement
  // if the active send is in flight, otherwise it becomes the active one, and
  // what was received of the answer of the former one is released.
  TargetSend* Add(std::unique_ptr<TargetSend> send);

  // The send whose output is relayed; ended if it failed and no other send has
  // taken its place. Null before the first one.
  TargetSend* active() const { return active_; }
  bool is_sending() const { return active_ != nullptr && active_->in_flight; }
  // Path of the last active send; empty before the first one.
  const CallDispatch& path() const;

  bool IsReplacement(const TargetSend* send) const;
  // Returns replacement `number`, which is none any more. Precondition: it is
  // one.
  TargetSend* TakeReplacement(int number);
  // Replacement `number` becomes the active send. Preconditions: it is a
  // replacement; the active send has ended.
  void Promote(int number);

  // In the order in which they were added.
  const std::vector<std::unique_ptr<TargetSend>>& all() const { return sends_; }

 private:
  std::vector<std::unique_ptr<TargetSend>> sends_;
  TargetSend* active_ = nullptr;
  std::vector<TargetSend*> replacements_;
};

}  // namespace bbv

#endif  // MODULES_BBV_ENTRY_CALL_SENDS_H_

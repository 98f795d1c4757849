#ifndef MODULES_BBV_ENTRY_PATH_CHANGE_H_
#define MODULES_BBV_ENTRY_PATH_CHANGE_H_

#include <optional>
#include <string>
#include <vector>

#include "bbv_entry/call_context.h"

namespace bbv {

// Changes of the path of one call: keeps what an ordered change adds to the
// load of its new hops until the first target has answered, and logs streams
// that are held back and moved.
//
// Thread safety: none, the loop's thread.
class PathChange {
 public:
  // Both must outlive this.
  PathChange(const CallContext* context, const FleetCall* call)
      : context_(context), call_(call) {}
  ~PathChange() { Release(); }

  PathChange(const PathChange&) = delete;
  PathChange& operator=(const PathChange&) = delete;

  // Searches for a path without the excluded hops. A stream that has to wait
  // for others is logged once.
  RerouteChoice Choose(const FleetIndex& index,
                       const CallDispatch& current,
                       const StreamProgress& progress,
                       const std::vector<std::string>& excluded,
                       Instant now);

  // The first target was told to continue on `path`.
  void OnOrdered(const CallDispatch& path, Instant now);

  // The order was answered, or no answer will be heeded.
  void Release();

  // An event of the active send is about to be relayed; the one before was
  // relayed at `last_relayed`. Logs the first one after a change and counts the
  // prompt of `path` as prefilled.
  void OnEvent(CallDispatch* path, Instant last_relayed, Instant now);

 private:
  void RecordMoved(const CallDispatch& path, Instant last_relayed, Instant now);

  const CallContext* context_;
  const FleetCall* call_;
  // New hops of the path that is ordered; empty if none is.
  CallDispatch reserved_;
  // Since when the stream has been held back, and when it was moved.
  std::optional<Instant> held_since_;
  Instant moved_at_{};
};

}  // namespace bbv

#endif  // MODULES_BBV_ENTRY_PATH_CHANGE_H_

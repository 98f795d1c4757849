#ifndef MODULES_BBV_FLEET_CRASH_DETECTOR_H_
#define MODULES_BBV_FLEET_CRASH_DETECTOR_H_

#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "bbv_core/instant.h"
#include "bbv_fleet/call_trait.h"
#include "bbv_fleet/target_registry.h"

namespace bbv {

// A call whose connection to the target that ran it broke.
struct BrokenCall {
  // Short hash of the call's id.
  uint32_t call = 0;
  std::vector<uint64_t> traits;
  Instant sent_at{};
  // Whether the target had begun to write the call's answer.
  bool began_output = false;
};

// A trait of a call that had no output yet when its target crashed.
struct CrashSuspect {
  uint64_t trait = 0;
  uint32_t call = 0;
  Instant sent_at{};
};

// The end of a target's process, as seen by one entry.
struct TargetCrash {
  std::string target_id;
  int64_t started_unix_ms = 0;
  std::string service;
  Instant crashed_at{};
  // Calls of this entry that the crash broke off, and those of them that had no
  // output yet.
  int broken_calls = 0;
  int silent_calls = 0;
  std::vector<CrashSuspect> suspects;
};

// What an attempt to connect to a target showed.
enum class ListenCheckResult : uint8_t {
  // The connection was refused: no process listens there.
  kRefused,
  kListening,
  kNoAnswer,
};

// Tells crashes of targets from connections that broke for other reasons.
//
// A broken connection alone proves nothing: networks reset connections, and
// faulty targets close them. A target has crashed if it refuses connections
// right after some broke, or if it is listed with a later start. A process that
// ends may close its connections before its listening socket, so a target is
// taken for alive only if it goes on accepting connections for a while. A check
// without an answer proves nothing and is repeated: a process that ends may
// reset it, and a delayed entry may miss its result. Targets
// that are leaving end as planned and are ignored. Deterministic; reads no
// clock.
// Thread safety: none, owned by one thread.
class CrashDetector {
 public:
  // Identifies one process: the target's id and the time of its start.
  using ProcessKey = std::pair<std::string, int64_t>;

  // Records a call whose connection to `target` broke. Returns whether the
  // caller should try to connect to the target and call RecordCheck().
  bool RecordBrokenCall(const FleetTarget& target,
                        const BrokenCall& call,
                        Instant now);

  // Records the result of a check of the process that started at
  // `started_unix_ms`.
  void RecordCheck(const std::string& target_id,
                   int64_t started_unix_ms,
                   ListenCheckResult result);

  // Returns the processes whose checks have not shown a crash and are to be
  // checked once more. Each check of them is due once.
  std::vector<ProcessKey> TakeDueChecks(Instant now);

  // Returns the crashes found since the last call. A crash is returned again
  // with the calls that broke later.
  std::vector<TargetCrash> TakeCrashes(const TargetRegistry& registry,
                                       Instant now);

 private:
  struct PendingCrash {
    TargetCrash crash;
    bool confirmed = false;
    // From when the next broken call leads to a check.
    Instant next_check{};
    // Checks that found the target listening and those without an answer,
    // whether another one follows and from when.
    int listening_checks = 0;
    int unanswered_checks = 0;
    bool is_repeat_due = false;
    Instant repeat_check_at{};
    Instant last_broken{};
  };

  std::map<ProcessKey, PendingCrash> pending_;
};

}  // namespace bbv

#endif  // MODULES_BBV_FLEET_CRASH_DETECTOR_H_

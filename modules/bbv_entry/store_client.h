#ifndef MODULES_BBV_ENTRY_STORE_CLIENT_H_
#define MODULES_BBV_ENTRY_STORE_CLIENT_H_

#include <functional>
#include <string>
#include <string_view>

#include "bbv_core/error.h"
#include "bbv_front/http_client.h"
#include "bbv_observe/decision_log.h"
#include "platform/store_codec.h"

namespace bbv {

// An answer of the store.
struct StoreAnswer {
  int status = 0;
  // Era of the store that answered.
  int64_t era = 0;
  std::string body;
};

// Calls to the platform's store, each with a deadline of its own, over kept
// connections.
//
// Thread safety: none, the loop's thread.
class StoreClient {
 public:
  // Gets the answer, or an error (step kLogRead) when there is none in time.
  using Callback = std::function<void(const Result<StoreAnswer>&)>;

  // All must outlive the client.
  StoreClient(HttpClient* client, SocketAddress address, DecisionLog* log);

  // Sends `call`; `done` is called once, never from within this call.
  void Call(const platform::StoreCall& call,
            Milliseconds timeout,
            Callback done);

  // Reads a page of the newest records of `topic` after `after_key`; an error
  // when there is none.
  void ReadNewest(
      std::string_view topic,
      std::string_view after_key,
      Milliseconds timeout,
      std::function<void(const Result<platform::NewestPage>&)> done);

  // Whether the last call was answered usefully.
  bool reachable() const { return reachable_; }
  // Since when it is so; the past's start before the first call.
  Instant reachable_since() const { return reachable_since_; }
  uint64_t calls() const { return calls_; }
  // The latest era that an answer told: it rises when the store comes back from
  // an older copy, and what this entry wrote there may be gone.
  int64_t era() const { return era_; }

 private:
  void UpdateEra(int64_t era);
  void SetReachable(bool reachable, const std::string& cause);

  HttpClient* client_;
  SocketAddress address_;
  DecisionLog* log_;
  bool reachable_ = false;
  Instant reachable_since_{};
  uint64_t calls_ = 0;
  int64_t era_ = 0;
};

}  // namespace bbv

#endif  // MODULES_BBV_ENTRY_STORE_CLIENT_H_

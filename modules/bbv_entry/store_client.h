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

// Response of the store.
struct StoreAnswer {
  int status = 0;
  // Era of the store that responded.
  int64_t era = 0;
  std::string body;
};

// Client of the platform's store. Uses persistent connections; each call has
// its own deadline.
//
// Thread safety: none, the loop's thread.
class StoreClient {
 public:
  // Receives the answer, or an error (step kLogRead) if none arrived in time or
  // the store could not serve the call.
  using Callback = std::function<void(const Result<StoreAnswer>&)>;

  // All must outlive the client.
  StoreClient(HttpClient* client, SocketAddress address, DecisionLog* log);

  // Sends `call`. `done` is called exactly once and never synchronously.
  void Call(const platform::StoreCall& call,
            Milliseconds timeout,
            Callback done);

  // Reads a page of the newest records of `topic` with keys after `after_key`;
  // fails if there is no valid answer.
  void ReadNewest(
      std::string_view topic,
      std::string_view after_key,
      Milliseconds timeout,
      std::function<void(const Result<platform::NewestPage>&)> done);

  // Closes the idle connections, because they may be broken without notice.
  void CloseIdleConnections() { client_->CloseIdleConnections(address_); }

  // Whether the last call got an answer other than a server error or 429.
  bool reachable() const { return reachable_; }
  // Since when `reachable()` has had its value; the epoch of the clock before
  // the first change.
  Instant reachable_since() const { return reachable_since_; }
  uint64_t calls() const { return calls_; }
  // Highest era seen. It rises when the store is restored from an older copy,
  // in which case records written by this entry may be lost.
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

#ifndef MODULES_BBV_ENTRY_TARGET_SEND_H_
#define MODULES_BBV_ENTRY_TARGET_SEND_H_

#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "bbv_core/instant.h"
#include "bbv_fleet/fleet_call.h"
#include "bbv_fleet/memory_ledger.h"
#include "bbv_front/http_client.h"
#include "platform/call_codec.h"

namespace bbv {

class TargetSend;

// Receives what happens to the sends of a call. Any method may cancel the
// exchange of any send.
class TargetSendOwner {
 public:
  virtual ~TargetSendOwner() = default;
  virtual void OnResponseHead(TargetSend* send, HttpHead head) = 0;
  virtual void OnResponseBody(TargetSend* send, std::string_view data) = 0;
  virtual void OnResponseEnd(TargetSend* send) = 0;
  virtual void OnExchangeFailed(TargetSend* send,
                                ExchangeFailure failure,
                                MessageFault fault) = 0;
};

// Why the complete answer of a send cannot be relayed.
struct AnswerFault {
  SendFailure failure;
  // For the log.
  std::string evidence;
};

// One send of a call: its exchange with the first target of its path, and what
// was received so far. A call may have two of them, the active one and its
// replacement.
//
// Thread safety: none, the loop's thread.
class TargetSend final : public ExchangeSink {
 public:
  // `owner` must outlive the exchange. `resumes_stream` says whether a part of
  // the stream was relayed from an earlier send. The exchange is not begun.
  TargetSend(TargetSendOwner* owner,
             int number,
             CallDispatch path,
             bool resumes_stream,
             Instant now);

  // Whether this send resumes a stream and has brought no event yet.
  bool awaits_first_event() const { return resuming && events == 0; }
  // Whether the target has begun to write the answer and has gone on.
  bool began_output() const { return events >= kEventsOfStartedOutput; }
  bool is_success() const { return head.status >= 200 && head.status < 300; }

  // Whether the process at the address of the first target states that it is
  // another one, or that it lacks the layers of the path.
  bool IsMisdirected() const;

  // Returns why the answer, which is not a stream, cannot be relayed; nullopt
  // if it can.
  std::optional<AnswerFault> FindAnswerFault() const;

  // Makes room for a body of `bytes`, counted in `body_hold`. Returns false if
  // there is no memory for it.
  [[nodiscard]] bool ReserveBody(std::size_t bytes);

  // Returns what was received of an answer that is not a stream, and releases
  // it.
  std::shared_ptr<const std::string> TakeBody();
  void DropBody() { TakeBody(); }

  // ExchangeSink:
  void OnResponseHead(HttpHead response_head) override;
  void OnResponseBody(std::string_view data) override;
  void OnResponseEnd() override;
  void OnExchangeFailed(ExchangeFailure failure, MessageFault fault) override;

  // A target may fail while it writes the first event.
  static constexpr int kEventsOfStartedOutput = 2;

  // Counts the sends of the call from 1.
  const int number;
  const Instant sent_at;
  CallDispatch dispatch;
  HttpClient::ExchangeId exchange = 0;
  bool in_flight = true;
  HttpHead head;
  platform::ResponseFields fields;
  // Body received so far; unused for streams.
  std::string body;
  MemoryLedger::Hold body_hold;
  // Whether the head is that of a stream that can be relayed.
  bool streaming = false;
  const bool resuming;
  // Whether the head showed that the answer does not continue the stream.
  bool is_continuation_refused = false;
  EventSplitter splitter;
  // Comments and the like since the last event, and their bytes.
  int idle_parts = 0;
  std::size_t idle_bytes = 0;
  // Events relayed from this send.
  int events = 0;

 private:
  TargetSendOwner* owner_;
};

}  // namespace bbv

#endif  // MODULES_BBV_ENTRY_TARGET_SEND_H_

#ifndef MODULES_BBV_FRONT_CALLER_CONNECTION_H_
#define MODULES_BBV_FRONT_CALLER_CONNECTION_H_

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

#include "bbv_core/instant.h"
#include "bbv_core/name_table.h"
#include "bbv_fleet/fleet_configuration.h"
#include "bbv_fleet/memory_ledger.h"
#include "bbv_front/connection_eviction.h"
#include "bbv_front/tcp_stream.h"
#include "bbv_http/bbv_http.h"

namespace bbv {

class CallerConnection;

// Who ended a caller's connection, and why.
enum class CallerEndCause : uint8_t {
  // The caller closed or reset it.
  kCallerClosed,
  kCallerReset,
  // This process closed it: after its last response, because it was idle, or
  // to break off a response.
  kAnswered,
  kIdle,
  kAborted,
  // This process closed it to make room for other callers.
  kEvicted,
};
inline constexpr NameTable<CallerEndCause, 6> kCallerEndCauseNames(
    {"caller-closed", "caller-reset", "entry-answered", "entry-idle",
     "entry-aborted", "entry-evicted"});

// State of a caller's connection when it ended.
struct CallerConnectionEnd {
  CallerEndCause cause = CallerEndCause::kCallerClosed;
  // Whether a request had no complete response, and whether one had begun.
  bool request_open = false;
  bool response_begun = false;
  // Whether a request was received in part.
  bool request_partial = false;
  uint64_t bytes_read = 0;
  uint64_t bytes_written = 0;
  // Written bytes that were not sent, and received bytes that were not read.
  std::size_t bytes_unsent = 0;
  std::size_t bytes_unread = 0;

  // Whether anything was left unfinished.
  bool is_incomplete() const {
    return request_open || request_partial || bytes_unsent > 0 ||
           bytes_unread > 0;
  }
};

// Receives the requests of caller connections.
class CallerRequestHandler {
 public:
  virtual ~CallerRequestHandler() = default;
  // Returns the limits that apply to requests now.
  virtual CallerLimits limits() const { return {}; }
  // Returns the ledger of the bytes that requests use, which must outlive the
  // connections; null if they are not counted.
  virtual MemoryLedger* memory_ledger() { return nullptr; }
  // Whether requests that were received while others were open may be handled
  // now; otherwise they are handled at the next tick.
  virtual bool TakesWaitingRequests() const { return true; }
  // Called when a complete request was received. Exactly one response must
  // follow, unless the connection ends first.
  virtual void OnRequest(CallerConnection* connection,
                         HttpHead head,
                         std::string body) = 0;
  // Called when the connection was closed or failed while a request was open.
  virtual void OnCallerGone(CallerConnection* connection) = 0;
  // Called before an invalid, oversized or overdue request is refused with
  // `status`. Returns the status to refuse it with.
  virtual int OnBadRequest(CallerConnection* connection, int status) = 0;
  // Called when memory_ledger() has no room for the body of a request, whose
  // head is head(). One response must follow before this returns; the
  // connection closes after it unless the whole request was received. Answers
  // 503 by default.
  virtual void OnBodyRefused(CallerConnection* connection);
  // Called once when the connection has ended, before OnCallerGone().
  virtual void OnConnectionEnd(CallerConnection*, const CallerConnectionEnd&) {}
};

// Server side of one caller's HTTP/1.1 connection. Requests are handled one at
// a time; pipelined requests wait until the answers before them are sent. What
// waits is bounded and counted.
//
// The connection is closed only when no request has been received that lacks
// its response, in this process or in the socket's buffer. After the last
// response, bytes of the caller are discarded until it has closed its side or
// for a bounded time, because closing a socket with unread bytes resets the
// connection and may destroy the response.
//
// Limits the size of heads and bodies, the time to receive them, and the idle
// time. A request is under the limits of the moment at which its head is
// complete, whenever the connection was accepted. If the limits change while
// the connection is idle, the longer idle time holds, because a caller may send
// under either.
//
// Thread safety: none, used on the event loop's thread.
class CallerConnection final : public TcpStreamDelegate, public HttpSink {
 public:
  CallerConnection(uint64_t id,
                   std::unique_ptr<TcpStream> stream,
                   CallerRequestHandler* request_handler);

  // Sends a complete response to the open request. An empty `reason` selects
  // the standard phrase. `fields` holds complete field lines; the
  // Content-Length and Connection fields are added. `body` is released when it
  // has been sent.
  void SendResponse(int status,
                    std::string_view reason,
                    std::string_view fields,
                    std::string body);

  // The same for a body that is not null and is not copied.
  void SendSharedResponse(int status,
                          std::string_view reason,
                          std::string_view fields,
                          std::shared_ptr<const std::string> body);

  // Starts a response that is chunked or, if the caller uses HTTP/1.0, ends
  // with its connection. Empty chunks are ignored.
  void BeginStream(int status,
                   std::string_view reason,
                   std::string_view fields,
                   std::string_view first_chunk);
  void WriteChunk(std::string_view data);
  void EndStream();

  // Closes the connection without ending a started response, so that the caller
  // does not take it for complete. Resets the connection if closing it would
  // end the response.
  void Abort();

  // Stops reading from the socket until Resume(). Requests wait unread.
  void PauseReading();
  void Resume();

  // Closes the connection unless a request is open or being received, a
  // response is not sent yet, or a first request is due on a new connection.
  void CloseIfIdle(Instant now);

  // Makes the next response announce "Connection: close" and close the
  // connection, unless a further request has been received by then.
  void DisableKeepAlive() { keep_alive_disabled_ = true; }

  // What the connection waits for, to choose one to evict.
  ConnectionActivity activity() const;
  // Whether the socket holds bytes of the caller that were not read yet.
  bool HasUnreadData() const {
    return stream_ != nullptr && stream_->HasUnreadData();
  }

  // Closes the connection, whatever was left unfinished, to make room. A
  // request that was received in part is refused with 408, as far as the caller
  // takes the answer at once.
  void Evict();

  // Drops the requests that wait unparsed, which have not run. The connection
  // closes after the answer under way.
  void DiscardInput();
  // The bytes that wait unparsed.
  std::size_t buffered_bytes() const {
    return pipelined_input_.size() + parser_.pending_bytes();
  }

  // Enforces the timeouts. Returns false if the connection is closed.
  bool OnTick(Instant now);

  // Returns what counts the body of the open request, for its new owner.
  // Otherwise the body is counted until the request is answered.
  MemoryLedger::Hold TakeBodyHold() { return std::move(body_hold_); }

  uint64_t id() const { return id_; }
  // A name of the last request that was handled, for the log.
  void SetRequestName(std::string name) { request_name_ = std::move(name); }
  const std::string& request_name() const { return request_name_; }
  bool closed() const { return stream_ == nullptr; }
  bool has_open_request() const { return request_open_; }
  // The head of a request that is received in part; otherwise without fields.
  const HttpHead& head() const { return head_; }
  // Returns the size of the response data not yet written to the socket.
  std::size_t queued_bytes() const;

  // TcpStreamDelegate:
  void OnData(std::string_view data) override;
  void OnStreamEnd(StreamEnd end) override;
  void OnWriteQueueEmpty() override;

  // HttpSink:
  void OnHead(HttpHead head) override;
  void OnBody(std::string_view data) override;
  void OnMessageComplete() override;

 private:
  ParseStatus ParseInput(std::string_view data);
  // Parses `data` and whatever else was received until a request is open.
  void ParseAll(std::string_view data);
  // Whether the next request may be parsed: the one before has been answered,
  // the answer is sent, and it is this connection's turn.
  bool can_parse() const;
  void BufferInput(std::string_view data);
  // Reads on and handles what waits, if it may be parsed.
  void GoOnParsing();
  // Grows the buffer of the body; returns false if there is no room for that.
  bool ReserveBody(std::size_t bytes);
  // Ends the connection at once.
  void EndNow(CallerEndCause cause);
  void TrackProgress(Instant now);
  // Whether the caller has taken nothing of its answers for the idle time.
  bool IsAnswerUntaken(Instant now) const;
  // Refuses a request of which a part waits unparsed, or stops reading if whole
  // requests may wait.
  void OnNoRoomForInput();
  bool has_buffered_input() const { return buffered_bytes() > 0; }
  void SetReadTimeout(Milliseconds timeout);
  void BeginIdleTime();
  // Whether the rest of a request or, on an idle connection, the next one is
  // overdue.
  bool IsReadOverdue(Instant now) const;
  bool TickClosing(Instant now);
  void Reject(int status);
  // Refuses a request whose body finds no room.
  void RefuseBody(bool is_complete);
  void DropBody();
  // Counts the input that waits; returns false if there is no room for more.
  bool CountBufferedInput();
  // Returns the status line, `fields` and the Connection field.
  std::string BeginResponseHead(int status,
                                std::string_view reason,
                                std::string_view fields);
  void FinishResponse();
  // Whether the connection must close after the response that begins now.
  bool MustClose() const;
  // Closes an idle connection.
  void Close();
  // Refuses a request of which no byte came for some time.
  void RefuseIfStalled(Instant now);
  // Closes the connection once the last response has reached the caller.
  void BeginClosing();
  void Write(std::string_view data,
             std::shared_ptr<const std::string> shared = nullptr);
  // Appends a part of a stream to `output`.
  void AppendPart(std::string_view data, std::string* output) const;
  CallerConnectionEnd MakeEnd(CallerEndCause cause) const;

  uint64_t id_;
  std::unique_ptr<TcpStream> stream_;
  CallerRequestHandler* request_handler_;
  HttpParser parser_;
  HttpHead head_;
  std::string body_;
  // Counts the body's buffer and the head.
  MemoryLedger::Hold body_hold_;
  std::size_t head_bytes_ = 0;
  // Whether the ledger had no room for the body of the current request.
  bool body_refused_ = false;
  std::string request_name_;
  std::string pipelined_input_;
  MemoryLedger::Hold input_hold_;
  bool request_open_ = false;
  bool response_begun_ = false;
  // Whether received bytes were dropped, so that nothing can follow.
  bool input_discarded_ = false;
  // When the caller last sent or took a byte.
  Instant last_progress_;
  // Bytes of responses that the caller had taken at the last tick.
  uint64_t last_taken_bytes_ = 0;
  uint64_t bytes_read_ = 0;
  uint64_t bytes_written_ = 0;
  uint64_t bytes_at_last_check_ = 0;
  Instant stalled_since_{};
  bool request_keeps_alive_ = true;
  bool keep_alive_disabled_ = false;
  // Whether the end of the connection ends the response to the open request.
  bool close_delimited_ = false;
  // Whether the open request's response announced that the connection closes.
  bool close_announced_ = false;
  // Whether the last response was written and the connection is to close, and
  // until when the caller may close its side once all was sent.
  bool closing_ = false;
  std::optional<Instant> closing_deadline_;
  bool parsing_ = false;
  // Whether the requests that wait unparsed are left for the next tick.
  bool yields_ = false;
  // Deadline for the head, the body or the next request.
  Instant read_deadline_;
  // Whether it is set for the current message's head.
  bool head_timed_ = false;
  // Deadline for the whole body, however steadily it comes.
  std::optional<Instant> body_deadline_;
  // When the last response was written, or the connection was opened.
  Instant idle_since_;
  // Whether the deadline has passed while received bytes were unread.
  bool deadline_extended_ = false;
  Instant opened_at_;
};

}  // namespace bbv

#endif  // MODULES_BBV_FRONT_CALLER_CONNECTION_H_

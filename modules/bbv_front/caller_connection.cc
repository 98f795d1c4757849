#include "bbv_front/caller_connection.h"

#include <algorithm>
#include <cassert>
#include <charconv>
#include <utility>

namespace bbv {
namespace {

// Buffered bytes of pipelined requests above which reading stops.
constexpr std::size_t kMaxPipelinedBytes = 16U << 10U;
// Bytes read at a time outside of bodies, which bounds what waits unparsed.
constexpr std::size_t kHeadReadBytes = 16U << 10U;
// Maximum time between two received parts of a body. CallerLimits bounds the
// time for the head and for the whole body.
constexpr Milliseconds kBodyProgressTimeout{20'000};
// Time for which a caller may still close its side after the last response.
constexpr Milliseconds kClosingTime{1000};
// Time in which a new connection is expected to bring its first request.
constexpr Milliseconds kFirstRequestTime{300};
// Time without a byte after which a partly received request does not keep its
// connection open.
constexpr Milliseconds kStalledTime{500};
// Bytes of each head that MemoryLedger does not count.
constexpr std::size_t kUncountedHeadBytes = 4096;
constexpr int kRequestTimeout = 408;
constexpr int kUnavailable = 503;

void AppendHexadecimal(std::size_t value, std::string* out) {
  char buf[20];
  const auto result = std::to_chars(buf, buf + sizeof(buf), value, 16);
  out->append(buf, result.ptr);
}

void AppendChunk(std::string_view data, std::string* out) {
  if (data.empty())
    return;
  AppendHexadecimal(data.size(), out);
  out->append("\r\n");
  out->append(data);
  out->append("\r\n");
}

ParserLimits ToParserLimits(const CallerLimits& limits) {
  return {limits.max_header_bytes, limits.max_body_bytes};
}

// Returns the size of the body that `head` announces; 0 if it names none.
std::size_t AnnouncedBytes(const HttpHead& head) {
  std::size_t bytes = 0;
  if (const std::string* length = head.Find("Content-Length"))
    std::from_chars(length->data(), length->data() + length->size(), bytes);
  return bytes;
}

// Returns the memory that `head` uses.
std::size_t MemoryOf(const HttpHead& head) {
  std::size_t bytes =
      head.target.size() + head.fields.capacity() * sizeof(head.fields.front());
  for (const auto& it : head.fields)
    bytes += it.name.size() + it.value.size();
  return bytes;
}

void AppendStatusLine(int status, std::string_view reason, std::string* out) {
  out->append("HTTP/1.1 ");
  out->append(std::to_string(status));
  out->push_back(' ');
  out->append(reason.empty() ? StatusPhrase(status) : reason);
  out->append("\r\n");
}

}  // namespace

void CallerRequestHandler::OnBodyRefused(CallerConnection* connection) {
  connection->SendResponse(kUnavailable, {}, {}, {});
}

CallerConnection::CallerConnection(uint64_t id,
                                   std::unique_ptr<TcpStream> stream,
                                   CallerRequestHandler* request_handler)
    : id_(id),
      stream_(std::move(stream)),
      request_handler_(request_handler),
      parser_(HttpParser::Kind::kRequests, {}, this),
      body_hold_(request_handler->memory_ledger(), MemoryLedger::Use::kRequest),
      input_hold_(request_handler->memory_ledger(),
                  MemoryLedger::Use::kRequest),
      opened_at_(EventLoop::Now()) {
  assert(request_handler != nullptr);
  last_progress_ = opened_at_;
  BeginIdleTime();
  stream_->SetReadSize(kHeadReadBytes);
  stream_->SetDelegate(this);
  stream_->StartReading();
}

void CallerConnection::OnData(std::string_view data) {
  bytes_read_ += data.size();
  last_progress_ = EventLoop::Now();
  if (closing_ || input_discarded_)
    return;
  if (can_parse())
    ParseAll(data);
  else
    BufferInput(data);
}

bool CallerConnection::can_parse() const {
  return !request_open_ && !yields_ && stream_->queued_bytes() == 0;
}

void CallerConnection::BufferInput(std::string_view data) {
  pipelined_input_.append(data);
  if (!CountBufferedInput() || buffered_bytes() > kMaxPipelinedBytes)
    stream_->StopReading();
}

void CallerConnection::DiscardInput() {
  if (closed())
    return;
  std::string().swap(pipelined_input_);
  parser_.DropPending();
  input_hold_.Release();
  input_discarded_ = true;
  request_keeps_alive_ = false;
  if (!request_open_)
    BeginClosing();
}

void CallerConnection::OnNoRoomForInput() {
  if (!can_parse()) {
    stream_->StopReading();
    return;
  }
  parser_.DropPending();
  input_hold_.Release();
  RefuseBody(/*is_complete=*/false);
}

void CallerConnection::OnWriteQueueEmpty() {
  if (!closing_ && !input_discarded_)
    GoOnParsing();
}

void CallerConnection::GoOnParsing() {
  // OnWriteQueueEmpty() or OnTick() goes on otherwise.
  if (!can_parse() || parsing_)
    return;
  if (has_buffered_input())
    ParseAll(std::exchange(pipelined_input_, std::string()));
  if (!closed() && (can_parse() || buffered_bytes() <= kMaxPipelinedBytes))
    stream_->StartReading();
}

void CallerConnection::ParseAll(std::string_view data) {
  // A handler may respond at once. The next request is then parsed here and not
  // from within the response, so that the stack does not grow with each one.
  parsing_ = true;
  ParseStatus status = ParseInput(data);
  while (status == ParseStatus::kComplete && !closed() && !closing_ &&
         can_parse() && has_buffered_input()) {
    yields_ = !request_handler_->TakesWaitingRequests();
    if (yields_)
      break;
    const std::string input = std::exchange(pipelined_input_, std::string());
    status = ParseInput(input);
  }
  parsing_ = false;
  if (!CountBufferedInput() && !closed() && !closing_)
    OnNoRoomForInput();
}

bool CallerConnection::CountBufferedInput() {
  return input_hold_.Set(buffered_bytes());
}

ParseStatus CallerConnection::ParseInput(std::string_view data) {
  const CallerLimits limits = request_handler_->limits();
  parser_.SetLimits(ToParserLimits(limits));
  const ParseStatus status = parser_.Parse(data);
  if (std::exchange(body_refused_, false)) {
    RefuseBody(status == ParseStatus::kComplete);
    return status;
  }
  switch (status) {
    case ParseStatus::kNeedMore:
      if (!head_timed_ && parser_.in_message()) {
        head_timed_ = true;
        SetReadTimeout(Milliseconds(limits.header_timeout_ms));
      }
      if (parser_.has_head())
        SetReadTimeout(kBodyProgressTimeout);
      break;
    case ParseStatus::kComplete:
      request_open_ = true;
      request_keeps_alive_ = parser_.keeps_alive();
      request_handler_->OnRequest(this, std::move(head_), std::move(body_));
      break;
    case ParseStatus::kHeadTooLarge:
      Reject(431);
      break;
    case ParseStatus::kBodyTooLarge:
      Reject(413);
      break;
    case ParseStatus::kMalformed:
    case ParseStatus::kTooManyParts:
      Reject(400);
      break;
  }
  return status;
}

void CallerConnection::SetReadTimeout(Milliseconds timeout) {
  read_deadline_ = EventLoop::Now() + timeout;
  deadline_extended_ = false;
}

void CallerConnection::BeginIdleTime() {
  idle_since_ = EventLoop::Now();
  SetReadTimeout(Milliseconds(request_handler_->limits().idle_timeout_ms));
}

bool CallerConnection::IsReadOverdue(Instant now) const {
  if (body_deadline_ && now >= *body_deadline_)
    return true;
  if (now < read_deadline_)
    return false;
  const Milliseconds idle_timeout(request_handler_->limits().idle_timeout_ms);
  return parser_.in_message() || now >= idle_since_ + idle_timeout;
}

void CallerConnection::Reject(int status) {
  const int answered = request_handler_->OnBadRequest(this, status);
  request_keeps_alive_ = false;
  request_open_ = true;
  SendResponse(answered, {}, {}, {});
}

void CallerConnection::RefuseBody(bool is_complete) {
  request_keeps_alive_ = is_complete && parser_.keeps_alive();
  request_open_ = true;
  request_handler_->OnBodyRefused(this);
}

void CallerConnection::DropBody() {
  // An assignment of an empty string would keep the memory.
  std::string().swap(body_);
  head_bytes_ = 0;
  body_hold_.Release();
}

void CallerConnection::Write(std::string_view data,
                             std::shared_ptr<const std::string> shared) {
  // The caller had taken all that was written before.
  if (stream_->queued_bytes() == 0)
    last_progress_ = EventLoop::Now();
  bytes_written_ += data.size() + (shared == nullptr ? 0 : shared->size());
  stream_->Write(data, std::move(shared));
}

CallerConnectionEnd CallerConnection::MakeEnd(CallerEndCause cause) const {
  CallerConnectionEnd end;
  end.cause = cause;
  end.request_open = request_open_;
  end.response_begun = request_open_ && response_begun_;
  end.request_partial = !request_open_ && !closing_ && parser_.in_message();
  end.bytes_read = bytes_read_;
  end.bytes_written = bytes_written_;
  end.bytes_unsent = stream_->queued_bytes();
  end.bytes_unread =
      pipelined_input_.size() + (request_open_ ? parser_.pending_bytes() : 0);
  if (cause != CallerEndCause::kCallerClosed &&
      cause != CallerEndCause::kCallerReset)
    end.bytes_unread += stream_->unread_bytes();
  return end;
}

void CallerConnection::OnStreamEnd(StreamEnd stream_end) {
  request_handler_->OnConnectionEnd(
      this,
      MakeEnd(stream_end == StreamEnd::kClosed ? CallerEndCause::kCallerClosed
                                               : CallerEndCause::kCallerReset));
  const bool open = std::exchange(request_open_, false);
  stream_.reset();
  if (open)
    request_handler_->OnCallerGone(this);
}

void CallerConnection::OnHead(HttpHead head) {
  head_ = std::move(head);
  head_bytes_ =
      std::max(MemoryOf(head_), kUncountedHeadBytes) - kUncountedHeadBytes;
  body_deadline_ = EventLoop::Now() +
                   Milliseconds(request_handler_->limits().body_timeout_ms);
  stream_->SetReadSize(TcpStream::kReadBytes);
  if (!ReserveBody(AnnouncedBytes(head_))) {
    body_refused_ = true;
    return;
  }
  const std::string* expect = head_.Find("Expect");
  if (expect != nullptr && SameFieldName(*expect, "100-continue"))
    Write("HTTP/1.1 100 Continue\r\n\r\n");
}

void CallerConnection::OnBody(std::string_view data) {
  if (body_refused_)
    return;
  if (!ReserveBody(body_.size() + data.size())) {
    body_refused_ = true;
    DropBody();
    return;
  }
  body_.append(data);
}

bool CallerConnection::ReserveBody(std::size_t bytes) {
  if (bytes <= body_.capacity())
    return body_hold_.GrowTo(head_bytes_ + bytes);
  const std::size_t ample =
      std::min(std::max(bytes, 2 * body_.size()),
               std::max(bytes, request_handler_->limits().max_body_bytes));
  const std::size_t granted =
      body_hold_.GrowTo(head_bytes_ + ample) ? ample : bytes;
  if (!body_hold_.GrowTo(head_bytes_ + granted))
    return false;
  body_.reserve(granted);
  return true;
}

void CallerConnection::OnMessageComplete() {}

bool CallerConnection::MustClose() const {
  if (!request_keeps_alive_)
    return true;
  // A request that was received already still gets its response.
  return keep_alive_disabled_ && !has_buffered_input() &&
         !stream_->HasUnreadData();
}

std::string CallerConnection::BeginResponseHead(int status,
                                                std::string_view reason,
                                                std::string_view fields) {
  response_begun_ = true;
  std::string head;
  AppendStatusLine(status, reason, &head);
  head.append(fields);
  close_announced_ = MustClose();
  if (close_announced_)
    head.append("Connection: close\r\n");
  return head;
}

void CallerConnection::SendResponse(int status,
                                    std::string_view reason,
                                    std::string_view fields,
                                    std::string body) {
  SendSharedResponse(status, reason, fields,
                     std::make_shared<const std::string>(std::move(body)));
}

void CallerConnection::SendSharedResponse(
    int status,
    std::string_view reason,
    std::string_view fields,
    std::shared_ptr<const std::string> body) {
  if (closed() || !request_open_)
    return;
  std::string head = BeginResponseHead(status, reason, fields);
  AppendField("Content-Length", std::to_string(body->size()), &head);
  head.append("\r\n");
  Write(head, std::move(body));
  FinishResponse();
}

void CallerConnection::BeginStream(int status,
                                   std::string_view reason,
                                   std::string_view fields,
                                   std::string_view first_chunk) {
  if (closed() || !request_open_)
    return;
  close_delimited_ = !parser_.understands_chunks();
  if (close_delimited_)
    request_keeps_alive_ = false;
  std::string output = BeginResponseHead(status, reason, fields);
  if (!close_delimited_)
    output.append("Transfer-Encoding: chunked\r\n");
  output.append("\r\n");
  AppendPart(first_chunk, &output);
  Write(output);
}

void CallerConnection::WriteChunk(std::string_view data) {
  if (closed() || !request_open_)
    return;
  std::string output;
  AppendPart(data, &output);
  Write(output);
}

void CallerConnection::AppendPart(std::string_view data,
                                  std::string* output) const {
  if (close_delimited_)
    output->append(data);
  else
    AppendChunk(data, output);
}

void CallerConnection::EndStream() {
  if (closed() || !request_open_)
    return;
  if (!close_delimited_)
    Write("0\r\n\r\n");
  FinishResponse();
}

void CallerConnection::FinishResponse() {
  request_open_ = false;
  response_begun_ = false;
  close_delimited_ = false;
  DropBody();
  body_deadline_.reset();
  stream_->SetReadSize(kHeadReadBytes);
  head_ = {};
  if (std::exchange(close_announced_, false) || input_discarded_) {
    parser_.DropPending();
    CountBufferedInput();
    BeginClosing();
    return;
  }
  parser_.StartNextMessage();
  head_timed_ = false;
  BeginIdleTime();
  // The parser's own buffer may already hold a complete request.
  GoOnParsing();
}

void CallerConnection::Abort() {
  if (!closed())
    request_handler_->OnConnectionEnd(this, MakeEnd(CallerEndCause::kAborted));
  request_open_ = false;
  if (close_delimited_ && stream_ != nullptr)
    TcpStream::Reset(std::move(stream_));
  stream_.reset();
}

void CallerConnection::PauseReading() {
  if (!closed())
    stream_->StopReading();
}

void CallerConnection::Resume() {
  if (!closed() && !request_open_)
    stream_->StartReading();
}

void CallerConnection::CloseIfIdle(Instant now) {
  if (closed() || closing_ || request_open_)
    return;
  if (parser_.in_message()) {
    RefuseIfStalled(now);
    return;
  }
  if (bytes_read_ == 0 && now < opened_at_ + kFirstRequestTime)
    return;
  if (stream_->queued_bytes() == 0 && !has_buffered_input() &&
      !stream_->HasUnreadData())
    Close();
}

void CallerConnection::RefuseIfStalled(Instant now) {
  if (std::exchange(bytes_at_last_check_, bytes_read_) != bytes_read_) {
    stalled_since_ = now;
    return;
  }
  if (now >= stalled_since_ + kStalledTime && stream_->queued_bytes() == 0 &&
      !stream_->HasUnreadData())
    Reject(kRequestTimeout);
}

void CallerConnection::Close() {
  request_handler_->OnConnectionEnd(this, MakeEnd(CallerEndCause::kIdle));
  TcpStream::FlushAndClose(std::move(stream_));
}

void CallerConnection::BeginClosing() {
  closing_ = true;
  stream_->ShutDown();
  stream_->StartReading();
}

bool CallerConnection::TickClosing(Instant now) {
  if (stream_->queued_bytes() > 0) {
    if (!IsAnswerUntaken(now))
      return true;
    EndNow(CallerEndCause::kAnswered);
    return false;
  }
  if (!closing_deadline_)
    closing_deadline_ = now + kClosingTime;
  if (now < *closing_deadline_)
    return true;
  request_handler_->OnConnectionEnd(this, MakeEnd(CallerEndCause::kAnswered));
  stream_.reset();
  return false;
}

void CallerConnection::TrackProgress(Instant now) {
  const uint64_t taken = bytes_written_ - stream_->queued_bytes();
  if (taken != std::exchange(last_taken_bytes_, taken))
    last_progress_ = now;
}

bool CallerConnection::IsAnswerUntaken(Instant now) const {
  return now >= last_progress_ +
                    Milliseconds(request_handler_->limits().idle_timeout_ms);
}

ConnectionActivity CallerConnection::activity() const {
  ConnectionActivity activity{id_, ConnectionPhase::kIdle, last_progress_};
  if (closing_ || stream_->queued_bytes() > 0)
    activity.phase = ConnectionPhase::kAnswerUntaken;
  else if (request_open_ || yields_)
    activity.phase = ConnectionPhase::kBusy;
  else if (parser_.in_message())
    activity.phase = ConnectionPhase::kRequestPartial;
  return activity;
}

void CallerConnection::Evict() {
  if (closed())
    return;
  if (!closing_ && !request_open_ && parser_.in_message())
    Reject(kRequestTimeout);
  EndNow(CallerEndCause::kEvicted);
}

void CallerConnection::EndNow(CallerEndCause cause) {
  request_handler_->OnConnectionEnd(this, MakeEnd(cause));
  const bool open = std::exchange(request_open_, false);
  if (close_delimited_)
    TcpStream::Reset(std::move(stream_));
  stream_.reset();
  if (open)
    request_handler_->OnCallerGone(this);
}

bool CallerConnection::OnTick(Instant now) {
  if (closed())
    return false;
  TrackProgress(now);
  if (closing_)
    return TickClosing(now);
  if (std::exchange(yields_, false))
    GoOnParsing();
  if (closed() || closing_)
    return !closed();
  if (request_open_)
    return true;
  if (stream_->queued_bytes() > 0) {
    if (IsAnswerUntaken(now))
      EndNow(CallerEndCause::kIdle);
    return !closed();
  }
  if (!IsReadOverdue(now))
    return true;
  // After a suspension the bytes may have arrived in time.
  if (!std::exchange(deadline_extended_, true) && stream_->HasUnreadData())
    return true;
  if (!parser_.in_message()) {
    Close();
    return false;
  }
  Reject(kRequestTimeout);
  return true;
}

std::size_t CallerConnection::queued_bytes() const {
  return stream_ == nullptr ? 0 : stream_->queued_bytes();
}

}  // namespace bbv

#include "bbv_front/caller_connection.h"

#include <cassert>
#include <charconv>
#include <utility>

namespace bbv {
namespace {

// Buffered bytes of pipelined requests above which reading stops.
constexpr std::size_t kMaxPipelinedBytes = 256U << 10U;
// Maximum time to receive a body. CallerLimits bounds the time for a head.
constexpr Milliseconds kBodyReadTimeout{20'000};

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

void AppendStatusLine(int status, std::string_view reason, std::string* out) {
  out->append("HTTP/1.1 ");
  out->append(std::to_string(status));
  out->push_back(' ');
  out->append(reason.empty() ? StatusPhrase(status) : reason);
  out->append("\r\n");
}

}  // namespace

CallerConnection::CallerConnection(uint64_t id,
                                   std::unique_ptr<TcpStream> stream,
                                   CallerLimits limits,
                                   CallerRequestHandler* request_handler)
    : id_(id),
      stream_(std::move(stream)),
      limits_(limits),
      request_handler_(request_handler),
      parser_(HttpParser::Kind::kRequests,
              {limits.max_header_bytes, limits.max_body_bytes},
              this),
      read_deadline_(EventLoop::Now() + Milliseconds(limits.idle_timeout_ms)) {
  assert(request_handler != nullptr);
  stream_->SetDelegate(this);
  stream_->StartReading();
}

void CallerConnection::OnData(std::string_view data) {
  if (!request_open_) {
    ParseInput(data);
    return;
  }
  pipelined_input_.append(data);
  if (pipelined_input_.size() > kMaxPipelinedBytes)
    stream_->StopReading();
}

void CallerConnection::ParseInput(std::string_view data) {
  const bool message_started = parser_.in_message();
  const ParseStatus status = parser_.Parse(data);
  switch (status) {
    case ParseStatus::kNeedMore:
      if (!message_started && parser_.in_message()) {
        read_deadline_ =
            EventLoop::Now() + Milliseconds(limits_.header_timeout_ms);
      }
      if (parser_.has_head())
        read_deadline_ = EventLoop::Now() + kBodyReadTimeout;
      return;
    case ParseStatus::kComplete:
      request_open_ = true;
      request_keeps_alive_ = parser_.keeps_alive();
      request_handler_->OnRequest(this, std::move(head_), std::move(body_));
      return;
    case ParseStatus::kHeadTooLarge:
      Reject(431);
      return;
    case ParseStatus::kBodyTooLarge:
      Reject(413);
      return;
    case ParseStatus::kMalformed:
      Reject(400);
      return;
  }
}

void CallerConnection::Reject(int status) {
  request_handler_->OnBadRequest(this, status);
  request_keeps_alive_ = false;
  request_open_ = true;
  SendResponse(status, {}, {}, {});
}

void CallerConnection::OnStreamEnd(StreamEnd) {
  const bool open = std::exchange(request_open_, false);
  stream_.reset();
  if (open)
    request_handler_->OnCallerGone(this);
}

void CallerConnection::OnHead(HttpHead head) {
  head_ = std::move(head);
  const std::string* expect = head_.Find("Expect");
  if (expect != nullptr && SameFieldName(*expect, "100-continue"))
    stream_->Write("HTTP/1.1 100 Continue\r\n\r\n");
}

void CallerConnection::OnBody(std::string_view data) {
  body_.append(data);
}

void CallerConnection::OnMessageComplete() {}

bool CallerConnection::KeepsAlive() const {
  return request_keeps_alive_ && !keep_alive_disabled_;
}

std::string_view CallerConnection::ConnectionField() const {
  return KeepsAlive() ? "" : "Connection: close\r\n";
}

void CallerConnection::BeginResponseHead(int status,
                                         std::string_view reason,
                                         std::string_view fields) {
  output_.clear();
  AppendStatusLine(status, reason, &output_);
  output_.append(fields);
  output_.append(ConnectionField());
}

void CallerConnection::SendResponse(int status,
                                    std::string_view reason,
                                    std::string_view fields,
                                    std::string_view body) {
  if (closed() || !request_open_)
    return;
  BeginResponseHead(status, reason, fields);
  AppendField("Content-Length", std::to_string(body.size()), &output_);
  output_.append("\r\n");
  output_.append(body);
  stream_->Write(output_);
  FinishResponse();
}

void CallerConnection::BeginStream(int status,
                                   std::string_view reason,
                                   std::string_view fields,
                                   std::string_view first_chunk) {
  if (closed() || !request_open_)
    return;
  BeginResponseHead(status, reason, fields);
  output_.append("Transfer-Encoding: chunked\r\n\r\n");
  AppendChunk(first_chunk, &output_);
  stream_->Write(output_);
}

void CallerConnection::WriteChunk(std::string_view data) {
  if (closed() || !request_open_)
    return;
  output_.clear();
  AppendChunk(data, &output_);
  stream_->Write(output_);
}

void CallerConnection::EndStream() {
  if (closed() || !request_open_)
    return;
  stream_->Write("0\r\n\r\n");
  FinishResponse();
}

void CallerConnection::FinishResponse() {
  request_open_ = false;
  if (!KeepsAlive()) {
    Close();
    return;
  }
  parser_.StartNextMessage();
  head_ = {};
  body_.clear();
  read_deadline_ = EventLoop::Now() + Milliseconds(limits_.idle_timeout_ms);
  stream_->StartReading();
  const std::string pipelined_input = std::move(pipelined_input_);
  pipelined_input_.clear();
  // The parser's own buffer may already hold a complete request.
  if (!pipelined_input.empty() || parser_.pending_bytes() > 0)
    ParseInput(pipelined_input);
}

void CallerConnection::Abort() {
  request_open_ = false;
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

void CallerConnection::CloseIfIdle() {
  if (!closed() && !request_open_ && !parser_.in_message())
    Close();
}

void CallerConnection::Close() {
  if (stream_ != nullptr)
    TcpStream::FlushAndClose(std::move(stream_));
}

bool CallerConnection::OnTick(Instant now) {
  if (closed())
    return false;
  if (request_open_ || now < read_deadline_)
    return true;
  if (!parser_.in_message()) {
    Close();
    return false;
  }
  Reject(408);
  return false;
}

std::size_t CallerConnection::queued_bytes() const {
  return stream_ == nullptr ? 0 : stream_->queued_bytes();
}

}  // namespace bbv

#include "bbv_front/caller_connection.h"

#include <cassert>
#include <charconv>
#include <utility>

namespace bbv {
namespace {

// Bytes of later requests that are kept while one is open.
constexpr std::size_t kMaxWaitingBytes = 256U << 10U;
// Time for a body; heads have their own limit.
constexpr Milliseconds kBodyTime{20'000};

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
                                   CallerRequests* requests)
    : id_(id),
      stream_(std::move(stream)),
      limits_(limits),
      requests_(requests),
      parser_(HttpParser::Kind::kRequests,
              {limits.max_header_bytes, limits.max_body_bytes},
              this),
      read_deadline_(EventLoop::Now() + Milliseconds(limits.idle_timeout_ms)) {
  assert(requests != nullptr);
  stream_->SetDelegate(this);
  stream_->StartReading();
}

void CallerConnection::OnData(std::string_view data) {
  if (!request_open_) {
    ParseMore(data);
    return;
  }
  waiting_.append(data);
  if (waiting_.size() > kMaxWaitingBytes)
    stream_->StopReading();
}

void CallerConnection::ParseMore(std::string_view data) {
  const bool began = parser_.in_message();
  const ParseStatus status = parser_.Parse(data);
  switch (status) {
    case ParseStatus::kNeedMore:
      if (!began && parser_.in_message()) {
        read_deadline_ =
            EventLoop::Now() + Milliseconds(limits_.header_timeout_ms);
      }
      if (parser_.has_head())
        read_deadline_ = EventLoop::Now() + kBodyTime;
      return;
    case ParseStatus::kComplete:
      request_open_ = true;
      request_keeps_alive_ = parser_.keeps_alive();
      requests_->OnRequest(this, std::move(head_), std::move(body_));
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
  requests_->OnBadRequest(this, status);
  request_keeps_alive_ = false;
  request_open_ = true;
  Answer(status, {}, {}, {});
}

void CallerConnection::OnStreamEnd(StreamEnd) {
  const bool open = std::exchange(request_open_, false);
  stream_.reset();
  if (open)
    requests_->OnCallerGone(this);
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

bool CallerConnection::KeepsConnection() const {
  return request_keeps_alive_ && !stopping_;
}

std::string_view CallerConnection::ConnectionLine() const {
  return KeepsConnection() ? "" : "Connection: close\r\n";
}

void CallerConnection::StartHead(int status,
                                 std::string_view reason,
                                 std::string_view fields) {
  out_.clear();
  AppendStatusLine(status, reason, &out_);
  out_.append(fields);
  out_.append(ConnectionLine());
}

void CallerConnection::Answer(int status,
                              std::string_view reason,
                              std::string_view fields,
                              std::string_view body) {
  if (over() || !request_open_)
    return;
  StartHead(status, reason, fields);
  AppendField("Content-Length", std::to_string(body.size()), &out_);
  out_.append("\r\n");
  out_.append(body);
  stream_->Write(out_);
  FinishAnswer();
}

void CallerConnection::BeginStream(int status,
                                   std::string_view reason,
                                   std::string_view fields,
                                   std::string_view first_chunk) {
  if (over() || !request_open_)
    return;
  StartHead(status, reason, fields);
  out_.append("Transfer-Encoding: chunked\r\n\r\n");
  AppendChunk(first_chunk, &out_);
  stream_->Write(out_);
}

void CallerConnection::StreamChunk(std::string_view data) {
  if (over() || !request_open_)
    return;
  out_.clear();
  AppendChunk(data, &out_);
  stream_->Write(out_);
}

void CallerConnection::EndStream() {
  if (over() || !request_open_)
    return;
  stream_->Write("0\r\n\r\n");
  FinishAnswer();
}

void CallerConnection::FinishAnswer() {
  request_open_ = false;
  if (!KeepsConnection()) {
    Close();
    return;
  }
  parser_.StartNextMessage();
  head_ = {};
  body_.clear();
  read_deadline_ = EventLoop::Now() + Milliseconds(limits_.idle_timeout_ms);
  stream_->StartReading();
  const std::string waiting = std::move(waiting_);
  waiting_.clear();
  // Also what the parser holds already may be a whole request.
  if (!waiting.empty() || parser_.pending_bytes() > 0)
    ParseMore(waiting);
}

void CallerConnection::Break() {
  request_open_ = false;
  stream_.reset();
}

void CallerConnection::Hold() {
  if (!over())
    stream_->StopReading();
}

void CallerConnection::Resume() {
  if (!over() && !request_open_)
    stream_->StartReading();
}

void CallerConnection::CloseIfIdle() {
  if (!over() && !request_open_ && !parser_.in_message())
    Close();
}

void CallerConnection::Close() {
  if (stream_ != nullptr)
    TcpStream::FinishAndClose(std::move(stream_));
}

bool CallerConnection::OnTick(Instant now) {
  if (over())
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

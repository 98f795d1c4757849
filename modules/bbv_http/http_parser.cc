#include "bbv_http/http_parser.h"

#include <boost/asio/buffer.hpp>
#include <boost/beast/core/string.hpp>
#include <boost/beast/http/basic_parser.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/rfc7230.hpp>
#include <cassert>
#include <utility>

namespace bbv {
namespace {

namespace http = boost::beast::http;
using boost::beast::error_code;
using boost::beast::string_view;

// HTTP/1.1, in Beast's notation.
constexpr int kFirstChunkedVersion = 11;
constexpr int kFirstStatus = 100;
constexpr int kFirstFinalStatus = 200;
constexpr int kEndOfStatuses = 600;

std::string_view ToStdStringView(string_view text) {
  return {text.data(), text.size()};
}

ParseStatus ToParseStatus(const error_code& ec) {
  if (ec == http::error::header_limit)
    return ParseStatus::kHeadTooLarge;
  if (ec == http::error::body_limit || ec == http::error::buffer_overflow)
    return ParseStatus::kBodyTooLarge;
  return ParseStatus::kMalformed;
}

MessageFault ToMessageFault(const error_code& ec) {
  if (ec == http::error::bad_status)
    return MessageFault::kStatus;
  if (ec == http::error::bad_reason)
    return MessageFault::kReason;
  if (ec == http::error::bad_field)
    return MessageFault::kFieldName;
  if (ec == http::error::bad_value || ec == http::error::bad_obs_fold)
    return MessageFault::kFieldValue;
  if (ec == http::error::bad_content_length ||
      ec == http::error::multiple_content_length)
    return MessageFault::kLength;
  if (ec == http::error::bad_transfer_encoding)
    return MessageFault::kCoding;
  if (ec == http::error::bad_chunk || ec == http::error::bad_chunk_extension)
    return MessageFault::kChunk;
  if (ec == http::error::bad_line_ending)
    return MessageFault::kLineEnding;
  return MessageFault::kStartLine;
}

// Whether the received part of a head has bare line feeds or folded fields,
// which parsers interpret differently.
bool IsAmbiguousHead(std::string_view text) {
  text = text.substr(0, text.find("\r\n\r\n"));
  for (std::size_t at = text.find('\n'); at != std::string_view::npos;
       at = text.find('\n', at + 1)) {
    if (at == 0 || text[at - 1] != '\r')
      return true;
    if (at + 1 < text.size() && (text[at + 1] == ' ' || text[at + 1] == '\t'))
      return true;
  }
  return false;
}

// Whether a Transfer-Encoding value names `chunked` and nothing else.
bool IsChunkedAlone(std::string_view value) {
  const http::opt_token_list codings({value.data(), value.size()});
  if (!http::validate_list(codings))
    return false;
  auto it = codings.begin();
  return it != codings.end() && boost::beast::iequals(*it, "chunked") &&
         ++it == codings.end();
}

// Whether this parser can decode the body of a message with `head`.
bool HasKnownCoding(const HttpHead& head) {
  int codings = 0;
  for (const HttpField& it : head.fields) {
    if (!SameFieldName(it.name, "Transfer-Encoding"))
      continue;
    if (++codings > 1 || !IsChunkedAlone(it.value))
      return false;
  }
  return true;
}

}  // namespace

// Parser of a single message: a common interface for requests and responses.
class HttpParser::MessageParser {
 public:
  virtual ~MessageParser() = default;
  virtual std::size_t Put(std::string_view data, error_code* ec) = 0;
  virtual void PutEof(error_code* ec) = 0;
  virtual void SetLimits(const ParserLimits& limits) = 0;
  virtual void ExpectNoBody() = 0;
  virtual bool done() const = 0;
  virtual bool has_data() const = 0;
  virtual bool has_head() const = 0;
  virtual bool keeps_alive() const = 0;
  virtual bool has_framing() const = 0;
  virtual bool understands_chunks() const = 0;
  // Whether the message was an interim (1xx) response, which the final response
  // follows.
  virtual bool is_interim() const = 0;
  virtual bool has_too_many_chunks() const = 0;
};

template <bool kIsRequest>
class HttpParser::BeastMessageParser final
    : public MessageParser,
      public http::basic_parser<kIsRequest> {
 public:
  using Base = http::basic_parser<kIsRequest>;

  BeastMessageParser(const ParserLimits& limits, HttpSink* sink) : sink_(sink) {
    this->eager(true);
    ApplyLimits(limits);
  }

  std::size_t Put(std::string_view data, error_code* ec) override {
    if (!data.empty())
      has_data_ = true;
    return Base::put(boost::asio::const_buffer(data.data(), data.size()), *ec);
  }
  void PutEof(error_code* ec) override { Base::put_eof(*ec); }
  void SetLimits(const ParserLimits& limits) override { ApplyLimits(limits); }
  void ExpectNoBody() override { this->skip(true); }
  bool done() const override { return this->is_done(); }
  bool has_data() const override { return has_data_; }
  bool has_head() const override { return this->is_header_done(); }
  bool keeps_alive() const override { return this->keep_alive(); }
  bool has_framing() const override {
    return this->chunked() || this->content_length().has_value();
  }
  bool understands_chunks() const override {
    return version_ >= kFirstChunkedVersion;
  }
  bool is_interim() const override { return interim_; }
  bool has_too_many_chunks() const override { return too_many_chunks_; }

 private:
  void on_request_impl(http::verb /*method*/,
                       string_view method,
                       string_view target,
                       int version,
                       error_code& /*ec*/) override {
    version_ = version;
    head_.method = ToStdStringView(method);
    head_.target = ToStdStringView(target);
  }
  void on_response_impl(int status,
                        string_view reason,
                        int version,
                        error_code& ec) override {
    if (status < kFirstStatus || status >= kEndOfStatuses) {
      ec = http::error::bad_status;
      return;
    }
    version_ = version;
    head_.status = status;
    head_.reason = ToStdStringView(reason);
  }
  void on_field_impl(http::field /*field*/,
                     string_view name,
                     string_view value,
                     error_code& /*ec*/) override {
    // Trailers are not used.
    if (this->is_header_done())
      return;
    head_.fields.push_back({std::string(ToStdStringView(name)),
                            std::string(ToStdStringView(value))});
  }
  void on_header_impl(error_code& ec) override {
    // The field is not relayed, so a body that is still encoded would pass for
    // the sender's.
    if (!HasKnownCoding(head_)) {
      ec = http::error::bad_transfer_encoding;
      return;
    }
    interim_ = !kIsRequest && head_.status < kFirstFinalStatus;
    if (interim_)
      sink_->OnInterimResponse(head_.status);
    else
      sink_->OnHead(std::move(head_));
  }
  void on_body_init_impl(const boost::optional<uint64_t>& /*length*/,
                         error_code& /*ec*/) override {}
  std::size_t on_body_impl(string_view body, error_code& /*ec*/) override {
    sink_->OnBody(ToStdStringView(body));
    return body.size();
  }
  void on_chunk_header_impl(uint64_t size,
                            string_view /*extensions*/,
                            error_code& ec) override {
    chunked_bytes_ += size;
    too_many_chunks_ =
        ++chunks_ > max_chunks_ + chunked_bytes_ / kBytesPerChunk;
    if (too_many_chunks_)
      ec = http::error::body_limit;
  }
  std::size_t on_chunk_body_impl(uint64_t /*remain*/,
                                 string_view body,
                                 error_code& /*ec*/) override {
    sink_->OnBody(ToStdStringView(body));
    return body.size();
  }
  void on_finish_impl(error_code& /*ec*/) override {
    if (!interim_)
      sink_->OnMessageComplete();
  }

  void ApplyLimits(const ParserLimits& limits) {
    this->header_limit(static_cast<uint32_t>(limits.head_bytes));
    this->body_limit(limits.body_bytes);
    max_chunks_ = limits.chunks;
  }

  HttpSink* sink_;
  HttpHead head_;
  // Ten times the major plus the minor version.
  int version_ = 0;
  bool has_data_ = false;
  bool interim_ = false;
  std::size_t max_chunks_ = 0;
  std::size_t chunks_ = 0;
  uint64_t chunked_bytes_ = 0;
  bool too_many_chunks_ = false;
};

HttpParser::HttpParser(Kind kind, ParserLimits limits, HttpSink* sink)
    : kind_(kind), limits_(limits), sink_(sink) {
  assert(sink != nullptr);
  CreateMessageParser();
}

HttpParser::~HttpParser() = default;

void HttpParser::CreateMessageParser() {
  if (kind_ == Kind::kRequests)
    message_parser_ =
        std::make_unique<BeastMessageParser<true>>(limits_, sink_);
  else
    message_parser_ =
        std::make_unique<BeastMessageParser<false>>(limits_, sink_);
  if (expects_no_body_)
    message_parser_->ExpectNoBody();
}

ParseStatus HttpParser::Parse(std::string_view data) {
  // Without pending bytes, the usual case in a stream, `data` is parsed in
  // place and not copied.
  std::string joined;
  std::string_view rest = data;
  if (!pending_.empty()) {
    joined = std::move(pending_);
    joined.append(data);
    pending_.clear();
    rest = joined;
  }
  while (!rest.empty()) {
    if (!message_parser_->has_head() && IsAmbiguousHead(rest))
      return Reject(MessageFault::kLineEnding);
    error_code ec;
    const std::size_t n = message_parser_->Put(rest, &ec);
    rest.remove_prefix(n);
    if (ec == http::error::need_more) {
      pending_.assign(rest);
      // Bounds the buffer in case a line of a head, a chunk header or a trailer
      // never ends.
      return pending_.size() > limits_.head_bytes ? ParseStatus::kHeadTooLarge
                                                  : ParseStatus::kNeedMore;
    }
    if (message_parser_->has_too_many_chunks())
      return ParseStatus::kTooManyParts;
    if (ec) {
      const ParseStatus status = ToParseStatus(ec);
      return status == ParseStatus::kMalformed ? Reject(ToMessageFault(ec))
                                               : status;
    }
    if (message_parser_->done()) {
      if (!message_parser_->is_interim()) {
        pending_.assign(rest);
        return ParseStatus::kComplete;
      }
      if (++interim_responses_ > limits_.interim_responses)
        return ParseStatus::kTooManyParts;
      CreateMessageParser();
      continue;
    }
    if (n == 0) {
      pending_.assign(rest);
      return ParseStatus::kNeedMore;
    }
  }
  return ParseStatus::kNeedMore;
}

ParseStatus HttpParser::ParseEof() {
  if (!message_parser_->has_data())
    return Reject(MessageFault::kTruncated);
  error_code ec;
  message_parser_->PutEof(&ec);
  if (ec || !message_parser_->done())
    return Reject(MessageFault::kTruncated);
  return ParseStatus::kComplete;
}

ParseStatus HttpParser::Reject(MessageFault fault) {
  fault_ = fault;
  return ParseStatus::kMalformed;
}

void HttpParser::SetLimits(ParserLimits limits) {
  limits_ = limits;
  if (!message_parser_->has_head())
    message_parser_->SetLimits(limits);
}

void HttpParser::ExpectNoBody() {
  expects_no_body_ = true;
  message_parser_->ExpectNoBody();
}

void HttpParser::StartNextMessage() {
  interim_responses_ = 0;
  expects_no_body_ = false;
  CreateMessageParser();
}

bool HttpParser::keeps_alive() const {
  return message_parser_->has_head() && message_parser_->keeps_alive();
}

bool HttpParser::in_message() const {
  return message_parser_->has_data() || !pending_.empty();
}

bool HttpParser::has_head() const {
  return message_parser_->has_head();
}

bool HttpParser::understands_chunks() const {
  return message_parser_->understands_chunks();
}

bool HttpParser::has_framing() const {
  return message_parser_->has_framing();
}

}  // namespace bbv

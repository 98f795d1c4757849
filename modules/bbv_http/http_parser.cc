#include "bbv_http/http_parser.h"

#include <boost/asio/buffer.hpp>
#include <boost/beast/http/basic_parser.hpp>
#include <boost/beast/http/error.hpp>
#include <cassert>
#include <utility>

namespace bbv {
namespace {

namespace http = boost::beast::http;
using boost::beast::error_code;
using boost::beast::string_view;

std::string_view ToStd(string_view text) {
  return {text.data(), text.size()};
}

ParseStatus StatusOf(const error_code& ec) {
  if (ec == http::error::header_limit)
    return ParseStatus::kHeadTooLarge;
  if (ec == http::error::body_limit || ec == http::error::buffer_overflow)
    return ParseStatus::kBodyTooLarge;
  return ParseStatus::kMalformed;
}

// Whether a head, as far as it has come, has bare line feeds or folded fields,
// at which readers differ.
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

}  // namespace

// Hides whether requests or answers are parsed.
class HttpParser::Engine {
 public:
  virtual ~Engine() = default;
  virtual std::size_t Put(std::string_view data, error_code* ec) = 0;
  virtual void PutEnd(error_code* ec) = 0;
  virtual bool done() const = 0;
  virtual bool begun() const = 0;
  virtual bool has_head() const = 0;
  virtual bool keeps_alive() const = 0;
  virtual bool has_framing() const = 0;
};

template <bool kIsRequest>
class HttpParser::BeastEngine final : public Engine,
                                      public http::basic_parser<kIsRequest> {
 public:
  using Base = http::basic_parser<kIsRequest>;

  BeastEngine(const ParserLimits& limits, HttpSink* sink) : sink_(sink) {
    this->eager(true);
    this->header_limit(static_cast<uint32_t>(limits.head_bytes));
    this->body_limit(limits.body_bytes);
  }

  std::size_t Put(std::string_view data, error_code* ec) override {
    if (!data.empty())
      begun_ = true;
    return Base::put(boost::asio::const_buffer(data.data(), data.size()), *ec);
  }
  void PutEnd(error_code* ec) override { Base::put_eof(*ec); }
  bool done() const override { return this->is_done(); }
  bool begun() const override { return begun_; }
  bool has_head() const override { return this->is_header_done(); }
  bool keeps_alive() const override { return this->keep_alive(); }
  bool has_framing() const override {
    return this->chunked() || this->content_length().has_value();
  }

 private:
  void on_request_impl(http::verb /*method*/,
                       string_view method,
                       string_view target,
                       int /*version*/,
                       error_code& /*ec*/) override {
    head_.method = ToStd(method);
    head_.target = ToStd(target);
  }
  void on_response_impl(int status,
                        string_view reason,
                        int /*version*/,
                        error_code& /*ec*/) override {
    head_.status = status;
    head_.reason = ToStd(reason);
  }
  void on_field_impl(http::field /*field*/,
                     string_view name,
                     string_view value,
                     error_code& /*ec*/) override {
    head_.fields.push_back(
        {std::string(ToStd(name)), std::string(ToStd(value))});
  }
  void on_header_impl(error_code& ec) override {
    // A request's body has a length or chunks; other codings would end with
    // the connection, which a request cannot.
    if (kIsRequest && head_.Find("Transfer-Encoding") != nullptr &&
        !this->chunked()) {
      ec = http::error::bad_transfer_encoding;
      return;
    }
    interim_ = !kIsRequest && head_.status >= 100 && head_.status < 200;
    if (!interim_)
      sink_->OnHead(std::move(head_));
  }
  void on_body_init_impl(const boost::optional<uint64_t>& /*length*/,
                         error_code& /*ec*/) override {}
  std::size_t on_body_impl(string_view body, error_code& /*ec*/) override {
    sink_->OnBody(ToStd(body));
    return body.size();
  }
  void on_chunk_header_impl(uint64_t /*size*/,
                            string_view /*extensions*/,
                            error_code& /*ec*/) override {}
  std::size_t on_chunk_body_impl(uint64_t /*remain*/,
                                 string_view body,
                                 error_code& /*ec*/) override {
    sink_->OnBody(ToStd(body));
    return body.size();
  }
  void on_finish_impl(error_code& /*ec*/) override {
    if (!interim_)
      sink_->OnMessageComplete();
  }

  HttpSink* sink_;
  HttpHead head_;
  bool begun_ = false;
  bool interim_ = false;

 public:
  // Whether the message was an interim answer, behind which the real one is.
  bool interim() const { return interim_; }
};

HttpParser::HttpParser(Kind kind, ParserLimits limits, HttpSink* sink)
    : kind_(kind), limits_(limits), sink_(sink) {
  assert(sink != nullptr);
  MakeEngine();
}

HttpParser::~HttpParser() = default;

void HttpParser::MakeEngine() {
  if (kind_ == Kind::kRequests)
    engine_ = std::make_unique<BeastEngine<true>>(limits_, sink_);
  else
    engine_ = std::make_unique<BeastEngine<false>>(limits_, sink_);
}

ParseStatus HttpParser::Parse(std::string_view data) {
  // Parses in place where nothing is pending, as is usual in a stream.
  std::string joined;
  std::string_view rest = data;
  if (!pending_.empty()) {
    joined = std::move(pending_);
    joined.append(data);
    pending_.clear();
    rest = joined;
  }
  while (!rest.empty()) {
    if (!engine_->has_head() && IsAmbiguousHead(rest))
      return ParseStatus::kMalformed;
    error_code ec;
    const std::size_t n = engine_->Put(rest, &ec);
    rest.remove_prefix(n);
    if (ec == http::error::need_more) {
      pending_.assign(rest);
      // A head, a chunk's first line or a trailer may also come as one line
      // that never ends.
      return pending_.size() > limits_.head_bytes ? ParseStatus::kHeadTooLarge
                                                  : ParseStatus::kNeedMore;
    }
    if (ec)
      return StatusOf(ec);
    if (engine_->done()) {
      pending_.assign(rest);
      if (kind_ == Kind::kResponses &&
          static_cast<BeastEngine<false>*>(engine_.get())->interim()) {
        MakeEngine();
        joined = std::move(pending_);
        pending_.clear();
        rest = joined;
        continue;
      }
      return ParseStatus::kComplete;
    }
    if (n == 0) {
      pending_.assign(rest);
      return ParseStatus::kNeedMore;
    }
  }
  return ParseStatus::kNeedMore;
}

ParseStatus HttpParser::ParseEof() {
  if (!engine_->begun())
    return ParseStatus::kMalformed;
  error_code ec;
  engine_->PutEnd(&ec);
  if (ec || !engine_->done())
    return ParseStatus::kMalformed;
  return ParseStatus::kComplete;
}

void HttpParser::StartNextMessage() {
  MakeEngine();
}

bool HttpParser::keeps_alive() const {
  return engine_->has_head() && engine_->keeps_alive();
}

bool HttpParser::in_message() const {
  return engine_->begun() || !pending_.empty();
}

bool HttpParser::has_head() const {
  return engine_->has_head();
}

bool HttpParser::has_framing() const {
  return engine_->has_framing();
}

}  // namespace bbv

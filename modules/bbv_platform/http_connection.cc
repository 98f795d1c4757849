#include "bbv_platform/http_connection.h"

#include <algorithm>
#include <utility>

namespace bbv {
namespace {

constexpr int kContinue = 100;

// Collects a response.
class ResponseSink final : public HttpSink {
 public:
  void OnHead(HttpHead head) override { response.head = std::move(head); }
  void OnBody(std::string_view data) override { response.body.append(data); }
  void OnMessageComplete() override {}
  void OnInterimResponse(int status) override {
    if (status != kContinue)
      unexpected_interim = status;
  }

  HttpResponse response;
  // Status of an interim response other than 100; 0 if there was none.
  int unexpected_interim = 0;
};

bool IsControl(char c) {
  const auto byte = static_cast<unsigned char>(c);
  return byte < 0x20 || byte == 0x7f;
}

// Whether `text` can be a method, a target or a field's name: a blank or a
// line's end in it would end that early.
bool IsSingleWord(std::string_view text) {
  return !text.empty() && std::none_of(text.begin(), text.end(), [](char c) {
    return c == ' ' || IsControl(c);
  });
}

bool IsFieldValue(std::string_view text) {
  return std::none_of(text.begin(), text.end(),
                      [](char c) { return c != '\t' && IsControl(c); });
}

// Whether the request cannot be read as another one or as several.
bool CanBeSent(const HttpHead& head) {
  return IsSingleWord(head.method) && IsSingleWord(head.target) &&
         std::all_of(head.fields.begin(), head.fields.end(),
                     [](const HttpField& it) {
                       return IsSingleWord(it.name) &&
                              it.name.find(':') == std::string::npos &&
                              IsFieldValue(it.value);
                     });
}

bool NamesItsLength(const HttpHead& head, std::string_view body) {
  return !body.empty() || head.method == "POST" || head.method == "PUT" ||
         head.method == "PATCH";
}

std::string Serialize(const HttpHead& head,
                      std::string_view body,
                      const std::string& peer) {
  std::string bytes = head.method + ' ' + head.target + " HTTP/1.1\r\n";
  AppendField("Host", peer, &bytes);
  for (const HttpField& it : head.fields)
    AppendField(it.name, it.value, &bytes);
  if (NamesItsLength(head, body))
    AppendField("Content-Length", std::to_string(body.size()), &bytes);
  bytes.append("\r\n").append(body);
  return bytes;
}

std::string DescribeFault(const HttpParser& parser, ParseStatus status) {
  if (status != ParseStatus::kMalformed)
    return "response exceeds its limits";
  return "malformed response: " +
         std::string(kMessageFaultNames.Name(parser.fault()));
}

bool CanCarryAnother(const HttpParser& parser) {
  return parser.keeps_alive() && parser.has_framing() &&
         parser.pending_bytes() == 0;
}

}  // namespace

HttpConnection::HttpConnection(SocketAddress address,
                               Operation step,
                               Milliseconds timeout)
    : address_(std::move(address)),
      peer_(address_.ToString()),
      step_(step),
      timeout_(timeout) {}

Result<HttpResponse> HttpConnection::Get(const std::string& path) {
  HttpHead head;
  head.method = "GET";
  head.target = path;
  return Send(head, {});
}

Result<HttpResponse> HttpConnection::Post(const std::string& path,
                                          std::string_view body,
                                          const std::string& content_type) {
  HttpHead head;
  head.method = "POST";
  head.target = path;
  head.fields.push_back({"Content-Type", content_type});
  return Send(head, body);
}

Result<HttpResponse> HttpConnection::Send(const HttpHead& head,
                                          std::string_view body) {
  if (!CanBeSent(head))
    return Fail(step_, peer_, "request head has bytes that cannot be sent",
                true);
  if (auto prepared = Prepare(); !prepared)
    return tl::make_unexpected(prepared.error());
  std::string fault = socket_.Write(Serialize(head, body, peer_));
  if (!fault.empty())
    return CloseAndFail(std::move(fault));
  return ReadResponse(head.method != "HEAD");
}

Result<void> HttpConnection::Prepare() {
  if (socket_.is_open() && socket_.IsQuiet())
    return {};
  socket_.Close();
  // Nothing was sent to the peer until this has succeeded.
  if (std::string fault = socket_.Connect(address_, timeout_); !fault.empty())
    return Fail(step_, peer_, std::move(fault), true);
  if (!socket_.IsQuiet())
    return CloseAndFail("data or an end before the request", true);
  return {};
}

Result<HttpResponse> HttpConnection::ReadResponse(bool has_body) {
  ResponseSink sink;
  HttpParser parser(HttpParser::Kind::kResponses, kPeerResponseLimits, &sink);
  if (!has_body)
    parser.ExpectNoBody();
  ParseStatus status = ParseStatus::kNeedMore;
  bool has_ended = false;
  while (status == ParseStatus::kNeedMore) {
    std::string_view data;
    if (std::string fault = socket_.Read(&data); !fault.empty())
      return CloseAndFail(std::move(fault));
    has_ended = data.empty();
    status = has_ended ? parser.ParseEof() : parser.Parse(data);
    // The final response may still arrive on the connection.
    if (sink.unexpected_interim != 0)
      return CloseAndFail("interim response " +
                          std::to_string(sink.unexpected_interim));
  }
  if (status != ParseStatus::kComplete)
    return CloseAndFail(DescribeFault(parser, status));
  if (has_ended || !CanCarryAnother(parser))
    socket_.Close();
  return std::move(sink.response);
}

tl::unexpected<Error> HttpConnection::CloseAndFail(std::string message,
                                                   bool not_performed) {
  socket_.Close();
  return Fail(step_, peer_, std::move(message), not_performed);
}

}  // namespace bbv

#ifndef MODULES_BBV_HTTP_HTTP_PARSER_H_
#define MODULES_BBV_HTTP_HTTP_PARSER_H_

#include <cstdint>
#include <limits>
#include <memory>
#include <string>
#include <string_view>

#include "bbv_core/name_table.h"
#include "bbv_http/http_message.h"

namespace bbv {

// Receives the parts of a message while it is parsed. The methods must not
// destroy the parser.
class HttpSink {
 public:
  virtual ~HttpSink() = default;
  // Called once per message, when its head is complete.
  virtual void OnHead(HttpHead head) = 0;
  virtual void OnBody(std::string_view data) = 0;
  virtual void OnMessageComplete() = 0;
  // Called for each interim (1xx) response, which is otherwise skipped.
  virtual void OnInterimResponse(int /*status*/) {}
};

// Result of parsing a block of bytes.
enum class ParseStatus : uint8_t {
  kNeedMore,
  // The message is complete; the parser keeps bytes of the next one.
  kComplete,
  // The bytes are not a valid message; the parser cannot continue.
  kMalformed,
  // The head or body exceeds ParserLimits.
  kHeadTooLarge,
  kBodyTooLarge,
  // The message has more interim responses or chunks than ParserLimits allow.
  kTooManyParts,
};

// What makes a message malformed.
enum class MessageFault : uint8_t {
  kNone,
  // The method, the target or the version.
  kStartLine,
  // A response's status is not a three-digit number of a known class.
  kStatus,
  kReason,
  kFieldName,
  kFieldValue,
  // Content-Length.
  kLength,
  // Transfer-Encoding.
  kCoding,
  kChunk,
  // A bare line feed, or a field that is folded.
  kLineEnding,
  // The data ended inside the message.
  kTruncated,
};

inline constexpr NameTable<MessageFault, 11> kMessageFaultNames({
    "none",
    "start-line",
    "status",
    "reason",
    "field-name",
    "field-value",
    "length",
    "coding",
    "chunk",
    "line-ending",
    "truncated",
});

// Upper bounds of a message's size.
struct ParserLimits {
  std::size_t head_bytes = 16384;
  std::size_t body_bytes = 4U << 20U;
  // Interim responses before the final one.
  int interim_responses = 16;
  // Chunks of a body, in addition to one for each kBytesPerChunk of it: smaller
  // ones cost far more to read than they carry.
  std::size_t chunks = std::numeric_limits<std::size_t>::max() / 2;
};

// The limits of a response from a peer that answers requests of this process.
inline constexpr ParserLimits kPeerResponseLimits{.head_bytes = 64U << 10U,
                                                  .body_bytes = 64U << 20U,
                                                  .interim_responses = 16,
                                                  .chunks = 4096};

// Strict incremental parser of consecutive HTTP/1.1 messages.
//
// Prevents request smuggling by rejecting messages whose end parsers may
// determine differently: several lengths, a length together with chunked
// coding, bare line feeds, folded fields. A response whose status is not
// between 100 and 599 is malformed too, and so is a message in a transfer
// coding other than `chunked` alone, which it cannot decode.
//
// Thread safety: none; used only by the owner of the connection.
class HttpParser {
 public:
  enum class Kind : uint8_t { kRequests, kResponses };

  // See ParserLimits::chunks.
  static constexpr std::size_t kBytesPerChunk = 16;

  // `sink` must outlive the parser.
  HttpParser(Kind kind, ParserLimits limits, HttpSink* sink);
  ~HttpParser();
  HttpParser(const HttpParser&) = delete;
  HttpParser& operator=(const HttpParser&) = delete;

  // Parses at most to the end of the current message. Unparsed bytes are kept
  // for the next call, whose `data` may be empty.
  ParseStatus Parse(std::string_view data);

  // Handles the end of the peer's data. Returns kComplete if it ends the
  // current message, otherwise kMalformed.
  ParseStatus ParseEof();

  // Replaces the limits. They apply to the current message unless its head is
  // complete, and to all later ones.
  void SetLimits(ParserLimits limits);

  // Lets the current message end with its head, as the response to a HEAD
  // request does. Precondition: none of it was parsed.
  void ExpectNoBody();

  // Precondition: the last result was kComplete.
  void StartNextMessage();

  // Why the last result was kMalformed; kNone after any other result.
  MessageFault fault() const { return fault_; }

  // Whether the connection persists after the current message.
  bool keeps_alive() const;

  // Whether any byte of the current message has been received.
  bool in_message() const;

  // Whether the head of the current message is complete.
  bool has_head() const;

  // Whether the current message has a Content-Length or is chunked; the end of
  // the connection ends any other response.
  bool has_framing() const;

  // Whether the sender of the current message understands chunked messages;
  // false before its head is complete.
  bool understands_chunks() const;

  // Bytes received and not yet parsed.
  std::size_t pending_bytes() const { return pending_.size(); }

  // Discards them.
  void DropPending() { std::string().swap(pending_); }

 private:
  class MessageParser;
  template <bool kIsRequest>
  class BeastMessageParser;

  void CreateMessageParser();
  ParseStatus Reject(MessageFault fault);

  Kind kind_;
  ParserLimits limits_;
  HttpSink* sink_;
  std::unique_ptr<MessageParser> message_parser_;
  bool expects_no_body_ = false;
  // Interim responses since the last final one.
  int interim_responses_ = 0;
  MessageFault fault_ = MessageFault::kNone;
  std::string pending_;
};

}  // namespace bbv

#endif  // MODULES_BBV_HTTP_HTTP_PARSER_H_

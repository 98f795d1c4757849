#ifndef MODULES_BBV_HTTP_HTTP_PARSER_H_
#define MODULES_BBV_HTTP_HTTP_PARSER_H_

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

#include "bbv_http/http_message.h"

namespace bbv {

// Receives the parts of a message as they are parsed. Methods must not destroy
// the parser.
class HttpSink {
 public:
  virtual ~HttpSink() = default;
  // The head is whole.
  virtual void OnHead(HttpHead head) = 0;
  virtual void OnBody(std::string_view data) = 0;
  virtual void OnMessageComplete() = 0;
};

// How far a parser came with the bytes it was given.
enum class ParseStatus : uint8_t {
  kNeedMore,
  // A message ended; bytes behind it are kept for the next one.
  kComplete,
  // The bytes are no message; nothing more can be parsed.
  kMalformed,
  // The head, or the body, is larger than allowed.
  kHeadTooLarge,
  kBodyTooLarge,
};

// Bounds on a message's size.
struct ParserLimits {
  std::size_t head_bytes = 16384;
  std::size_t body_bytes = 4U << 20U;
};

// Strict incremental parser of HTTP/1.1 messages, one after the other.
//
// Refuses what lets two readers disagree on where a message ends: two lengths,
// a length beside chunks, bare line feeds, folded fields.
// Thread safety: none, one connection's owner.
class HttpParser {
 public:
  enum class Kind : uint8_t { kRequests, kResponses };

  // `sink` must outlive the parser.
  HttpParser(Kind kind, ParserLimits limits, HttpSink* sink);
  ~HttpParser();
  HttpParser(const HttpParser&) = delete;
  HttpParser& operator=(const HttpParser&) = delete;

  // Parses at most to the end of the present message. Bytes that were left
  // over are taken up by the next call, which may be given no new ones.
  ParseStatus Parse(std::string_view data);

  // The peer sent its end. kComplete when that ends the present message.
  ParseStatus ParseEof();

  // Begins the next message. Precondition: the last result was kComplete.
  void StartNextMessage();

  // Whether the present message keeps the connection open behind it.
  bool keeps_alive() const;

  // Whether any byte of the present message has come.
  bool in_message() const;

  // Whether the head of the present message is whole.
  bool has_head() const;

  // Whether the message has a Content-Length or is chunked.
  bool has_framing() const;

  // Bytes received and not yet parsed.
  std::size_t pending_bytes() const { return pending_.size(); }

 private:
  class Engine;
  template <bool kIsRequest>
  class BeastEngine;

  void MakeEngine();

  Kind kind_;
  ParserLimits limits_;
  HttpSink* sink_;
  std::unique_ptr<Engine> engine_;
  std::string pending_;
};

}  // namespace bbv

#endif  // MODULES_BBV_HTTP_HTTP_PARSER_H_

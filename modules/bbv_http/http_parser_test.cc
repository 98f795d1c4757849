#include "bbv_http/http_parser.h"

#include <CppUTest/TestHarness.h>

#include <string>

#include "bbv_http/event_splitter.h"

using bbv::HttpParser;
using bbv::ParseStatus;

namespace {

class Collector final : public bbv::HttpSink {
 public:
  void OnHead(bbv::HttpHead it) override { head = std::move(it); }
  void OnBody(std::string_view data) override { body.append(data); }
  void OnMessageComplete() override { ++messages; }

  bbv::HttpHead head;
  std::string body;
  int messages = 0;
};

ParseStatus ParseRequest(const std::string& text) {
  Collector sink;
  HttpParser parser(HttpParser::Kind::kRequests, {4096, 4096}, &sink);
  return parser.Parse(text);
}

}  // namespace

TEST_GROUP(HttpParser){};

TEST(HttpParser, ParsesConsecutiveMessagesSplitAtAnyPosition) {
  const std::string text =
      "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\nabc"
      "POST /b HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
      "2\r\nde\r\n1\r\nf\r\n0\r\n\r\n";
  for (std::size_t piece = 1; piece <= text.size(); ++piece) {
    Collector sink;
    HttpParser parser(HttpParser::Kind::kRequests, {4096, 4096}, &sink);
    int complete = 0;
    for (std::size_t at = 0; at < text.size(); at += piece) {
      ParseStatus status = parser.Parse(text.substr(at, piece));
      while (status == ParseStatus::kComplete) {
        ++complete;
        parser.StartNextMessage();
        status = parser.Parse({});
      }
      CHECK(status == ParseStatus::kNeedMore);
    }
    CHECK_EQUAL(2, complete);
    STRCMP_EQUAL("abcdef", sink.body.c_str());
    STRCMP_EQUAL("/b", sink.head.target.c_str());
  }
}

TEST(HttpParser, RejectsMessagesWithAnAmbiguousEnd) {
  const char* bad[] = {
      "POST / HTTP/1.1\r\nContent-Length: 3\r\nContent-Length: 4\r\n\r\nabcd",
      ("POST / HTTP/1.1\r\nContent-Length: 3\r\n"
       "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n"),
      ("POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n"
       "Content-Length: 3\r\n\r\n0\r\n\r\n"),
      "GET / HTTP/1.1\nHost: h\n\n",
      "GET / HTTP/1.1\r\nHost : h\r\n\r\n",
      "POST / HTTP/1.1\r\nContent-Length: +3\r\n\r\nabc",
      "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n",
      "GET / HTTP/1.1\r\nA: b\r\n folded\r\n\r\n",
      "POST / HTTP/1.1\r\nTransfer-Encoding: gzip\r\n\r\nabc",
      "POST / HTTP/1.1\r\nTransfer-Encoding: chunked, gzip\r\n\r\nabc",
  };
  for (const char* text : bad) {
    if (ParseRequest(text) != ParseStatus::kMalformed) {
      const std::string shown =
          "parsed: " + std::to_string(static_cast<int>(ParseRequest(text))) +
          " " + std::string(text).substr(16);
      FAIL(shown.c_str());
    }
  }
}

TEST(HttpParser, RejectsHeadsAndBodiesAboveTheirLimits) {
  CHECK(ParseRequest("GET /" + std::string(5000, 'a')) ==
        ParseStatus::kHeadTooLarge);
  CHECK(ParseRequest("GET / HTTP/1.1\r\nA: " + std::string(5000, 'a') +
                     "\r\n\r\n") == ParseStatus::kHeadTooLarge);
  CHECK(ParseRequest("POST / HTTP/1.1\r\nContent-Length: 9999\r\n\r\n") ==
        ParseStatus::kBodyTooLarge);
  CHECK(ParseRequest("POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n"
                     "2000\r\n") == ParseStatus::kBodyTooLarge);
}

TEST(HttpParser, AResponseWithoutALengthEndsWithItsConnection) {
  Collector sink;
  HttpParser parser(HttpParser::Kind::kResponses, {4096, 4096}, &sink);
  CHECK(parser.Parse("HTTP/1.1 200 OK\r\n\r\nab") == ParseStatus::kNeedMore);
  CHECK(!parser.has_framing());
  CHECK(parser.ParseEof() == ParseStatus::kComplete);
  STRCMP_EQUAL("ab", sink.body.c_str());
}

TEST(HttpParser, ATruncatedResponseIsNotComplete) {
  Collector sink;
  HttpParser parser(HttpParser::Kind::kResponses, {4096, 4096}, &sink);
  CHECK(parser.Parse("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nab") ==
        ParseStatus::kNeedMore);
  CHECK(parser.ParseEof() == ParseStatus::kMalformed);
}

// Guards against a faulty server's status that callers get as an answer: any
// three digits were accepted.
TEST(HttpParser, RejectsResponsesWhoseStatusIsOfNoClass) {
  for (const char* it :
       {"000", "001", "010", "099", "600", "700", "999", "20", "2000", "abc"}) {
    Collector sink;
    HttpParser parser(HttpParser::Kind::kResponses, {4096, 4096}, &sink);
    const ParseStatus status = parser.Parse(
        std::string("HTTP/1.1 ") + it + " OK\r\nContent-Length: 2\r\n\r\nok");
    CHECK_TEXT(status == ParseStatus::kMalformed, it);
    CHECK_TEXT(parser.fault() == bbv::MessageFault::kStatus, it);
    CHECK_EQUAL_TEXT(0, sink.messages, it);
  }
}

// Guards against encoded bytes that pass for a body: the coding was read only
// as far as it told where the body ends.
TEST(HttpParser, RejectsBodiesInCodingsThatItCannotDecode) {
  constexpr const char* kCodings[] = {
      "gzip",           "identity",      "xchunked",
      "gzip, chunked",  "chunked, gzip", "chunked, chunked",
      "chunked;q=1",    "\"chunked\"",   "",
      "gzip, , chunked"};
  for (const char* it : kCodings) {
    const std::string rest = std::string("Transfer-Encoding: ") + it +
                             "\r\n\r\n2\r\nok\r\n0\r\n\r\n";
    Collector sink;
    HttpParser parser(HttpParser::Kind::kResponses, {4096, 4096}, &sink);
    CHECK_TEXT(
        parser.Parse("HTTP/1.1 200 OK\r\n" + rest) == ParseStatus::kMalformed,
        it);
    CHECK_TEXT(parser.fault() == bbv::MessageFault::kCoding, it);
    CHECK_TEXT(sink.body.empty(), it);
    CHECK_TEXT(
        ParseRequest("POST / HTTP/1.1\r\n" + rest) == ParseStatus::kMalformed,
        it);
  }
}

TEST(HttpParser, DecodesChunksHoweverTheirCodingIsWritten) {
  for (const char* it : {"chunked", "Chunked", " chunked ", "chunked,"}) {
    Collector sink;
    HttpParser parser(HttpParser::Kind::kResponses, {4096, 4096}, &sink);
    CHECK_TEXT(parser.Parse(std::string("HTTP/1.1 200 OK\r\n"
                                        "Transfer-Encoding:") +
                            it + "\r\n\r\n2\r\nok\r\n0\r\n\r\n") ==
                   ParseStatus::kComplete,
               it);
    STRCMP_EQUAL("ok", sink.body.c_str());
  }
}

TEST(HttpParser, AcceptsUnusualStatusesOfKnownClasses) {
  for (const int it : {200, 299, 304, 418, 599}) {
    Collector sink;
    HttpParser parser(HttpParser::Kind::kResponses, {4096, 4096}, &sink);
    CHECK(parser.Parse("HTTP/1.1 " + std::to_string(it) +
                       " \r\nContent-Length: 0\r\n\r\n") ==
          ParseStatus::kComplete);
    CHECK_EQUAL(it, sink.head.status);
  }
}

TEST(HttpParser, A204EndsWithItsHeadAndA205WithItsBody) {
  const std::string rest = " -\r\nContent-Length: 2\r\n\r\nok";
  Collector no_content;
  HttpParser first(HttpParser::Kind::kResponses, {4096, 4096}, &no_content);
  CHECK(first.Parse("HTTP/1.1 204" + rest) == ParseStatus::kComplete);
  CHECK(no_content.body.empty());
  CHECK_EQUAL(2U, first.pending_bytes());
  Collector reset_content;
  HttpParser second(HttpParser::Kind::kResponses, {4096, 4096}, &reset_content);
  CHECK(second.Parse("HTTP/1.1 205" + rest) == ParseStatus::kComplete);
  STRCMP_EQUAL("ok", reset_content.body.c_str());
}

TEST(HttpParser, AResponseToAHeadRequestEndsWithItsHead) {
  Collector sink;
  HttpParser parser(HttpParser::Kind::kResponses, {4096, 4096}, &sink);
  parser.ExpectNoBody();
  CHECK(parser.Parse("HTTP/1.1 100 Continue\r\n\r\n"
                     "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n") ==
        ParseStatus::kComplete);
  parser.StartNextMessage();
  CHECK(parser.Parse("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok") ==
        ParseStatus::kComplete);
  STRCMP_EQUAL("ok", sink.body.c_str());
}

TEST(HttpParser, SkipsInterimResponses) {
  Collector sink;
  HttpParser parser(HttpParser::Kind::kResponses, {4096, 4096}, &sink);
  CHECK(parser.Parse("HTTP/1.1 100 Continue\r\n\r\n"
                     "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nab") ==
        ParseStatus::kComplete);
  CHECK_EQUAL(200, sink.head.status);
  CHECK_EQUAL(1, sink.messages);
}

TEST_GROUP(EventSplitter){};

TEST(EventSplitter, ReturnsCompleteEventsOnly) {
  const std::string text = "id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\nda";
  for (std::size_t piece = 1; piece <= text.size(); ++piece) {
    bbv::EventSplitter splitter;
    std::string whole;
    int64_t last = 0;
    for (std::size_t at = 0; at < text.size(); at += piece) {
      const std::string data = text.substr(at, piece);
      for (const bbv::StreamEvent& it : splitter.Split(data)) {
        whole.append(it.text);
        last = it.id.value_or(-1);
      }
    }
    STRCMP_EQUAL("id: 1\ndata: a\n\nid: 2\ndata: b\n\n", whole.c_str());
    CHECK_EQUAL(2, static_cast<int>(last));
    CHECK(splitter.has_partial_event());
  }
}

TEST(EventSplitter, AnIdIsAWholeNumberThatCanBeCompared) {
  for (const char* id : {"x", "21x", "2 1", "", "-1", "99999999999999999999"}) {
    bbv::EventSplitter splitter;
    const std::string event = std::string("id: ") + id + "\ndata: a\n\n";
    CHECK_TEXT(!splitter.Split(event).front().id, id);
  }
}

namespace {

constexpr std::size_t kMaxHeadBytes = 65536;

// Feeds `bytes` and then `filler` repeatedly. Returns the number of bytes fed
// until the parser reported an error; 0 if it accepted 16 MB or if its pending
// bytes exceeded twice the limit of a head.
std::size_t BytesFedUntilRejected(const std::string& bytes,
                                  const std::string& filler) {
  constexpr std::size_t kMaxFedBytes = 16U << 20U;
  struct NullSink : bbv::HttpSink {
    void OnHead(bbv::HttpHead) override {}
    void OnBody(std::string_view) override {}
    void OnMessageComplete() override {}
  } sink;
  bbv::HttpParser parser(bbv::HttpParser::Kind::kResponses,
                         {kMaxHeadBytes, kMaxFedBytes * 2}, &sink);
  if (parser.Parse(bytes) != bbv::ParseStatus::kNeedMore)
    return bytes.size();
  for (std::size_t n = 0; n < kMaxFedBytes; n += filler.size()) {
    if (parser.Parse(filler) != bbv::ParseStatus::kNeedMore)
      return bytes.size() + n + filler.size();
    if (parser.pending_bytes() > 2 * kMaxHeadBytes)
      return 0;
  }
  return 0;
}

}  // namespace

// Guards against unbounded buffering of a faulty target's response that
// consists of an unterminated line: it would grow until the caller disconnects.
TEST(HttpParser, RejectsUnterminatedLinesAboveTheHeadLimit) {
  constexpr std::size_t kMaxBytesUntilRejected = 3 * kMaxHeadBytes;
  const std::string line(4096, 'a');
  const std::string chunked =
      "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
  const std::string fields = "X-A: " + std::string(4000, 'a') + "\r\n";
  for (const std::size_t fed :
       {BytesFedUntilRejected("", line),
        BytesFedUntilRejected("HTTP/1.1 200 OK\r\n", line),
        BytesFedUntilRejected("HTTP/1.1 200 OK\r\n", fields),
        BytesFedUntilRejected(chunked + "5;x=", line),
        BytesFedUntilRejected(chunked + "0\r\nX-A: ", line),
        BytesFedUntilRejected(chunked + "0\r\n", fields)}) {
    CHECK_TRUE(fed > 0);
    CHECK_TRUE(fed <= kMaxBytesUntilRejected);
  }
}

// Guards against a connection that is read for ever: each interim response was
// accepted, however many there were.
TEST(HttpParser, RejectsInterimResponsesWithoutEnd) {
  Collector sink;
  HttpParser parser(HttpParser::Kind::kResponses, {4096, 4096, 2}, &sink);
  const std::string interim = "HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n";
  const std::string two = interim + interim;
  const std::string response =
      two + "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\na";
  for (int it = 0; it < 2; ++it) {
    CHECK(parser.Parse(response) == ParseStatus::kComplete);
    parser.StartNextMessage();
  }
  CHECK_EQUAL(2, sink.messages);
  CHECK(parser.Parse(two) == ParseStatus::kNeedMore);
  CHECK(parser.Parse(interim) == ParseStatus::kTooManyParts);
}

// Guards against the same with chunks that carry next to nothing.
TEST(HttpParser, RejectsTinyChunksWithoutEnd) {
  constexpr std::size_t kMaxChunks = 100;
  Collector sink;
  HttpParser parser(HttpParser::Kind::kResponses,
                    {4096, 1U << 20U, 2, kMaxChunks}, &sink);
  CHECK(parser.Parse("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n") ==
        ParseStatus::kNeedMore);
  // Larger chunks do not count.
  for (std::size_t it = 0; it < 2 * kMaxChunks; ++it) {
    CHECK(parser.Parse("10\r\n0123456789abcdef\r\n") == ParseStatus::kNeedMore);
  }
  ParseStatus status = ParseStatus::kNeedMore;
  std::size_t chunks = 0;
  for (; status == ParseStatus::kNeedMore && chunks < 3 * kMaxChunks; ++chunks)
    status = parser.Parse("1\r\nx\r\n");
  CHECK(status == ParseStatus::kTooManyParts);
  CHECK(chunks >= kMaxChunks);
}

// Callers may send bodies in chunks of any size.
TEST(HttpParser, AcceptsTinyChunksOfRequests) {
  Collector sink;
  HttpParser parser(HttpParser::Kind::kRequests, {4096, 1U << 20U}, &sink);
  std::string text =
      "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n";
  for (int it = 0; it < 20'000; ++it)
    text += "1\r\nx\r\n";
  text += "0\r\n\r\n";
  CHECK(parser.Parse(text) == ParseStatus::kComplete);
  CHECK_EQUAL(20'000U, sink.body.size());
}

#include "broken_answers.h"

#include <utility>

namespace bbv {
namespace {

constexpr char kOk[] = "HTTP/1.1 200 OK";
constexpr char kLength[] = "Content-Length: 2\r\n";
constexpr char kBody[] = "ok";
constexpr char kChunks[] = "2\r\nok\r\n0\r\n\r\n";

// `fields` are complete lines.
std::string MakeAnswer(const std::string& id,
                       const std::string& start_line,
                       const std::string& fields,
                       const std::string& body) {
  return start_line + "\r\nX-Attempt-Id: " + id +
         "\r\nX-Response-Signature: s\r\n" + fields + "\r\n" + body;
}

struct NamedText {
  std::string name;
  std::string text;
};

// Texts that spoil a field's name wherever they stand in it.
std::vector<NamedText> BadNameParts() {
  std::vector<NamedText> parts = {
      {"blank", " "},     {"tab", "\t"},     {"nul", std::string(1, '\0')},
      {"delete", "\x7f"}, {"latin", "\xe9"}, {"last-byte", "\xff"}};
  for (const char it : {1, 8, 11, 12, 13, 27})
    parts.push_back({"byte" + std::to_string(it), std::string(1, it)});
  for (const char it : std::string("(),/;<=>?@[\\]{}\""))
    parts.push_back({"separator" + std::to_string(it), std::string(1, it)});
  return parts;
}

}  // namespace

AnswerShapes BadStatuses(const std::string& id) {
  AnswerShapes shapes;
  for (const char* it :
       {"000", "001", "010", "099", "600", "700", "999", "20", "2000", "+200",
        "-200", " 200", "0x2", "2O0", "two", ""}) {
    const std::string line = std::string("HTTP/1.1 ") + it + " OK";
    std::string name = "status";
    for (const char* at = it; *at != '\0'; ++at)
      name += *at == ' ' ? '_' : *at;
    shapes.push_back({name, MakeAnswer(id, line, kLength, kBody)});
    shapes.push_back(
        {name + "-empty", MakeAnswer(id, line, "Content-Length: 0\r\n", {})});
  }
  // An interim status that no final one follows.
  for (const char* it : {"100", "101", "102", "199"}) {
    shapes.push_back({std::string("interim") + it,
                      MakeAnswer(id, std::string("HTTP/1.1 ") + it + " OK",
                                 kLength, kBody)});
  }
  return shapes;
}

AnswerShapes BadCodings(const std::string& id) {
  const std::vector<NamedText> codings = {
      {"xchunked", "xchunked"},
      {"chunkedx", "chunkedx"},
      {"gzip", "gzip"},
      {"identity", "identity"},
      {"gzip-chunked", "gzip, chunked"},
      {"chunked-gzip", "chunked, gzip"},
      {"chunked-chunked", "chunked, chunked"},
      {"two-fields", "chunked\r\nTransfer-Encoding: chunked"},
      {"gzip-then-chunked", "gzip\r\nTransfer-Encoding: chunked"},
      {"parameter", "chunked;q=1"},
      {"quoted", "\"chunked\""},
      {"empty", ""}};
  AnswerShapes shapes;
  for (const NamedText& it : codings) {
    const std::string field = "Transfer-Encoding: " + it.text + "\r\n";
    shapes.push_back(
        {"coding-" + it.name, MakeAnswer(id, kOk, field, kChunks)});
  }
  return shapes;
}

AnswerShapes BadNames(const std::string& id) {
  AnswerShapes shapes;
  for (const NamedText& it : BadNameParts()) {
    const std::string inside = "X" + it.text + "A: b\r\n";
    const std::string after = "X-A" + it.text + ": b\r\n";
    const std::string length = "Content-Length" + it.text + ": 2\r\n";
    const std::string coding = "Transfer-Encoding" + it.text + ": chunked\r\n";
    shapes.push_back(
        {"inside-" + it.name, MakeAnswer(id, kOk, inside + kLength, kBody)});
    shapes.push_back(
        {"after-" + it.name, MakeAnswer(id, kOk, after + kLength, kBody)});
    shapes.push_back({"length-" + it.name, MakeAnswer(id, kOk, length, kBody)});
    shapes.push_back(
        {"coding-" + it.name, MakeAnswer(id, kOk, coding, kChunks)});
  }
  shapes.push_back(
      {"empty", MakeAnswer(id, kOk, std::string(": b\r\n") + kLength, kBody)});
  shapes.push_back(
      {"feed",
       MakeAnswer(id, kOk, std::string("X\nA: b\r\n") + kLength, kBody)});
  return shapes;
}

AnswerShapes BadLengths(const std::string& id) {
  AnswerShapes shapes;
  for (const char* it :
       {"+2", "-2", "2 2", "0x2", "two", "2e0", "2,3", "2;",
        "2\r\nContent-Length: 3", "2\r\nTransfer-Encoding: chunked"}) {
    shapes.push_back(
        {"length" + std::to_string(shapes.size()),
         MakeAnswer(id, kOk, std::string("Content-Length: ") + it + "\r\n",
                    it[1] == '\r' && it[3] == 'T' ? kChunks : kBody)});
  }
  for (const char* it :
       {"0x2\r\nok\r\n0\r\n\r\n", "+2\r\nok\r\n0\r\n\r\n",
        " 2\r\nok\r\n0\r\n\r\n", "2 x\r\nok\r\n0\r\n\r\n", "2\nok\n0\n\n",
        "2\r\noks\r\n0\r\n\r\n", "2\r\nok0\r\n\r\n", "2\r\nok\r\n",
        "\r\nok\r\n0\r\n\r\n"}) {
    shapes.push_back(
        {"chunk" + std::to_string(shapes.size()),
         MakeAnswer(id, kOk, "Transfer-Encoding: chunked\r\n", it)});
  }
  return shapes;
}

AnswerShapes BadLines(const std::string& id) {
  AnswerShapes shapes;
  for (const char it : {'\0', '\1', '\x8', '\x1b', '\x7f'}) {
    const std::string field = std::string("X-A: b") + it + "c\r\n";
    const std::string line = std::string(kOk) + it;
    const std::string name = std::to_string(it);
    shapes.push_back(
        {"value" + name, MakeAnswer(id, kOk, field + kLength, kBody)});
    shapes.push_back({"reason" + name, MakeAnswer(id, line, kLength, kBody)});
  }
  const std::vector<NamedText> lines = {
      {"no-colon", "X-A\r\n"},
      {"folded", "X-A: b\r\n c\r\n"},
      {"return-in-value", "X-A: b\rc\r\n"},
      {"feed-in-value", "X-A: b\nX-B: c\r\n"}};
  for (const NamedText& it : lines) {
    shapes.push_back({it.name, MakeAnswer(id, kOk, it.text + kLength, kBody)});
  }
  return shapes;
}

AnswerShapes SoundAnswers(const std::string& id) {
  AnswerShapes shapes;
  const std::vector<NamedText> fields = {
      {"usual", ""},
      {"obs-text", "X-A: b\xe9\xff\r\n"},
      {"empty-value", "X-A:\r\n"},
      {"all-name-characters", "X!#$%&'*+-.^_|~`: b\r\n"},
      {"percent", "X-A: 1%2541%0d%0aX-B: 2\r\n"}};
  for (const NamedText& it : fields) {
    shapes.push_back({it.name, MakeAnswer(id, kOk, it.text + kLength, kBody)});
  }
  shapes.push_back(
      {"status299", MakeAnswer(id, "HTTP/1.1 299 Odd", kLength, kBody)});
  shapes.push_back(
      {"no-reason", MakeAnswer(id, "HTTP/1.1 200 ", kLength, kBody)});
  for (const char* it : {"chunked", "Chunked", "chunked ,"}) {
    const std::string field = std::string("Transfer-Encoding: ") + it + "\r\n";
    shapes.push_back({"coding" + std::to_string(shapes.size()),
                      MakeAnswer(id, kOk, field, kChunks)});
  }
  shapes.push_back({"until-end", MakeAnswer(id, kOk, {}, kBody)});
  shapes.push_back(
      {"interim-before", "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n" +
                             MakeAnswer(id, kOk, kLength, kBody)});
  return shapes;
}

}  // namespace bbv

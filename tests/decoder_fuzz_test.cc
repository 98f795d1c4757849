#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <cstdint>
#include <functional>
#include <random>
#include <string>
#include <string_view>
#include <vector>

#include "bbv_config/configuration_fold.h"
#include "bbv_core/json_text.h"
#include "bbv_entry/target_messages.h"
#include "bbv_fleet/layer_coverage.h"
#include "bbv_http/event_splitter.h"
#include "bbv_http/http_parser.h"
#include "bbv_once/claim_record.h"
#include "bbv_settings/socket_address.h"
#include "bbv_settings/toml_reader.h"
#include "bbv_wire/frame_codec.h"
#include "platform/call_codec.h"
#include "platform/configuration_codec.h"
#include "platform/json_fields.h"
#include "platform/store_codec.h"
#include "platform/target_codec.h"

namespace platform = bbv::platform;

namespace {

constexpr uint64_t kSeed = 20261205;
constexpr int kRounds = 10'000;
constexpr std::size_t kDeepest = 20'000;

constexpr char kRecord[] =
    R"({"service":"s","address":"10.0.0.1:80","zone":"a","version":"v1",)"
    R"("slots":192,"state":"ready","type":"l4",)"
    R"("layers":{"from":3,"target_version":11},)"
    R"("sequence":4,"born":1700000000000})";

// Derives hostile inputs from valid ones.
class Mutator {
 public:
  std::string Mutate(std::string text) {
    const int changes = 1 + static_cast<int>(Below(3));
    for (int it = 0; it < changes; ++it)
      ChangeOnce(&text);
    return text;
  }

  // Splits `text` at a random position.
  std::size_t Position(std::string_view text) { return Below(text.size() + 1); }

 private:
  std::size_t Below(std::size_t n) { return n == 0 ? 0 : random_() % n; }

  void ChangeOnce(std::string* text) {
    const std::size_t at = Below(text->size());
    switch (Below(6)) {
      case 0:
        if (!text->empty())
          (*text)[at] = static_cast<char>(Below(256));
        break;
      case 1:
        text->erase(at, Below(8));
        break;
      case 2:
        text->insert(at, text->substr(Below(text->size()), Below(40)));
        break;
      case 3:
        text->insert(at, Hostile());
        break;
      case 4:
        ReplaceNumber(at, text);
        break;
      default:
        text->resize(at);
    }
  }

  // Replaces the first number after `at`.
  void ReplaceNumber(std::size_t at, std::string* text) {
    constexpr std::string_view kDigits = "0123456789";
    const std::size_t start = text->find_first_of(kDigits, at);
    if (start == std::string::npos)
      return;
    const std::size_t end =
        std::min(text->find_first_not_of(kDigits, start), text->size());
    text->replace(start, end - start, Hostile());
  }

  std::string Hostile() {
    static const std::string kBig = "1" + std::string(400, '0');
    static const std::vector<std::string> kTexts = {
        "-0",       "-1",         "0.5",        "1e999",
        "NaN",      "65536",      "4294967304", "2147483648",
        "\xff\xfe", "2147483647", "null",       "18446744073709551615",
        "\r\n",     "\"",         "{",          "9223372036854775807",
        ":",        ",",          "]",          "9223372036854775808",
        "\\",       "\x80",       "\n\n",       "18446744073709551616",
        "[]",       "{}",         "true",       kBig};
    const std::size_t it = Below(kTexts.size() + 3);
    if (it < kTexts.size())
      return kTexts[it];
    if (it == kTexts.size())
      return std::string(Below(kDeepest), '[');
    if (it == kTexts.size() + 1)
      return std::string(1, '\0');
    return std::string(Below(kDeepest), 'x');
  }

  std::mt19937_64 random_{kSeed};
};

// Feeds mutations of `valid` to `decode`.
void Fuzz(const std::vector<std::string>& valid,
          const std::function<void(const std::string&)>& decode) {
  Mutator mutator;
  for (int it = 0; it < kRounds; ++it)
    decode(mutator.Mutate(valid[it % valid.size()]));
}

void CheckLayers(const std::optional<bbv::LayerRange>& layers) {
  if (!layers)
    return;
  CHECK(layers->from >= 0 && layers->from < layers->to);
  bbv::LayerCoverage coverage(80);
  coverage.Add(*layers);
}

void CheckRecord(const bbv::TargetRecord& record) {
  CHECK(bbv::IsWellFormed(record));
  CheckLayers(record.layers);
  CHECK(bbv::ParseSocketAddress(record.address).has_value());
  CHECK(bbv::FromMessage(bbv::ToMessage(record)).has_value());
}

class CountingSink : public bbv::HttpSink {
 public:
  void OnHead(bbv::HttpHead head) override {
    platform::DecodeRequest(head);
    platform::DecodeResponse(head);
    const auto notice = platform::DecodeNotice(head);
    if (notice.retry_after)
      CHECK(notice.retry_after->count() >= 0);
    platform::DecodeEra(head);
  }
  void OnBody(std::string_view /*data*/) override {}
  void OnMessageComplete() override {}
};

}  // namespace

TEST_GROUP(DecoderFuzz){};

TEST(DecoderFuzz, TargetRecordsAndReports) {
  int decoded = 0;
  Fuzz({kRecord,
        R"({"sequence":2,"born":1,"busy":false,"active":1,"queued":2,)"
        R"("pace":1.5,"kv_used":9,"layers":{"from":0,"target_version":8},)"
        R"("stalled":[{"id":"a","address":"10.0.0.1:80"}]})"},
       [&decoded](const std::string& text) {
         if (const auto record = platform::DecodeTargetRecord("i-1", text)) {
           CheckRecord(*record);
           ++decoded;
         }
         platform::DecodeTargetRecord(text, kRecord);
         if (const auto report = platform::DecodeTargetReport(text)) {
           CheckLayers(report->load.layers);
           CHECK(report->load.active >= 0 && report->load.queued >= 0);
         }
         platform::DecodeOrderRefusal(text);
       });
  // Most changes spoil a record, but not all.
  CHECK(decoded > kRounds / 100);
}

TEST(DecoderFuzz, AnswersOfTheStore) {
  const std::string records = std::string(7, '\0') + "\7" +
                              std::string(8, '\0') +
                              std::string("\0\0\0\4\1kvv", 8);
  Fuzz({R"({"items":[{"key":"a","value":"eA==","offset":1},)"
        R"({"key":"b","value":"eA==","offset":2}],"more_pages":true,)"
        R"("end_offset":9})",
        R"({"generation":4,"parts":[["topic",0,7]]})", records},
       [](const std::string& text) {
         platform::DecodeNewest(text);
         platform::DecodeRead(text, 5);
         platform::DecodeGroupAssignment(text);
       });
}

TEST(DecoderFuzz, Configurations) {
  Fuzz({R"({"version":1,"routes":[{"host":"h","path_prefix":"/","type":"safe",)"
        R"("service":"s","timeout_ms":5000,"slo_ms":500,"priority":1,)"
        R"("max_attempts":2,"backends":[{"service":"s","weight":3}]}],)"
        R"("services":[{"name":"s","max_conns":4,"engine":{"layers":80,)"
        R"("layer_mb":10,"stride":2,"slots":9,"kinds":[{"name":"k",)"
        R"("size_mb":100}]}}],"limits":{"idle_timeout_ms":900},)"
        R"("tenants":[{"name":"t","api_keys":["k"],"priority":1}]})"},
       [](const std::string& text) {
         const auto decoded = platform::DecodeConfiguration(text);
         if (!decoded)
           return;
         for (const bbv::ServiceRoute& it : decoded->routes)
           CHECK(it.timeout_ms >= 0 && it.objective_ms >= 0);
         for (const bbv::ServiceDescription& it : decoded->services)
           CHECK(!it.engine || (it.engine->layers > 0 &&
                                it.engine->layers <= bbv::kMaxLayers));
       });
}

TEST(DecoderFuzz, HeadsAndBodiesOfHttp) {
  const std::vector<std::string> requests = {
      "POST /a/b HTTP/1.1\r\nHost: h\r\nX-Deadline-Ms: 4000\r\n"
      "X-Token-Counts: 1460,80\r\nX-Prefix-Hash: 5c1e07a2:800,91bd3f06:410\r\n"
      "Last-Event-Id: 12\r\nX-Length-Hint: 9\r\nContent-Length: 3\r\n\r\nabc"};
  const std::vector<std::string> responses = {
      "HTTP/1.1 503 Full\r\nRetry-After: 1.5\r\nServer-Limit: 20\r\n"
      "Keep-Alive: timeout=20\r\nX-Server-Load: 3,0,8\r\nStore-Era: 4\r\n"
      "Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n"};
  Mutator mutator;
  const auto parse = [&mutator](bbv::HttpParser::Kind kind,
                                const std::string& text) {
    CountingSink sink;
    bbv::HttpParser parser(kind, {8192, 100'000}, &sink);
    const std::size_t middle = mutator.Position(text);
    const auto status = parser.Parse(std::string_view(text).substr(0, middle));
    if (status == bbv::ParseStatus::kNeedMore)
      parser.Parse(std::string_view(text).substr(middle));
  };
  Fuzz(requests, [&](const std::string& text) {
    parse(bbv::HttpParser::Kind::kRequests, text);
  });
  Fuzz(responses, [&](const std::string& text) {
    parse(bbv::HttpParser::Kind::kResponses, text);
  });
}

TEST(DecoderFuzz, EventsOfStreams) {
  Mutator mutator;
  bbv::EventSplitter splitter;
  Fuzz({"id: 7\ndata: x\n\nid: 8\ndata: y\n\n"}, [&](const std::string& text) {
    splitter.Reset();
    const std::size_t middle = mutator.Position(text);
    for (const std::string_view part :
         {std::string_view(text).substr(0, middle),
          std::string_view(text).substr(middle)}) {
      for (const bbv::StreamEvent& it : splitter.Split(part))
        CHECK(!it.id || *it.id >= 0);
    }
  });
}

TEST(DecoderFuzz, FramesOfPeers) {
  const auto record = platform::DecodeTargetRecord("i-1", kRecord);
  bbv::wire::TargetListDeltaT delta;
  delta.changed.push_back(bbv::ToMessage(record.value()));
  delta.removed.emplace_back("i-2");
  delta.heartbeats.emplace_back(1, 2);
  const std::string valid = bbv::EncodeFrame(bbv::MakeFrame(std::move(delta)));
  Fuzz({valid}, [](const std::string& text) {
    bbv::FrameReader reader(4096);
    reader.Append(text);
    bbv::wire::FrameT read;
    for (int it = 0; it < 4; ++it) {
      const auto next = reader.Next(&read);
      if (!next || !*next)
        return;
      const auto* changes = read.body.AsTargetListDelta();
      if (changes == nullptr)
        continue;
      for (const bbv::wire::ListedTargetT& target : changes->changed) {
        if (const auto listed = bbv::FromMessage(target))
          CheckRecord(*listed);
      }
    }
  });
}

TEST(DecoderFuzz, TargetsListedByPeers) {
  const std::vector<int64_t> numbers = {
      0,          1,          -1,        80,        65536,     2147483647,
      2147483648, 4294967295, INT64_MAX, INT64_MIN, 4294967304};
  const std::vector<std::string> texts = {
      "i-1", "",    "10.0.0.1:80", "10.0.0.1:65536",         "a b", "\xff",
      "a\n", "s-1", "10.0.0.1:0",  std::string(1 << 16, 'x')};
  std::mt19937_64 random(kSeed);
  const auto number = [&] { return numbers[random() % numbers.size()]; };
  const auto text = [&] { return texts[random() % texts.size()]; };
  int decoded = 0;
  for (int it = 0; it < kRounds; ++it) {
    bbv::wire::ListedTargetT message;
    message.id = text();
    message.service = text();
    message.address = random() % 2 == 0 ? text() : "10.0.0.1:80";
    message.slots = static_cast<uint32_t>(number());
    message.from_layer = static_cast<uint32_t>(number());
    message.to_layer = static_cast<uint32_t>(number());
    message.started_unix_ms = number();
    message.heartbeat = number();
    if (const auto listed = bbv::FromMessage(message)) {
      CheckRecord(*listed);
      ++decoded;
    }
  }
  CHECK(decoded > 0);
}

TEST(DecoderFuzz, RecordsOfTheLog) {
  const std::string plan =
      R"({"type":"plan","plan":"p","summary":"","changes":[{"kind":"model",)"
      R"("name":"m","value":{"layers":8,"version":"v"}},{"kind":"target",)"
      R"("name":"t","value":null}],"reads":[{"kind":"model","name":"m",)"
      R"("version":0}]})";
  bbv::ConfigurationFold fold;
  uint64_t offset = 0;
  Fuzz({plan, bbv::MakeConfirmRecord("p"),
        bbv::MakeCheckpointRecord(bbv::ConfigurationFold().Snapshot()),
        R"({"t":"s0","e":1,"c":[["00000000000000000000000000000001",3]],)"
        R"("a":[["00000000000000000000000000000001",200,true,"t",[1,255]]],)"
        R"("v":["00000000000000000000000000000001"]})"},
       [&](const std::string& text) {
         fold.Apply(offset++, text);
         bbv::CheckpointSnapshot(text);
         bbv::ConfigurationFold().Restore(text);
         bbv::DecodeClaimRecord(text);
       });
  CHECK(!fold.Snapshot().empty());
}

TEST(DecoderFuzz, TextsOfLists) {
  Fuzz({R"({"a":{"items":[1]},"items":[1,{"b":[2]},"]"],"c":"items"})"},
       [](const std::string& text) {
         bbv::IsJsonTooDeep(text);
         const auto list = bbv::SplitJsonList(text, "items");
         std::size_t bytes = 0;
         for (const std::string_view it : list.items)
           bytes += it.size();
         CHECK(bytes + list.rest.size() <= text.size() + 1);
         // What is UTF-8 stays as it is.
         const std::string mended = bbv::ReplaceMalformedUtf8(text);
         CHECK(mended == bbv::ReplaceMalformedUtf8(mended));
       });
}

TEST(DecoderFuzz, AddressesAndSettings) {
  Fuzz({"10.0.0.1:80", "127.0.0.1:65535"}, [](const std::string& text) {
    if (const auto address = bbv::ParseSocketAddress(text)) {
      CHECK(address->port > 0);
      CHECK(address->ip.find_first_not_of("0123456789.") == std::string::npos);
    }
  });
  Fuzz({"[node]\nname = \"a\"\nstop = 8\nshare = 0.1\nlist = [\"a\", \"b\"]\n"},
       [](const std::string& text) {
         toml::table table;
         try {
           table = toml::parse(text);
         } catch (const toml::parse_error&) {
           return;
         }
         bbv::SettingsFaults faults;
         bbv::TomlReader reader(table, "file", "", &faults);
         CHECK(reader.Integer("stop", 1, {1, 600}) <= 600);
         CHECK(reader.Number("share", 0.1, 1) <= 1);
         reader.StringList("list");
         reader.Address("name", false);
       });
}

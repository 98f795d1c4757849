#include "bbv_once/claim_record.h"

#include <CppUTest/TestHarness.h>

#include <rapidcheck.h>

#include <string>

TEST_GROUP(ClaimRecord){};

TEST(ClaimRecord, RoundTripsAnswerBodiesWithArbitraryBytes) {
  setenv("RC_PARAMS", "seed=20261204 max_success=300", 0);
  const bool holds = rc::check("records round-trip", [] {
    bbv::ClaimRecord record;
    record.holder = {"s0", *rc::gen::arbitrary<uint64_t>()};
    record.claims.push_back({bbv::RequestId(1, 2), 3});
    bbv::ClaimAnswer answer;
    answer.key = bbv::RequestId(4, 5);
    answer.status = 200;
    answer.content_type = "text/plain";
    for (const uint8_t byte : *rc::gen::arbitrary<std::vector<uint8_t>>())
      answer.body.push_back(static_cast<char>(byte));
    record.answers.push_back(answer);
    record.voided_keys.push_back(bbv::RequestId(6, 7));
    const auto read = bbv::DecodeClaimRecord(bbv::EncodeClaimRecord(record));
    RC_ASSERT(read.has_value());
    RC_ASSERT(read->holder == record.holder);
    RC_ASSERT(read->claims[0].fingerprint == 3U);
    RC_ASSERT(read->answers[0].body == answer.body);
    RC_ASSERT(read->voided_keys[0] == bbv::RequestId(6, 7));
  });
  CHECK_TRUE(holds);
}

TEST(ClaimRecord, RejectsMalformedTexts) {
  for (const char* text : {"", "{}", "[1]", R"({"t":"s","e":1,"c":[["x",1]]})"})
    CHECK_FALSE(bbv::DecodeClaimRecord(text).has_value());
}

TEST(ClaimRecord, RejectsDeeplyNestedTexts) {
  const std::string deep =
      std::string(1'000'000, '[') + std::string(1'000'000, ']');
  CHECK_FALSE(bbv::DecodeClaimRecord(R"({"t":"s0","e":1,"c":)" + deep + "}")
                  .has_value());
}

TEST(ClaimRecord, RejectsNumbersOutOfRange) {
  const std::string key = R"("00000000000000000000000000000001")";
  for (const std::string& text :
       {std::string(R"({"t":"s0","e":-1})"),
        std::string(R"({"t":"s0","e":18446744073709551616})"),
        R"({"t":"s0","e":1,"a":[[)" + key + R"(,65736,true,"t","b"]]})",
        R"({"t":"s0","e":1,"a":[[)" + key + R"(,200,true,"t",[256]]]})",
        R"({"t":"s0","e":1,"c":[[)" + key + ",-1]]}"}) {
    if (bbv::DecodeClaimRecord(text))
      FAIL(text.c_str());
  }
}

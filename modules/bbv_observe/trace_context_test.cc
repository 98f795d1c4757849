#include "bbv_observe/trace_context.h"

#include <CppUTest/TestHarness.h>

TEST_GROUP(TraceContext){};

TEST(TraceContext, ContinuesAValidHeaderAndReplacesAnInvalidOne) {
  std::mt19937_64 generator(1);
  const std::string header =
      "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01";
  const auto continued = bbv::ContinueTrace(header, &generator);
  STRCMP_EQUAL("0af7651916cd43dd8448eb211c80319c", continued.trace_id.c_str());
  STRCMP_EQUAL("b7ad6b7169203331", continued.parent_span_id.c_str());
  CHECK_EQUAL(header.size(), continued.ToTraceparent().size());
  for (const char* bad : {"", "00-zz",
                          "00-0af7651916cd43dd8448eb211c80319c"
                          "-b7ad6b716920333Z-01"}) {
    const auto fresh = bbv::ContinueTrace(bad, &generator);
    CHECK_EQUAL(32, fresh.trace_id.size());
    CHECK_TRUE(fresh.parent_span_id.empty());
  }
}

#include "bbv_fleet/call_trait.h"

#include <CppUTest/TestHarness.h>

#include <string>
#include <vector>

namespace bbv {

TEST_GROUP(CallTrait){};

TEST(CallTrait, RequestsOfDifferentAccountsPathsOrBodiesDiffer) {
  const RequestIdentity identity{"bank", "POST", "/a/b", "body"};
  const uint64_t trait = RequestTrait(identity);
  CHECK_EQUAL(trait, RequestTrait({"bank", "POST", "/a/b", "body"}));
  CHECK(trait != RequestTrait({"rival", "POST", "/a/b", "body"}));
  CHECK(trait != RequestTrait({"bank", "PUT", "/a/b", "body"}));
  CHECK(trait != RequestTrait({"bank", "POST", "/a/b?c", "body"}));
  CHECK(trait != RequestTrait({"bank", "POST", "/a/b", "bodY"}));
  CHECK(trait != RequestTrait({"bank", "POST", "/a/bb", "ody"}));
  CHECK(trait != RequestTrait({"", "bankPOST", "/a/b", "body"}));
}

// Clients name the parts of their prompts.
TEST(CallTrait, NoPromptPartHasTheTraitOfARequest) {
  const uint64_t request = RequestTrait({"bank", "POST", "/a", ""});
  CHECK_TRUE(IsRequestTrait(request));
  const auto parts = PartTraits({request, ~0ULL, 7, 8});
  for (const uint64_t it : parts)
    CHECK_FALSE(IsRequestTrait(it));
}

TEST(CallTrait, TextTellsRequestsFromParts) {
  const uint64_t request = RequestTrait({"bank", "POST", "/a", ""});
  const std::string text = FormatTraits({request, 0x5c1e});
  CHECK(text.starts_with("request-"));
  CHECK(text.ends_with(",5c1e"));
}

TEST(CallTrait, TraitsOfACallAreItsRequestAndItsParts) {
  const std::string body(1 << 20, 'x');
  const RequestIdentity identity{"bank", "POST", "/a", body};
  const CallTraits traits(identity, {3, 4});
  CHECK(traits.Get() == std::vector<uint64_t>({RequestTrait(identity), 3, 4}));
}

}  // namespace bbv

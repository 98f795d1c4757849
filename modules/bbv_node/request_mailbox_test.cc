#include "bbv_node/request_mailbox.h"

#include <CppUTest/TestHarness.h>

#include <array>

using bbv::Delivery;
using bbv::Instant;
using bbv::RequestMailbox;

namespace {

constexpr std::array<uint64_t, 5> kTokens = {10, 11, 12, 13, 14};

// Puts the tokens with the indexes `from` up to `to`.
void Put(RequestMailbox* mailbox, uint32_t from, uint32_t to, bool finished) {
  mailbox->PutTokens(
      from, std::span<const uint64_t>(kTokens).subspan(from, to - from),
      finished);
}

// Checks that exactly the tokens from `from` up to the last one are pending.
void CheckRest(RequestMailbox* mailbox, uint32_t from) {
  const Delivery delivery = mailbox->Take(Instant());
  CHECK_EQUAL(from, delivery.first_index);
  CHECK_EQUAL(kTokens.size() - from, delivery.tokens.size());
  for (std::size_t it = 0; it < delivery.tokens.size(); ++it)
    CHECK_EQUAL(kTokens[from + it], delivery.tokens[it]);
  CHECK(delivery.finished);
}

}  // namespace

TEST_GROUP(RequestMailbox){};

TEST(RequestMailbox, ATokenBeforeTheMissedOnesIsNotDeliveredTwice) {
  RequestMailbox mailbox(1);
  Put(&mailbox, 3, 4, false);
  Put(&mailbox, 1, 4, false);
  Put(&mailbox, 4, 5, true);
  CheckRest(&mailbox, 1);
}

TEST(RequestMailbox, ALastTokenBeforeTheMissedOnesDoesNotEndTheStream) {
  RequestMailbox mailbox(1);
  Put(&mailbox, 4, 5, true);
  CHECK(!mailbox.Take(Instant()).is_final());
  Put(&mailbox, 1, 5, true);
  CheckRest(&mailbox, 1);
}

TEST(RequestMailbox, TokensOfAnEarlierReconnectionAreNotDeliveredAgain) {
  RequestMailbox mailbox(3);
  Put(&mailbox, 0, 4, false);
  Put(&mailbox, 3, 5, true);
  CheckRest(&mailbox, 3);
}

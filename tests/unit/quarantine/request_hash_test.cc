#include "camphorsail/quarantine/request_hash.h"

#include <set>
#include <string>
#include <vector>

#include "gtest/gtest.h"

namespace camphorsail {
namespace {

const std::vector<PromptPart> kParts = {{"a", Tokens(5)}, {"bc", Tokens(7)}};

RequestContent Content() {
  return {ClientAccountId("one"), "POST", "/chat/x?y=1", "m", kParts, "body"};
}

TEST(RequestHashTest, DiffersWithEachPartOfTheContent) {
  const std::vector<PromptPart> regrouped = {{"ab", Tokens(5)},
                                             {"c", Tokens(7)}};
  std::set<PromptPartHash> hashes = {RequestHash(Content())};
  RequestContent other = Content();
  other.account = ClientAccountId("two");
  hashes.insert(RequestHash(other));
  other = Content();
  other.method = "PUT";
  hashes.insert(RequestHash(other));
  other = Content();
  other.target = "/chat/x?y=2";
  hashes.insert(RequestHash(other));
  other = Content();
  other.model = "n";
  hashes.insert(RequestHash(other));
  other = Content();
  other.body = "bodz";
  hashes.insert(RequestHash(other));
  hashes.insert(RequestHash(
      {ClientAccountId("one"), "POST", "/chat/x?y=1", "m", regrouped, "body"}));
  // Bytes that move from one text to the next.
  hashes.insert(RequestHash(
      {ClientAccountId("oneP"), "OST", "/chat/x?y=1", "m", kParts, "body"}));
  EXPECT_EQ(hashes.size(), 8U);
}

// Guards against gateways of other machines or releases that do not recognise a
// request.
TEST(RequestHashTest, IsStable) {
  EXPECT_EQ(RequestHash(Content()).value(), 0x82c6d1358a43ade1U);
}

}  // namespace
}  // namespace camphorsail

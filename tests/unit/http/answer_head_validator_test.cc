#include "camphorsail/http/answer_head_validator.h"

#include <string>
#include <utility>
#include <vector>

#include "absl/strings/str_cat.h"
#include "gtest/gtest.h"
#include "tests/fakes/http/malformed_heads.h"

namespace camphorsail {
namespace {

bool IsValid(const std::string& answer) {
  AnswerHeadValidator whole;
  const bool is_valid = whole.Append(answer);
  AnswerHeadValidator divided;
  for (const char c : answer) {
    divided.Append({&c, 1});
  }
  EXPECT_EQ(divided.error(), whole.error()) << answer;
  EXPECT_EQ(is_valid, whole.error().empty());
  return is_valid;
}

// Guards against a check that sound servers do not pass.
TEST(AnswerHeadValidatorTest, ValidAnswersPass) {
  for (const std::string& answer : std::vector<std::string>{
           "HTTP/1.1 200 OK\r\n\r\n", "HTTP/1.0 200\r\n\r\n",
           "HTTP/1.1 200 \r\n\r\n", "HTTP/1.1 404 Not \xe9 Found\r\n\r\n",
           "HTTP/1.1 599 Odd\r\nX-Odd:\r\nx-odd: \t a\tb \xe9 \r\n\r\n",
           "HTTP/1.1 200 OK\nX: 1\nContent-Length: 2\n\nok",
           "HTTP/1.1 200 OK\r\ncontent-length:2 \r\n\r\nok",
           "HTTP/1.1 200 OK\r\nTRANSFER-ENCODING:  Chunked\r\n\r\n",
           "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: "
           "a\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nx",
           // What follows the head is not checked.
           "HTTP/1.1 200 OK\r\n\r\n : \x01\r\n"}) {
    EXPECT_TRUE(IsValid(answer)) << answer;
  }
}

TEST(AnswerHeadValidatorTest, MalformedAnswersDoNotPass) {
  for (const auto& answers :
       {AnswersWithMalformedStatus(), AnswersWithMalformedHeader(),
        AnswersWithMalformedFraming()}) {
    for (const std::string& answer : answers) {
      EXPECT_FALSE(IsValid(answer)) << answer;
    }
  }
  EXPECT_FALSE(IsValid("HTTP/1.1 101 Switching Protocols\r\n\r\n"));
  EXPECT_FALSE(IsValid("\r\nHTTP/1.1 200 OK\r\n\r\n"));
  EXPECT_FALSE(IsValid("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 000\r\n\r\n"));
}

TEST(AnswerHeadValidatorTest, CodingOfTheFinalAnswerCounts) {
  for (const auto& [headers, is_coded] :
       std::vector<std::pair<std::string, bool>>{
           {"", false},
           {"Content-Encoding: Identity\r\n", false},
           {"CONTENT-ENCODING:gzip \r\n", true},
           {"Content-Encoding: gzip\r\nContent-Encoding: identity\r\n",
            true}}) {
    AnswerHeadValidator validator;
    EXPECT_TRUE(validator.Append(
        absl::StrCat("HTTP/1.1 103 Early Hints\r\nContent-Encoding: br\r\n\r\n"
                     "HTTP/1.1 200 OK\r\n",
                     headers, "\r\n")));
    EXPECT_EQ(validator.has_content_coding(), is_coded) << headers;
  }
}

// Guards against a value whose end is not looked at because it is long.
TEST(AnswerHeadValidatorTest, LongValuesAreJudgedWhole) {
  const std::string blanks(1000, ' ');
  const std::string head = "HTTP/1.1 200 OK\r\n";
  EXPECT_TRUE(IsValid(
      absl::StrCat(head, "Content-Length: ", blanks, "2", blanks, "\r\n\r\n")));
  EXPECT_FALSE(
      IsValid(absl::StrCat(head, "Content-Length: 2", blanks, "3\r\n\r\n")));
  EXPECT_FALSE(IsValid(
      absl::StrCat(head, "Transfer-Encoding: chunked", blanks, ",x\r\n\r\n")));
  EXPECT_FALSE(IsValid(absl::StrCat(
      head, "Content-Length: ", std::string(1000, '1'), "\r\n\r\n")));
  EXPECT_TRUE(
      IsValid(absl::StrCat(head, "Content-Length", std::string(1000, 'x'),
                           ": a\r\n", "Content-Length: 2\r\n\r\n")));
}

}  // namespace
}  // namespace camphorsail

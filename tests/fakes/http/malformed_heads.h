#ifndef TESTS_FAKES_HTTP_MALFORMED_HEADS_H_
#define TESTS_FAKES_HTTP_MALFORMED_HEADS_H_

#include <string>
#include <vector>

#include "absl/strings/str_cat.h"

namespace camphorsail {

/// The end of a head and the body of an answer of two bytes.
inline constexpr char kTwoByteBody[] = "Content-Length: 2\r\n\r\nok";

/// @return Answers with a status that HTTP/1.1 does not know, or with another
/// status line that is malformed.
inline std::vector<std::string> AnswersWithMalformedStatus() {
  std::vector<std::string> answers;
  for (const char* line :
       {"HTTP/1.1 000 Odd", "HTTP/1.1 0 Odd", "HTTP/1.1 00 Odd",
        "HTTP/1.1 099 Odd", "HTTP/1.1 20 Odd", "HTTP/1.1 -20 Odd",
        "HTTP/1.1 0200 OK", "HTTP/1.1 2000 OK", "HTTP/1.1 600 Odd",
        "HTTP/1.1 999 Odd", "HTTP/1.1  200 OK", "HTTP/1.1\t200 OK",
        "HTTP/1.1 2x0 OK", "HTTP/1.1 200\x01OK", "HTTP/1.1 200 O\x01K",
        "HTTP/2.0 200 OK", "HTTP/1.10 200 OK", "HTTP/1.1"}) {
    answers.push_back(absl::StrCat(line, "\r\n", kTwoByteBody));
  }
  return answers;
}

/// @return Answers with a line that is not a valid header, after a valid header
/// and as the first line.
inline std::vector<std::string> AnswersWithMalformedHeader() {
  constexpr char kValid[] = "X-Valid: 1\r\n";
  std::vector<std::string> answers;
  for (const std::string& line :
       std::vector<std::string>{"X Odd: 1",
                                "X\tOdd: 1",
                                "X\x01Odd: 1",
                                "X\x7fOdd: 1",
                                "X\x80Odd: 1",
                                "X(Odd: 1",
                                std::string("X\0Odd: 1", 8),
                                ": 1",
                                "X-Odd : 1",
                                "X-Odd\t: 1",
                                " X-Odd: 1",
                                "\tX-Odd: 1",
                                "X-Odd",
                                "Content-Length : 1",
                                "Transfer-Encoding : chunked",
                                "X-Odd: a\x01z",
                                "X-Odd: a\x7fz",
                                "X-Odd: a\rX-More: z",
                                std::string("X-Odd: a\0z", 10),
                                "X-Odd: a\r\n z",
                                "X-Odd: a\r\n\tz"}) {
    answers.push_back(absl::StrCat("HTTP/1.1 200 OK\r\n", kValid, line, "\r\n",
                                   kTwoByteBody));
    // The first line after the status line is a special case for some parsers.
    answers.push_back(absl::StrCat("HTTP/1.1 200 OK\r\n", line, "\r\n", kValid,
                                   kTwoByteBody));
  }
  return answers;
}

/// @return Answers whose headers do not tell the extent or the coding of the
/// body.
inline std::vector<std::string> AnswersWithMalformedFraming() {
  constexpr char kChunk[] = "\r\n2\r\nok\r\n0\r\n\r\n";
  std::vector<std::string> answers;
  for (const char* value : {"2, 2", "+2", "-2", "2x", "0x2", ""}) {
    answers.push_back(absl::StrCat("HTTP/1.1 200 OK\r\n",
                                   "Content-Length: ", value, "\r\n\r\nok"));
  }
  answers.push_back(absl::StrCat("HTTP/1.1 200 OK\r\n", "Content-Length: 1\r\n",
                                 kTwoByteBody));
  for (const char* value :
       {"gzip, chunked", "chunked, chunked", "chunked, identity", "identity",
        "odd, chunked", "gzip", "chunked;a=b", ""}) {
    answers.push_back(absl::StrCat(
        "HTTP/1.1 200 OK\r\n", "Transfer-Encoding: ", value, "\r\n", kChunk));
  }
  answers.push_back(absl::StrCat(
      "HTTP/1.1 200 OK\r\n",
      "Transfer-Encoding: chunked\r\nContent-Length: 2\r\n", kChunk));
  answers.push_back(absl::StrCat("HTTP/1.1 200 OK\r\n",
                                 "Transfer-Encoding: odd\r\n"
                                 "Transfer-Encoding: chunked\r\n",
                                 kChunk));
  // An interim answer has no body.
  answers.push_back(absl::StrCat("HTTP/1.1 102 Wait\r\n", kTwoByteBody,
                                 "HTTP/1.1 200 OK\r\n", kTwoByteBody));
  return answers;
}

}  // namespace camphorsail

#endif  // TESTS_FAKES_HTTP_MALFORMED_HEADS_H_

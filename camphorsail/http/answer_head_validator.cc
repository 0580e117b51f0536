#include "camphorsail/http/answer_head_validator.h"

#include "absl/strings/ascii.h"
#include "absl/strings/match.h"
#include "absl/strings/numbers.h"
#include "camphorsail/http/http_characters.h"

namespace camphorsail {
namespace {

constexpr std::string_view kProtocol = "HTTP/1.";
/// Size of `HTTP/1.1 200`; a reason phrase may follow.
constexpr size_t kMinStatusLineSize = kProtocol.size() + 5;
/// Bytes that are kept of a name or value. No valid header that is looked at is
/// longer, except a list of content codings.
constexpr size_t kMaxKeptBytes = 32;
/// Bounds of the statuses of HTTP.
constexpr int kMinHttpStatus = 100;
constexpr int kMaxHttpStatus = 599;
constexpr int kSwitchingProtocols = 101;
constexpr int kFirstFinalStatus = 200;

constexpr std::string_view kMalformedStatusLine =
    "the answer has a malformed status line";
constexpr std::string_view kMalformedHeader =
    "the answer has a malformed header";
constexpr std::string_view kMalformedFraming =
    "the headers of the answer do not determine the extent of its body";
constexpr std::string_view kUnexpectedUpgrade =
    "the answer changes to a protocol that was not asked for";

bool IsDigit(char c) {
  return absl::ascii_isdigit(static_cast<unsigned char>(c));
}

bool IsBlank(char c) {
  return c == ' ' || c == '\t';
}

void Keep(std::string* text, char c) {
  if (text->size() < kMaxKeptBytes) {
    text->push_back(c);
  } else if (!IsBlank(c)) {
    // Blanks at the end do not count, what follows blanks does.
    text->back() = c;
  }
}

/// @return True when `text` is a number of bytes.
bool IsLength(const std::string& text) {
  uint64_t length = 0;
  // `SimpleAtoi` accepts a sign.
  return !text.empty() && IsDigit(text.front()) &&
         absl::SimpleAtoi(text, &length);
}

}  // namespace

bool AnswerHeadValidator::Append(std::string_view data) {
  for (const char c : data) {
    if (!error_.empty() || state_ == State::kComplete) {
      break;
    }
    OnByte(c);
  }
  return error_.empty();
}

void AnswerHeadValidator::OnByte(char c) {
  if (c == '\n') {
    expects_line_feed_ = false;
    OnLineEnd();
    return;
  }
  if (expects_line_feed_) {
    error_ =
        state_ == State::kStatusLine ? kMalformedStatusLine : kMalformedHeader;
    return;
  }
  if (c == '\r') {
    expects_line_feed_ = true;
    return;
  }
  switch (state_) {
    case State::kStatusLine:
      OnStatusLineByte(c);
      return;
    case State::kLineStart:
      name_.clear();
      value_.clear();
      state_ = State::kName;
      [[fallthrough]];
    case State::kName:
      if (c == ':' && !name_.empty()) {
        state_ = State::kValue;
      } else if (IsTokenCharacter(c)) {
        Keep(&name_, c);
      } else {
        error_ = kMalformedHeader;
      }
      return;
    case State::kValue:
      if (!IsValueCharacter(c)) {
        error_ = kMalformedHeader;
      } else if (!value_.empty() || !IsBlank(c)) {
        Keep(&value_, c);
      }
      return;
    case State::kComplete:
      return;
  }
}

void AnswerHeadValidator::OnStatusLineByte(char c) {
  const size_t position = status_line_size_++;
  bool is_valid = true;
  if (position < kProtocol.size()) {
    is_valid = c == kProtocol[position];
  } else if (position == kProtocol.size()) {
    is_valid = IsDigit(c);
  } else if (position == kProtocol.size() + 1 ||
             position == kMinStatusLineSize) {
    is_valid = c == ' ';
  } else if (position < kMinStatusLineSize) {
    is_valid = IsDigit(c);
    status_ = 10 * status_ + (c - '0');
  } else {
    is_valid = IsValueCharacter(c);
  }
  if (!is_valid) {
    error_ = kMalformedStatusLine;
  }
}

void AnswerHeadValidator::OnLineEnd() {
  switch (state_) {
    case State::kStatusLine:
      if (status_line_size_ < kMinStatusLineSize || status_ < kMinHttpStatus ||
          status_ > kMaxHttpStatus) {
        error_ = kMalformedStatusLine;
      } else if (status_ == kSwitchingProtocols) {
        error_ = kUnexpectedUpgrade;
      }
      state_ = State::kLineStart;
      return;
    case State::kLineStart:
      OnHeadEnd();
      return;
    case State::kName:
      error_ = kMalformedHeader;
      return;
    case State::kValue:
      OnHeaderEnd();
      state_ = State::kLineStart;
      return;
    case State::kComplete:
      return;
  }
}

void AnswerHeadValidator::OnHeaderEnd() {
  const std::string value(absl::StripAsciiWhitespace(value_));
  bool is_valid = true;
  if (absl::EqualsIgnoreCase(name_, "content-length")) {
    ++framings_;
    is_valid = IsLength(value);
  } else if (absl::EqualsIgnoreCase(name_, "transfer-encoding")) {
    ++framings_;
    // Other codings may only be sent to receivers that ask for them.
    is_valid = absl::EqualsIgnoreCase(value, "chunked");
  } else if (absl::EqualsIgnoreCase(name_, "content-encoding")) {
    has_content_coding_ |= !absl::EqualsIgnoreCase(value, "identity");
  }
  if (!is_valid || framings_ > 1) {
    error_ = kMalformedFraming;
  }
}

void AnswerHeadValidator::OnHeadEnd() {
  if (status_ >= kFirstFinalStatus) {
    state_ = State::kComplete;
    return;
  }
  if (framings_ > 0) {
    // An interim answer has no body.
    error_ = kMalformedFraming;
    return;
  }
  state_ = State::kStatusLine;
  has_content_coding_ = false;
  status_line_size_ = 0;
  status_ = 0;
}

}  // namespace camphorsail

#ifndef CAMPHORSAIL_HTTP_ANSWER_HEAD_VALIDATOR_H_
#define CAMPHORSAIL_HTTP_ANSWER_HEAD_VALIDATOR_H_

#include <cstdint>
#include <string>
#include <string_view>

namespace camphorsail {

/// Checks the heads of the answers to one request, interim ones included,
/// against the grammar of HTTP/1.1 (RFC 9112). The HTTP parsers in use accept
/// more than the grammar: any number as status, blanks and control characters
/// in names, continued header lines, and framing that another receiver would
/// read in another way. Bounds its memory, so that a head may be of any length.
class AnswerHeadValidator {
 public:
  /// @param data The next bytes of the answer, divided in any way. Bytes after
  /// the head of the final answer are ignored.
  /// @return False when the head is not valid; all later calls return the same.
  bool Append(std::string_view data);

  /// @return Why the head is not valid; empty while it is.
  std::string_view error() const { return error_; }
  /// @return True when the body has a content coding other than `identity`.
  bool has_content_coding() const { return has_content_coding_; }

 private:
  enum class State : uint8_t {
    kStatusLine,
    kLineStart,
    kName,
    kValue,
    /// The head of the final answer is complete.
    kComplete,
  };

  void OnByte(char c);
  void OnStatusLineByte(char c);
  void OnLineEnd();
  void OnHeaderEnd();
  void OnHeadEnd();

  State state_ = State::kStatusLine;
  /// A carriage return has arrived; only a line feed may follow.
  bool expects_line_feed_ = false;
  std::string_view error_;
  /// Bytes of the status line so far.
  size_t status_line_size_ = 0;
  int status_ = 0;
  /// Headers of the current head that determine the extent of the body.
  int framings_ = 0;
  bool has_content_coding_ = false;
  /// The current header, as far as it can be one that is looked at.
  std::string name_;
  std::string value_;
};

}  // namespace camphorsail

#endif  // CAMPHORSAIL_HTTP_ANSWER_HEAD_VALIDATOR_H_

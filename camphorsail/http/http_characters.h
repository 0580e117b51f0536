#ifndef CAMPHORSAIL_HTTP_HTTP_CHARACTERS_H_
#define CAMPHORSAIL_HTTP_HTTP_CHARACTERS_H_

#include <string_view>

#include "absl/strings/ascii.h"

namespace camphorsail {

/// @return True for a character of a token, such as the name of a header.
inline bool IsTokenCharacter(char c) {
  constexpr std::string_view kSymbols = "!#$%&'*+-.^_`|~";
  return absl::ascii_isalnum(static_cast<unsigned char>(c)) ||
         kSymbols.find(c) != std::string_view::npos;
}

/// @return True for a character of a header's value or of a reason phrase:
/// anything but a control character.
inline bool IsValueCharacter(char c) {
  return c == '\t' || (static_cast<unsigned char>(c) >= 0x20 && c != 0x7f);
}

}  // namespace camphorsail

#endif  // CAMPHORSAIL_HTTP_HTTP_CHARACTERS_H_

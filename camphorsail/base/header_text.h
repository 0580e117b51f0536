#ifndef CAMPHORSAIL_BASE_HEADER_TEXT_H_
#define CAMPHORSAIL_BASE_HEADER_TEXT_H_

#include <string_view>

namespace camphorsail {

/// Maximum size of an id or name that is written into the head of a message.
inline constexpr size_t kMaxHeaderTextBytes = 256;

/// @return True when `text` can be the whole value of a header: it is not empty
/// or too long, has no control characters, and no space at its ends, which the
/// receiver would remove.
bool IsHeaderText(std::string_view text);

/// @return True when `text` is a header text of visible ASCII characters, as
/// ids in paths are.
bool IsHeaderToken(std::string_view text);

}  // namespace camphorsail

#endif  // CAMPHORSAIL_BASE_HEADER_TEXT_H_

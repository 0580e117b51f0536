#ifndef CAMPHORSAIL_ENTRY_SHA256_H_
#define CAMPHORSAIL_ENTRY_SHA256_H_

#include <string>
#include <string_view>

namespace camphorsail {

/// @return The SHA-256 of `data` in lower-case hexadecimal.
std::string Sha256Hex(std::string_view data);

}  // namespace camphorsail

#endif  // CAMPHORSAIL_ENTRY_SHA256_H_

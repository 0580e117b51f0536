#ifndef CAMPHORSAIL_BASE_SECRET_EQUAL_H_
#define CAMPHORSAIL_BASE_SECRET_EQUAL_H_

#include <string_view>

namespace camphorsail {

/// Compares two strings in a time that does not depend on the position of the
/// first difference.
/// @return True when both are equal and not empty.
inline bool SecretEqual(std::string_view given, std::string_view secret) {
  if (secret.empty() || given.size() != secret.size()) {
    return false;
  }
  unsigned char difference = 0;
  for (size_t i = 0; i < given.size(); ++i) {
    difference |= static_cast<unsigned char>(given[i] ^ secret[i]);
  }
  return difference == 0;
}

}  // namespace camphorsail

#endif  // CAMPHORSAIL_BASE_SECRET_EQUAL_H_

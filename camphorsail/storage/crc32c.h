#ifndef CAMPHORSAIL_STORAGE_CRC32C_H_
#define CAMPHORSAIL_STORAGE_CRC32C_H_

#include <cstdint>
#include <initializer_list>
#include <string_view>

namespace camphorsail {

/// @return The CRC32C (Castagnoli) of the concatenated parts.
uint32_t Crc32c(std::initializer_list<std::string_view> parts);

}  // namespace camphorsail

#endif  // CAMPHORSAIL_STORAGE_CRC32C_H_

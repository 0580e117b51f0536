#include "camphorsail/storage/crc32c.h"

#include "boost/crc.hpp"

namespace camphorsail {

uint32_t Crc32c(std::initializer_list<std::string_view> parts) {
  boost::crc_optimal<32, 0x1EDC6F41, 0xFFFFFFFF, 0xFFFFFFFF, true, true> crc;
  for (std::string_view part : parts) {
    crc.process_bytes(part.data(), part.size());
  }
  return crc.checksum();
}

}  // namespace camphorsail

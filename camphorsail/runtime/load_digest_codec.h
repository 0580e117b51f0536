#ifndef CAMPHORSAIL_RUNTIME_LOAD_DIGEST_CODEC_H_
#define CAMPHORSAIL_RUNTIME_LOAD_DIGEST_CODEC_H_

#include <string>

#include "camphorsail/base/error.h"
#include "camphorsail/scheduling/scheduler_types.h"

namespace camphorsail {

/// @return The digest as MessagePack.
std::string EncodeLoadDigest(const LoadDigest& digest);

/// @return The digest. Error: `kProtocolError`.
Expected<LoadDigest> DecodeLoadDigest(const std::string& bytes);

}  // namespace camphorsail

#endif  // CAMPHORSAIL_RUNTIME_LOAD_DIGEST_CODEC_H_

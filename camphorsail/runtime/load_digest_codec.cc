#include "camphorsail/runtime/load_digest_codec.h"

#include <array>
#include <utility>
#include <vector>

#include "camphorsail/base/msgpack_bytes.h"
#include "camphorsail/base/msgpack_strong_id.h"

namespace camphorsail {
namespace {

struct WireTier {
  bool open = true;
  bool overloaded = false;
  Tokens outstanding;

  MSGPACK_DEFINE(open, overloaded, outstanding)
};
using WireTiers = std::array<WireTier, kTierCount>;

struct WirePool {
  uint8_t kind = 0;
  ModelId target;
  WireTiers tiers;
  std::vector<ClassId> classes_beyond_guarantee;

  MSGPACK_DEFINE(kind, target, tiers, classes_beyond_guarantee)
};

struct WireDigest {
  VmId vm;
  uint64_t sequence = 0;
  WireTiers tiers;
  std::vector<WirePool> pools;

  MSGPACK_DEFINE(vm, sequence, tiers, pools)
};

using Tiers = std::array<LoadDigest::TierState, kTierCount>;

WireTiers ToWire(const Tiers& tiers) {
  WireTiers wire;
  for (size_t i = 0; i < tiers.size(); ++i) {
    wire[i] = {tiers[i].open, tiers[i].overloaded, tiers[i].outstanding};
  }
  return wire;
}

Tiers FromWire(const WireTiers& wire) {
  Tiers tiers;
  for (size_t i = 0; i < wire.size(); ++i) {
    tiers[i].open = wire[i].open;
    tiers[i].overloaded = wire[i].overloaded;
    tiers[i].outstanding = wire[i].outstanding;
  }
  return tiers;
}

}  // namespace

std::string EncodeLoadDigest(const LoadDigest& digest) {
  WireDigest wire{digest.vm, digest.sequence, ToWire(digest.tiers), {}};
  for (const LoadDigest::PoolState& pool : digest.pools) {
    wire.pools.push_back({static_cast<uint8_t>(pool.kind), pool.target,
                          ToWire(pool.tiers), pool.classes_beyond_guarantee});
  }
  return PackBytes(wire);
}

Expected<LoadDigest> DecodeLoadDigest(const std::string& bytes) {
  const Expected<WireDigest> decoded = UnpackBytes<WireDigest>(bytes);
  if (!decoded) {
    return tl::unexpected<Error>(decoded.error());
  }
  const WireDigest& wire = *decoded;
  LoadDigest digest;
  digest.vm = wire.vm;
  digest.sequence = wire.sequence;
  digest.tiers = FromWire(wire.tiers);
  for (const WirePool& pool : wire.pools) {
    if (pool.kind > static_cast<uint8_t>(ServerKind::kService)) {
      return Fail(ErrorKind::kProtocolError,
                  "unknown kind of server in a load digest");
    }
    LoadDigest::PoolState state;
    state.kind = static_cast<ServerKind>(pool.kind);
    state.target = pool.target;
    state.tiers = FromWire(pool.tiers);
    state.classes_beyond_guarantee = pool.classes_beyond_guarantee;
    digest.pools.push_back(std::move(state));
  }
  return digest;
}

}  // namespace camphorsail

#include "camphorsail/membership/server_subset.h"

#include <algorithm>
#include <cassert>
#include <cmath>
#include <utility>

#include "camphorsail/base/fnv_hash.h"

namespace camphorsail {

double RendezvousScore(std::string_view chooser,
                       std::string_view candidate,
                       double weight) {
  assert(weight > 0);
  // The separator gives ("ab", "c") and ("a", "bc") different hashes.
  const uint64_t hash = MixBits(
      Fnv1a64(candidate, Fnv1a64(std::string_view("\0", 1), Fnv1a64(chooser))));
  // A uniform number in (0, 1). Adding half a step excludes 0 and 1, for which
  // the score would not be finite.
  const double uniform = (static_cast<double>(hash >> 11) + 0.5) * 0x1p-53;
  return -weight / std::log(uniform);
}

ServerSubset::ServerSubset(VmId daemon, size_t size)
    : daemon_(std::move(daemon)), size_(size) {
  assert(size > 0);
}

std::vector<BackendServerId> ServerSubset::Choose(
    std::span<const ServerCandidate> candidates) const {
  std::vector<std::pair<double, const ServerCandidate*>> ranked;
  ranked.reserve(candidates.size());
  for (const ServerCandidate& candidate : candidates) {
    ranked.emplace_back(
        RendezvousScore(daemon_.value(), candidate.server.value(),
                        candidate.weight),
        &candidate);
  }
  std::sort(ranked.begin(), ranked.end(), [](const auto& a, const auto& b) {
    return a.first != b.first ? a.first > b.first
                              : a.second->server < b.second->server;
  });
  if (ranked.size() > size_) {
    const FailureDomainId& domain = ranked[0].second->failure_domain;
    const auto elsewhere = [&](const auto& entry) {
      return entry.second->failure_domain != domain;
    };
    const auto end = ranked.begin() + static_cast<ptrdiff_t>(size_);
    if (size_ > 1 && std::none_of(ranked.begin(), end, elsewhere)) {
      const auto other = std::find_if(end, ranked.end(), elsewhere);
      if (other != ranked.end()) {
        std::swap(*std::prev(end), *other);
      }
    }
    ranked.erase(end, ranked.end());
  }
  std::vector<BackendServerId> chosen;
  chosen.reserve(ranked.size());
  for (const auto& [score, candidate] : ranked) {
    chosen.push_back(candidate->server);
  }
  std::sort(chosen.begin(), chosen.end());
  return chosen;
}

}  // namespace camphorsail

#include "camphorsail/scheduling/router.h"

#include <algorithm>

namespace camphorsail {
namespace {

// Seconds added to the score of a server in another failure domain. More than
// the network delay between domains, less than any significant difference in
// load.
constexpr double kOtherDomainPenaltySeconds = 0.005;
// Time per token in a full batch over that in an almost empty batch.
constexpr double kFullBatchSlowdown = 2;
// Output tokens for whose generation a request waits on a server that has one
// full batch of requests more than its capacity.
constexpr double kTokensPerQueuedBatch = 100;
// A server with a larger slowdown gets no requests that it cannot answer on
// time.
constexpr double kSlowServerSlowdown = 1.2;

}  // namespace

double Router::Score(const Pool& pool,
                     const RequestState& request,
                     const ServerState& server,
                     double cached_fraction,
                     MonoTime now) const {
  if (server.removed || !server.Serves(request.target)) {
    return -1;
  }
  double per_token = pool.speed.planned() * server.health.slowdown();
  if (pool.kind == ServerKind::kService) {
    per_token = 0.001 * server.health.slowdown();
  } else if (server.reported_seconds_per_token > 0) {
    per_token = server.reported_seconds_per_token;
  }
  const Tokens remaining_tokens = request.planned - request.received;
  const double prompt_seconds =
      static_cast<double>(request.descriptor.prompt_tokens.value()) *
      (1 - cached_fraction) * pool.speed.per_prompt_token();
  const double answer_seconds =
      prompt_seconds +
      static_cast<double>(remaining_tokens.value()) * per_token;
  // A slow server gets no request that it cannot answer on time; another server
  // may still take the request.
  const double remaining = absl::ToDoubleSeconds(
      request.descriptor.arrival + request.descriptor.total_target - now);
  if (server.health.slowdown() > kSlowServerSlowdown &&
      answer_seconds > remaining) {
    return -1;
  }
  const double load = server.Load(now);
  const double queue_seconds =
      std::max(0.0, load - 1) * per_token * kTokensPerQueuedBatch;
  const double batch_factor =
      (1 + std::min(load, 1.0) * (kFullBatchSlowdown - 1)) / kFullBatchSlowdown;
  // Spreads the requests of each tier over the servers: an engine filled with
  // one tier leaves no slots for accepted requests of lower tiers.
  const double same_tier_load =
      static_cast<double>(server.OwnRequests(request.descriptor.tier)) /
      server.slots;
  return queue_seconds + answer_seconds * batch_factor * (1 + same_tier_load) +
         (server.failure_domain == domain_ ? 0 : kOtherDomainPenaltySeconds);
}

ServerState* Router::Choose(const Pool& pool,
                            const RequestState& request,
                            Tier tier,
                            bool preempt,
                            MonoTime now) {
  ServerState* best = nullptr;
  double best_score = 0;
  const PrefixIndex::Hit hit =
      pool.prefixes.Find(request.descriptor.prefix_hashes, now);
  const auto consider = [&](ServerState* server) {
    if (!server->health.Allow()) {
      return;
    }
    const double score = Score(pool, request, *server,
                               server == hit.server ? hit.fraction : 0, now);
    if (score >= 0 && (best == nullptr || score < best_score)) {
      best = server;
      best_score = score;
    }
  };
  // A server that is vacant for the lowest tier has a free slot. A server that
  // is vacant only for `tier` has to preempt lower-tier work.
  constexpr Tier kLowest(kTierCount - 1);
  for (const Tier vacancy : {kLowest, tier}) {
    if (hit.server != nullptr &&
        hit.server->vacant_position[vacancy.value()] >= 0) {
      consider(hit.server);
    }
    for (int i = 0; i < candidates_; ++i) {
      ServerState* server = pool.servers.SampleVacant(vacancy, &random_);
      if (server == nullptr) {
        break;
      }
      consider(server);
    }
    if (best != nullptr || !preempt) {
      break;
    }
  }
  return best;
}

}  // namespace camphorsail

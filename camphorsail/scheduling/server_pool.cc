#include "camphorsail/scheduling/server_pool.h"

#include <algorithm>
#include <cassert>

namespace camphorsail {
namespace {

int FreeSlots(const ServerState& server) {
  return std::max(0, server.slot_limit - server.own_request_count());
}

}  // namespace

void ServerPool::Add(ServerState* server, MonoTime now) {
  assert(server->member_position < 0);
  server->member_position = static_cast<int>(members_.size());
  members_.push_back(server);
  server->slot_limit = 0;
  server->counted_free_slots = 0;
  server->counted_preempted_requests = 0;
  Update(server, now);
}

void ServerPool::Remove(ServerState* server) {
  assert(server->member_position >= 0);
  total_slots_ -= server->slot_limit;
  free_slots_ -= server->counted_free_slots;
  preempted_requests_ -= server->counted_preempted_requests;
  for (int t = 0; t < kTierCount; ++t) {
    SetVacant(server, t, false);
  }
  ServerState* last = members_.back();
  members_[server->member_position] = last;
  last->member_position = server->member_position;
  members_.pop_back();
  server->member_position = -1;
}

void ServerPool::Update(ServerState* server, MonoTime now) {
  if (server->member_position < 0) {
    return;
  }
  const int slot_limit = server->health.SlotLimit(server->slots, now);
  total_slots_ += slot_limit - server->slot_limit;
  server->slot_limit = slot_limit;
  const int free = FreeSlots(*server);
  free_slots_ += free - server->counted_free_slots;
  server->counted_free_slots = free;
  const int preempted =
      server->health.is_outlier()
          ? 0
          : std::max(0, server->own_request_count() - slot_limit);
  preempted_requests_ += preempted - server->counted_preempted_requests;
  server->counted_preempted_requests = preempted;
  for (uint8_t t = 0; t < kTierCount; ++t) {
    SetVacant(server, t, server->OwnRequests(Tier(t)) < slot_limit);
  }
}

ServerState* ServerPool::SampleVacant(Tier tier, Random* random) const {
  const std::vector<ServerState*>& vacant = vacant_[tier.value()];
  return vacant.empty() ? nullptr : vacant[random->Below(vacant.size())];
}

void ServerPool::SetVacant(ServerState* server, int tier, bool vacant) {
  int& position = server->vacant_position[tier];
  std::vector<ServerState*>& list = vacant_[tier];
  if (vacant == (position >= 0)) {
    return;
  }
  if (vacant) {
    position = static_cast<int>(list.size());
    list.push_back(server);
    return;
  }
  ServerState* last = list.back();
  list[position] = last;
  last->vacant_position[tier] = position;
  list.pop_back();
  position = -1;
}

}  // namespace camphorsail

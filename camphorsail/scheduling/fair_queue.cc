#include "camphorsail/scheduling/fair_queue.h"

#include <algorithm>

namespace camphorsail {
namespace {

// An account of weight zero would never be served. The settings forbid it; a
// smaller weight is raised to this value.
constexpr double kMinWeight = 1e-3;

bool IsUrgent(const RequestState& request, MonoTime now) {
  return request.WaitTime(now) * 2 > request.Slack();
}

}  // namespace

int FairQueue::BandOf(Tokens expected) {
  int band = 0;
  for (int64_t limit = 32; expected.value() > limit && band < kBandCount - 1;
       limit *= 2) {
    ++band;
  }
  return band;
}

FairQueue::~FairQueue() {
  for (TierQueue& tier : tiers_) {
    while (RequestState* request = tier.retried.Front()) {
      tier.retried.Remove(request);
    }
    for (auto& [account, flow] : tier.flows) {
      for (List& band : flow->bands) {
        while (RequestState* request = band.Front()) {
          band.Remove(request);
        }
      }
    }
  }
}

void FairQueue::Push(RequestState* request) {
  TierQueue& tier = tiers_[request->descriptor.tier.value()];
  request->queued = true;
  ++tier.size;
  tier.work += request->work;
  if (request->accepted) {
    tier.retried.PushBack(request);
    return;
  }
  std::unique_ptr<Flow>& flow = tier.flows[request->account];
  if (flow == nullptr) {
    flow = std::make_unique<Flow>();
    flow->account = request->account;
  }
  flow->weight = std::max(kMinWeight, request->descriptor.weight.value());
  if (flow->size++ == 0) {
    // An account gets no credit for the time in which it had no requests.
    flow->virtual_time = std::max(flow->virtual_time, tier.virtual_time);
    tier.backlogged.insert({flow->virtual_time, flow->account});
  }
  flow->bands[request->band].PushBack(request);
}

void FairQueue::Remove(RequestState* request) {
  TierQueue& tier = tiers_[request->descriptor.tier.value()];
  request->queued = false;
  --tier.size;
  tier.work = tier.size == 0 ? 0 : tier.work - request->work;
  if (request->accepted) {
    tier.retried.Remove(request);
    return;
  }
  Flow& flow = *tier.flows.at(request->account);
  flow.bands[request->band].Remove(request);
  if (--flow.size == 0) {
    tier.backlogged.erase({flow.virtual_time, flow.account});
  }
}

RequestState* FairQueue::Peek(Tier tier_index, MonoTime now) const {
  const TierQueue& tier = tiers_[tier_index.value()];
  if (!tier.retried.empty()) {
    return tier.retried.Front();
  }
  if (tier.backlogged.empty()) {
    return nullptr;
  }
  const Flow& flow = *tier.flows.at(tier.backlogged.begin()->second);
  RequestState* shortest = nullptr;
  RequestState* urgent = nullptr;
  for (const List& band : flow.bands) {
    RequestState* head = band.Front();
    if (head == nullptr) {
      continue;
    }
    if (shortest == nullptr) {
      shortest = head;
    }
    if (IsUrgent(*head, now) &&
        (urgent == nullptr || head->latest_start < urgent->latest_start)) {
      urgent = head;
    }
  }
  return urgent != nullptr ? urgent : shortest;
}

void FairQueue::Charge(const RequestState& request) {
  TierQueue& tier = tiers_[request.descriptor.tier.value()];
  const auto it = tier.flows.find(request.account);
  if (it == tier.flows.end()) {
    return;
  }
  Flow& flow = *it->second;
  tier.virtual_time = std::max(tier.virtual_time, flow.virtual_time);
  if (flow.size > 0) {
    tier.backlogged.erase({flow.virtual_time, flow.account});
  }
  flow.virtual_time += request.work / flow.weight;
  if (flow.size > 0) {
    tier.backlogged.insert({flow.virtual_time, flow.account});
  }
}

double FairQueue::WorkUpTo(Tier tier) const {
  double sum = 0;
  for (int t = 0; t <= tier.value(); ++t) {
    sum += tiers_[t].work;
  }
  return sum;
}

}  // namespace camphorsail

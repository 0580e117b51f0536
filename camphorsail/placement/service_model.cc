#include "camphorsail/placement/service_model.h"

#include <algorithm>
#include <vector>

namespace camphorsail {
namespace {

/// Ratio of average prompt lengths from which on the routes are split into two
/// lanes. With a smaller ratio, the prompts of both sides delay the streams of
/// the other about as much.
constexpr double kMinPromptRatio = 3;
/// Requests after which the split is computed again.
constexpr int kRequestsPerSplit = 64;

/// Takes the limit of one more route into the lane.
void AddLimit(absl::Duration max_event_gap, ServiceModel::Lane* lane) {
  if (max_event_gap > absl::ZeroDuration() &&
      (lane->max_event_gap == absl::ZeroDuration() ||
       max_event_gap < lane->max_event_gap)) {
    lane->max_event_gap = max_event_gap;
  }
}

}  // namespace

void ServiceModel::OnRequest(const Route& route,
                             double prompt_tokens,
                             double unshared_tokens) {
  engine_.OnRequest(prompt_tokens, absl::Milliseconds(route.objective_ms));
  if (prompt_tokens <= 0) {
    return;
  }
  const auto [entry, is_new] = routes_.try_emplace(route.name);
  entry->second.profile.OnRequest(prompt_tokens, unshared_tokens);
  entry->second.max_event_gap = absl::Milliseconds(route.max_event_gap_ms);
  entry->second.objective = absl::Milliseconds(route.objective_ms);
  if (is_new || --requests_until_split_ <= 0) {
    requests_until_split_ = kRequestsPerSplit;
    Split();
  }
}

void ServiceModel::OnPauseLimit(Urgency urgency, absl::Duration max_event_gap) {
  absl::Duration& limit = pause_limits_[urgency.value()];
  if (max_event_gap > absl::ZeroDuration() &&
      (limit == absl::ZeroDuration() || max_event_gap < limit)) {
    limit = max_event_gap;
  }
}

void ServiceModel::OnGap(double tokens,
                         absl::Duration gap,
                         absl::Duration backlog,
                         ServerSpeed* speed,
                         MonoTime now) {
  if (tokens <= 0 || gap <= absl::ZeroDuration()) {
    return;
  }
  // The model is of a server of usual speed.
  engine_.OnGap(tokens, gap / speed->lasting(), backlog / speed->lasting());
  if (backlog <= absl::ZeroDuration()) {
    speeds_.OnTokenTime(absl::ToDoubleMilliseconds(gap) / tokens, speed, now);
  }
}

bool ServiceModel::IsInteractive(const Route& route) const {
  const auto found = routes_.find(route.name);
  return found == routes_.end() || found->second.is_interactive;
}

void ServiceModel::Split() {
  std::vector<RouteEntry*> ordered;
  ordered.reserve(routes_.size());
  for (auto& [name, entry] : routes_) {
    if (entry.profile.requests() > 0) {
      ordered.push_back(&entry);
    }
  }
  std::sort(ordered.begin(), ordered.end(),
            [](const RouteEntry* a, const RouteEntry* b) {
              return a->profile.prompt_tokens() < b->profile.prompt_tokens();
            });
  size_t split = ordered.size();
  double widest = kMinPromptRatio;
  for (size_t i = 1; i < ordered.size(); ++i) {
    const double ratio = ordered[i]->profile.prompt_tokens() /
                         ordered[i - 1]->profile.prompt_tokens();
    if (ratio >= widest) {
      widest = ratio;
      split = i;
    }
  }
  interactive_ = Lane();
  bulk_ = Lane();
  double requests[2] = {0, 0};
  for (size_t i = 0; i < ordered.size(); ++i) {
    RouteEntry& entry = *ordered[i];
    entry.is_interactive = i < split;
    Lane& lane = entry.is_interactive ? interactive_ : bulk_;
    AddLimit(entry.max_event_gap, &lane);
    double& weight = requests[entry.is_interactive ? 0 : 1];
    const double added = entry.profile.requests();
    weight += added;
    lane.unshared_tokens +=
        (entry.profile.unshared_tokens() - lane.unshared_tokens) * added /
        weight;
    lane.objective += (entry.objective - lane.objective) * (added / weight);
  }
}

}  // namespace camphorsail

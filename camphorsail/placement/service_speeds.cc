#include "camphorsail/placement/service_speeds.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace camphorsail {
namespace {

/// Distances of a server's factor from the median of the service, in octaves,
/// beyond which the servers count as uneven, and below which they count as
/// alike again. A decode step of a full engine takes up to about 1.35 times as
/// long as that of an empty one.
constexpr double kUnevenOctaves = 0.49;
constexpr double kAlikeOctaves = 0.32;
/// Fraction of the servers that have to be that far off.
constexpr double kMinUnevenFraction = 0.1;
/// Steps of an octave by which servers are ordered. Servers of the same step
/// are ordered by their hash.
constexpr double kRankStepsPerOctave = 8;
/// Distance from a step, in steps, at which a server leaves it.
constexpr double kLeaveStep = 0.75;
/// Time constant with which the lanes follow the demand. Each change of a lane
/// makes shared prefixes be read again.
constexpr double kDivisionSeconds = 20;
/// Time for which one value of the demand counts at most, so that one value
/// after lost polls moves no engine.
constexpr double kLongestElapsedSeconds = 1;
/// Parts of the capacity in which the lanes are divided, and the distance, in
/// parts, at which a division is left.
constexpr double kShareParts = 20;
constexpr double kLeaveShare = 0.7;
/// Factor of the moment from which on a server is in a spell.
constexpr double kMinSpellSlowdown = 1.3;
/// Weight of the latest report in the averages of spells.
constexpr double kLatestWeight = 0.01;
/// Largest change of the length of a spell by one report, on a logarithmic
/// scale, and bounds of the length.
constexpr double kSpellLengthGain = 0.1;
constexpr double kShortestSpellMs = 20;
constexpr double kLongestSpellMs = 10000;
/// Lengths of a spell after which a report says nothing of the spell's end.
constexpr double kMaxSpellAge = 4;

}  // namespace

void ServiceSpeeds::OnTokenTime(double ms_per_token,
                                ServerSpeed* server,
                                MonoTime now) {
  token_ms_.Add(ms_per_token);
  if (!token_ms_.IsReady()) {
    return;
  }
  const double ratio = ms_per_token / token_ms_.value();
  server->OnWork(ratio);
  if (has_reports_) {
    // A gap is also lengthened by prompts that this gateway does not know of,
    // so that it shows no worse than a spell.
    const double slowdown = ratio / server->lasting();
    server->OnMoment(
        slowdown < kMinSpellSlowdown ? 1 : std::min(slowdown, spell_slowdown_),
        now);
  }
}

void ServiceSpeeds::OnFirstEvent(double uncached_tokens,
                                 absl::Duration wait,
                                 ServerSpeed* server) {
  const double wait_ms = absl::ToDoubleMilliseconds(wait);
  first_event_.Add(uncached_tokens, wait_ms);
  const double usual_ms =
      first_event_.intercept() + first_event_.slope() * uncached_tokens;
  if (first_event_.IsReady() && usual_ms > 0) {
    server->OnWork(wait_ms / usual_ms);
  }
}

void ServiceSpeeds::OnReport(double slowdown,
                             ServerSpeed* server,
                             MonoTime now) {
  const bool is_slow = slowdown >= kMinSpellSlowdown;
  if (has_reports_ && server->moment_at() != MonoTime()) {
    LearnSpell(server->moment() >= kMinSpellSlowdown, is_slow,
               now - server->moment_at());
  }
  has_reports_ = true;
  spell_share_ += kLatestWeight * ((is_slow ? 1 : 0) - spell_share_);
  if (is_slow) {
    const double weight = spell_slowdown_ == 1 ? 1 : kLatestWeight;
    spell_slowdown_ += weight * (slowdown - spell_slowdown_);
  }
  server->OnMoment(slowdown, now);
}

void ServiceSpeeds::LearnSpell(bool was_slow,
                               bool is_slow,
                               absl::Duration between) {
  const double lengths = absl::ToDoubleMilliseconds(between) / spell_length_ms_;
  if (lengths > kMaxSpellAge) {
    return;
  }
  // Stochastic approximation of the length with which the state of a server
  // changes as often as the model of two states predicts.
  const double kept = std::exp(-lengths);
  const double expected = spell_share_ * (1 - kept) + (was_slow ? kept : 0);
  const double surprise = (is_slow ? 1 : 0) - expected;
  spell_length_ms_ = std::clamp(
      spell_length_ms_ *
          std::exp(kSpellLengthGain * kept * (was_slow ? surprise : -surprise)),
      kShortestSpellMs, kLongestSpellMs);
}

double ServiceSpeeds::SpellRisk(absl::Duration length) const {
  if (spell_share_ <= 0 || spell_share_ >= 1) {
    return spell_share_;
  }
  const double starts_per_ms =
      spell_share_ / ((1 - spell_share_) * spell_length_ms_);
  return 1 - (1 - spell_share_) *
                 std::exp(-starts_per_ms * absl::ToDoubleMilliseconds(length));
}

double ServiceSpeeds::SlownessOf(const ServerSpeed& server,
                                 absl::Duration length,
                                 MonoTime now) const {
  if (!has_reports_) {
    return server.lasting();
  }
  // What is known of the moment fades with its age and during the work.
  const double age = std::max(
      0.0, absl::FDivDuration(now - server.moment_at(), spell_length()));
  const double lengths =
      std::max(absl::ToDoubleMilliseconds(length) / spell_length_ms_, 1e-3);
  const double kept = std::exp(-age) * (1 - std::exp(-lengths)) / lengths;
  const double usual = 1 + spell_share_ * (spell_slowdown_ - 1);
  return server.lasting() * (usual + (server.moment() - usual) * kept);
}

void ServiceSpeeds::Update(const BackendServers& servers) {
  std::vector<double> logs;
  for (const Ref<BackendServer>& server : servers) {
    if (server->speed.IsKnown()) {
      logs.push_back(server->speed.LogFactor());
    }
  }
  if (!logs.empty()) {
    const auto middle =
        logs.begin() + static_cast<std::ptrdiff_t>(logs.size() / 2);
    std::nth_element(logs.begin(), middle, logs.end());
    const double median = *middle;
    const double limit = is_uneven_ ? kAlikeOctaves : kUnevenOctaves;
    const auto apart = std::count_if(logs.begin(), logs.end(), [&](double log) {
      return std::abs(log - median) > limit;
    });
    is_uneven_ = static_cast<double>(apart) >
                 kMinUnevenFraction * static_cast<double>(logs.size());
  }
  for (const Ref<BackendServer>& server : servers) {
    ServerSpeed& speed = server->speed;
    if (is_uneven_) {
      speed.Share();
    }
    speed.SetLasting(is_uneven_ ? std::exp2(speed.LogFactor()) : 1);
    const double step = speed.LogFactor() * kRankStepsPerOctave;
    if (std::abs(step - speed.rank_step()) > kLeaveStep) {
      speed.SetRankStep(static_cast<int>(std::lround(step)));
    }
  }
}

void ServiceSpeeds::Divide(const BackendServers& servers,
                           std::optional<double> interactive_share,
                           MonoTime now) {
  const bool was_divided =
      std::exchange(is_divided_, is_uneven_ && interactive_share.has_value() &&
                                     servers.size() >= 2);
  if (!is_divided_) {
    return;
  }
  if (!was_divided) {
    share_ = *interactive_share;
  }
  const double elapsed = std::min(absl::ToDoubleSeconds(now - divided_at_),
                                  kLongestElapsedSeconds);
  share_ += (*interactive_share - share_) *
            (1 - std::exp(-elapsed / kDivisionSeconds));
  divided_at_ = now;
  if (!was_divided ||
      std::abs(share_ - share_in_use_) * kShareParts > kLeaveShare) {
    share_in_use_ = std::round(share_ * kShareParts) / kShareParts;
  }
  // `servers` is ordered by hash at all gateways.
  std::vector<BackendServer*> ordered;
  for (const Ref<BackendServer>& server : servers) {
    ordered.push_back(server.get());
  }
  std::stable_sort(ordered.begin(), ordered.end(),
                   [](const BackendServer* a, const BackendServer* b) {
                     return a->speed.rank_step() < b->speed.rank_step();
                   });
  interactive_factors_.clear();
  const double wanted = share_in_use_ * static_cast<double>(ordered.size());
  for (size_t i = 0; i < ordered.size(); ++i) {
    ServerSpeed& speed = ordered[i]->speed;
    const bool is_interactive =
        i == 0 ||
        (i + 1 < ordered.size() && static_cast<double>(i) + 0.5 <= wanted);
    speed.SetInteractive(is_interactive);
    if (is_interactive) {
      interactive_factors_.push_back(speed.lasting());
    }
  }
  std::sort(interactive_factors_.begin(), interactive_factors_.end());
}

double ServiceSpeeds::InteractiveFactor(double share) const {
  if (interactive_factors_.empty()) {
    return 1;
  }
  const auto count = static_cast<double>(interactive_factors_.size());
  const auto last = static_cast<size_t>(std::ceil(count * share)) - 1;
  return interactive_factors_[std::min(last, interactive_factors_.size() - 1)];
}

}  // namespace camphorsail

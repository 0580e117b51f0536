#ifndef CAMPHORSAIL_PLACEMENT_SERVICE_SPEEDS_H_
#define CAMPHORSAIL_PLACEMENT_SERVICE_SPEEDS_H_

#include <cstddef>
#include <optional>
#include <vector>

#include "absl/time/time.h"
#include "camphorsail/base/mono_time.h"
#include "camphorsail/placement/backend_server.h"
#include "camphorsail/placement/line_fit.h"
#include "camphorsail/placement/quantile_estimate.h"
#include "camphorsail/placement/server_speed.h"

namespace camphorsail {

/// How the servers of one service differ in speed: whether they do so lastingly
/// and by how much, and how servers are slowed in spells by what shares their
/// hosts. While the servers are alike and tell nothing of spells, all factors
/// are 1 and nothing is shared with other gateways.
///
/// The engines of a service with uneven servers are divided into the two lanes
/// of `Placement` by their lasting speed: the fastest ones are for the
/// interactive streams. The inputs of the division are the same at all gateways
/// and are smoothed, so that the gateways agree and an engine rarely changes
/// its lane.
///
/// Not thread-safe; used on the event loop's thread only.
class ServiceSpeeds {
 public:
  /// Records the time that a server took for a token of a stream while it read
  /// no prompt, as far as known.
  void OnTokenTime(double ms_per_token, ServerSpeed* server, MonoTime now);
  /// Records the first event of a stream on an idle engine.
  void OnFirstEvent(double uncached_tokens,
                    absl::Duration wait,
                    ServerSpeed* server);
  /// Records how long work takes on a server at the moment, by its report.
  void OnReport(double slowdown, ServerSpeed* server, MonoTime now);

  /// Judges whether the servers are uneven, and sets their lasting factors.
  void Update(const BackendServers& servers);
  /// Divides the servers into the two lanes by their speed.
  /// @param interactive_share Fraction of the engines for the interactive
  /// streams; nothing when there is only one kind of stream. These get the
  /// fastest engines, so that their lane has more capacity than its share and
  /// its streams slow each other down less.
  void Divide(const BackendServers& servers,
              std::optional<double> interactive_share,
              MonoTime now);

  /// @return True when servers of the service differ lastingly.
  bool is_uneven() const { return is_uneven_; }
  /// @return True when the lanes are divided by speed.
  bool is_divided() const { return is_divided_; }
  /// @return Number of engines in the interactive lane.
  size_t interactive_engines() const { return interactive_factors_.size(); }
  /// @return Lasting factor up to which at least `share` of the engines of the
  /// interactive lane are.
  double InteractiveFactor(double share) const;
  /// @return True once a server has told how long work takes on its host.
  bool has_reports() const { return has_reports_; }
  /// @return Fraction of the time in which a server is slowed by a spell.
  double spell_share() const { return spell_share_; }
  /// @return How long work takes in a spell, as a multiple of the usual time.
  double spell_slowdown() const { return spell_slowdown_; }
  absl::Duration spell_length() const {
    return absl::Milliseconds(spell_length_ms_);
  }
  /// @return Probability that a stream of this length meets a spell.
  double SpellRisk(absl::Duration length) const;
  /// @return How long work of this length takes that starts now, as a multiple
  /// of the usual time of the service.
  double SlownessOf(const ServerSpeed& server,
                    absl::Duration length,
                    MonoTime now) const;

 private:
  void LearnSpell(bool was_slow, bool is_slow, absl::Duration between);

  /// Time of a token, in milliseconds, and of a first event on all servers. Not
  /// divided by the servers' factors: these are relative to them and would
  /// drift with them.
  QuantileEstimate token_ms_{0.35};
  LineFit first_event_;
  bool is_uneven_ = false;
  bool is_divided_ = false;
  /// Smoothed fraction of the capacity in the interactive lane, and the rounded
  /// fraction in use.
  double share_ = 0;
  double share_in_use_ = 0;
  MonoTime divided_at_;
  /// Lasting factors of the engines of the interactive lane, in order.
  std::vector<double> interactive_factors_;
  /// True once a server has told how long work takes on its host.
  bool has_reports_ = false;
  double spell_share_ = 0;
  double spell_slowdown_ = 1;
  double spell_length_ms_ = kFirstSpellLengthMs;

  static constexpr double kFirstSpellLengthMs = 300;
};

}  // namespace camphorsail

#endif  // CAMPHORSAIL_PLACEMENT_SERVICE_SPEEDS_H_

#ifndef TESTS_FAKES_PLACEMENT_CROWDED_SERVICE_H_
#define TESTS_FAKES_PLACEMENT_CROWDED_SERVICE_H_

#include <array>
#include <deque>
#include <functional>
#include <map>
#include <vector>

#include "camphorsail/base/random.h"
#include "camphorsail/placement/admission_gate.h"

namespace camphorsail {

/// One service, whose servers work off their requests by urgency, and the
/// admission gates of the gateways before it. Gateways hear of each other 250
/// ms late. Virtual time.
class CrowdedService {
 public:
  struct Settings {
    int gateways = 1;
    /// Work that the servers do, in milliseconds per second.
    double room = 1000;
    bool has_shares = true;
  };
  struct Outcome {
    bool admitted = false;
    AdmissionGate::Verdict verdict = AdmissionGate::Verdict::kAdmit;
    /// Wait at the servers if it was admitted.
    absl::Duration wait;
  };

  CrowdedService(const Settings& settings, uint64_t seed)
      : settings_(settings), random_(seed), gates_(settings.gateways) {
    started_.fill(kNever);
  }

  static MonoTime At(double seconds) {
    return MonoTime() + absl::Seconds(1000 + seconds);
  }
  void SetRoom(double room) { settings_.room = room; }
  /// Stops all messages between gateways and replicas.
  void CutOff() { is_cut_off_ = true; }

  /// Lets the servers work until `now`; the gateways talk in between.
  void AdvanceTo(double now) {
    double done = (now - now_) * settings_.room;
    for (double& backlog : backlog_) {
      const double part = std::min(done, backlog);
      backlog -= part;
      done -= part;
      worked_ += part;
    }
    now_ = now;
    if (now_ >= next_talk_ && !is_cut_off_) {
      next_talk_ = now_ + kTalkSeconds;
      Talk();
    }
  }

  /// Sends a request to a gateway at random.
  Outcome Send(AccountHash account,
               Urgency urgency,
               double work_ms,
               absl::Duration objective) {
    AdmissionGate& gate = gates_[random_.Below(gates_.size())];
    const MonoTime now = At(now_);
    gate.OnArrival(urgency, work_ms, now);
    const absl::Duration expected = Wait(urgency);
    const absl::Duration limit = Wait(Urgency(kUrgencyLevels - 1)) < kSlotWait
                                     ? absl::InfiniteDuration()
                                     : objective;
    Outcome outcome;
    if (settings_.has_shares) {
      gate.accounts().OnArrival(account, urgency, work_ms, now);
      outcome.verdict =
          gate.Judge(urgency, {account, work_ms}, expected, limit, now);
    } else {
      outcome.verdict = gate.Judge(urgency, expected, limit, now);
    }
    outcome.admitted = outcome.verdict == AdmissionGate::Verdict::kAdmit;
    if (outcome.admitted) {
      gate.OnStarted(urgency, now);
      outcome.wait = expected;
      backlog_[urgency.value()] += work_ms;
      started_[urgency.value()] = now_;
    } else if (outcome.verdict != AdmissionGate::Verdict::kClosed) {
      CheckOrder(urgency);
    }
    return outcome;
  }

  /// @return Work done so far, in milliseconds.
  double worked() const { return worked_; }
  /// @return Refusals as late of requests while a less urgent one had been
  /// started recently, long enough ago for all gateways to know.
  int inversions() const { return inversions_; }
  /// @return Largest message about accounts that a gateway has sent, in bytes.
  size_t largest_message() const { return largest_message_; }

 private:
  static constexpr double kTalkSeconds = 0.25;
  static constexpr double kNever = -1000;
  /// Wait below which a server has a free slot.
  static constexpr absl::Duration kSlotWait = absl::Milliseconds(20);

  absl::Duration Wait(Urgency urgency) const {
    double ahead = 0;
    for (int level = 0; level <= urgency.value(); ++level) {
      ahead += backlog_[level];
    }
    return absl::Seconds(ahead / settings_.room);
  }
  void CheckOrder(Urgency urgency) {
    const double heard = now_ - 2 * kTalkSeconds;
    const double forgotten =
        now_ - absl::ToDoubleSeconds(AdmissionGate::kOrderPeriod) +
        2 * kTalkSeconds;
    for (int level = urgency.value() + 1; level < kUrgencyLevels; ++level) {
      if (started_[level] > forgotten && started_[level] < heard) {
        ++inversions_;
        return;
      }
    }
  }
  void Talk() {
    const MonoTime now = At(now_);
    for (AdmissionGate& gate : gates_) {
      if (heard_) {
        gate.OnFleetState(*heard_, now);
      }
      for (const ServiceAccountWork& work : heard_work_) {
        gate.accounts().OnFleetWork(work, now);
      }
    }
    ServiceAdmissionState state;
    for (size_t i = 0; i < gates_.size(); ++i) {
      const ServiceAdmissionState own = gates_[i].OwnState(now);
      state.late |= own.late;
      state.started |= own.started;
      if (auto report = gates_[i].accounts().TakeReport(
              gates_[i].IsRefusing(now), kMaxSentAccounts, now)) {
        msgpack::sbuffer packed;
        msgpack::pack(packed, *report);
        largest_message_ = std::max(largest_message_, packed.size());
        UpdateAccountWork({*report}, &told_[i]);
      }
    }
    heard_ = state;
    AccountWorkSum sum;
    for (const auto& [gateway, work] : told_) {
      sum.Add(work);
    }
    heard_work_.clear();
    if (now_ >= next_sums_) {
      next_sums_ = now_ + absl::ToDoubleSeconds(AccountShares::kReportInterval);
      for (ServiceAccountWork& work : sum.List()) {
        heard_work_.push_back(
            reporter_.Next(std::move(work), kMaxSentAccounts, now));
      }
    }
  }

  Settings settings_;
  Random random_;
  std::vector<AdmissionGate> gates_;
  bool is_cut_off_ = false;
  double now_ = 0;
  double next_talk_ = 0;
  std::array<double, kUrgencyLevels> backlog_{};
  std::array<double, kUrgencyLevels> started_{};
  double worked_ = 0;
  int inversions_ = 0;
  size_t largest_message_ = 0;
  std::optional<ServiceAdmissionState> heard_;
  /// What each gateway has told about the accounts.
  std::map<size_t, std::vector<ServiceAccountWork>> told_;
  /// What the replicas tell the gateways about them.
  AccountWorkReporter reporter_;
  std::vector<ServiceAccountWork> heard_work_;
  double next_sums_ = 0;
};

}  // namespace camphorsail

#endif  // TESTS_FAKES_PLACEMENT_CROWDED_SERVICE_H_

#ifndef CAMPHORSAIL_RUNTIME_GATEWAY_SESSIONS_H_
#define CAMPHORSAIL_RUNTIME_GATEWAY_SESSIONS_H_

#include <cstdint>
#include <functional>
#include <map>
#include <vector>

#include "absl/base/thread_annotations.h"
#include "absl/synchronization/mutex.h"
#include "absl/time/time.h"
#include "camphorsail/base/ids.h"
#include "camphorsail/base/mono_time.h"
#include "camphorsail/gateway/gateway_group_load.h"
#include "camphorsail/gateway/gateway_poll.h"
#include "camphorsail/gateway/gateway_update.h"
#include "camphorsail/placement/account_shares.h"
#include "camphorsail/quarantine/crash_evidence.h"
#include "camphorsail/quarantine/quarantine_store.h"
#include "camphorsail/routing/routing_history.h"
#include "camphorsail/runtime/control_runtime.h"

namespace camphorsail {

/// The gateways that a replica serves. Answers their polls once the replica's
/// state is confirmed as current, and sends each change of the routing table to
/// them immediately. Thread-safe; no lock is held while hooks run.
class GatewaySessions {
 public:
  /// Interval at which replicas exchange the load of their gateways. It is
  /// short compared with the queueing delay of an overloaded engine.
  static constexpr absl::Duration kGroupLoadInterval = absl::Milliseconds(200);

  struct Hooks {
    std::function<void(ControlRuntime::CurrentCallback)> when_current;
    std::function<void(const VmId& gateway, const GatewayUpdate&)> send;
    std::function<MonoTime()> now;
    /// See `GatewayUpdate::true_micros`.
    std::function<int64_t()> true_micros;
  };

  explicit GatewaySessions(Hooks hooks) : hooks_(std::move(hooks)) {}

  void OnPoll(const VmId& from, const GatewayPoll& poll);
  /// Stores the load that another replica reports for the gateways that poll
  /// it.
  void OnGroupLoad(const VmId& replica, GatewayGroupLoad load);
  /// @return The load to send to the other replicas every `kGroupLoadInterval`.
  GatewayGroupLoad GroupLoad();
  /// @return The load of all gateways, of those that poll other replicas as far
  /// as these have reported it recently.
  GatewayGroupLoad TotalLoad();

  /// @return The changes of the quarantine that the gateways ask for and that
  /// are not in the list. The same change is not returned again for some time.
  /// To be called on the leader, at any interval.
  std::vector<QuarantineChange> QuarantineChanges(const QuarantineStore& list,
                                                  absl::Time wall_now);
  /// @return What the gateways know about the ends of servers.
  std::vector<CrashRecord> CrashRecords();

  /// Sends a table to all gateways that have an older one.
  void OnTable(const Ref<SharedRoutingTable>& table);

 private:
  /// A gateway that has not polled for this long has switched to another
  /// replica or stopped.
  static constexpr absl::Duration kSessionLifetime = absl::Milliseconds(1500);

  /// A table or delta that was sent is assumed to be on its way for this long,
  /// and not sent again although the gateway still reports its old version. A
  /// large table takes several poll intervals on a slow link.
  static constexpr absl::Duration kTableResendInterval = absl::Seconds(1);

  /// Adding up the accounts of hundreds of gateways takes about a millisecond.
  static constexpr absl::Duration kAccountsSumInterval =
      absl::Milliseconds(250);

  /// By service.
  using AccountWorkReports = std::map<uint64_t, AccountWorkReporter>;

  struct Session {
    MonoTime polled_at;
    /// Identifies the start of the gateway's process.
    uint64_t process = 0;
    /// Version of the gateway's table, from its latest poll.
    uint64_t table_version = 0;
    /// Version that was last sent to the gateway, the version that the gateway
    /// had reported then, and the time.
    uint64_t sent_version = 0;
    uint64_t sent_base = 0;
    MonoTime sent_at;
    std::vector<GatewayServerLoad> loads;
    EngineDemand demand;
    std::vector<ServiceAdmissionState> admission;
    QuarantineReport quarantine;
    /// What the gateway has told about the accounts, when it last did, and when
    /// it was last told the sums.
    std::vector<ServiceAccountWork> accounts;
    MonoTime accounts_at;
    MonoTime accounts_sent_at;
    AccountWorkReports account_reports;
  };
  struct ReplicaLoad {
    MonoTime received_at;
    GatewayGroupLoad load;
    /// When `load.accounts` was received; a message without it leaves it as it
    /// was.
    MonoTime accounts_at;
  };
  /// The latest poll of each gateway.
  using Polls = std::map<VmId, GatewayPoll>;

  void StartRead();
  void OnCurrent(const Polls& polls,
                 const Expected<void>& result,
                 const ControlNode& node);
  /// @return The load and the demand of the gateways that poll this replica.
  GatewayGroupLoad OwnLoad() ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
  /// @return Work of the accounts at the gateways that poll this replica, which
  /// is added up every `kAccountsSumInterval`.
  const std::vector<ServiceAccountWork>& OwnAccounts()
      ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
  /// @param work The work of all accounts.
  /// @return What is to be told now.
  std::vector<ServiceAccountWork> NextAccountWork(
      const std::vector<ServiceAccountWork>& work,
      size_t max_accounts,
      AccountWorkReports* reports) const;
  void RemoveExpired() ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
  /// Calls a function with each report of a gateway or another replica.
  template <typename Function>
  void ForEachReport(const Function& function)
      ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
  /// @return True when the change was not proposed recently.
  bool MayPropose(const QuarantineChange& change)
      ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
  /// Adds the table or the deltas that the gateway needs to the update, unless
  /// they are on their way to it.
  /// @return True when something was added.
  bool AddTable(Session* session, GatewayUpdate* update)
      ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);

  const Hooks hooks_;
  absl::Mutex mutex_;
  RoutingHistory history_ ABSL_GUARDED_BY(mutex_);
  std::map<VmId, Session> sessions_ ABSL_GUARDED_BY(mutex_);
  /// Load reported by each other replica.
  std::map<VmId, ReplicaLoad> replica_loads_ ABSL_GUARDED_BY(mutex_);
  /// See `OwnAccounts`.
  std::vector<ServiceAccountWork> own_accounts_ ABSL_GUARDED_BY(mutex_);
  MonoTime own_accounts_at_ ABSL_GUARDED_BY(mutex_);
  /// When the work of the accounts was last sent to the other replicas.
  MonoTime accounts_shared_at_ ABSL_GUARDED_BY(mutex_);
  AccountWorkReports account_reports_ ABSL_GUARDED_BY(mutex_);
  /// The evidence of all gateways.
  CrashEvidence evidence_ ABSL_GUARDED_BY(mutex_);
  /// Until then, the evidence is sent to the other replicas.
  MonoTime share_evidence_until_ ABSL_GUARDED_BY(mutex_);
  /// When each change of the quarantine may be proposed again, by its hash.
  std::map<uint64_t, MonoTime> proposed_until_ ABSL_GUARDED_BY(mutex_);
  /// Polls that arrived after the read in progress was started.
  Polls waiting_polls_ ABSL_GUARDED_BY(mutex_);
  bool read_in_progress_ ABSL_GUARDED_BY(mutex_) = false;
};

}  // namespace camphorsail

#endif  // CAMPHORSAIL_RUNTIME_GATEWAY_SESSIONS_H_

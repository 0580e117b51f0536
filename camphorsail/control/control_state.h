#ifndef CAMPHORSAIL_CONTROL_CONTROL_STATE_H_
#define CAMPHORSAIL_CONTROL_CONTROL_STATE_H_

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "absl/time/time.h"
#include "camphorsail/base/error.h"
#include "camphorsail/base/ids.h"
#include "camphorsail/base/ref.h"
#include "camphorsail/control/command.h"
#include "camphorsail/control/command_result.h"
#include "camphorsail/control/effective_settings.h"
#include "camphorsail/routing/routing_table.h"

namespace camphorsail {

class DepartureStore;
class DutyStore;
class Ledger;
class MinuteMarks;
class OrderStore;
class QuarantineStore;
class RefusedMinutes;
class SettingsStore;
class VmDirectory;

/// The replicated state machine: settings, ledger, refused minutes, VMs, engine
/// orders, duties, departures of backend servers and the routing table. A
/// refused minute is a minute in which a request of an account's class was
/// refused or failed. The state machine is deterministic: replicas that apply
/// the same commands in the same order have the same state. Owned by the
/// control path; not thread-safe.
class ControlState {
 public:
  ControlState();
  ~ControlState();
  ControlState(ControlState&&) noexcept;
  ControlState& operator=(ControlState&&) noexcept;

  /// Applies one committed log entry.
  /// @param index Index of the entry in the log; larger than the index of every
  /// applied entry.
  /// @param command_bytes An encoded `Command`. An entry that cannot be decoded
  /// only advances the applied index and gives `kProtocolError`, on every
  /// replica alike.
  /// @return The answer for the proposer.
  CommandResult Apply(LogIndex index, std::string_view command_bytes);

  /// @return The encoding of the whole state.
  std::string Snapshot() const;

  /// @param snapshot_bytes An encoding by `Snapshot`.
  /// @return The state; `kDataCorrupt` when `snapshot_bytes` is not valid.
  static Expected<ControlState> Restore(std::string_view snapshot_bytes);

  /// @return A digest of the whole state, equal on replicas that applied the
  /// same entries.
  uint64_t Digest() const;

  /// Builds the settings for the request path.
  /// @param provisional_commands Encoded commands that follow the applied
  /// entries in the log of a replica that granted a lease, and that may still
  /// be committed. The settings changes among them are applied to a copy of the
  /// settings, which is used for admission only; other commands are skipped.
  Ref<EffectiveSettings> BuildEffectiveSettings(
      const std::vector<std::string>& provisional_commands) const;

  LogIndex applied_index() const;
  /// @return The replicated time: the lower median of the wall clocks in the
  /// latest commands of up to seven VMs; it never goes back.
  absl::Time replicated_time() const;

  /// Read access to the parts of the state. Each type is defined in the header
  /// that has its name.
  const SettingsStore& settings() const;
  const Ledger& ledger() const;
  const RefusedMinutes& refused_minutes() const;
  const MinuteMarks& minute_marks() const;
  const VmDirectory& vms() const;
  const OrderStore& orders() const;
  const QuarantineStore& quarantine() const;
  const DutyStore& duties() const;
  const DepartureStore& departures() const;
  /// @return The routing table in force; a table with version zero before the
  /// first one is committed.
  const Ref<SharedRoutingTable>& routing() const;

 private:
  struct Parts;
  std::unique_ptr<Parts> parts_;
};

}  // namespace camphorsail

#endif  // CAMPHORSAIL_CONTROL_CONTROL_STATE_H_

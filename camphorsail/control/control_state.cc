#include "camphorsail/control/control_state.h"

#include <algorithm>
#include <stdexcept>
#include <utility>
#include <variant>

#include "absl/strings/str_cat.h"
#include "camphorsail/accounting/minute_clock.h"
#include "camphorsail/accounting/minute_marks.h"
#include "camphorsail/accounting/refused_minutes.h"
#include "camphorsail/base/fnv_hash.h"
#include "camphorsail/base/msgpack_unpack.h"
#include "camphorsail/control/replicated_clock.h"
#include "camphorsail/duties/duty_store.h"
#include "camphorsail/ledger/ledger.h"
#include "camphorsail/membership/departure_store.h"
#include "camphorsail/membership/vm_directory.h"
#include "camphorsail/orders/order_store.h"
#include "camphorsail/quarantine/quarantine_store.h"
#include "camphorsail/settings/settings_store.h"

namespace camphorsail {
namespace {

/// Format number of a snapshot, its first field.
constexpr uint32_t kSnapshotFormat = 5;
/// Number of fields in a snapshot of format `kSnapshotFormat`. Each earlier
/// format lacks the last field of the next one: 4 the departures, 3 the duties
/// too, 2 the quarantine too, 1 the routing table too. They are still accepted,
/// because disks may hold them.
constexpr uint32_t kSnapshotFieldCount = 13;
/// Positions of these fields.
constexpr size_t kRoutingField = 9;
constexpr size_t kQuarantineField = 10;
constexpr size_t kDutiesField = 11;
constexpr size_t kDeparturesField = 12;

template <typename T>
T RestorePart(const msgpack::object& object) {
  const auto bytes = object.as<msgpack::type::raw_ref>();
  auto part = T::Restore(std::string_view(bytes.ptr, bytes.size));
  if (!part) {
    throw std::invalid_argument(part.error().message);
  }
  return std::move(*part);
}

void PackBinary(msgpack::packer<msgpack::sbuffer>* packer,
                const std::string& bytes) {
  packer->pack_bin(static_cast<uint32_t>(bytes.size()));
  packer->pack_bin_body(bytes.data(), static_cast<uint32_t>(bytes.size()));
}

}  // namespace

struct ControlState::Parts {
  LogIndex applied;
  ReplicatedClock clock;
  SettingsStore settings;
  Ledger ledger;
  RefusedMinutes refused;
  MinuteMarks marks;
  VmDirectory vms;
  OrderStore orders;
  QuarantineStore quarantine;
  DutyStore duties;
  DepartureStore departures;
  Ref<SharedRoutingTable> routing = MakeRef<SharedRoutingTable>(RoutingTable());

  /// Each overload applies the body of one type of command.
  /// @param wall_micros The proposer's wall clock, microseconds since the Unix
  /// epoch.
  /// @param result The answer for the proposer.
  void Apply(const SettingsChange& change,
             int64_t wall_micros,
             CommandResult* result);
  void Apply(const LedgerBatch& batch,
             int64_t wall_micros,
             CommandResult* result);
  void Apply(const AccountingBatch& batch,
             int64_t wall_micros,
             CommandResult* result);
  void Apply(const VmRegistration& registration,
             int64_t wall_micros,
             CommandResult* result);
  void Apply(const RoutingTable& table,
             int64_t wall_micros,
             CommandResult* result);
  void Apply(const QuarantineChange& change,
             int64_t wall_micros,
             CommandResult* result);
  void Apply(const ServerDeparture& departure,
             int64_t wall_micros,
             CommandResult* result);
  template <typename T>
  void Apply(const T& command, int64_t wall_micros, CommandResult* result);

  static void SetError(const Expected<void>& outcome, CommandResult* result) {
    // When several elements of a batch fail, the first error is reported.
    if (!outcome && !result->error) {
      result->error = outcome.error();
    }
  }
};

void ControlState::Parts::Apply(const SettingsChange& change,
                                int64_t wall_micros,
                                CommandResult* result) {
  const SettingsAnswer answer = settings.Apply(change, wall_micros);
  result->settings_version = answer.version;
  if (!answer.accepted) {
    result->error =
        Error{answer.error_kind, answer.error_message, absl::ZeroDuration()};
  }
}

void ControlState::Parts::Apply(const LedgerBatch& batch,
                                int64_t /*wall_micros*/,
                                CommandResult* result) {
  result->opens.reserve(batch.opens.size());
  for (const LedgerOpen& open : batch.opens) {
    result->opens.push_back(ledger.Open(open, clock.Now()));
  }
  result->closes.reserve(batch.closes.size());
  for (const LedgerClose& close : batch.closes) {
    result->closes.push_back(ledger.Close(close, clock.Now()));
  }
}

void ControlState::Parts::Apply(const AccountingBatch& batch,
                                int64_t wall_micros,
                                CommandResult* result) {
  for (const RefusedMinuteRecord& record : batch.refused) {
    refused.Add(record);
  }
  // The proposer marked the minute by its own clock. That clock may be ahead of
  // the replicated time when the other VMs have proposed no command for a
  // while.
  const MinuteIndex latest =
      MinuteOf(std::max(clock.Now(), absl::FromUnixMicros(wall_micros)));
  for (const MinuteMark& mark : batch.marks) {
    SetError(marks.Mark(mark, latest), result);
  }
}

void ControlState::Parts::Apply(const VmRegistration& registration,
                                int64_t /*wall_micros*/,
                                CommandResult* result) {
  const Expected<void> outcome = vms.Apply(registration);
  SetError(outcome, result);
  if (outcome) {
    marks.OnRegistration(registration);
  }
}

void ControlState::Parts::Apply(const RoutingTable& table,
                                int64_t /*wall_micros*/,
                                CommandResult* result) {
  // A table that is not newer changes nothing. This is not an error, because a
  // table that is committed twice must be acknowledged both times.
  if (table.version > routing->table.version) {
    routing = MakeRef<SharedRoutingTable>(table);
  }
  result->settings_version = SettingsVersion(routing->table.version);
}

void ControlState::Parts::Apply(const QuarantineChange& change,
                                int64_t /*wall_micros*/,
                                CommandResult* result) {
  SetError(quarantine.Apply(change, clock.Now()), result);
}

void ControlState::Parts::Apply(const ServerDeparture& departure,
                                int64_t /*wall_micros*/,
                                CommandResult* /*result*/) {
  departures.Apply(departure, clock.Now());
}

template <typename T>
void ControlState::Parts::Apply(const T& command,
                                int64_t /*wall_micros*/,
                                CommandResult* result) {
  if constexpr (requires { orders.Apply(command); }) {
    SetError(orders.Apply(command), result);
  } else {
    SetError(duties.Apply(command), result);
  }
}

ControlState::ControlState() : parts_(std::make_unique<Parts>()) {}
ControlState::~ControlState() = default;
ControlState::ControlState(ControlState&&) noexcept = default;
ControlState& ControlState::operator=(ControlState&&) noexcept = default;

CommandResult ControlState::Apply(LogIndex index,
                                  std::string_view command_bytes) {
  parts_->applied = index;
  CommandResult result;
  result.index = index;
  const auto command = DecodeCommand(command_bytes);
  if (!command) {
    result.error = command.error();
    result.settings_version = parts_->settings.version();
    return result;
  }
  parts_->clock.Observe(command->proposer, command->wall_micros, index);
  parts_->ledger.Expire(parts_->clock.Now());
  // A settings change overwrites this with the version in its answer, which is
  // the version of the first application when the change was resent.
  result.settings_version = parts_->settings.version();
  std::visit(
      [&](const auto& body) {
        parts_->Apply(body, command->wall_micros, &result);
      },
      command->body);
  return result;
}

std::string ControlState::Snapshot() const {
  msgpack::sbuffer buffer;
  msgpack::packer<msgpack::sbuffer> packer(buffer);
  packer.pack_array(kSnapshotFieldCount);
  packer.pack(kSnapshotFormat);
  packer.pack(parts_->applied);
  packer.pack(parts_->clock);
  PackBinary(&packer, parts_->settings.Snapshot());
  PackBinary(&packer, parts_->ledger.Snapshot());
  PackBinary(&packer, parts_->refused.Snapshot());
  PackBinary(&packer, parts_->marks.Snapshot());
  PackBinary(&packer, parts_->vms.Snapshot());
  PackBinary(&packer, parts_->orders.Snapshot());
  packer.pack(parts_->routing->table);
  PackBinary(&packer, parts_->quarantine.Snapshot());
  PackBinary(&packer, parts_->duties.Snapshot());
  PackBinary(&packer, parts_->departures.Snapshot());
  return std::string(buffer.data(), buffer.size());
}

Expected<ControlState> ControlState::Restore(std::string_view snapshot_bytes) {
  try {
    const msgpack::object_handle handle = UnpackBounded(snapshot_bytes);
    const auto parts = handle.get().as<std::vector<msgpack::object>>();
    const uint32_t format = parts.empty() ? 0 : parts[0].as<uint32_t>();
    if (format < 1 || format > kSnapshotFormat ||
        parts.size() != kSnapshotFieldCount - (kSnapshotFormat - format)) {
      return Fail(ErrorKind::kDataCorrupt,
                  "control state snapshot: unknown format number or wrong "
                  "number of fields");
    }
    ControlState state;
    state.parts_->applied = parts[1].as<LogIndex>();
    state.parts_->clock = parts[2].as<ReplicatedClock>();
    state.parts_->settings = RestorePart<SettingsStore>(parts[3]);
    state.parts_->ledger = RestorePart<Ledger>(parts[4]);
    state.parts_->refused = RestorePart<RefusedMinutes>(parts[5]);
    state.parts_->marks = RestorePart<MinuteMarks>(parts[6]);
    state.parts_->vms = RestorePart<VmDirectory>(parts[7]);
    state.parts_->orders = RestorePart<OrderStore>(parts[8]);
    if (parts.size() > kRoutingField) {
      state.parts_->routing =
          MakeRef<SharedRoutingTable>(parts[kRoutingField].as<RoutingTable>());
    }
    if (parts.size() > kQuarantineField) {
      state.parts_->quarantine =
          RestorePart<QuarantineStore>(parts[kQuarantineField]);
    }
    if (parts.size() > kDutiesField) {
      state.parts_->duties = RestorePart<DutyStore>(parts[kDutiesField]);
    }
    if (parts.size() > kDeparturesField) {
      state.parts_->departures =
          RestorePart<DepartureStore>(parts[kDeparturesField]);
    }
    return state;
  } catch (const std::exception& e) {
    return Fail(ErrorKind::kDataCorrupt,
                absl::StrCat("control state snapshot: ", e.what()));
  }
}

uint64_t ControlState::Digest() const {
  return Fnv1a64(Snapshot());
}

Ref<EffectiveSettings> ControlState::BuildEffectiveSettings(
    const std::vector<std::string>& provisional_commands) const {
  std::vector<SettingsChange> changes;
  for (const std::string& bytes : provisional_commands) {
    if (!IsSettingsCommand(bytes)) {
      continue;
    }
    auto command = DecodeCommand(bytes);
    if (command) {
      changes.push_back(std::get<SettingsChange>(std::move(command->body)));
    }
  }
  const auto [tree, version] = parts_->settings.Preview(changes);
  auto settings = MakeRef<EffectiveSettings>();
  settings->settings_version = version;
  for (EffectiveAccount& account : tree.EffectiveAccounts()) {
    for (const std::string& digest : account.api_key_sha256) {
      settings->account_by_key_sha256.emplace(digest, account.account);
    }
    ClientAccountId id = account.account;
    settings->accounts.emplace(std::move(id), std::move(account));
  }
  return settings;
}

LogIndex ControlState::applied_index() const {
  return parts_->applied;
}

absl::Time ControlState::replicated_time() const {
  return parts_->clock.Now();
}

const SettingsStore& ControlState::settings() const {
  return parts_->settings;
}

const Ledger& ControlState::ledger() const {
  return parts_->ledger;
}

const RefusedMinutes& ControlState::refused_minutes() const {
  return parts_->refused;
}

const MinuteMarks& ControlState::minute_marks() const {
  return parts_->marks;
}

const VmDirectory& ControlState::vms() const {
  return parts_->vms;
}

const OrderStore& ControlState::orders() const {
  return parts_->orders;
}

const QuarantineStore& ControlState::quarantine() const {
  return parts_->quarantine;
}

const DutyStore& ControlState::duties() const {
  return parts_->duties;
}

const DepartureStore& ControlState::departures() const {
  return parts_->departures;
}

const Ref<SharedRoutingTable>& ControlState::routing() const {
  return parts_->routing;
}

}  // namespace camphorsail

#ifndef CAMPHORSAIL_CONTROL_COMMAND_H_
#define CAMPHORSAIL_CONTROL_COMMAND_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "camphorsail/accounting/minute_mark.h"
#include "camphorsail/accounting/refused_minute_record.h"
#include "camphorsail/base/error.h"
#include "camphorsail/base/ids.h"
#include "camphorsail/duties/duty_commands.h"
#include "camphorsail/ledger/ledger_types.h"
#include "camphorsail/membership/server_departure.h"
#include "camphorsail/membership/vm_registration.h"
#include "camphorsail/orders/order_types.h"
#include "camphorsail/quarantine/quarantine_change.h"
#include "camphorsail/routing/routing_table.h"
#include "camphorsail/settings/settings_change.h"

namespace camphorsail {

/// Refused minutes (minutes in which a request of an account's class was
/// refused or failed) and minute marks of one or more processes. A mark states
/// that all refused minutes of its process and minute are committed; the
/// records are therefore applied before the marks.
struct AccountingBatch {
  std::vector<RefusedMinuteRecord> refused;
  std::vector<MinuteMark> marks;

  MSGPACK_DEFINE(refused, marks)
};

/// The content of a command. The position of each alternative is part of the
/// encoding, so new alternatives are only appended.
using CommandBody = std::variant<SettingsChange,
                                 LedgerBatch,
                                 AccountingBatch,
                                 VmRegistration,
                                 DesiredEngine,
                                 OrderIntent,
                                 OrderObservation,
                                 RoutingTable,
                                 QuarantineChange,
                                 DutyClaim,
                                 UsageAgreement,
                                 UsageSettlement,
                                 OrderSettlement,
                                 OrderHold,
                                 ServerDeparture>;

/// One command to the replicated state machine, stored as a log entry.
struct Command {
  /// The VM that made the command.
  VmId proposer;
  /// Wall clock of `proposer` in microseconds since the Unix epoch. The
  /// replicated time is derived from these clocks, see `ReplicatedClock`.
  int64_t wall_micros = 0;
  CommandBody body;
};

/// @return The MessagePack encoding of `command`.
std::string EncodeCommand(const Command& command);

/// Largest encoded command that is accepted. It has room for the largest
/// routing document that the listeners take and for the table that is made of
/// it, and fits into a message between replicas together with their largest
/// append of other entries.
inline constexpr size_t kMaxCommandBytes = 12 << 20;

/// @param bytes An encoding by `EncodeCommand`.
/// @return The command; `kProtocolError` when `bytes` is not one.
Expected<Command> DecodeCommand(std::string_view bytes);

/// @param bytes An encoded command.
/// @return True when the command is a settings change, the type of command that
/// the admission lease protects. Reads only the first two bytes.
bool IsSettingsCommand(std::string_view bytes);

}  // namespace camphorsail

#endif  // CAMPHORSAIL_CONTROL_COMMAND_H_

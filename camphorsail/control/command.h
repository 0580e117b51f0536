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
#include "camphorsail/ledger/ledger_types.h"
#include "camphorsail/membership/vm_registration.h"
#include "camphorsail/orders/order_types.h"
#include "camphorsail/routing/routing_table.h"
#include "camphorsail/settings/settings_change.h"

namespace camphorsail {

/// Refused minutes and marks of one or more processes. The records are applied
/// before the marks, so that a mark never vouches for a record that is missing.
struct AccountingBatch {
  std::vector<RefusedMinuteRecord> refused;
  std::vector<MinuteMark> marks;

  MSGPACK_DEFINE(refused, marks)
};

/// The alternatives' positions are part of the encoding: append only.
using CommandBody = std::variant<SettingsChange,
                                 LedgerBatch,
                                 AccountingBatch,
                                 VmRegistration,
                                 DesiredEngine,
                                 OrderIntent,
                                 OrderObservation,
                                 RoutingTable>;

/// One entry of the replicated log.
struct Command {
  /// The VM that made the command, and its wall clock in microseconds since the
  /// Unix epoch; the replicated time is derived from both.
  VmId proposer;
  int64_t wall_micros = 0;
  CommandBody body;
};

/// @return The MessagePack encoding of `command`.
std::string EncodeCommand(const Command& command);

/// @param bytes An encoding by `EncodeCommand`.
/// @return The command; `kProtocolError` when `bytes` is not one.
Expected<Command> DecodeCommand(std::string_view bytes);

/// @param bytes An encoded command.
/// @return True when the command changes settings, which is what the admission
/// lease protects. Reads only the first bytes.
bool IsSettingsCommand(std::string_view bytes);

}  // namespace camphorsail

#endif  // CAMPHORSAIL_CONTROL_COMMAND_H_

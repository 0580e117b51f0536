#ifndef CAMPHORSAIL_CONTROL_CONTROL_MESSAGE_H_
#define CAMPHORSAIL_CONTROL_CONTROL_MESSAGE_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <variant>

#include "camphorsail/base/error.h"
#include "camphorsail/base/ids.h"
#include "camphorsail/consensus/replica_message.h"
#include "camphorsail/limits/limit_types.h"

namespace camphorsail {

/// Asks the leader to propose a command.
struct ForwardedCommand {
  /// Repeated in the answer. The sender uses each token once, also across its
  /// restarts.
  uint64_t token = 0;
  /// An encoded `Command`.
  std::string command;

  MSGPACK_DEFINE(token, command)
};

/// The leader's answer to a `ForwardedCommand`.
struct ForwardedResult {
  uint64_t token = 0;
  /// False when the command was not proposed or its outcome is not known. The
  /// sender then sends the command again.
  bool applied = false;
  /// An encoded `CommandResult` when `applied` is true; otherwise empty.
  std::string result;

  MSGPACK_DEFINE(token, applied, result)
};

/// Asks the leader for a read index: a log index at or after every entry that
/// is committed so far.
struct ForwardedRead {
  uint64_t token = 0;

  MSGPACK_DEFINE(token)
};

/// The leader's answer to a `ForwardedRead`.
struct ForwardedReadResult {
  uint64_t token = 0;
  /// False when the VM that was asked could not confirm that it is the leader.
  bool confirmed = false;
  /// The read index when `confirmed` is true.
  LogIndex index;

  MSGPACK_DEFINE(token, confirmed, index)
};

/// A message between the control paths of two VMs. The position of each
/// alternative is part of the encoding, so new alternatives are only appended.
using ControlMessage = std::variant<ReplicaMessage,
                                    ForwardedCommand,
                                    ForwardedResult,
                                    ForwardedRead,
                                    ForwardedReadResult,
                                    LimitDemandReport,
                                    LimitGrantBatch>;

/// @return The encoding: one byte with the position of the alternative, then
/// the encoding of its content (MessagePack, or `ReplicaMessage::Encode`).
std::string EncodeControlMessage(const ControlMessage& message);

/// @param bytes An encoding by `EncodeControlMessage`.
/// @return The message; `kProtocolError` when `bytes` is not one.
Expected<ControlMessage> DecodeControlMessage(std::string_view bytes);

}  // namespace camphorsail

#endif  // CAMPHORSAIL_CONTROL_CONTROL_MESSAGE_H_

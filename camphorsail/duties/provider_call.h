#ifndef CAMPHORSAIL_DUTIES_PROVIDER_CALL_H_
#define CAMPHORSAIL_DUTIES_PROVIDER_CALL_H_

#include <cstdint>
#include <variant>

#include "camphorsail/base/ids.h"
#include "camphorsail/base/mono_time.h"
#include "camphorsail/duties/duty_commands.h"

namespace camphorsail {

/// A call to the provider: a usage report or a server order.
struct ProviderCall {
  using Content = std::variant<UsageWindow, ServerOrder>;

  /// Chosen by the holder; unique in its process.
  uint64_t id = 0;
  VmId holder;
  DutyToken token;
  Content content;
  /// The request must not be written to the connection at or after this time.
  MonoTime send_before;
  /// The connection is closed at this time, whether the provider has answered
  /// or not.
  MonoTime deadline;
};

/// What is known about a call that has ended.
enum class ProviderOutcome : uint8_t {
  kAccepted,
  /// The provider has seen a higher token for the subject, or has no server of
  /// the kind at the moment. Its answer does not say which.
  kConflict,
  /// The provider did not take the call, because of its rate or its content.
  kRejected,
  /// The call was not written to the connection.
  kNotSent,
  /// The call may have been carried out, or may be later.
  kUnknown,
};

/// @return The name of the outcome in logs.
constexpr const char* ToString(ProviderOutcome outcome) {
  switch (outcome) {
    case ProviderOutcome::kAccepted:
      return "accepted";
    case ProviderOutcome::kConflict:
      return "conflict";
    case ProviderOutcome::kRejected:
      return "rejected";
    case ProviderOutcome::kNotSent:
      return "not_sent";
    case ProviderOutcome::kUnknown:
      break;
  }
  return "unknown";
}

}  // namespace camphorsail

#endif  // CAMPHORSAIL_DUTIES_PROVIDER_CALL_H_

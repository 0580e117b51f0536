#ifndef CAMPHORSAIL_HTTP_ENTRY_RUNTIME_HOOKS_H_
#define CAMPHORSAIL_HTTP_ENTRY_RUNTIME_HOOKS_H_

#include <functional>

#include "camphorsail/entry/entry_action.h"
#include "camphorsail/http/backend_address.h"

namespace camphorsail {

/// Functions of the rest of the daemon that the request path calls. Each hook
/// is called under a shard's lock, so it must not block and must not call
/// `EntryRuntime::StepAll`; `EntryRuntime::Post` is allowed.
struct EntryRuntimeHooks {
  /// Opens a ledger record. The result is delivered later with
  /// `EntryRuntime::Post` as a `LedgerAnswer`.
  std::function<void(const LedgerOpenAction&)> ledger_open;
  std::function<void(const LedgerCloseAction&)> ledger_close;
  std::function<void(const RecordRefusalAction&)> record_refusal;
  std::function<void(const TimelineAction&)> timeline;
  /// Sends the digest to all peers.
  std::function<void(const LoadDigest&)> share_digest;
  /// Returns the address of this incarnation of the server; empty when it is
  /// not known.
  std::function<BackendAddress(const BackendServerId&, Incarnation)> resolve;
};

}  // namespace camphorsail

#endif  // CAMPHORSAIL_HTTP_ENTRY_RUNTIME_HOOKS_H_

#include "camphorsail/gateway/crash_watch.h"

#include <utility>

namespace camphorsail {
namespace {

/// Longer than a round trip between failure domains. Requests may be waiting
/// for the result.
constexpr absl::Duration kCheckTimeout = absl::Milliseconds(100);

}  // namespace

CrashWatch::CrashWatch(std::string source_ip, EventLoop* loop, Decided decided)
    : source_ip_(std::move(source_ip)),
      loop_(loop),
      decided_(std::move(decided)) {}

void CrashWatch::Check(const Ref<BackendServer>& server) {
  const BackendServer* key = server.get();
  Entry& entry = checks_[key];
  if (entry.check != nullptr) {
    return;
  }
  entry.server = server;
  entry.check = std::make_unique<ConnectCheck>(
      source_ip_, server->address, kCheckTimeout, loop_,
      [this, key](ConnectCheck::Result result) { OnDone(key, result); });
}

void CrashWatch::OnDone(const BackendServer* server,
                        ConnectCheck::Result result) {
  const auto found = checks_.find(server);
  const Entry entry = std::move(found->second);
  checks_.erase(found);
  decided_(entry.server, result == ConnectCheck::Result::kRefused);
}

}  // namespace camphorsail

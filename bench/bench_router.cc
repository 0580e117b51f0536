#include "bench/bench_router.h"

#include <algorithm>
#include <filesystem>
#include <fstream>

#include "camphorsail/base/monotonic_clock.h"
#include "camphorsail/entry/sha256.h"

namespace camphorsail {
namespace {

constexpr size_t kShards = 2;

std::vector<std::string> ThreadIds() {
  std::vector<std::string> ids;
  for (const auto& entry :
       std::filesystem::directory_iterator("/proc/self/task")) {
    ids.push_back(entry.path().filename().string());
  }
  std::sort(ids.begin(), ids.end());
  return ids;
}

Ref<EffectiveSettings> MakeSnapshot() {
  EffectiveAccount account;
  account.account = ClientAccountId("bench");
  account.default_class = ClassId("bench");
  account.classes.resize(1);
  account.classes[0].account = account.account;
  account.classes[0].class_id = account.default_class;
  Ref<EffectiveSettings> snapshot = MakeRef<EffectiveSettings>();
  snapshot->account_by_key_sha256[Sha256Hex("bench-key")] = account.account;
  snapshot->accounts[account.account] = account;
  return snapshot;
}

}  // namespace

BenchRouter::BenchRouter() {
  EntryRuntimeHooks hooks;
  hooks.ledger_open = [](const LedgerOpenAction&) {};
  hooks.ledger_close = [](const LedgerCloseAction&) {};
  hooks.record_refusal = [](const RecordRefusalAction&) {};
  hooks.timeline = [](const TimelineAction&) {};
  hooks.share_digest = [](const LoadDigest&) {};
  hooks.resolve = [this](const BackendServerId& server, Incarnation) {
    return BackendAddress{addresses_.at(server)};
  };
  runtime_ = std::make_unique<EntryRuntime<SimpleScheduler>>(
      EntryShardSettings(), kShards, RequestId(1), &scheduler_,
      std::move(hooks));
  runtime_->StepAll(EffectiveSettingsEvent{MakeSnapshot()});
  runtime_->StepAll(LeaseEvent{MonoTime::Infinite()});
}

std::unique_ptr<BenchRouter> BenchRouter::Create() {
  const std::vector<std::string> before = ThreadIds();
  std::unique_ptr<BenchRouter> self(new BenchRouter());
  auto server = StreamServer::Create(StreamServerSettings(),
                                     self->runtime_->CallerHandlers());
  if (!server) {
    return nullptr;
  }
  self->server_ = *std::move(server);
  BenchRouter* raw = self.get();
  self->tick_thread_ = std::thread([raw] {
    while (true) {
      {
        absl::MutexLock lock(&raw->mutex_);
        if (raw->mutex_.AwaitWithTimeout(absl::Condition(&raw->stopping_),
                                         absl::Milliseconds(10))) {
          return;
        }
      }
      raw->runtime_->Tick();
    }
  });
  const std::vector<std::string> after = ThreadIds();
  std::set_difference(after.begin(), after.end(), before.begin(), before.end(),
                      std::back_inserter(self->threads_));
  return self;
}

BenchRouter::~BenchRouter() {
  {
    absl::MutexLock lock(&mutex_);
    stopping_ = true;
  }
  if (tick_thread_.joinable()) {
    tick_thread_.join();
  }
  server_.reset();
}

void BenchRouter::AddEngine(const std::string& model, uint16_t port) {
  ServerView view;
  view.server = BackendServerId(model);
  view.incarnation = Incarnation(1);
  view.targets = {ModelId(model)};
  view.capacity = 4096;
  addresses_[view.server] = "127.0.0.1:" + std::to_string(port);
  std::vector<SchedulerAction> actions;
  scheduler_.OnServerView(view, MonotonicNow(), &actions);
  targets_.models.push_back(ModelId(model));
  runtime_->StepAll(targets_);
}

absl::Duration BenchRouter::CpuTime() const {
  absl::Duration total = absl::ZeroDuration();
  for (const std::string& id : threads_) {
    // The first number is the time on a CPU in nanoseconds.
    std::ifstream file("/proc/self/task/" + id + "/schedstat");
    int64_t nanos = 0;
    file >> nanos;
    total += absl::Nanoseconds(nanos);
  }
  return total;
}

}  // namespace camphorsail

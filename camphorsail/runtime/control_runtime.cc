#include "camphorsail/runtime/control_runtime.h"

#include <utility>

#include "camphorsail/base/monotonic_clock.h"
#include "camphorsail/base/random.h"
#include "camphorsail/base/wall_clock.h"

namespace camphorsail {
namespace {

// A restart reads whole segments, so small segments let it skip more of the
// entries that a snapshot already contains.
constexpr size_t kSegmentBytes = 256 << 10;

Error StoppedError() {
  return Error{ErrorKind::kShuttingDown, "the control path has stopped",
               absl::ZeroDuration()};
}

// Initial state of a VM without a disk, where each start creates a new replica.
DurableState MakeVolatileState(uint64_t seed) {
  DurableState state;
  state.replica = ReplicaId(Random(seed ^ 0x5bd1e995).Next());
  state.is_new = true;
  return state;
}

}  // namespace

Expected<std::unique_ptr<ControlRuntime>> ControlRuntime::Create(
    ControlNodeSettings settings,
    const std::string& data_folder,
    uint64_t seed,
    ControlRuntimeHooks hooks) {
  std::unique_ptr<LogStore> store;
  DurableState state;
  if (data_folder.empty()) {
    state = MakeVolatileState(seed);
  } else {
    LogStoreSettings store_settings;
    store_settings.folder = data_folder;
    store_settings.segment_bytes = kSegmentBytes;
    Expected<std::unique_ptr<LogStore>> opened =
        LogStore::Open(std::move(store_settings));
    if (!opened) {
      return tl::unexpected<Error>(opened.error());
    }
    store = *std::move(opened);
    state = store->TakeRecoveredState();
  }
  Expected<std::unique_ptr<ControlNode>> node = ControlNode::Create(
      std::move(settings), std::move(state), seed, MonotonicNow(), WallNow());
  if (!node) {
    return tl::unexpected<Error>(node.error());
  }
  return std::unique_ptr<ControlRuntime>(
      new ControlRuntime(*std::move(node), std::move(store), std::move(hooks)));
}

ControlRuntime::ControlRuntime(std::unique_ptr<ControlNode> node,
                               std::unique_ptr<LogStore> store,
                               ControlRuntimeHooks hooks)
    : node_(std::move(node)), hooks_(std::move(hooks)) {
  storage_ = std::make_unique<StorageThread>(
      std::move(store), [this](uint64_t write_id, Expected<void> result) {
        if (result) {
          Post(ControlWriteCompletedEvent{write_id});
        } else {
          hooks_.storage_failed(result.error());
        }
      });
}

ControlRuntime::~ControlRuntime() {
  Stop();
}

void ControlRuntime::Start() {
  thread_ = std::thread([this] { Run(); });
}

void ControlRuntime::Post(ControlEvent event) {
  {
    absl::MutexLock lock(&mutex_);
    if (!stopping_) {
      events_.push_back(std::move(event));
    }
  }
  waker_.Wake();
}

void ControlRuntime::WhenCurrent(CurrentCallback callback) {
  {
    absl::MutexLock lock(&mutex_);
    if (stopping_) {
      return;
    }
    const uint64_t id = next_id_++;
    callbacks_.emplace(id, std::move(callback));
    events_.push_back(ReadEvent{id});
  }
  waker_.Wake();
}

Expected<CommandResult> ControlRuntime::Submit(CommandBody body) {
  Waiter<Expected<CommandResult>> waiter;
  absl::MutexLock lock(&mutex_);
  if (stopping_) {
    return tl::unexpected<Error>(StoppedError());
  }
  const uint64_t id = next_id_++;
  submissions_.emplace(id, &waiter);
  events_.push_back(SubmitEvent{id, std::move(body)});
  waker_.Wake();
  mutex_.Await(absl::Condition(&waiter.done));
  return std::move(waiter.value);
}

Expected<void> ControlRuntime::WaitUntilCurrent() {
  Waiter<Expected<void>> waiter;
  absl::MutexLock lock(&mutex_);
  if (stopping_) {
    return tl::unexpected<Error>(StoppedError());
  }
  const uint64_t id = next_id_++;
  reads_.emplace(id, &waiter);
  events_.push_back(ReadEvent{id});
  waker_.Wake();
  mutex_.Await(absl::Condition(&waiter.done));
  return std::move(waiter.value);
}

void ControlRuntime::Inspect(
    const std::function<void(const ControlNode&)>& function) {
  bool done = false;
  absl::MutexLock lock(&mutex_);
  if (stopping_) {
    return;
  }
  inspections_.push_back([this, &function, &done](const ControlNode& node) {
    function(node);
    absl::MutexLock inner_lock(&mutex_);
    done = true;
  });
  waker_.Wake();
  mutex_.Await(absl::Condition(&done));
}

bool ControlRuntime::Leave() {
  Waiter<bool> waiter;
  absl::MutexLock lock(&mutex_);
  if (stopping_) {
    return false;
  }
  pending_leaves_.push_back(&waiter);
  events_.push_back(LeaveEvent{});
  waker_.Wake();
  mutex_.Await(absl::Condition(&waiter.done));
  return waiter.value;
}

void ControlRuntime::Stop() {
  {
    absl::MutexLock lock(&mutex_);
    stopping_ = true;
  }
  waker_.Wake();
  if (thread_.joinable()) {
    thread_.join();
  }
  storage_->Stop();
}

void ControlRuntime::Run() {
  MonoTime next_tick = MonotonicNow();
  while (true) {
    std::deque<ControlEvent> events;
    std::deque<std::function<void(const ControlNode&)>> inspections;
    waker_.Wait(next_tick - MonotonicNow());
    {
      absl::MutexLock lock(&mutex_);
      events.swap(events_);
      inspections.swap(inspections_);
      if (stopping_ && events.empty() && inspections.empty()) {
        break;
      }
    }
    for (const ControlEvent& event : events) {
      StepNode(event);
    }
    for (const auto& inspection : inspections) {
      inspection(*node_);
    }
    if (MonotonicNow() >= next_tick) {
      StepNode(ControlTickEvent{});
      next_tick = MonotonicNow() + kTick;
    }
  }
  absl::MutexLock lock(&mutex_);
  for (auto& [id, waiter] : submissions_) {
    waiter->value = tl::unexpected<Error>(StoppedError());
    waiter->done = true;
  }
  for (auto& [id, waiter] : reads_) {
    waiter->value = tl::unexpected<Error>(StoppedError());
    waiter->done = true;
  }
  for (Waiter<bool>* waiter : pending_leaves_) {
    waiter->done = true;
  }
}

void ControlRuntime::StepNode(const ControlEvent& event) {
  actions_.clear();
  node_->Step(event, MonotonicNow(), WallNow(), &actions_);
  for (const ControlAction& action : actions_) {
    std::visit([this](const auto& a) { Execute(a); }, action);
  }
}

void ControlRuntime::Execute(const PublishSettingsAction& action) {
  hooks_.publish_settings(action.settings);
}

void ControlRuntime::Execute(const PublishLeaseAction& action) {
  hooks_.publish_lease(action.valid_until);
}

void ControlRuntime::Execute(const ControlSendAction& action) {
  hooks_.send(action.to, action.message);
}

void ControlRuntime::Execute(const ControlWriteAction& action) {
  storage_->Write(action.write_id, action.batch);
}

void ControlRuntime::Execute(const SubmissionAnsweredAction& action) {
  absl::MutexLock lock(&mutex_);
  const auto position = submissions_.find(action.submission_id);
  if (position != submissions_.end()) {
    position->second->value = action.result;
    position->second->done = true;
    submissions_.erase(position);
  }
}

void ControlRuntime::Execute(const LedgerOpenAnsweredAction& action) {
  hooks_.ledger_answer(action);
}

void ControlRuntime::Execute(const ReadAnsweredAction& action) {
  CurrentCallback callback;
  {
    absl::MutexLock lock(&mutex_);
    if (const auto waiting = callbacks_.find(action.read_id);
        waiting != callbacks_.end()) {
      callback = std::move(waiting->second);
      callbacks_.erase(waiting);
    }
  }
  if (callback) {
    callback(action.result, *node_);
    return;
  }
  absl::MutexLock lock(&mutex_);
  const auto position = reads_.find(action.read_id);
  if (position != reads_.end()) {
    position->second->value = action.result;
    position->second->done = true;
    reads_.erase(position);
  }
}

void ControlRuntime::Execute(const LeaveCompletedAction& action) {
  absl::MutexLock lock(&mutex_);
  for (Waiter<bool>* waiter : pending_leaves_) {
    waiter->value = action.recorded;
    waiter->done = true;
  }
  pending_leaves_.clear();
}

void ControlRuntime::Execute(const EngineCallAction& action) {
  hooks_.call_engine(action);
}

void ControlRuntime::Execute(const ProviderCallAction& action) {
  hooks_.call_provider(action);
}

void ControlRuntime::Execute(const ControlTimelineAction& action) {
  hooks_.note(action);
}

void ControlRuntime::Execute(const PublishRoutingAction& action) {
  hooks_.publish_routing(action.table);
}

void ControlRuntime::Execute(const PublishDeparturesAction& action) {
  hooks_.publish_departures(action);
}

void ControlRuntime::Execute(const PublishLimitsAction& action) {
  hooks_.publish_limits(action);
}

}  // namespace camphorsail

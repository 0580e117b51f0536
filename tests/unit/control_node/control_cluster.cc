#include "tests/unit/control_node/control_cluster.h"

#include <cstdlib>
#include <iostream>

#include "camphorsail/membership/vm_directory.h"

namespace camphorsail {
namespace {

constexpr absl::Duration kTick = absl::Milliseconds(20);
constexpr absl::Duration kWriteTime = absl::Milliseconds(2);

}  // namespace

ControlCluster::ControlCluster(int vms,
                               uint64_t seed,
                               OrderPlannerSettings orders,
                               LimitAllocatorSettings limits,
                               DutySettings duties)
    : orders_(orders),
      limits_(limits),
      duties_(duties),
      vms_(static_cast<size_t>(vms)),
      random_(seed),
      now_(MonoTime::FromNanos(1'000'000'000)),
      next_tick_(now_) {
  for (int i = 0; i < vms; ++i) {
    LoseDisk(i);
    Start(i);
  }
}

bool ControlCluster::MayAdmit(int index) {
  const Vm& vm = vms_[static_cast<size_t>(index)];
  return vm.running && now_ < vm.lease;
}

int ControlCluster::Leader() {
  for (int i = 0; i < static_cast<int>(vms_.size()); ++i) {
    Vm& candidate = vm(i);
    if (candidate.running && !candidate.frozen &&
        candidate.node->replica().role() == ReplicaRole::kLeader &&
        MayAdmit(i)) {
      return i;
    }
  }
  return -1;
}

void ControlCluster::Start(int index) {
  Vm& vm = this->vm(index);
  ControlNodeSettings settings;
  settings.replica.vm = Name(index);
  settings.replica.failure_domain =
      FailureDomainId("fd" + std::to_string(index % 3));
  for (int i = 0; i < static_cast<int>(vms_.size()); ++i) {
    settings.replica.voter_vms.push_back(Name(i));
  }
  settings.registration.vm = Name(index);
  settings.registration.incarnation =
      Incarnation(static_cast<uint64_t>(absl::ToUnixMicros(WallNow())));
  settings.registration.failure_domain = settings.replica.failure_domain;
  settings.registration.region = "region";
  settings.registration.peer_address = "127.0.0.1:1";
  settings.registration.replica = true;
  settings.orders = orders_;
  settings.limits = limits_;
  settings.duties = duties_;
  ++vm.starts;
  vm.running = true;
  vm.frozen = false;
  vm.lease = MonoTime();
  vm.limits = std::make_unique<RequestLimits>();
  Expected<std::unique_ptr<ControlNode>> node =
      ControlNode::Create(settings, vm.disk, random_.Next(), now_, WallNow());
  if (!node) {
    std::cerr << "start of a control node failed: " << node.error().message
              << "\n";
    std::abort();
  }
  vm.disk.is_new = false;
  vm.node = *std::move(node);
}

void ControlCluster::Kill(int index) {
  vm(index).running = false;
  vm(index).node.reset();
}

void ControlCluster::LoseDisk(int index) {
  vm(index).disk = DurableState();
  vm(index).disk.replica = ReplicaId(random_.Next());
  vm(index).disk.is_new = true;
}

void ControlCluster::CutConnections(const std::vector<int>& left,
                                    const std::vector<int>& right) {
  for (int a : left) {
    for (int b : right) {
      cuts_.insert({a, b});
      cuts_.insert({b, a});
    }
  }
}

void ControlCluster::Post(int index, const ControlEvent& event) {
  Step(index, event);
}

void ControlCluster::PostAt(int index, const ControlEvent& event, MonoTime at) {
  scheduled_.emplace(
      at, ScheduledEvent{index, vm(index).starts, -1, event, nullptr});
}

uint64_t ControlCluster::SubmitChange(int index,
                                      const std::string& change_id,
                                      uint64_t base_version,
                                      const std::string& key,
                                      const std::string& value) {
  SettingsChange change;
  change.change_id = ChangeId(change_id);
  change.base_version = SettingsVersion(base_version);
  change.operator_name = "test";
  change.edits.push_back(SettingsEdit{"fleet", key, false, value});
  const uint64_t id = next_submission_++;
  Step(index, SubmitEvent{id, std::move(change)});
  return id;
}

void ControlCluster::RunFor(absl::Duration duration) {
  const MonoTime end = now_ + duration;
  while (now_ < end) {
    MonoTime next = next_tick_ < end ? next_tick_ : end;
    if (!scheduled_.empty() && scheduled_.begin()->first < next) {
      next = scheduled_.begin()->first;
    }
    if (next > now_) {
      now_ = next;
    }
    while (!scheduled_.empty() && scheduled_.begin()->first <= now_) {
      ScheduledEvent due = std::move(scheduled_.begin()->second);
      scheduled_.erase(scheduled_.begin());
      Vm& vm = this->vm(due.vm);
      if (vm.frozen) {
        // The kernel buffers what arrives for a suspended process.
        scheduled_.emplace(now_ + kTick, std::move(due));
        continue;
      }
      if (!vm.running || due.start != vm.starts ||
          (due.from >= 0 && cuts_.count({due.from, due.vm}) > 0)) {
        continue;
      }
      if (due.batch != nullptr) {
        WriteToDisk(*due.batch, &vm.disk);
      }
      Step(due.vm, due.event);
    }
    if (now_ >= next_tick_) {
      next_tick_ = now_ + kTick;
      for (int i = 0; i < static_cast<int>(vms_.size()); ++i) {
        if (vm(i).running && !vm(i).frozen) {
          std::vector<LimitDemand> demands = vm(i).limits->PollDemand(now_);
          if (!demands.empty()) {
            Step(i, LimitDemandEvent{std::move(demands)});
          }
          Step(i, ControlTickEvent{});
        }
      }
    }
  }
}

bool ControlCluster::RunUntil(const std::function<bool()>& condition,
                              absl::Duration limit) {
  const MonoTime end = now_ + limit;
  while (now_ < end) {
    if (condition()) {
      return true;
    }
    RunFor(absl::Milliseconds(5));
  }
  return condition();
}

void ControlCluster::Step(int index, const ControlEvent& event) {
  std::vector<ControlAction> actions;
  vm(index).node->Step(event, now_, WallNow(), &actions);
  for (const ControlAction& action : actions) {
    Execute(index, action);
  }
}

void ControlCluster::Execute(int index, const ControlAction& action) {
  Vm& vm = this->vm(index);
  if (const auto* settings = std::get_if<PublishSettingsAction>(&action)) {
    vm.settings = settings->settings;
  } else if (const auto* lease = std::get_if<PublishLeaseAction>(&action)) {
    vm.lease = lease->valid_until;
    const VmRegistration* recorded = vm.node->state().vms().Find(Name(index));
    if (now_ < vm.lease &&
        (recorded == nullptr || recorded->state != VmState::kActive)) {
      std::cerr << Name(index).value()
                << " holds an admission lease but is not recorded as active\n";
      std::abort();
    }
  } else if (const auto* limits = std::get_if<PublishLimitsAction>(&action)) {
    vm.limits->OnGrants(limits->grants, limits->report_sent_at, now_);
  } else if (const auto* send = std::get_if<ControlSendAction>(&action)) {
    if (std::holds_alternative<LimitDemandReport>(send->message) ||
        std::holds_alternative<LimitGrantBatch>(send->message)) {
      ++limit_messages_.count;
      limit_messages_.bytes +=
          static_cast<int64_t>(EncodeControlMessage(send->message).size());
    }
    for (int i = 0; i < static_cast<int>(vms_.size()); ++i) {
      if (Name(i) == send->to) {
        // The message is encoded and decoded, so that the encoding is tested
        // too.
        Expected<ControlMessage> message =
            DecodeControlMessage(EncodeControlMessage(send->message));
        if (!message) {
          std::abort();
        }
        ScheduledEvent due{
            i, this->vm(i).starts, index,
            ControlMessageEvent{Name(index), *std::move(message)}, nullptr};
        scheduled_.emplace(
            now_ + absl::Microseconds(1000 + random_.Below(2000)),
            std::move(due));
      }
    }
  } else if (const auto* write = std::get_if<ControlWriteAction>(&action)) {
    ScheduledEvent due{index, vm.starts, -1,
                       ControlWriteCompletedEvent{write->write_id},
                       std::make_shared<WriteBatch>(write->batch)};
    scheduled_.emplace(now_ + kWriteTime, std::move(due));
  } else if (const auto* answer =
                 std::get_if<SubmissionAnsweredAction>(&action)) {
    vm.answers.emplace(answer->submission_id, answer->result);
  } else if (const auto* open =
                 std::get_if<LedgerOpenAnsweredAction>(&action)) {
    vm.ledger_answers.emplace(open->request, open->result);
  } else if (const auto* read = std::get_if<ReadAnsweredAction>(&action)) {
    vm.reads.emplace(read->read_id, read->result);
  } else if (const auto* call = std::get_if<EngineCallAction>(&action);
             call != nullptr && on_engine_call) {
    on_engine_call(index, *call);
  } else if (const auto* action_call = std::get_if<ProviderCallAction>(&action);
             action_call != nullptr && on_provider_call) {
    on_provider_call(index, action_call->call);
  }
}

void ControlCluster::WriteToDisk(const WriteBatch& batch, DurableState* disk) {
  if (batch.hard_state.has_value()) {
    disk->hard_state = *batch.hard_state;
  }
  if (batch.snapshot != nullptr) {
    disk->snapshot = batch.snapshot;
    std::vector<LogEntry> kept;
    for (LogEntry& entry : disk->entries) {
      if (entry.index >= batch.first_kept) {
        kept.push_back(std::move(entry));
      }
    }
    disk->entries = std::move(kept);
  }
  if (batch.committed > disk->committed) {
    disk->committed = batch.committed;
  }
  if (!batch.entries.empty()) {
    while (!disk->entries.empty() &&
           disk->entries.back().index >= batch.entries.front().index) {
      disk->entries.pop_back();
    }
    disk->entries.insert(disk->entries.end(), batch.entries.begin(),
                         batch.entries.end());
  }
}

}  // namespace camphorsail

#include "camphorsail/control/control_node.h"

#include <cstdlib>
#include <utility>

#include "absl/strings/str_cat.h"
#include "absl/strings/str_join.h"
#include "camphorsail/base/random.h"
#include "camphorsail/duties/duty_store.h"
#include "camphorsail/membership/departure_store.h"
#include "camphorsail/membership/vm_directory.h"
#include "camphorsail/orders/order_store.h"
#include "camphorsail/quarantine/quarantine_store.h"

namespace camphorsail {
Expected<std::unique_ptr<ControlNode>> ControlNode::Create(
    ControlNodeSettings settings,
    DurableState state,
    uint64_t seed,
    MonoTime now,
    absl::Time wall_now) {
  if (Expected<void> valid = settings.Validate(); !valid) {
    return tl::unexpected<Error>(valid.error());
  }
  ControlState control_state;
  LogIndex applied;
  if (state.snapshot != nullptr) {
    Expected<ControlState> restored =
        ControlState::Restore(state.snapshot->data);
    if (!restored) {
      return tl::unexpected<Error>(restored.error());
    }
    control_state = *std::move(restored);
    applied = state.snapshot->last.index;
  }
  Expected<std::unique_ptr<Replica>> replica =
      Replica::Create(settings.replica, std::move(state), seed, now);
  if (!replica) {
    return tl::unexpected<Error>(replica.error());
  }
  return std::unique_ptr<ControlNode>(
      new ControlNode(std::move(settings), *std::move(replica),
                      std::move(control_state), applied, seed, now, wall_now));
}

ControlNode::ControlNode(ControlNodeSettings settings,
                         std::unique_ptr<Replica> replica,
                         ControlState state,
                         LogIndex applied,
                         uint64_t seed,
                         MonoTime now,
                         absl::Time wall_now)
    : settings_(std::move(settings)),
      replica_(std::move(replica)),
      state_(std::move(state)),
      applied_(applied),
      minute_clock_(settings_.minute_clock, now, wall_now),
      submitter_(settings_.resend_interval),
      ledger_(settings_.max_ledger_batch,
              settings_.max_ledger_batches_in_flight),
      recorder_(settings_.registration.vm, settings_.accounting_interval),
      reads_(settings_.resend_interval),
      monitor_(now),
      orders_(settings_.orders),
      duties_(settings_.duties,
              settings_.registration.vm,
              settings_.registration.incarnation),
      // The constant only makes this number differ from the one that is drawn
      // from `seed` below.
      limits_(settings_.limits,
              settings_.registration.vm,
              Random(seed ^ 0x6c696d6974).Next()),
      now_(now),
      wall_now_(wall_now),
      incarnation_(settings_.registration.incarnation),
      // The high 32 bits are random at each start, so that a late answer to an
      // earlier process of this VM matches no token of this process.
      next_token_(Random(seed).Next() & ~uint64_t{0xffffffff}) {}

std::optional<MonoTime> ControlNode::LastMessageTime(const VmId& vm) const {
  return monitor_.LastMessageTime(vm);
}

void ControlNode::Step(const ControlEvent& event,
                       MonoTime now,
                       absl::Time wall_now,
                       std::vector<ControlAction>* actions) {
  now_ = now;
  wall_now_ = wall_now;
  step_actions_.clear();
  if (std::get_if<ControlTickEvent>(&event) != nullptr) {
    StepReplica(TickEvent{});
  } else if (const auto* message = std::get_if<ControlMessageEvent>(&event)) {
    HandleMessage(*message);
  } else if (const auto* write =
                 std::get_if<ControlWriteCompletedEvent>(&event)) {
    StepReplica(WriteCompletedEvent{write->write_id});
  } else if (const auto* submit = std::get_if<SubmitEvent>(&event)) {
    Submit(SubmissionKind::kExternal, submit->submission_id, submit->body,
           settings_.submission_timeout);
  } else if (const auto* open = std::get_if<LedgerOpenEvent>(&event)) {
    ledger_.AddOpen(open->open);
  } else if (const auto* close = std::get_if<LedgerCloseEvent>(&event)) {
    ledger_.AddClose(close->close);
  } else if (const auto* read = std::get_if<ReadEvent>(&event)) {
    reads_.Add(next_token_++, read->read_id,
               now_ + settings_.submission_timeout);
  } else if (const auto* refusal = std::get_if<RefusalEvent>(&event)) {
    recorder_.Add(refusal->account, refusal->class_id, refusal->reason,
                  minute_clock_.minute(), wall_now_);
  } else if (std::get_if<LeaveEvent>(&event) != nullptr) {
    leave_deadline_ = now_ + settings_.submission_timeout;
  } else if (const auto* engines = std::get_if<EnginesEvent>(&event)) {
    orders_.OnEngines(*engines);
  } else if (const auto* result = std::get_if<EngineCallResultEvent>(&event)) {
    OrderDriver::Output output;
    orders_.OnCallResult(*result, state_.orders(), &output);
    HandleOrders(std::move(output));
  } else if (const auto* inputs = std::get_if<DutyInputsEvent>(&event)) {
    duties_.OnInputs(inputs->inputs, now_);
  } else if (const auto* ended = std::get_if<ProviderCallEndedEvent>(&event)) {
    DutyDriver::Output output;
    duties_.OnCallEnded(ended->call_id, ended->outcome, now_, &output);
    HandleDuties(std::move(output));
  } else if (const auto* demand = std::get_if<LimitDemandEvent>(&event)) {
    const VmId leader = replica_->LeaderHint();
    LimitDemandReport report = limits_.MakeReport(demand->demands, now_);
    if (leader == settings_.registration.vm) {
      HandleLimits(report);
    } else if (!leader.value().empty()) {
      Send(leader, std::move(report));
    }
  }
  Advance();
  ReportReplicaChanges();
  Publish(actions);
  for (ControlAction& action : step_actions_) {
    actions->push_back(std::move(action));
  }
  step_actions_.clear();
}

void ControlNode::HandleMessage(const ControlMessageEvent& event) {
  monitor_.OnMessage(event.from, now_);
  if (const auto* replica = std::get_if<ReplicaMessage>(&event.message)) {
    // The transport authenticates the sender. A message that names another VM
    // as its origin is forged or damaged and is dropped.
    if (replica->from_vm == event.from) {
      StepReplica(MessageReceivedEvent{*replica});
    }
  } else if (const auto* command =
                 std::get_if<ForwardedCommand>(&event.message)) {
    HandleForwarded(event.from, *command);
  } else if (const auto* read = std::get_if<ForwardedRead>(&event.message)) {
    HandleForwarded(event.from, *read);
  } else if (const auto* result =
                 std::get_if<ForwardedResult>(&event.message)) {
    std::vector<CommandSubmitter::Answer> answers;
    submitter_.OnResult(*result, &answers);
    for (const CommandSubmitter::Answer& answer : answers) {
      OnAnswer(answer);
    }
  } else if (const auto* index =
                 std::get_if<ForwardedReadResult>(&event.message)) {
    reads_.OnResult(*index);
  } else if (const auto* report =
                 std::get_if<LimitDemandReport>(&event.message)) {
    if (report->vm == event.from) {
      HandleLimits(*report);
    }
  } else if (const auto* batch = std::get_if<LimitGrantBatch>(&event.message)) {
    HandleLimits(*batch);
  }
}

void ControlNode::HandleLimits(const LimitDemandReport& report) {
  LimitGrantBatch batch = limits_.OnReport(
      report, now_, replica_->QuorumContact().value_or(MonoTime()));
  if (batch.grants.empty()) {
    return;
  }
  if (report.vm == settings_.registration.vm) {
    HandleLimits(batch);
  } else {
    Send(report.vm, std::move(batch));
  }
}

void ControlNode::HandleLimits(const LimitGrantBatch& batch) {
  if (std::optional<PublishLimitsAction> action =
          limits_.OnGrants(batch, now_)) {
    step_actions_.push_back(*std::move(action));
  }
}

void ControlNode::HandleForwarded(const VmId& from,
                                  const ForwardedCommand& command) {
  StepReplica(proposer_.Propose(from, command));
}

void ControlNode::HandleForwarded(const VmId& from, const ForwardedRead& read) {
  const uint64_t id = next_read_++;
  read_origins_.emplace(id, ReadOrigin{from, read.token});
  StepReplica(ReadIndexEvent{id});
}

void ControlNode::Advance() {
  SubmitAccounting();
  RegisterIfNeeded();
  DeclareLostVm();
  SubmitLedgerBatches();
  PlanOrders();
  PlanDuties();
  ContinueLeave();
  SendDueForwards();
  std::vector<CommandSubmitter::Answer> expired;
  submitter_.ExpireDue(now_, &expired);
  for (const CommandSubmitter::Answer& answer : expired) {
    OnAnswer(answer);
  }
  std::vector<ReadTracker::Answer> reads;
  reads_.Collect(applied_, now_, &reads);
  for (ReadTracker::Answer& answer : reads) {
    step_actions_.push_back(
        ReadAnsweredAction{answer.read_id, std::move(answer.result)});
  }
}

void ControlNode::ReportReplicaChanges() {
  const VmId leader = replica_->LeaderHint();
  if (leader != reported_leader_ || replica_->term() != reported_term_) {
    reported_leader_ = leader;
    reported_term_ = replica_->term();
    AddTimelineEvent("leader_changed",
                     {{"leader", leader.value()},
                      {"term", absl::StrCat(reported_term_.value())}});
  }
  if (const QuarantineStore& quarantine = state_.quarantine();
      quarantine.version() != reported_quarantine_) {
    reported_quarantine_ = quarantine.version();
    AddTimelineEvent("quarantine_changed",
                     {{"version", absl::StrCat(reported_quarantine_)},
                      {"entries", absl::StrCat(quarantine.Entries().size())}});
  }
  if (const DutyHolder& holder = state_.duties().holder();
      holder.token != reported_duty_token_) {
    reported_duty_token_ = holder.token;
    AddTimelineEvent("duty_holder_changed",
                     {{"holder", holder.claim.vm.value()},
                      {"token", absl::StrCat(holder.token.value())},
                      {"term", absl::StrCat(holder.claim.term.value())}});
  }
  if (replica_->CurrentMembership() != reported_membership_) {
    reported_membership_ = replica_->CurrentMembership();
    std::vector<std::string> voters;
    std::vector<std::string> learners;
    for (const Member& member : reported_membership_.members) {
      (member.kind == MemberKind::kVoter ? voters : learners)
          .push_back(member.vm.value());
    }
    AddTimelineEvent("members_changed",
                     {{"voters", absl::StrJoin(voters, ",")},
                      {"learners", absl::StrJoin(learners, ",")}});
  }
}

void ControlNode::RegisterIfNeeded() {
  UpdateRegistered();
  if (registered_ || registration_in_flight_ || leave_deadline_.has_value()) {
    return;
  }
  // The recorded incarnation is not below this one when this process was
  // declared lost, or when its clock is behind the clock of an earlier start.
  // It must then register under a larger incarnation.
  const VmRegistration* recorded = state_.vms().Find(settings_.registration.vm);
  if (recorded != nullptr && recorded->incarnation >= incarnation_) {
    incarnation_ = Incarnation(recorded->incarnation.value() + 1);
  }
  registration_in_flight_ = true;
  Submit(SubmissionKind::kRegistration, 0, MakeRegistration(VmState::kActive),
         settings_.submission_timeout);
}

void ControlNode::SubmitAccounting() {
  const MinuteClock::Reading reading = minute_clock_.Read(now_, wall_now_);
  if (reading.closed.has_value() && registered_) {
    recorder_.MarkMinute(incarnation_, *reading.closed);
  }
  if (std::optional<AccountingBatch> batch = recorder_.TakeBatch(now_)) {
    Submit(SubmissionKind::kAccounting, 0, *std::move(batch),
           settings_.submission_timeout);
  }
}

void ControlNode::SubmitLedgerBatches() {
  while (auto batch = ledger_.TakeBatch()) {
    Submit(SubmissionKind::kLedger, batch->first, std::move(batch->second),
           settings_.ledger_timeout);
  }
}

void ControlNode::DeclareLostVm() {
  if (replica_->role() != ReplicaRole::kLeader) {
    leader_since_.reset();
    return;
  }
  if (!leader_since_.has_value()) {
    leader_since_ = now_;
  }
  if (lost_vm_in_flight_) {
    return;
  }
  for (const VmRegistration& vm : state_.vms().Active()) {
    if (vm.vm == settings_.registration.vm ||
        !monitor_.IsLost(vm.vm, *leader_since_, now_)) {
      continue;
    }
    VmRegistration lost = vm;
    lost.state = VmState::kLost;
    lost.minute = minute_clock_.minute();
    lost_vm_in_flight_ = true;
    AddTimelineEvent("vm_lost", {{"vm", vm.vm.value()}});
    Submit(SubmissionKind::kLostVm, 0, std::move(lost),
           settings_.submission_timeout);
    return;
  }
}

void ControlNode::ContinueLeave() {
  if (!leave_deadline_.has_value() || left_) {
    return;
  }
  if (now_ >= *leave_deadline_) {
    left_ = true;
    step_actions_.push_back(LeaveCompletedAction{false});
    return;
  }
  if (leave_submitted_ || !recorder_.idle()) {
    return;
  }
  if (!registered_) {
    left_ = true;
    step_actions_.push_back(LeaveCompletedAction{true});
    return;
  }
  // The current minute has not ended but is marked too: the request path has
  // stopped, so no further refusal can be recorded.
  AccountingBatch marks;
  marks.marks.push_back(MinuteMark{settings_.registration.vm, incarnation_,
                                   minute_clock_.minute(),
                                   minute_clock_.minute()});
  leave_submitted_ = true;
  Submit(SubmissionKind::kExternal, 0, std::move(marks),
         settings_.submission_timeout);
  Submit(SubmissionKind::kLeave, 0, MakeRegistration(VmState::kLeft),
         settings_.submission_timeout);
}

void ControlNode::SendDueForwards() {
  const VmId leader = replica_->LeaderHint();
  const VmId& self = settings_.registration.vm;
  for (ForwardedCommand& command : submitter_.TakeDue(leader, now_)) {
    if (leader == self) {
      HandleForwarded(self, command);
    } else {
      Send(leader, std::move(command));
    }
  }
  for (const ForwardedRead& read : reads_.TakeDue(leader, now_)) {
    if (leader == self) {
      HandleForwarded(self, read);
    } else {
      Send(leader, read);
    }
  }
}

void ControlNode::StepReplica(const ReplicaEvent& event) {
  std::vector<ReplicaAction> actions;
  replica_->Step(event, now_, &actions);
  limits_.SetLeadership(replica_->role() == ReplicaRole::kLeader,
                        replica_->term(), now_);
  for (const ReplicaAction& action : actions) {
    std::visit([this](const auto& a) { HandleReplicaAction(a); }, action);
  }
}

void ControlNode::HandleReplicaAction(const SendAction& action) {
  Send(action.message.to_vm, action.message);
}

void ControlNode::HandleReplicaAction(const WriteAction& action) {
  step_actions_.push_back(ControlWriteAction{action.write_id, action.batch});
}

void ControlNode::HandleReplicaAction(const ApplyAction& action) {
  std::vector<CommandProposer::Reply> replies;
  for (const LogEntry& entry : action.entries) {
    settings_changed_ = settings_changed_ || entry.changes_settings;
    if (entry.kind == EntryKind::kData) {
      proposer_.OnApplied(state_.Apply(entry.index, entry.data), &replies);
    }
    applied_ = entry.index;
  }
  SendReplies(std::move(replies));
}

void ControlNode::HandleReplicaAction(const RestoreSnapshotAction& action) {
  Expected<ControlState> restored =
      ControlState::Restore(action.snapshot->data);
  if (!restored) {
    // The leader encoded the snapshot with the same code, so this is a software
    // fault. The process stops, because admitting requests on an unknown state
    // would be worse.
    AddTimelineEvent("snapshot_corrupt",
                     {{"message", restored.error().message}});
    std::abort();
  }
  state_ = *std::move(restored);
  applied_ = action.snapshot->last.index;
  settings_changed_ = true;
}

void ControlNode::HandleReplicaAction(const CreateSnapshotAction&) {
  StepReplica(SnapshotCreatedEvent{applied_, state_.Snapshot()});
}

void ControlNode::HandleReplicaAction(const ProposalOutcomeAction& action) {
  std::vector<CommandProposer::Reply> replies;
  proposer_.OnOutcome(action.proposal_id, action.outcome, &replies);
  SendReplies(std::move(replies));
}

void ControlNode::HandleReplicaAction(const ReadIndexAction& action) {
  const auto position = read_origins_.find(action.read_id);
  if (position == read_origins_.end()) {
    return;
  }
  const ReadOrigin origin = position->second;
  read_origins_.erase(position);
  ForwardedReadResult result{origin.token, action.outcome.has_value(),
                             action.outcome.value_or(LogIndex())};
  if (origin.vm == settings_.registration.vm) {
    reads_.OnResult(result);
  } else {
    Send(origin.vm, result);
  }
}

void ControlNode::HandleReplicaAction(const ProvisionalTailChangedAction&) {
  settings_changed_ = true;
}

void ControlNode::Send(const VmId& to, ControlMessage message) {
  step_actions_.push_back(ControlSendAction{to, std::move(message)});
}

void ControlNode::AddTimelineEvent(
    std::string kind,
    std::vector<std::pair<std::string, std::string>> inputs) {
  step_actions_.push_back(
      ControlTimelineAction{std::move(kind), std::move(inputs)});
}

VmRegistration ControlNode::MakeRegistration(VmState state) const {
  VmRegistration registration = settings_.registration;
  registration.incarnation = incarnation_;
  registration.state = state;
  registration.minute = minute_clock_.minute();
  return registration;
}

void ControlNode::UpdateRegistered() {
  const VmRegistration* recorded = state_.vms().Find(settings_.registration.vm);
  const bool registered = recorded != nullptr &&
                          recorded->incarnation == incarnation_ &&
                          recorded->state == VmState::kActive;
  if (registered != registered_) {
    registered_ = registered;
    AddTimelineEvent(registered ? "vm_registered" : "vm_not_registered",
                     {{"incarnation", absl::StrCat(incarnation_.value())}});
  }
}

bool ControlNode::IsRecordedActive() const {
  const VmRegistration* recorded = state_.vms().Find(settings_.registration.vm);
  return recorded != nullptr && recorded->state == VmState::kActive;
}

void ControlNode::Publish(std::vector<ControlAction>* actions) {
  if (settings_changed_) {
    settings_changed_ = false;
    std::vector<std::string> provisional;
    for (const LogEntry& entry : replica_->ProvisionalTail()) {
      if (entry.kind == EntryKind::kData) {
        provisional.push_back(entry.data);
      }
    }
    Ref<EffectiveSettings> settings =
        state_.BuildEffectiveSettings(provisional);
    limits_.SetSettings(*settings);
    actions->push_back(PublishSettingsAction{std::move(settings)});
  }
  if (state_.routing() != published_routing_) {
    published_routing_ = state_.routing();
    actions->push_back(PublishRoutingAction{published_routing_});
  }
  if (const DepartureStore& departures = state_.departures();
      departures.version() != published_departures_) {
    actions->push_back(
        PublishDeparturesAction{departures.Since(published_departures_)});
    published_departures_ = departures.version();
  }
  UpdateRegistered();
  MonoTime lease;
  if (IsRecordedActive() && !leave_deadline_.has_value()) {
    lease = replica_->LeaseValidUntil();
  }
  if (lease != published_lease_) {
    published_lease_ = lease;
    actions->push_back(PublishLeaseAction{lease});
  }
}

}  // namespace camphorsail

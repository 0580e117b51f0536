#include "bench/policy/simulation_run.h"

#include <algorithm>
#include <cassert>
#include <cmath>

namespace camphorsail::bench {
namespace {

using Actions = std::vector<SchedulerAction>;

// The faults. A straggler runs at a third of its speed for a while; a crashed
// engine comes back empty; servers that are silent for 3 s are removed.
constexpr double kStraggleFrom = 20;
constexpr double kStraggleTo = 90;
constexpr double kStragglerSpeed = 0.3;
constexpr double kCrashAt = 45;
constexpr double kRestartAt = 65;
constexpr double kSilenceSeconds = 3;
constexpr double kTickSeconds = 0.01;
constexpr double kReportSeconds = 0.25;
constexpr double kProgressSeconds = 0.5;
// Everything accepted ends long before this.
constexpr double kEndSeconds = 3600;

}  // namespace

Simulation::Simulation(const SimulationSettings& settings)
    : settings_(settings), random_(settings.seed * 7919 + 17) {
  result_.digest = 0xcbf29ce484222325ULL;
  CreateServers();
  CreateNodes();
  std::vector<double> speeds;
  for (const Server& server : servers_) {
    if (server.kind == ServerKind::kModelEngine) {
      speeds.push_back(server.speed);
    }
  }
  const std::vector<Arrival> arrivals =
      MakeArrivals(*settings_.workload, speeds, settings_.load, settings_.burst,
                   settings_.seed);
  for (const Arrival& arrival : arrivals) {
    RequestRecord record;
    record.arrival = arrival;
    record.wait_since = arrival.at;
    result_.records.push_back(record);
  }
  attempts_.resize(arrivals.size());
  placed_.resize(arrivals.size(), -1);
  open_ = static_cast<int64_t>(arrivals.size());
  SendViews([&] {
    std::vector<ServerView> views;
    for (size_t i = 0; i < servers_.size(); ++i) {
      views.push_back(ViewOf(static_cast<int>(i)));
    }
    return views;
  }());
  if (!arrivals.empty()) {
    Schedule(arrivals[0].at, EventKind::kArrival, 0);
  }
  Schedule(0, EventKind::kTick);
  Schedule(kReportSeconds, EventKind::kReport);
  Schedule(kProgressSeconds, EventKind::kProgress);
  for (int i = 0; i < settings_.stragglers; ++i) {
    Schedule(kStraggleFrom, EventKind::kStraggle, i);
    Schedule(kStraggleTo, EventKind::kRecover, i);
  }
  for (int i = 0; i < settings_.crash_engines; ++i) {
    const int server = settings_.workload->engines - 1 - i;
    Schedule(kCrashAt, EventKind::kCrash, server);
    Schedule(kCrashAt + (clairvoyant() ? 0 : kSilenceSeconds),
             EventKind::kRemove, server);
    Schedule(kRestartAt, EventKind::kRestart, server);
  }
  if (settings_.lose_vm) {
    Schedule(kLoseVmAt, EventKind::kLoseVm, 0);
  }
}

void Simulation::CreateServers() {
  const WorkloadSpec& workload = *settings_.workload;
  const int count = workload.engines + workload.service_servers;
  for (int i = 0; i < count; ++i) {
    const bool is_service = i >= workload.engines;
    Server server;
    server.kind = is_service ? ServerKind::kService : ServerKind::kModelEngine;
    server.id = BackendServerId((is_service ? "service-" : "engine-") +
                                std::to_string(i));
    server.domain = FailureDomainId("domain-" + std::to_string(i % 3));
    // Load is uneven across engines because their speed is.
    server.speed = is_service ? 1 : 0.9 + 0.2 * random_.Uniform();
    const int capacity =
        is_service ? EngineTiming::kServiceCapacity : EngineTiming::kCapacity;
    (is_service ? result_.service_slots : result_.engine_slots) += capacity;
    server.model =
        std::make_unique<EngineModel>(capacity, server.speed, is_service);
    servers_.push_back(std::move(server));
  }
}

void Simulation::CreateNodes() {
  const int count = clairvoyant() ? 1 : settings_.vms;
  for (int i = 0; i < count; ++i) {
    Node node;
    if (settings_.policy == PolicyName::kFifoRoundRobin ||
        settings_.policy == PolicyName::kLeastOutstanding) {
      node.scheduler = std::make_unique<BaselineScheduler>(
          settings_.policy == PolicyName::kFifoRoundRobin
              ? BaselineScheduler::Policy::kRoundRobin
              : BaselineScheduler::Policy::kLeastOutstanding);
    } else {
      SchedulerSettings scheduler;
      scheduler.vm = VmId("vm-" + std::to_string(i));
      scheduler.failure_domain =
          FailureDomainId("domain-" + std::to_string(i % 3));
      scheduler.seed = settings_.seed * 31 + static_cast<uint64_t>(i);
      scheduler.vm_count = count;
      scheduler.length_plan = settings_.length_plan;
      scheduler.health = settings_.health;
      if (clairvoyant()) {
        // The upper bound of each request is its true length.
        scheduler.length_plan = LengthPlan::kMaximum;
        scheduler.candidates = 8;
        scheduler.initial_seconds_per_token =
            1 / EngineTiming::StepRate(EngineTiming::kCapacity);
      }
      node.scheduler = std::move(*Scheduler::Create(scheduler));
    }
    nodes_.push_back(std::move(node));
  }
}

int Simulation::ServerIndex(const BackendServerId& id) const {
  for (size_t i = 0; i < servers_.size(); ++i) {
    if (servers_[i].id == id) {
      return static_cast<int>(i);
    }
  }
  return -1;
}

SimulationResult Simulation::Run() {
  while (!events_.empty() && open_ > 0) {
    const Event event = events_.top();
    events_.pop();
    if (event.at > kEndSeconds) {
      break;
    }
    now_ = event.at;
    Handle(event);
    DrainEngineEvents();
  }
  return std::move(result_);
}

void Simulation::Handle(const Event& event) {
  switch (event.kind) {
    case EventKind::kArrival:
      if (static_cast<size_t>(event.index) + 1 < result_.records.size()) {
        Schedule(result_.records[event.index + 1].arrival.at,
                 EventKind::kArrival, event.index + 1);
      }
      OnArrival(event.index);
      return;
    case EventKind::kWake:
      if (servers_[event.index].generation == event.detail) {
        std::vector<EngineEvent> events;
        servers_[event.index].model->Advance(now_, &events);
        OnEngineEvents(event.index, events);
      }
      return;
    case EventKind::kTick:
      for (size_t i = 0; i < nodes_.size(); ++i) {
        if (nodes_[i].alive) {
          With(static_cast<int>(i), [&](auto* scheduler, Actions* actions) {
            scheduler->OnTick(Now(), actions);
          });
        }
      }
      Schedule(now_ + kTickSeconds, EventKind::kTick);
      return;
    case EventKind::kReport:
      Report();
      Schedule(now_ + kReportSeconds, EventKind::kReport);
      return;
    case EventKind::kDeliverReports:
      SendViews(pending_reports_[event.detail]);
      pending_reports_[event.detail].clear();
      return;
    case EventKind::kDeliverDigest:
      if (nodes_[event.index].alive) {
        With(event.index, [&](auto* scheduler, Actions* /*actions*/) {
          scheduler->OnPeerDigest(pending_digests_[event.detail], Now());
        });
      }
      return;
    case EventKind::kProgress:
      for (size_t i = 0; i < servers_.size(); ++i) {
        std::vector<EngineEvent> events;
        servers_[i].model->Advance(now_, &events);
        OnEngineEvents(static_cast<int>(i), events);
        DrainEngineEvents();
        for (EngineJob& job : servers_[i].model->running()) {
          const int64_t tokens = job.Produced() - job.told;
          // A service call has no progress before its end.
          if (job.told > 0 && tokens > 0) {
            job.told += tokens;
            RequestRecord& record = result_.records[job.request];
            record.received += tokens;
            With(NodeOf(record), [&](auto* scheduler, Actions* /*actions*/) {
              scheduler->OnTokens(RequestId(job.request + 1), Tokens(tokens),
                                  Now());
            });
          }
        }
      }
      Schedule(now_ + kProgressSeconds, EventKind::kProgress);
      return;
    case EventKind::kStraggle:
    case EventKind::kRecover: {
      Server& server = servers_[event.index];
      std::vector<EngineEvent> events;
      server.model->SetSpeed(event.kind == EventKind::kStraggle
                                 ? server.speed * kStragglerSpeed
                                 : server.speed,
                             now_, &events);
      OnEngineEvents(event.index, events);
      return;
    }
    case EventKind::kCrash:
      Crash(event.index);
      return;
    case EventKind::kRemove:
      for (size_t i = 0; i < nodes_.size(); ++i) {
        if (nodes_[i].alive) {
          With(static_cast<int>(i), [&](auto* scheduler, Actions* actions) {
            scheduler->OnServerRemoved(servers_[event.index].id, Now(),
                                       actions);
          });
        }
      }
      return;
    case EventKind::kRestart:
      servers_[event.index].alive = true;
      ++servers_[event.index].incarnation;
      SendViews({ViewOf(event.index)});
      return;
    case EventKind::kLoseVm:
      LoseVm();
      return;
  }
}

RequestDescriptor Simulation::Describe(int index) const {
  const Arrival& arrival = result_.records[index].arrival;
  const ClassSpec& spec = settings_.workload->classes[arrival.class_index];
  RequestDescriptor descriptor;
  descriptor.request = RequestId(index + 1);
  descriptor.account =
      ClientAccountId("account-" + std::to_string(arrival.account));
  descriptor.class_id = ClassId(spec.name);
  descriptor.kind = spec.kind;
  descriptor.target =
      ModelId(spec.kind == ServerKind::kService ? "desk" : "house-model");
  descriptor.tier = Tier(spec.tier);
  descriptor.weight = Weight(AccountWeight(arrival.account));
  descriptor.guaranteed_share = spec.guaranteed_share;
  descriptor.arrival =
      MonoTime::FromNanos(static_cast<int64_t>(arrival.at * 1e9));
  descriptor.ttft_target = spec.ttft_target;
  descriptor.total_target = spec.total_target;
  descriptor.prompt_tokens = Tokens(arrival.prompt_tokens);
  const int64_t truth =
      spec.kind == ServerKind::kService
          ? std::max<int64_t>(
                1, static_cast<int64_t>(arrival.service_seconds * 1000 + 0.5))
          : arrival.length;
  descriptor.max_output_tokens =
      Tokens(clairvoyant() ? truth : spec.max_output_tokens);
  descriptor.idempotent = spec.idempotent;
  if (spec.kind == ServerKind::kModelEngine) {
    // Two thirds of a prompt are shared by the account's class.
    const auto shared =
        static_cast<uint64_t>(arrival.account * 100 + arrival.class_index + 1);
    for (uint64_t block = 0; block < 4; ++block) {
      descriptor.prefix_hashes.push_back(shared * 1000 + block);
    }
    const uint64_t own = (static_cast<uint64_t>(index) + 1) << 32;
    descriptor.prefix_hashes.push_back(own);
    descriptor.prefix_hashes.push_back(own + 1);
  }
  return descriptor;
}

void Simulation::OnArrival(int index) {
  RequestRecord& record = result_.records[index];
  do {
    record.vm = static_cast<int>(random_.Below(settings_.vms));
  } while (!clairvoyant() && !nodes_[record.vm].alive);
  if (clairvoyant() && settings_.lose_vm && now_ >= kLoseVmAt &&
      record.vm == 0) {
    record.vm = 1 % settings_.vms;
  }
  const RequestDescriptor descriptor = Describe(index);
  With(NodeOf(record), [&](auto* scheduler, Actions* actions) {
    scheduler->OnArrival(descriptor, Now(), actions);
  });
}

void Simulation::Apply(int node, const Actions& actions) {
  for (const SchedulerAction& action : actions) {
    if (const auto* dispatch = std::get_if<DispatchAction>(&action)) {
      Dispatch(node, *dispatch);
    } else if (const auto* refuse = std::get_if<RefuseAction>(&action)) {
      const auto index = static_cast<int>(refuse->request.value() - 1);
      RequestRecord& record = result_.records[index];
      assert(record.status == RequestRecord::Status::kPending);
      record.status = record.accepted_at < 0 ? RequestRecord::Status::kRefused
                                             : RequestRecord::Status::kFailed;
      record.ended_at = now_;
      record.wasted += record.received;
      --open_;
      Mix(refuse->request.value() * 2 + 1);
      Mix(static_cast<uint64_t>(now_ * 1e6));
    } else if (const auto* share = std::get_if<SendDigestAction>(&action)) {
      pending_digests_.push_back(share->digest);
      for (size_t peer = 0; peer < nodes_.size(); ++peer) {
        if (static_cast<int>(peer) != node) {
          Schedule(now_ + absl::ToDoubleSeconds(settings_.workload->vm_delay),
                   EventKind::kDeliverDigest, static_cast<int>(peer),
                   pending_digests_.size() - 1);
        }
      }
    }
  }
}

void Simulation::Dispatch(int /*node*/, const DispatchAction& action) {
  const auto index = static_cast<int>(action.request.value() - 1);
  RequestRecord& record = result_.records[index];
  const ClassSpec& spec =
      settings_.workload->classes[record.arrival.class_index];
  const int server_index = ServerIndex(action.server);
  Server& server = servers_[server_index];
  Mix(action.request.value() * 2);
  Mix(static_cast<uint64_t>(server_index));
  Mix(static_cast<uint64_t>(now_ * 1e6));
  attempts_[index] = action.attempt.value();
  if (!server.alive || server.incarnation != action.incarnation.value()) {
    Finish(index, AttemptResult::kNotSent);
    return;
  }
  if (record.accepted_at < 0) {
    record.accepted_at = now_;
  }
  ++record.attempts;
  placed_[index] = server_index;
  EngineJob job;
  job.request = index;
  job.attempt = action.attempt.value();
  job.priority = action.engine_priority;
  job.order = order_++;
  job.tokens = record.arrival.length - record.received;
  if (spec.kind == ServerKind::kService) {
    job.total_steps = record.arrival.service_seconds;
    job.prefill_steps = job.total_steps - 1;
  } else {
    const double cached =
        server.model->TouchPrefix(Describe(index).prefix_hashes);
    job.prefill_steps =
        (static_cast<double>(record.arrival.prompt_tokens) * (1 - cached) +
         static_cast<double>(record.received)) *
        EngineTiming::kPromptTokenSteps;
    job.total_steps = job.prefill_steps + static_cast<double>(job.tokens);
  }
  std::vector<EngineEvent> events;
  server.model->Add(job, now_, &events);
  OnEngineEvents(server_index, events);
}

void Simulation::Finish(int request, AttemptResult result) {
  RequestRecord& record = result_.records[request];
  placed_[request] = -1;
  if (record.running) {
    record.running = false;
    record.wait_since = now_;
  }
  if (result == AttemptResult::kCompleted) {
    record.status = RequestRecord::Status::kCompleted;
    record.ended_at = now_;
    --open_;
  }
  With(NodeOf(record), [&](auto* scheduler, Actions* actions) {
    scheduler->OnAttemptFinished(
        AttemptOutcome{RequestId(request + 1),
                       AttemptNumber(attempts_[request]), BackendServerId(),
                       result, Tokens(record.received)},
        Now(), actions);
  });
}

void Simulation::OnEngineEvents(int server,
                                const std::vector<EngineEvent>& events) {
  for (const EngineEvent& event : events) {
    engine_events_.push_back(event);
  }
  Wake(server);
}

void Simulation::OnEngineEvent(const EngineEvent& event) {
  RequestRecord& record = result_.records[event.job.request];
  if (record.status != RequestRecord::Status::kPending) {
    return;
  }
  const ClassSpec& spec =
      settings_.workload->classes[record.arrival.class_index];
  if (event.kind == EngineEvent::Kind::kStarted) {
    record.waits.emplace_back(record.wait_since, now_);
    record.running = true;
    if (record.started_at < 0) {
      record.started_at = now_;
    }
    record.runs += event.job.progress == 0 ? 1 : 0;
    return;
  }
  if (event.kind == EngineEvent::Kind::kPreempted) {
    record.running = false;
    record.wait_since = now_;
    const RequestRecord& other = result_.records[event.displaced_by];
    record.preempted_for_lower +=
        settings_.workload->classes[other.arrival.class_index].tier > spec.tier
            ? 1
            : 0;
    return;
  }
  const bool finished = event.kind == EngineEvent::Kind::kFinished;
  const int64_t tokens =
      (finished ? event.job.tokens : event.job.Produced()) - event.job.told;
  record.received += tokens;
  result_.produced += finished ? event.job.tokens : 0;
  if (record.first_token_at < 0) {
    record.first_token_at = now_;
  }
  if (spec.kind == ServerKind::kModelEngine) {
    With(NodeOf(record), [&](auto* scheduler, Actions* /*actions*/) {
      scheduler->OnTokens(RequestId(event.job.request + 1), Tokens(tokens),
                          Now());
    });
  }
  if (finished) {
    Finish(event.job.request, AttemptResult::kCompleted);
  }
}

void Simulation::DrainEngineEvents() {
  while (!engine_events_.empty()) {
    const EngineEvent event = engine_events_.front();
    engine_events_.pop_front();
    OnEngineEvent(event);
  }
}

void Simulation::Wake(int index) {
  Server& server = servers_[index];
  const double next = server.model->NextEvent();
  if (std::isfinite(next)) {
    Schedule(std::max(next, now_), EventKind::kWake, index,
             ++server.generation);
  }
}

SimulationResult RunSimulation(const SimulationSettings& settings) {
  return Simulation(settings).Run();
}

}  // namespace camphorsail::bench

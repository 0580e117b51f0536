#include "camphorsail/runtime/duty_feed.h"

#include <algorithm>
#include <map>
#include <utility>
#include <variant>

#include "absl/container/flat_hash_map.h"
#include "camphorsail/base/fnv_hash.h"
#include "camphorsail/base/monotonic_clock.h"
#include "camphorsail/base/wall_clock.h"
#include "camphorsail/process/log_event.h"

namespace camphorsail {
namespace {

constexpr double kMsPerSecond = 1000;

UsageSettings MakeUsageSettings(const Options& options) {
  UsageSettings settings;
  settings.window = options.usage_window;
  settings.report_delay = options.usage_report_delay;
  return settings;
}

/// Time since its last message after which a server that was leaving has left.
constexpr absl::Duration kLeavingSilence = absl::Seconds(3);

/// Adds a server to the supply of its failure domain.
void AddServer(const ServerEntry& entry,
               bool is_available,
               MonoTime now,
               DomainSupply* supply) {
  const ServerAnnouncement& announcement = entry.announcement;
  if (!announcement.description.reclaimable) {
    supply->regular.present += is_available ? 1 : 0;
  } else if (is_available) {
    ++supply->reclaimable.present;
  } else if (announcement.leaving && now - entry.heard_at < kLeavingSilence) {
    ++supply->reclaimable_leaving;
  }
}

}  // namespace

DutyFeed::DutyFeed(const Options& options)
    : duties_(options.provider_duties),
      usage_settings_(MakeUsageSettings(options)),
      usage_(usage_settings_) {
  // Gateways may poll before the first exchange of clocks. Without a time their
  // counts would be taken for those of implausible windows.
  OnClock(options.vm, WallNow(), MonotonicNow());
}

void DutyFeed::OnGatewayUsage(const GatewayUsage& usage, MonoTime now) {
  absl::MutexLock lock(&mutex_);
  usage_.Merge(usage, clock_.At(now));
}

std::optional<UsageForward> DutyFeed::OnForward(const UsageForward& forward,
                                                MonoTime now) {
  if (!CountsUsage() || !duties_.usage) {
    return std::nullopt;
  }
  absl::MutexLock lock(&mutex_);
  if (forward.is_acknowledgement) {
    if (forward.term == forwarded_in_) {
      usage_.OnAcknowledged(forward.sequence);
    }
    return std::nullopt;
  }
  const absl::Time true_now = clock_.At(now);
  for (const GatewayUsage& usage : forward.usages) {
    usage_.Merge(usage, true_now);
  }
  if (forward.term != leading_term_) {
    return std::nullopt;
  }
  return UsageForward{forward.term, forward.sequence, true, {}};
}

void DutyFeed::OnClock(const VmId& vm, absl::Time wall, MonoTime now) {
  absl::MutexLock lock(&mutex_);
  clock_.OnReading(vm, wall, now);
}

absl::Time DutyFeed::TrueTime(MonoTime now) {
  absl::MutexLock lock(&mutex_);
  return clock_.At(now);
}

UsageForward DutyFeed::StepFollower(TermNumber term,
                                    const std::set<UsageWindowNumber>& agreed,
                                    MonoTime now) {
  absl::MutexLock lock(&mutex_);
  planner_.reset();
  leading_since_.reset();
  leading_term_ = TermNumber();
  if (!CountsUsage()) {
    return {};
  }
  TidyUsage(agreed, now);
  if (std::exchange(forwarded_in_, term) != term) {
    usage_.ForwardAll();
  }
  return usage_.UnacknowledgedChanges(term);
}

std::vector<UsageWindow> DutyFeed::CloseWindows(
    const std::set<UsageWindowNumber>& agreed,
    MonoTime now) {
  if (!CountsUsage()) {
    return {};
  }
  TidyUsage(agreed, now);
  usage_.ForwardNothing();
  forwarded_in_ = TermNumber();
  if (now - *leading_since_ < kCollectTime) {
    return {};
  }
  return usage_.ClosedWindows(clock_.At(now), agreed);
}

void DutyFeed::TidyUsage(const std::set<UsageWindowNumber>& agreed,
                         MonoTime now) {
  usage_.RemoveOldWindows(clock_.At(now), agreed);
  for (const LateUsage::Item& late : usage_.TakeLate()) {
    LogEvent("usage_late", LogLevel::kWarning)
        .Add("window", late.window.value())
        .Add("account", late.usage.account)
        .Add("requests", late.usage.requests);
  }
}

DutyInputs DutyFeed::MakeInputs(const ServerRegistry& registry,
                                const RoutingTable& table,
                                const LeaderState& state,
                                const GatewayGroupLoad& load,
                                MonoTime now) {
  absl::MutexLock lock(&mutex_);
  if (!leading_since_.has_value() || leading_term_ != state.term) {
    leading_since_ = now;
    leading_term_ = state.term;
    planner_.emplace(CapacityPlannerSettings());
    usage_.ReopenWindows();
  }
  DutyInputs inputs;
  inputs.closed_windows = CloseWindows(state.agreed, now);
  if (duties_.server_orders && load.gateways > 0) {
    inputs.wanted_servers = PlanServers(registry, table, state, load, now);
  }
  return inputs;
}

std::vector<WantedServers> DutyFeed::PlanServers(const ServerRegistry& registry,
                                                 const RoutingTable& table,
                                                 const LeaderState& state,
                                                 const GatewayGroupLoad& load,
                                                 MonoTime now) {
  std::map<ModelId, ServiceCapacity> services;
  for (const ServiceProfile& service : table.services) {
    if (!service.scaling.enabled) {
      continue;
    }
    ServiceCapacity& capacity = services[service.name];
    capacity.service = service.name;
    capacity.scaling = service.scaling;
    for (const FailureDomainPrice& price : service.scaling.prices) {
      capacity.domains[price.failure_domain];
    }
  }
  absl::flat_hash_map<uint64_t, uint32_t> in_flight;
  for (const GatewayServerLoad& server : load.loads) {
    in_flight[server.server] = server.in_flight;
  }
  double all_engines_occupied = 0;
  for (const auto& [id, entry] : registry.entries()) {
    const ServerDescription& description = entry.announcement.description;
    const auto found = in_flight.find(StableHash(id.value()));
    // Requests that wait for a slot are not a demand for another server: they
    // wait longer the fewer servers there are.
    const int capacity_slots = std::max(1, description.capacity);
    const double occupied =
        found == in_flight.end()
            ? 0
            : std::min(1.0,
                       found->second / static_cast<double>(capacity_slots));
    if (description.kind == ServerKind::kModelEngine) {
      all_engines_occupied += occupied;
    }
    for (const ModelId& target : description.targets) {
      const auto service = services.find(target);
      if (service == services.end()) {
        continue;
      }
      service->second.occupied += occupied;
      // The provider takes no orders for servers elsewhere.
      const auto domain =
          service->second.domains.find(description.failure_domain);
      if (domain != service->second.domains.end()) {
        AddServer(entry, registry.IsAvailable(id, now), now, &domain->second);
      }
    }
  }
  for (const auto& [subject, order] : state.orders) {
    const auto service = services.find(subject.service);
    if (service == services.end()) {
      continue;
    }
    const auto domain = service->second.domains.find(subject.failure_domain);
    if (domain != service->second.domains.end()) {
      domain->second.Of(subject.tenure).ordered = order.count;
    }
  }
  // Gateways share one figure for the work of all engines; each service's part
  // is taken to be its part of the occupied slots.
  const double work =
      (load.demand.interactive + load.demand.bulk) / kMsPerSecond;
  std::vector<WantedServers> wanted;
  for (auto& [name, capacity] : services) {
    if (all_engines_occupied > 0) {
      capacity.arriving_work = work * capacity.occupied / all_engines_occupied;
    }
    int servers = 0;
    for (WantedServers& planned : planner_->Plan(capacity, now)) {
      servers += planned.order.count;
      wanted.push_back(std::move(planned));
    }
    if (std::exchange(planned_servers_[name], servers) != servers) {
      LogEvent("capacity_planned")
          .Add("service", name)
          .Add("count", servers)
          .Add("arriving_work", capacity.arriving_work)
          .Add("occupied", capacity.occupied);
    }
  }
  return wanted;
}

void DutyFeed::OnCallEnded(const ProviderCall& call,
                           ProviderOutcome outcome,
                           MonoTime now) {
  absl::MutexLock lock(&mutex_);
  const auto* order = std::get_if<ServerOrder>(&call.content);
  if (order != nullptr && outcome == ProviderOutcome::kConflict &&
      planner_.has_value()) {
    planner_->OnShortage(order->subject, now);
  }
}

}  // namespace camphorsail

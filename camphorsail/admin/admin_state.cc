#include <algorithm>
#include <nlohmann/json.hpp>
#include <string>
#include <utility>

#include "absl/strings/str_cat.h"
#include "camphorsail/accounting/refused_minutes_report.h"
#include "camphorsail/admin/admin_api.h"
#include "camphorsail/admin/admin_request.h"
#include "camphorsail/base/monotonic_clock.h"
#include "camphorsail/settings/settings_store.h"
#include "camphorsail/timeline/timeline_codec.h"

namespace camphorsail {
namespace {

using Json = nlohmann::json;

constexpr int64_t kMaxTimelineEvents = 10'000;
constexpr int64_t kDefaultTimelineEvents = 1'000;
/// A voter is reported as unreachable when no message from it arrived within
/// this time.
constexpr absl::Duration kUnreachableAfter = absl::Seconds(2);

Json ServerToJson(const ServerEntry& entry, bool available, MonoTime now) {
  const ServerAnnouncement& announcement = entry.announcement;
  const ServerDescription& description = announcement.description;
  Json targets = Json::array();
  for (const ModelId& target : description.targets) {
    targets.push_back(target.value());
  }
  const char* state = "serving";
  if (announcement.leaving) {
    state = "leaving";
  } else if (!available) {
    state = "silent";
  }
  return {
      {"server", announcement.server.value()},
      {"kind",
       description.kind == ServerKind::kModelEngine ? "model" : "service"},
      {"state", state},
      {"failure_domain", description.failure_domain.value()},
      {"address", description.address},
      {"incarnation", announcement.version.incarnation.value()},
      {"targets", std::move(targets)},
      {"capacity", description.capacity},
      {"running", entry.load.running},
      {"waiting", entry.load.waiting},
      {"kv_usage", entry.load.kv_permille / 1000.0},
      {"checks_fencing_tokens", description.checks_fencing_tokens},
      {"report_age_ms", absl::ToInt64Milliseconds(now - entry.reported_at)}};
}

const char* RoleName(const Replica& replica) {
  const Member* self = replica.CurrentMembership().Find(replica.id());
  if (self == nullptr) {
    return "none";
  }
  if (self->kind == MemberKind::kLearner) {
    return "learner";
  }
  switch (replica.role()) {
    case ReplicaRole::kLeader:
      return "leader";
    case ReplicaRole::kFollower:
      return "follower";
    default:
      return "candidate";
  }
}

/// The voters of the replica group and whether this VM can reach them.
struct VoterReachability {
  Json voters = Json::array();
  /// Number of reachable voters that may fail before the group can no longer
  /// commit changes.
  int further_losses = 0;
};

VoterReachability MakeVoterReachability(const ControlNode& node,
                                        const VmId& self,
                                        MonoTime now) {
  VoterReachability result;
  const Membership& membership = node.replica().CurrentMembership();
  int reachable = 0;
  for (const Member& member : membership.members) {
    if (member.kind != MemberKind::kVoter) {
      continue;
    }
    const std::optional<MonoTime> last_message_time =
        node.LastMessageTime(member.vm);
    const bool is_reachable =
        member.vm == self || (last_message_time.has_value() &&
                              now - *last_message_time < kUnreachableAfter);
    reachable += is_reachable ? 1 : 0;
    result.voters.push_back({{"vm", member.vm.value()},
                             {"failure_domain", member.failure_domain.value()},
                             {"reachable", is_reachable}});
  }
  result.further_losses =
      std::max(0, reachable - static_cast<int>(membership.CommitQuorum()));
  return result;
}

HttpResponse TextResponse(std::string text, const char* content_type) {
  HttpResponse response;
  response.content_type = content_type;
  response.body = std::move(text);
  return response;
}

}  // namespace

Expected<HttpResponse> AdminApi::GetServers(const HttpRequest& request) {
  if (auto valid = CheckQuery(request, {}); !valid) {
    return tl::unexpected<Error>(valid.error());
  }
  const MonoTime now = MonotonicNow();
  Json servers = Json::array();
  dependencies_.directory->Inspect([&](const ServerRegistry& registry) {
    for (const auto& [id, entry] : registry.entries()) {
      servers.push_back(
          ServerToJson(entry, registry.IsAvailable(id, now), now));
    }
  });
  return JsonResponse({{"servers", std::move(servers)}});
}

Expected<HttpResponse> AdminApi::GetStatus(const HttpRequest& request) {
  if (auto valid = CheckQuery(request, {}); !valid) {
    return tl::unexpected<Error>(valid.error());
  }
  const MonoTime now = MonotonicNow();
  const VmId& self = dependencies_.options->vm;
  Json status;
  dependencies_.control->Inspect([&](const ControlNode& node) {
    const Replica& replica = node.replica();
    VoterReachability reachability = MakeVoterReachability(node, self, now);
    const absl::Duration lease =
        std::max(absl::ZeroDuration(), node.lease_valid_until() - now);
    status = {{"vm", self.value()},
              {"ready", dependencies_.is_ready()},
              {"role", RoleName(replica)},
              {"term", replica.term().value()},
              {"leader", replica.LeaderHint().value()},
              {"commit_index", replica.CommitIndex().value()},
              {"lease_remaining_ms", absl::ToInt64Milliseconds(lease)},
              {"registered", node.registered()},
              {"further_losses_survived", reachability.further_losses},
              {"settings_version", node.state().settings().version().value()},
              {"voters", std::move(reachability.voters)}};
  });
  Json peers = Json::array();
  const std::vector<PeerStats> stats = dependencies_.peers->Stats();
  for (const PeerAddress& peer : dependencies_.options->peers) {
    Json json = {{"vm", peer.vm.value()}, {"address", ToString(peer.address)}};
    for (const PeerStats& counters : stats) {
      if (counters.vm == peer.vm) {
        json["connected"] = counters.outbound_connected;
        json["messages_sent"] = counters.messages_sent;
        json["messages_received"] = counters.messages_received;
        json["messages_dropped"] = counters.messages_dropped;
        json["wire_bytes_sent"] = counters.wire_bytes_sent;
        json["wire_bytes_received"] = counters.wire_bytes_received;
      }
    }
    peers.push_back(std::move(json));
  }
  status["peers"] = std::move(peers);
  return JsonResponse(status);
}

Expected<HttpResponse> AdminApi::GetRefusedMinutes(const HttpRequest& request) {
  if (auto valid = CheckQuery(request, {"from", "to", "format"}); !valid) {
    return tl::unexpected<Error>(valid.error());
  }
  const Expected<std::optional<absl::Time>> from =
      TimeParameter(request, "from");
  const Expected<std::optional<absl::Time>> to = TimeParameter(request, "to");
  if (!from || !to) {
    return tl::unexpected<Error>(!from ? from.error() : to.error());
  }
  if (!from->has_value() || !to->has_value()) {
    return Fail(ErrorKind::kInvalidRequest,
                "parameters 'from' and 'to' are required");
  }
  const std::string format =
      request.Query("format").empty() ? "json" : request.Query("format");
  if (format != "json" && format != "text" && format != "csv") {
    return Fail(ErrorKind::kInvalidRequest,
                "parameter 'format' must be text, json or csv");
  }
  // The report must contain every record committed so far, so unlike other
  // reads it is refused when the state may be stale.
  if (Expected<void> current = dependencies_.control->WaitUntilCurrent();
      !current) {
    return tl::unexpected<Error>(current.error());
  }
  const MinuteIndex first =
      MinuteOf(**from + absl::Minutes(1) - absl::Nanoseconds(1));
  const MinuteIndex last(MinuteOf(**to - absl::Nanoseconds(1)));
  Expected<RefusedMinutesReport> report;
  dependencies_.control->Inspect([&](const ControlNode& node) {
    const ControlState& state = node.state();
    report =
        BuildRefusedMinutesReport(state.refused_minutes(), state.minute_marks(),
                                  first, last, state.replicated_time());
  });
  if (!report) {
    return tl::unexpected<Error>(report.error());
  }
  if (format == "text") {
    return TextResponse(RenderText(*report), "text/plain; charset=utf-8");
  }
  if (format == "csv") {
    return TextResponse(RenderCsv(*report), "text/csv; charset=utf-8");
  }
  return JsonResponse(RenderJson(*report));
}

Expected<HttpResponse> AdminApi::GetTimeline(const HttpRequest& request) {
  if (auto valid = CheckQuery(request, {"request", "account", "server", "kind",
                                        "from", "to", "limit"});
      !valid) {
    return tl::unexpected<Error>(valid.error());
  }
  TimelineFilter filter;
  if (!request.Query("request").empty()) {
    const Expected<RequestId> id = ParseRequestId(request.Query("request"));
    if (!id) {
      return tl::unexpected<Error>(id.error());
    }
    filter.request = *id;
  }
  if (!request.Query("account").empty()) {
    filter.account = ClientAccountId(request.Query("account"));
  }
  if (!request.Query("server").empty()) {
    filter.server = BackendServerId(request.Query("server"));
  }
  if (!request.Query("kind").empty()) {
    filter.kind = TimelineKind(request.Query("kind"));
  }
  const Expected<std::optional<absl::Time>> from =
      TimeParameter(request, "from");
  const Expected<std::optional<absl::Time>> to = TimeParameter(request, "to");
  const Expected<int64_t> limit = IntegerParameter(
      request, "limit", 1, kMaxTimelineEvents, kDefaultTimelineEvents);
  if (!from || !to || !limit) {
    return tl::unexpected<Error>(!from ? from.error()
                                       : (!to ? to.error() : limit.error()));
  }
  filter.from = from->value_or(absl::InfinitePast());
  filter.to = to->value_or(absl::InfiniteFuture());
  TimelineCollector::Result result =
      dependencies_.collector->Query(filter, static_cast<size_t>(*limit));
  Json body = TimelineToJson(result.slice);
  Json unreachable = Json::array();
  for (const VmId& vm : result.unreachable_vms) {
    unreachable.push_back(vm.value());
  }
  body["unreachable_vms"] = std::move(unreachable);
  return JsonResponse(body);
}

Expected<HttpResponse> AdminApi::Drain(const HttpRequest& request) {
  VmId vm = dependencies_.options->vm;
  if (!request.body.empty()) {
    Expected<Json> body = ParseBody(request);
    if (!body) {
      return tl::unexpected<Error>(body.error());
    }
    if (body->contains("vm")) {
      if (!(*body)["vm"].is_string()) {
        return Fail(ErrorKind::kInvalidRequest, "'vm' must be a string");
      }
      vm = VmId((*body)["vm"].get<std::string>());
    }
  }
  if (Expected<void> started = dependencies_.drain(vm); !started) {
    return tl::unexpected<Error>(started.error());
  }
  return JsonResponse({{"vm", vm.value()}});
}

}  // namespace camphorsail

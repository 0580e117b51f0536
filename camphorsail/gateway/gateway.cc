#include "camphorsail/gateway/gateway.h"

#include <algorithm>
#include <utility>

#include "absl/strings/str_cat.h"
#include "camphorsail/base/fnv_hash.h"
#include "camphorsail/base/monotonic_clock.h"
#include "camphorsail/gateway/error_reply.h"
#include "camphorsail/gateway/http_parse.h"
#include "camphorsail/process/log_event.h"

namespace camphorsail {
namespace {

/// An attempt on a route that allows further attempts is abandoned when it has
/// no answer after this multiple of the latency objective, but not before the
/// lower bounds below.
constexpr double kProgressTimeoutFactor = 2;
constexpr absl::Duration kMinCallProgressTimeout = absl::Milliseconds(150);
constexpr absl::Duration kMinStreamProgressTimeout = absl::Milliseconds(1000);
/// Separates the random numbers for the choice of route targets from those of
/// the placement, which has the same seed. ASCII "route".
constexpr uint64_t kTargetChoiceSeedMask = 0x726f757465;

/// Time from the first routing table after which a gateway that knows no server
/// is ready nevertheless. All running servers have announced themselves to the
/// replicas by then.
constexpr absl::Duration kServerViewWait = absl::Seconds(3);

constexpr char kMetricsPath[] = "/metrics";
constexpr absl::Duration kHousekeepingInterval = absl::Seconds(1);
/// Time after which a caller is asked to retry when the gateway had no memory
/// for its request.
constexpr absl::Duration kRetryAfterMemoryLimit = absl::Milliseconds(300);
/// Limits of the listeners for readiness probes and metrics, which have few
/// clients.
constexpr CallerBudgetSettings kReadinessListenerLimits = {
    .max_connections = 64,
    .max_request_bytes = 1 << 20};

}  // namespace

Gateway::Gateway(const GatewaySettings& settings,
                 const WireDialect& dialect,
                 EventLoop* loop,
                 Metrics* metrics)
    : settings_(settings),
      dialect_(dialect),
      loop_(loop),
      metrics_(metrics),
      telemetry_(metrics),
      gauges_(metrics),
      loop_telemetry_(metrics, loop),
      pool_(settings.pool, loop),
      placement_(settings.placement, settings.seed),
      answers_(settings.answers.max_total_bytes),
      crashes_(settings.pool.source_ip,
               loop,
               [this](const Ref<BackendServer>& server, bool ended) {
                 OnServerChecked(server, ended);
               }),
      usage_(settings.usage),
      random_(settings.seed ^ kTargetChoiceSeedMask) {
  fleet_.EnablePace(settings.paces_servers);
}

Gateway::~Gateway() {
  loop_->Cancel(housekeeping_);
}

Expected<void> Gateway::Start() {
  CallerHandlers handlers;
  handlers.on_request = [this](CallerConnection* caller, HttpRequestHead head,
                               std::string body) {
    OnRequest(caller, std::move(head), std::move(body));
  };
  handlers.on_unreceived_request = [this](CallerConnection* caller,
                                          ErrorKind kind) {
    OnUnreceivedRequest(caller, kind);
  };
  handlers.on_gone = [this](CallerConnection* caller) { OnCallerGone(caller); };
  handlers.on_drained = [this](CallerConnection* caller) {
    OnCallerDrained(caller);
  };
  const auto limits = [this] {
    return index_ ? index_->table().limits : CallerLimits();
  };
  Expected<std::unique_ptr<CallerListener>> callers = CallerListener::Create(
      settings_.listen, loop_, limits, settings_.callers, &answers_, handlers);
  if (!callers) {
    return tl::unexpected<Error>(callers.error());
  }
  callers_ = *std::move(callers);

  Expected<std::unique_ptr<CallerListener>> ready =
      MakeReadinessListener(settings_.ready_listen);
  if (!ready) {
    return tl::unexpected<Error>(ready.error());
  }
  ready_ = *std::move(ready);
  if (settings_.metrics_listen.port != 0) {
    Expected<std::unique_ptr<CallerListener>> metrics =
        MakeReadinessListener(settings_.metrics_listen);
    if (metrics) {
      metrics_listener_ = *std::move(metrics);
    } else {
      LogEvent("metrics_unavailable", LogLevel::kWarning)
          .Add("address", ToString(settings_.metrics_listen))
          .Add("message", metrics.error().message);
    }
  }
  Housekeep();
  return {};
}

void Gateway::Housekeep() {
  pool_.CloseIdle();
  housekeeping_ = loop_->RunAt(loop_->now() + kHousekeepingInterval,
                               [this] { Housekeep(); });
}

Expected<std::unique_ptr<CallerListener>> Gateway::MakeReadinessListener(
    const NetworkAddress& address) {
  CallerHandlers handlers;
  handlers.on_request =
      [this](CallerConnection* caller, const HttpRequestHead& head,
             const std::string&) { OnReadinessRequest(caller, head.target); };
  handlers.on_unreceived_request = [](CallerConnection* caller,
                                      ErrorKind kind) {
    caller->SendComplete(GetErrorTraits(kind).http_status, HttpHeaders(), "");
  };
  handlers.on_gone = [](CallerConnection*) {};
  handlers.on_drained = [](CallerConnection*) {};
  return CallerListener::Create(
      address, loop_, [] { return CallerLimits(); }, kReadinessListenerLimits,
      &answers_, handlers);
}

void Gateway::SetTable(const Ref<SharedRoutingTable>& table) {
  if (!index_) {
    first_table_at_ = loop_->now();
  }
  index_ = MakeRef<RouteIndex>(table);
  index_since_ = loop_->now();
  fleet_.SetServices(table->table.services, loop_->now());
  SetAccountWeights();
  LogEvent("routing_in_force")
      .Add("version", table->table.version)
      .Add("routes", table->table.routes.size())
      .Add("accounts", table->table.accounts.size());
}

bool Gateway::IsLeaseValid() const {
  return MonotonicNow() < lease_valid_until_;
}

bool Gateway::IsReady() const {
  return !draining_ && index_ && IsLeaseValid() &&
         (fleet_.has_had_servers() ||
          loop_->now() - first_table_at_ >= kServerViewWait);
}

void Gateway::BeginDrain(absl::Duration admission_time) {
  draining_ = true;
  accepts_until_ = loop_->now() + admission_time;
  callers_->CloseConnectionsAfterNextAnswer();
}

void Gateway::EndDrain() {
  if (!IsIdle() || !AreAnswersTaken()) {
    LogEvent("drain_cut", LogLevel::kWarning)
        .Add("requests", exchanges_.size())
        .Add("answers", callers_->untaken_answers());
  }
  std::vector<Exchange*> in_progress;
  for (const auto& [caller, exchange] : exchanges_) {
    in_progress.push_back(exchange.get());
  }
  for (Exchange* exchange : in_progress) {
    if (exchange->finished) {
      continue;
    }
    if (exchange->attempt.has_value()) {
      ++exchange->possible_runs;
    }
    EndAttempt(exchange, /*cancel=*/true);
    Refuse(exchange, ErrorKind::kShuttingDown, "the gateway is shutting down");
  }
}

void Gateway::StopCallers() {
  callers_->StopAccepting();
  callers_->CloseConnectionsWhenIdle();
}

GatewayRetryBudget& Gateway::RetryBudgetOf(const ModelId& service) {
  return retry_budgets_.try_emplace(service, settings_.retries).first->second;
}

void Gateway::OnReadinessRequest(CallerConnection* caller,
                                 const std::string& target) {
  if (target == kMetricsPath) {
    HttpHeaders headers;
    headers.Add("Content-Type", "text/plain; version=0.0.4");
    caller->SendComplete(200, headers, RenderMetrics());
    return;
  }
  caller->SendComplete(IsReady() ? 200 : 503, HttpHeaders(), "");
}

std::string Gateway::RenderMetrics() {
  const MonoTime now = loop_->now();
  GatewayState state;
  if (index_) {
    state.table_version = index_->table().version;
    state.table_age = now - index_since_;
    for (const ServiceProfile& service : index_->table().services) {
      state.services.push_back(
          {service.name, &fleet_.ServersOf(service.name),
           RetryBudgetOf(service.name).RetriesLeft(gateway_count_, now),
           &models_[service.name].admission(),
           &models_[service.name].speeds()});
    }
  }
  state.lease_left = lease_valid_until_ - now;
  state.requests = exchanges_.size();
  state.callers = callers_->open_connections();
  state.held_bytes = callers_->held_bytes();
  state.answer_bytes = answers_.total();
  state.rejected_connections = callers_->rejected_connections();
  state.dropped_refusals = refusals_.dropped();
  state.quarantined = quarantine_.verdicts();
  state.suspected_parts = quarantine_.suspects();
  gauges_.Update(state, now);
  loop_telemetry_.Update();
  return metrics_->Render();
}

void Gateway::SetRetrySettings(const GatewayRetryBudgetSettings& settings) {
  settings_.retries = settings;
  for (auto& [service, budget] : retry_budgets_) {
    budget.SetSettings(settings);
  }
}

void Gateway::OnUnreceivedRequest(CallerConnection* caller, ErrorKind kind) {
  telemetry_.OnUnreceivedRequest(kind);
  const ErrorReply reply = MakeErrorReply(
      Error{kind,
            kind == ErrorKind::kOverloaded
                ? "the memory limit for requests is reached"
                : "the request is malformed or too large, or was "
                  "not received in time",
            kRetryAfterMemoryLimit},
      "", dialect_);
  caller->SendComplete(reply.status, reply.headers, reply.body);
}

void Gateway::OnRequest(CallerConnection* caller,
                        HttpRequestHead head,
                        std::string body) {
  auto owned = std::make_unique<Exchange>();
  Exchange* exchange = owned.get();
  exchange->number = ++last_exchange_;
  exchange->caller = caller;
  exchange->head = std::move(head);
  exchange->body = std::move(body);
  exchange->index = index_;
  exchange->arrived_at = loop_->now();
  exchange->deadline = MonoTime::Infinite();
  exchanges_[caller] = std::move(owned);
  if (Expected<void> admitted = Admit(exchange); !admitted) {
    Refuse(exchange, admitted.error().kind, admitted.error().message);
    return;
  }
  if (exchange->deadline != MonoTime::Infinite()) {
    exchange->deadline_timer = loop_->RunAt(
        exchange->deadline, [this, exchange] { OnDeadline(exchange); });
  }
  RetryBudgetOf(exchange->service->name).OnRequest(loop_->now());
  RecordDemand(exchange);
  Dispatch(exchange);
}

Expected<void> Gateway::Admit(Exchange* exchange) {
  const MonoTime now = loop_->now();
  Expected<CallerRequest> request = dialect_.read_request(exchange->head);
  if (!request) {
    return tl::unexpected<Error>(request.error());
  }
  exchange->request = *std::move(request);
  if (!exchange->index) {
    return Fail(ErrorKind::kNotReady, "the gateway has no routing table yet");
  }
  if (!IsLeaseValid()) {
    return Fail(ErrorKind::kLeaseExpired,
                "the gateway cannot confirm that its routing table is current");
  }
  const RouteIndex& index = *exchange->index;
  const std::string* host = exchange->head.headers.Find("host");
  exchange->route =
      index.FindRoute(host == nullptr ? "" : *host, exchange->head.target);
  if (exchange->route == nullptr) {
    return Fail(ErrorKind::kNotFound, "no route matches the host and path");
  }
  const Route& route = *exchange->route;
  const AccountKeys* account = nullptr;
  if (index.table().requires_api_keys && !route.is_public) {
    account = index.FindAccount(exchange->request.api_key);
    if (account == nullptr) {
      return Fail(ErrorKind::kUnauthenticated, "unknown API key");
    }
    exchange->account = account->account;
  }
  exchange->placement.urgency = index.UrgencyOf(account, route);
  if (now >= accepts_until_) {
    return Fail(ErrorKind::kShuttingDown, "the gateway is shutting down");
  }
  double sum = 0;
  for (const RouteTarget& target : route.targets) {
    sum += target.weight;
  }
  double choice = random_.Uniform() * sum;
  for (const RouteTarget& target : route.targets) {
    if (target.weight <= 0) {
      continue;
    }
    exchange->service = index.FindService(target.service);
    if ((choice -= target.weight) < 0) {
      break;
    }
  }
  const absl::Duration wait = std::min(exchange->request.caller_timeout,
                                       absl::Milliseconds(route.timeout_ms));
  exchange->deadline = now + wait;
  PlacementRequest& placement = exchange->placement;
  placement.is_generation = exchange->service->is_engine;
  placement.prompt_tokens = exchange->request.prompt_tokens;
  placement.prefixes = PromptPrefixes::Of(exchange->request.model,
                                          exchange->request.prompt_parts);
  exchange->causes =
      SharedPartHashes(exchange->request.model, exchange->request.prompt_parts);
  placement.objective = absl::Milliseconds(route.objective_ms);
  placement.max_event_gap = absl::Milliseconds(route.max_event_gap_ms);
  placement.tokens_per_event = std::max(1, exchange->service->tokens_per_event);
  exchange->last_event = exchange->request.last_event;
  return {};
}

ServiceModel& Gateway::ModelOf(const Exchange& exchange) {
  return models_[exchange.service->name];
}

void Gateway::RecordDemand(Exchange* exchange) {
  PlacementRequest& placement = exchange->placement;
  const Route& route = *exchange->route;
  ServiceModel& model = ModelOf(*exchange);
  model.OnRequest(route, static_cast<double>(placement.prompt_tokens.value()),
                  placement.UnsharedTokens());
  if (!exchange->service->is_engine) {
    return;
  }
  placement.is_interactive = model.IsInteractive(route);
  model.OnPauseLimit(placement.urgency, placement.max_event_gap);
  placement_.OnRequest(placement, loop_->now());
  const double work_ms = Placement::EngineWorkMs(
      placement, model.engine(), model.ProfileOf(route).output_tokens(),
      std::max(1, exchange->service->slots));
  demand_.Add(placement.is_interactive, work_ms, loop_->now());
  model.admission().OnArrival(placement.urgency, work_ms, loop_->now());
  CountForAccount(exchange, work_ms);
}

void Gateway::RecordStreamEnd(const Exchange& exchange) {
  const double tokens = static_cast<double>(exchange.events_sent) *
                        exchange.placement.tokens_per_event;
  ModelOf(exchange)
      .ProfileOf(*exchange.route)
      .OnStreamEnd(tokens, loop_->now() - exchange.attempt->started_at -
                               exchange.attempt->first);
}

void Gateway::Dispatch(Exchange* exchange) {
  const MonoTime now = loop_->now();
  if (!IsLeaseValid()) {
    Refuse(exchange, ErrorKind::kLeaseExpired,
           "the gateway cannot confirm that its routing table is current");
    return;
  }
  if (!PassesQuarantine(exchange)) {
    return;
  }
  ServiceModel& model = ModelOf(*exchange);
  exchange->placement.slot_seconds =
      model.ProfileOf(*exchange->route).stream_seconds();
  SetMemoryNeed(exchange);
  const PlacementChoice choice =
      placement_.Choose(fleet_.ServersOf(exchange->service->name),
                        exchange->placement, model, now);
  if (!choice.server) {
    RefuseWithoutServer(exchange);
    return;
  }
  BackendServer& server = *choice.server;
  if (exchange->started_attempts == 0 && !AdmitOrRefuse(exchange, choice)) {
    return;
  }
  Expected<std::string> head = BuildRequestHead(*exchange, server, now);
  if (!head) {
    Refuse(exchange, head.error().kind, head.error().message);
    return;
  }
  ++exchange->started_attempts;
  model.admission().OnStarted(exchange->placement.urgency, now);
  ExchangeAttempt& attempt = exchange->attempt.emplace();
  attempt.server = choice.server;
  attempt.started_at = now;
  attempt.held.emplace(&answers_, [this, caller = exchange->caller,
                                   number = exchange->number] {
    loop_->Post([this, caller, number] { GiveUpHeldAnswer(caller, number); });
  });
  attempt.prefill = choice.prefill;
  attempt.uncached_tokens = choice.uncached_tokens;
  attempt.expected = choice.expected;
  attempt.prefix_rank = choice.prefix_rank;
  attempt.load = server.Load(now);
  attempt.is_server_idle = server.PromptBacklog(now) <= absl::ZeroDuration() &&
                           attempt.load < server.slots;
  attempt.is_server_full = attempt.load >= server.slots;
  attempt.number =
      server.OnDispatch(choice.prefill, exchange->placement.urgency, now);
  server.HoldTokens(exchange->placement.memory_tokens,
                    exchange->placement.urgency);
  server.isolated_requests += exchange->placement.isolated ? 1 : 0;
  server.prefixes.Record(exchange->placement.prefixes, now);
  attempt.connection = pool_.Take(server.address);
  telemetry_.OnAttemptStarted(*exchange, choice);
  const Route& route = *exchange->route;
  if (route.MayRunAgain() && route.objective_ms > 0) {
    const absl::Duration objective = absl::Milliseconds(route.objective_ms);
    StartProgressTimer(exchange, std::max(objective * kProgressTimeoutFactor,
                                          route.kind == RouteKind::kStream
                                              ? kMinStreamProgressTimeout
                                              : kMinCallProgressTimeout));
  }
  attempt.connection->Start(*std::move(head), exchange->body,
                            exchange->head.method == "HEAD",
                            MakeHandlers(exchange));
}

Expected<std::string> Gateway::BuildRequestHead(const Exchange& exchange,
                                                const BackendServer& server,
                                                MonoTime now) const {
  HttpHeaders headers;
  const HopByHopHeaders hop_by_hop(exchange.head.headers);
  for (const HttpHeaders::Item& item : exchange.head.headers.items()) {
    if (!hop_by_hop.Contains(item.first) &&
        !absl::EqualsIgnoreCase(item.first, "content-length") &&
        !absl::EqualsIgnoreCase(item.first, "expect")) {
      headers.Add(item.first, item.second);
    }
  }
  ForwardParameters parameters;
  parameters.server = server.id;
  parameters.time_left = exchange.deadline - now;
  parameters.account = exchange.account;
  if (exchange.service->is_engine) {
    parameters.urgency = exchange.placement.urgency;
  }
  parameters.last_event = exchange.last_event;
  dialect_.write_forward_headers(parameters, &headers);
  if (!AreHeadersValid(headers)) {
    // A line end in a value would change the request, or add another one.
    return Fail(ErrorKind::kInternal,
                "a header of the request to the server is not valid");
  }
  std::string request = absl::StrCat(exchange.head.method, " ",
                                     exchange.head.target, " HTTP/1.1\r\n");
  headers.AppendTo(&request);
  const bool has_body =
      !exchange.body.empty() ||
      exchange.head.headers.Find("content-length") != nullptr ||
      exchange.head.headers.Find("transfer-encoding") != nullptr;
  if (has_body) {
    absl::StrAppend(&request, "Content-Length: ", exchange.body.size(), "\r\n");
  }
  request.append("\r\n");
  return request;
}

BackendHandlers Gateway::MakeHandlers(Exchange* exchange) {
  BackendHandlers handlers;
  handlers.on_head = [this, exchange](HttpResponseHead head) {
    return OnHead(exchange, std::move(head));
  };
  handlers.on_data = [this, exchange](std::string_view data) {
    OnData(exchange, data);
  };
  handlers.on_end = [this, exchange] { OnEnd(exchange); };
  handlers.on_failure = [this, exchange](BackendFailure failure, bool sent) {
    OnFailure(exchange, failure, sent);
  };
  return handlers;
}

}  // namespace camphorsail

#include "camphorsail/gateway/gateway_gauges.h"

#include <string>
#include <utility>

#include "absl/strings/str_cat.h"
#include "camphorsail/base/urgency.h"

namespace camphorsail {

GatewayGauges::GatewayGauges(Metrics* metrics)
    : metrics_(metrics), process_(metrics) {
  const auto declare = [this](const char* name, const char* help,
                              std::vector<std::string> labels) {
    return metrics_->Declare(
        {name, MetricKind::kGauge, help, std::move(labels)});
  };
  table_version_ = declare("camphorsail_gateway_table_version",
                           "Version of the routing table in use.", {});
  table_age_ =
      declare("camphorsail_gateway_table_age_seconds",
              "Time since the current routing table was put into use.", {});
  lease_ = declare("camphorsail_gateway_lease_left_seconds",
                   "Time until the lease on the routing table expires; then "
                   "the gateway refuses requests.",
                   {});
  requests_ = declare("camphorsail_gateway_requests_in_progress",
                      "Requests whose answer is not complete yet.", {});
  callers_ = declare("camphorsail_gateway_caller_connections",
                     "Open connections of callers.", {});
  held_bytes_ =
      declare("camphorsail_gateway_request_bytes",
              "Bytes of request headers and bodies held in memory.", {});
  answer_bytes_ = declare("camphorsail_gateway_answer_bytes",
                          "Bytes of answers that are not complete, or that "
                          "their callers have not taken.",
                          {});
  rejected_connections_ =
      declare("camphorsail_gateway_callers_turned_away",
              "Connections of callers that were closed on arrival "
              "because the limit was reached.",
              {});
  dropped_refusals_ = declare("camphorsail_gateway_lost_refusals",
                              "Refusals that were not reported to a replica "
                              "because the queue was full.",
                              {});
  quarantined_ = declare("camphorsail_gateway_quarantined",
                         "Sets of prompt parts whose requests are refused "
                         "because servers end on them.",
                         {});
  suspected_parts_ = declare("camphorsail_gateway_suspected_parts",
                             "Prompt parts that are suspected of ending "
                             "servers.",
                             {});
  servers_ =
      declare("camphorsail_gateway_servers",
              "Available servers, including suspended ones.", {"service"});
  suspended_ = declare("camphorsail_gateway_servers_suspended",
                       "Servers that temporarily get no requests because "
                       "attempts failed.",
                       {"service"});
  leaving_ = declare("camphorsail_gateway_servers_leaving",
                     "Servers that get no new requests because they said that "
                     "they are leaving.",
                     {"service"});
  resting_ = declare("camphorsail_gateway_servers_resting",
                     "Servers that get no requests for a time because they "
                     "asked for it.",
                     {"service"});
  paced_ = declare("camphorsail_gateway_servers_paced",
                   "Servers that get few requests until they have answered "
                   "well, because they have just started or recovered.",
                   {"service"});
  pace_limit_ = declare("camphorsail_gateway_server_pace_limit",
                        "Requests that all gateways together may have on the "
                        "paced servers.",
                        {"service"});
  own_requests_ =
      declare("camphorsail_gateway_server_requests",
              "Requests of this gateway on the servers.", {"service"});
  known_requests_ = declare("camphorsail_gateway_server_requests_known",
                            "Estimated requests of all gateways on the "
                            "servers.",
                            {"service"});
  slots_ =
      declare("camphorsail_gateway_server_slots",
              "Requests that the servers run at the same time.", {"service"});
  retries_ = declare("camphorsail_gateway_retries_left",
                     "Retries that this gateway may send now.", {"service"});
  refused_share_ = declare("camphorsail_gateway_refused_share",
                           "Share of the requests of an urgency that is "
                           "refused because more urgent ones are late.",
                           {"service", "urgency"});
  server_slowness_ = declare("camphorsail_gateway_server_slowness",
                             "How long work lastingly takes on a server, as a "
                             "multiple of what is usual in its service. Only "
                             "for services whose servers are uneven.",
                             {"service", "server"});
  interactive_servers_ = declare("camphorsail_gateway_servers_interactive",
                                 "Servers in the lane of the interactive "
                                 "streams. Only for services whose servers are "
                                 "uneven.",
                                 {"service"});
  spell_share_ = declare("camphorsail_gateway_spell_share",
                         "Fraction of the time in which servers are slowed by "
                         "what shares their hosts. Only for services whose "
                         "servers report it.",
                         {"service"});
  spell_slowdown_ = declare("camphorsail_gateway_spell_slowdown",
                            "How long work takes in such a time, as a multiple "
                            "of the usual time.",
                            {"service"});
  spell_length_ = declare("camphorsail_gateway_spell_seconds",
                          "Typical length of such a time.", {"service"});
}

void GatewayGauges::UpdateSpeeds(const ServiceGauges& service) {
  const std::string& name = service.service.value();
  const ServiceSpeeds& speeds = *service.speeds;
  if (speeds.is_uneven()) {
    for (const Ref<BackendServer>& server : *service.servers) {
      metrics_->Set(server_slowness_, {name, server->id.value()},
                    server->speed.lasting());
    }
    metrics_->Set(interactive_servers_, {name},
                  speeds.is_divided()
                      ? static_cast<double>(speeds.interactive_engines())
                      : 0);
  }
  if (speeds.has_reports()) {
    metrics_->Set(spell_share_, {name}, speeds.spell_share());
    metrics_->Set(spell_slowdown_, {name}, speeds.spell_slowdown());
    metrics_->Set(spell_length_, {name},
                  absl::ToDoubleSeconds(speeds.spell_length()));
  }
}

void GatewayGauges::Update(const GatewayState& state, MonoTime now) {
  process_.Update();
  metrics_->Set(table_version_, {}, static_cast<double>(state.table_version));
  metrics_->Set(table_age_, {}, absl::ToDoubleSeconds(state.table_age));
  metrics_->Set(lease_, {}, absl::ToDoubleSeconds(state.lease_left));
  metrics_->Set(requests_, {}, static_cast<double>(state.requests));
  metrics_->Set(callers_, {}, static_cast<double>(state.callers));
  metrics_->Set(held_bytes_, {}, static_cast<double>(state.held_bytes));
  metrics_->Set(answer_bytes_, {}, static_cast<double>(state.answer_bytes));
  metrics_->Set(rejected_connections_, {},
                static_cast<double>(state.rejected_connections));
  metrics_->Set(dropped_refusals_, {},
                static_cast<double>(state.dropped_refusals));
  metrics_->Set(quarantined_, {}, static_cast<double>(state.quarantined));
  metrics_->Set(suspected_parts_, {},
                static_cast<double>(state.suspected_parts));
  for (const ServiceGauges& service : state.services) {
    int suspended = 0;
    int leaving = 0;
    int resting = 0;
    int paced = 0;
    double pace_limit = 0;
    int own = 0;
    int slots = 0;
    double known = 0;
    for (const Ref<BackendServer>& server : *service.servers) {
      suspended += server->health.AcceptsRequests(now) ? 0 : 1;
      leaving += server->wishes.is_leaving() ? 1 : 0;
      resting += server->wishes.IsResting(now) ? 1 : 0;
      paced += server->pace.is_active() ? 1 : 0;
      pace_limit += server->pace.is_active() ? server->pace.limit() : 0;
      own += server->in_flight();
      slots += server->slots;
      known += server->Load(now);
    }
    const std::string& name = service.service.value();
    metrics_->Set(servers_, {name},
                  static_cast<double>(service.servers->size()));
    metrics_->Set(suspended_, {name}, suspended);
    metrics_->Set(leaving_, {name}, leaving);
    metrics_->Set(resting_, {name}, resting);
    metrics_->Set(paced_, {name}, paced);
    metrics_->Set(pace_limit_, {name}, pace_limit);
    metrics_->Set(own_requests_, {name}, own);
    metrics_->Set(known_requests_, {name}, known);
    metrics_->Set(slots_, {name}, slots);
    metrics_->Set(retries_, {name}, service.retries_left);
    UpdateSpeeds(service);
    for (int level = 0; level < kUrgencyLevels; ++level) {
      metrics_->Set(refused_share_, {name, absl::StrCat(level)},
                    service.admission->RefusedShare(Urgency(level)));
    }
  }
}

}  // namespace camphorsail

#include "camphorsail/timeline/timeline_codec.h"

#include <cstdint>
#include <exception>
#include <map>
#include <tuple>
#include <utility>
#include <vector>

#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/str_format.h"
#include "absl/time/time.h"
#include "camphorsail/base/msgpack_bytes.h"
#include "camphorsail/base/text_table.h"
#include "nlohmann/json.hpp"

namespace camphorsail {
namespace {

using Inputs = std::vector<std::pair<std::string, std::string>>;
/// The fields of an event in their order.
using WireEvent = std::tuple<int64_t,
                             uint32_t,
                             std::string,
                             std::string,
                             uint64_t,
                             std::string,
                             std::string,
                             std::string,
                             std::string,
                             Inputs>;
/// Events, overwritten, complete_after and truncated.
using WireSlice =
    std::tuple<std::vector<WireEvent>, uint64_t, int64_t, uint32_t, bool>;

WireEvent ToWire(const TimelineEvent& event) {
  return {event.time.wall_micros, event.time.counter,
          event.vm.value(),       event.kind.value(),
          event.request.value(),  event.account.value(),
          event.class_id.value(), event.server.value(),
          event.reason,           event.inputs};
}

TimelineEvent FromWire(WireEvent wire) {
  auto& [wall, counter, vm, kind, request, account, class_id, server, reason,
         inputs] = wire;
  return {{wall, counter},
          VmId(std::move(vm)),
          TimelineKind(std::move(kind)),
          RequestId(request),
          ClientAccountId(std::move(account)),
          ClassId(std::move(class_id)),
          BackendServerId(std::move(server)),
          std::move(reason),
          std::move(inputs)};
}

nlohmann::json TimestampToJson(const HybridTimestamp& time) {
  return {{"wall_micros", time.wall_micros}, {"counter", time.counter}};
}

HybridTimestamp TimestampFromJson(const nlohmann::json& json) {
  return {json.at("wall_micros").get<int64_t>(),
          json.at("counter").get<uint32_t>()};
}

std::string JoinInputs(const Inputs& inputs) {
  std::string text;
  for (const auto& [name, value] : inputs) {
    absl::StrAppend(&text, text.empty() ? "" : " ", name, "=", value);
  }
  return text;
}

}  // namespace

std::string EncodeTimeline(const TimelineSlice& slice) {
  WireSlice wire;
  auto& [events, overwritten, wall, counter, truncated] = wire;
  events.reserve(slice.events.size());
  for (const TimelineEvent& event : slice.events) {
    events.push_back(ToWire(event));
  }
  overwritten = slice.overwritten;
  wall = slice.complete_after.wall_micros;
  counter = slice.complete_after.counter;
  truncated = slice.truncated;
  return PackBytes(wire);
}

Expected<TimelineSlice> DecodeTimeline(const std::string& bytes) {
  Expected<WireSlice> decoded = UnpackBytes<WireSlice>(bytes);
  if (!decoded) {
    return tl::unexpected<Error>(decoded.error());
  }
  auto& [events, overwritten, wall, counter, truncated] = *decoded;
  TimelineSlice slice;
  slice.events.reserve(events.size());
  for (WireEvent& event : events) {
    slice.events.push_back(FromWire(std::move(event)));
  }
  slice.overwritten = overwritten;
  slice.complete_after = {wall, counter};
  slice.truncated = truncated;
  return slice;
}

nlohmann::json TimelineToJson(const TimelineSlice& slice) {
  nlohmann::json events = nlohmann::json::array();
  for (const TimelineEvent& event : slice.events) {
    nlohmann::json inputs = nlohmann::json::array();
    for (const auto& [name, value] : event.inputs) {
      inputs.push_back({{"name", name}, {"value", value}});
    }
    events.push_back({{"time", FormatWallMicros(event.time.wall_micros)},
                      {"timestamp", TimestampToJson(event.time)},
                      {"vm", event.vm.value()},
                      {"kind", event.kind.value()},
                      {"request", FormatRequestId(event.request)},
                      {"account", event.account.value()},
                      {"class", event.class_id.value()},
                      {"server", event.server.value()},
                      {"reason", event.reason},
                      {"inputs", std::move(inputs)}});
  }
  return {{"events", std::move(events)},
          {"overwritten", slice.overwritten},
          {"complete_after", TimestampToJson(slice.complete_after)},
          {"truncated", slice.truncated}};
}

Expected<TimelineSlice> TimelineFromJson(const nlohmann::json& json) {
  try {
    TimelineSlice slice;
    for (const nlohmann::json& item : json.at("events")) {
      TimelineEvent event;
      event.time = TimestampFromJson(item.at("timestamp"));
      event.vm = VmId(item.at("vm").get<std::string>());
      event.kind = TimelineKind(item.at("kind").get<std::string>());
      const Expected<RequestId> request =
          ParseRequestId(item.at("request").get<std::string>());
      if (!request) {
        return Fail(ErrorKind::kProtocolError, request.error().message);
      }
      event.request = *request;
      event.account = ClientAccountId(item.at("account").get<std::string>());
      event.class_id = ClassId(item.at("class").get<std::string>());
      event.server = BackendServerId(item.at("server").get<std::string>());
      event.reason = item.at("reason").get<std::string>();
      for (const nlohmann::json& input : item.at("inputs")) {
        event.inputs.emplace_back(input.at("name").get<std::string>(),
                                  input.at("value").get<std::string>());
      }
      slice.events.push_back(std::move(event));
    }
    slice.overwritten = json.at("overwritten").get<uint64_t>();
    slice.complete_after = TimestampFromJson(json.at("complete_after"));
    slice.truncated = json.at("truncated").get<bool>();
    return slice;
  } catch (const nlohmann::json::exception& e) {
    return Fail(ErrorKind::kProtocolError, e.what());
  }
}

std::string TimelineToText(const TimelineSlice& slice) {
  TextTable table({"TIME", "VM", "KIND", "REQUEST", "ACCOUNT", "CLASS",
                   "SERVER", "REASON", "INPUTS"});
  for (const TimelineEvent& event : slice.events) {
    table.AddRow({absl::StrCat(FormatWallMicros(event.time.wall_micros), "+",
                               event.time.counter),
                  event.vm.value(), event.kind.value(),
                  FormatRequestId(event.request), event.account.value(),
                  event.class_id.value(), event.server.value(), event.reason,
                  JoinInputs(event.inputs)});
  }
  std::string text = table.Render();
  if (slice.overwritten > 0) {
    absl::StrAppend(&text, "Incomplete up to ",
                    FormatWallMicros(slice.complete_after.wall_micros), ": ",
                    slice.overwritten, " older events were overwritten.\n");
  }
  if (slice.truncated) {
    absl::StrAppend(&text,
                    "Older events were left out; narrow the period or raise "
                    "the limit.\n");
  }
  return text;
}

std::string FormatWallMicros(int64_t wall_micros) {
  return absl::FormatTime("%Y-%m-%dT%H:%M:%E6SZ",
                          absl::FromUnixMicros(wall_micros),
                          absl::UTCTimeZone());
}

}  // namespace camphorsail

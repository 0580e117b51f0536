#include <sys/resource.h>

#include <nlohmann/json.hpp>

#include "absl/strings/str_cat.h"
#include "camphorsail/control/command.h"
#include "camphorsail/http/stream_server_settings.h"
#include "gtest/gtest.h"
#include "platform/registration.h"
#include "platform/routing_document.h"
#include "platform/wire_dialect.h"
#include "tests/unit/platform/sample_document.h"

namespace camphorsail::platform {
namespace {

const absl::Time kNow = absl::FromUnixSeconds(1800000000);

TEST(RoutingDocumentTest, ParsesAllFieldsAndKeepsTheDocument) {
  const Expected<RoutingTable> table = ParseRoutingDocument(kSampleDocument);
  ASSERT_TRUE(table) << table.error().message;
  EXPECT_EQ(table->version, 7U);
  EXPECT_EQ(table->document, kSampleDocument);
  const Route& stream = table->routes.at(0);
  EXPECT_EQ(stream.kind, RouteKind::kStream);
  EXPECT_EQ(stream.targets.size(), 2U);
  EXPECT_EQ(stream.objective_ms, 2000);
  EXPECT_EQ(stream.max_event_gap_ms, 800);
  EXPECT_EQ(stream.max_attempts, 2);
  EXPECT_TRUE(stream.MayRunAgain());
  const Route& call = table->routes.at(1);
  EXPECT_EQ(call.kind, RouteKind::kNonIdempotent);
  EXPECT_FALSE(call.MayRunAgain());
  EXPECT_TRUE(table->services.at(0).is_engine);
  EXPECT_EQ(table->services.at(0).tokens_per_event, 5);
  EXPECT_FALSE(table->services.at(1).is_engine);
  EXPECT_EQ(table->limits.header_timeout_ms, 3000);
  EXPECT_TRUE(table->requires_api_keys);
  EXPECT_EQ(table->accounts.at(0).rank, 1);
}

// Guards against a valid document that the listeners take and that is then too
// large to be replicated.
TEST(RoutingDocumentTest, LargestDocumentFitsIntoACommand) {
  const size_t limit = StreamServerSettings().max_body_bytes;
  std::string document = R"({"version":1,"services":[{"name":"s"}],"routes":[)";
  const std::string end = "]}";
  for (int i = 0;; ++i) {
    const std::string route =
        absl::StrCat(i == 0 ? "" : ",", R"({"host":"","pathPrefix":"/)", i,
                     R"(/","service":"s","timeoutMs":1})");
    if (document.size() + route.size() + end.size() > limit) {
      break;
    }
    document += route;
  }
  Expected<RoutingTable> table = ParseRoutingDocument(document + end);
  ASSERT_TRUE(table) << table.error().message;
  Command command;
  command.body = *std::move(table);
  EXPECT_LE(EncodeCommand(command).size(), kMaxCommandBytes);
}

TEST(RoutingDocumentTest, RejectsMalformedOrInvalidDocuments) {
  const auto expect_rejected = [](const char* what, const auto& change) {
    nlohmann::json root = nlohmann::json::parse(kSampleDocument);
    change(&root);
    EXPECT_FALSE(ParseRoutingDocument(root.dump())) << what;
  };
  EXPECT_FALSE(
      ParseRoutingDocument(std::string(kSampleDocument).substr(0, 700)));
  EXPECT_FALSE(ParseRoutingDocument("[]"));
  EXPECT_FALSE(ParseRoutingDocument(""));
  expect_rejected("no version", [](auto* root) { root->erase("version"); });
  expect_rejected("version is not a number",
                  [](auto* root) { (*root)["version"] = "x"; });
  for (const char* name : {"", "a\r\nX: y", "a\n", " a", "a "}) {
    expect_rejected("name of an account", [name](auto* root) {
      (*root)["tenants"][0]["name"] = name;
    });
  }
  expect_rejected("unknown service",
                  [](auto* root) { (*root)["routes"][1]["service"] = "z"; });
  expect_rejected("two routes with one host and prefix", [](auto* root) {
    (*root)["routes"][1]["pathPrefix"] = "/a/";
  });
  expect_rejected("timeout of 0",
                  [](auto* root) { (*root)["routes"][1]["timeoutMs"] = 0; });
  expect_rejected("weights with sum 0", [](auto* root) {
    for (auto& part : (*root)["routes"][0]["trafficSplit"]) {
      part["weight"] = 0;
    }
  });
  expect_rejected("key of two accounts", [](auto* root) {
    (*root)["tenants"].push_back({{"name", "t2"}, {"apiKeys", {"k1"}}});
  });
}

TEST(RegistrationTest, ReadsAHeartbeat) {
  const auto announcement = ParseRegistration(
      "i-1",
      R"({"service":"m","address":"10.0.0.9:8080","zone":"z","version":"v1","slots":64,"state":"draining",
"coldLeftMs":0,"stage":"both","models":[{"name":"m"}],"sequence":4,"born":1700000000000})",
      kNow);
  ASSERT_TRUE(announcement) << announcement.error().message;
  EXPECT_EQ(announcement->server, BackendServerId("i-1"));
  EXPECT_TRUE(announcement->leaving);
  EXPECT_EQ(announcement->version.incarnation, Incarnation(1700000000000));
  EXPECT_EQ(announcement->version.sequence, AnnouncementSequence(4));
  EXPECT_EQ(announcement->description.kind, ServerKind::kModelEngine);
  EXPECT_EQ(announcement->description.capacity, 64);
}

// Guards against accepting an invalid registration, which could remove a
// working server or add an unusable one.
TEST(RegistrationTest, RejectsUnusableServers) {
  const nlohmann::json good = {{"service", "m"},   {"address", "10.0.0.9:80"},
                               {"zone", "z"},      {"slots", 6},
                               {"state", "ready"}, {"sequence", 1},
                               {"born", 5}};
  ASSERT_TRUE(ParseRegistration("i", good.dump(), kNow));
  EXPECT_FALSE(ParseRegistration("", good.dump(), kNow));
  // The id stands in the head of each request to the server.
  for (const std::string id : {"i\n", "i\r\n", "i\r\nTenant-Id: x", " i", "i i",
                               "i\t", "i\x7f", "\xc3\xa9"}) {
    EXPECT_FALSE(ParseRegistration(id, good.dump(), kNow)) << id;
  }
  EXPECT_FALSE(ParseRegistration(std::string(257, 'i'), good.dump(), kNow));
  EXPECT_FALSE(ParseRegistration(std::string("i\0i", 3), good.dump(), kNow));
  EXPECT_FALSE(ParseRegistration("i", "not json", kNow));
  EXPECT_FALSE(ParseRegistration("i", "[1]", kNow));
  for (const auto& [key, value] :
       std::vector<std::pair<const char*, nlohmann::json>>{
           {"service", 7},
           {"service", ""},
           {"address", "somewhere"},
           {"address", 1},
           {"slots", 0},
           {"slots", "six"},
           {"state", "asleep"},
           {"sequence", "x"},
           {"sequence", 1e30},
           {"slots", 1e30},
           {"address", "10.0.0.9:0"},
           {"address", "10.0.0.9:70000"},
           {"address", "10.0.0.9:-1"},
           {"service", "m\r\nX: y"},
           {"version", 1},
           {"models", "m"},
           {"address", "10.0.0.9:99999999999999999999"},
           {"born", "x"}}) {
    nlohmann::json bad = good;
    bad[key] = value;
    EXPECT_FALSE(ParseRegistration("i", bad.dump(), kNow)) << key << value;
  }
  for (const char* key : {"service", "address", "zone", "slots", "state"}) {
    nlohmann::json bad = good;
    bad.erase(key);
    EXPECT_FALSE(ParseRegistration("i", bad.dump(), kNow)) << key;
  }
}

// Guards against a late deregistration of an earlier start that takes the
// server's present start out of service.
TEST(DeregistrationTest, NamesTheIncarnationThatLeaves) {
  EXPECT_EQ(ParseDeregistration("i", "", kNow).value(), std::nullopt);
  EXPECT_EQ(ParseDeregistration("i", R"({"sequence":9})", kNow).value(),
            std::nullopt);
  EXPECT_EQ(
      ParseDeregistration("i", R"({"sequence":9,"born":1700000000000})", kNow)
          .value(),
      Incarnation(1700000000000));
  for (const std::string body :
       {"not json", "[1]", R"({"born":"x"})", R"({"born":-1})",
        R"({"born":1.5})", R"({"born":9000000000000000})"}) {
    EXPECT_FALSE(ParseDeregistration("i", body, kNow)) << body;
  }
  for (const std::string id : {"", "i i", "i\r\n"}) {
    EXPECT_FALSE(ParseDeregistration(id, "", kNow)) << id;
  }
}

// Reported by other operators: an entry that was nested very deeply, or had a
// number too large, ended each process that read it.
TEST(RegistrationTest, RejectsDeepNestingAndLargeNumbersInLittleMemory) {
  constexpr size_t kLevels = 2'000'000;
  constexpr long kMaxGrowthKilobytes = 64 * 1024;
  const auto peak_kilobytes = [] {
    rusage usage = {};
    getrusage(RUSAGE_SELF, &usage);
    return usage.ru_maxrss;
  };
  const std::string open(kLevels, '[');
  const std::string closed = open + std::string(kLevels, ']');
  const std::string start =
      R"({"service":"m","address":"10.0.0.9:80","zone":"z","slots":6,"state":"ready","sequence":1,"x":)";
  const std::string in_a_field = start + closed + "}";
  const long before = peak_kilobytes();
  for (const std::string& body : {open, closed, in_a_field}) {
    EXPECT_FALSE(ParseRegistration("i", body, kNow));
    EXPECT_FALSE(ParseRoutingDocument(body));
  }
  EXPECT_LT(peak_kilobytes() - before, kMaxGrowthKilobytes);
  EXPECT_FALSE(ParseRegistration("i", start + "1e999}", kNow));
  EXPECT_TRUE(ParseRegistration("i", start + "1}", kNow));
}

// Guards against one odd entry that hides all that the real server says later.
TEST(RegistrationTest, RejectsAStartInTheFuture) {
  const auto parse = [](absl::Time born) {
    return ParseRegistration(
        "i",
        absl::StrCat(
            R"({"service":"m","address":"10.0.0.9:80","zone":"z","slots":6,"state":"ready","sequence":1,"born":)",
            absl::ToUnixMillis(born), "}"),
        kNow);
  };
  EXPECT_TRUE(parse(kNow + absl::Minutes(1)));
  EXPECT_FALSE(parse(kNow + absl::Hours(24)));
}

// Guards against callers that set headers that only the gateway may set, and
// against forwarding a caller's API key to a server.
TEST(WireDialectTest, OnlyTheGatewaySetsItsHeaders) {
  const WireDialect dialect = MakeWireDialect();
  HttpHeaders headers;
  headers.Add("request-id", "abc");
  headers.Add("CREDENTIAL", "key");
  headers.Add("Tenant-Id", "forged");
  headers.Add("hold", "h");
  headers.Add("Kv-From", "1.2.3.4:5/x");
  headers.Add("Request-Urgency", "0");
  headers.Add("Expect-Instance", "forged");
  headers.Add("Last-Event-Id", "3");
  headers.Add("Request-Deadline", "99999");
  ForwardParameters parameters;
  parameters.server = BackendServerId("i-1");
  parameters.time_left = absl::Milliseconds(1500);
  parameters.account = ClientAccountId("t1");
  parameters.urgency = Urgency(4);
  parameters.last_event = 12;
  dialect.write_forward_headers(parameters, &headers);
  EXPECT_EQ(headers.Count("Credential"), 0U);
  EXPECT_EQ(headers.Count("Hold"), 0U);
  EXPECT_EQ(headers.Count("Kv-From"), 0U);
  EXPECT_EQ(*headers.Find("Request-Id"), "abc");
  for (const auto& [name, value] :
       {std::pair("Tenant-Id", "t1"), std::pair("Request-Urgency", "4"),
        std::pair("Expect-Instance", "i-1"), std::pair("Last-Event-Id", "12"),
        std::pair("Request-Deadline", "1500")}) {
    EXPECT_EQ(headers.Count(name), 1U) << name;
    EXPECT_EQ(*headers.Find(name), value) << name;
  }
}

TEST(WireDialectTest, ReadsRequestsAndAnswers) {
  const WireDialect dialect = MakeWireDialect();
  HttpRequestHead head;
  head.headers.Add("Request-Id", "abc");
  head.headers.Add("Token-Counts", "1460,80");
  head.headers.Add("Prompt-Prefix", "5c:800,91:410,e4:250");
  head.headers.Add("Request-Deadline", "600");
  const Expected<CallerRequest> request = dialect.read_request(head);
  ASSERT_TRUE(request);
  EXPECT_EQ(request->prompt_tokens, Tokens(1460));
  EXPECT_EQ(request->prompt_parts.size(), 3U);
  EXPECT_EQ(request->caller_timeout, absl::Milliseconds(600));
  head.headers.items().back().second = "soon";
  EXPECT_FALSE(dialect.read_request(head));

  HttpResponseHead answer;
  answer.status = 421;
  EXPECT_TRUE(dialect.read_reply(answer).not_run);
  answer.status = 503;
  EXPECT_FALSE(dialect.read_reply(answer).not_run);
  answer.headers.Add("Not-Executed", "1");
  answer.headers.Add("Server-Load", "3,1,8");
  const ServerReply reply = dialect.read_reply(answer);
  EXPECT_TRUE(reply.not_run);
  ASSERT_TRUE(reply.load.has_value());
  EXPECT_EQ(reply.load->waiting, 1);
  dialect.strip_reply(&answer.headers);
  EXPECT_EQ(answer.headers.Find("Server-Load"), nullptr);
}

// Guards against a report being dropped because a later release of the servers
// adds figures, and against an odd report taking the answer with it.
TEST(WireDialectTest, ReadsLoadReportsOfAnyLength) {
  const WireDialect dialect = MakeWireDialect();
  const auto read = [&](const std::string& text) {
    HttpResponseHead head;
    head.status = 200;
    head.headers.Add("Request-Id", "42");
    head.headers.Add("Server-Load", text);
    return dialect.read_reply(head);
  };
  EXPECT_EQ(read("3,1,8").load->slots, 8);
  EXPECT_FALSE(read("3,1,8").load->slowdown.has_value());
  for (const char* text : {"3,1,8,250", "3,1,8,250,7", "3,1,8,250,later,x"}) {
    const ServerReply reply = read(text);
    ASSERT_TRUE(reply.load.has_value()) << text;
    EXPECT_EQ(reply.load->running, 3);
    EXPECT_EQ(reply.load->waiting, 1);
    EXPECT_DOUBLE_EQ(reply.load->slowdown.value_or(0), 2.5);
    EXPECT_TRUE(reply.odd_load.empty());
  }
  for (const char* text :
       {"3", "3,1", "3,,8", "3,1,-8", "a,1,8", "3,1,99999999999", "3,1,8,",
        "3,1,8,0", "3,1,8,-5", "3,1,8,nan", "3,1,8,inf"}) {
    const ServerReply reply = read(text);
    EXPECT_FALSE(reply.load.has_value()) << text;
    EXPECT_EQ(reply.odd_load, text);
    EXPECT_EQ(reply.request_id, "42");
  }
}

// What a server wants is read from well-formed headers of the answers that may
// have them; anything else must not take the server out of use.
TEST(WireDialectTest, ReadsWhatServersWant) {
  const WireDialect dialect = MakeWireDialect();
  const auto read = [&](int status, const std::string& name,
                        const std::vector<std::string>& values) {
    HttpResponseHead head;
    head.status = status;
    for (const std::string& value : values) {
      head.headers.Add(name, value);
    }
    return dialect.read_reply(head);
  };
  for (const int status : {200, 421, 500, 503}) {
    EXPECT_TRUE(read(status, "server-leaving", {"1"}).is_leaving);
  }
  EXPECT_FALSE(read(200, "Server-Leaving", {"0"}).is_leaving);
  EXPECT_FALSE(read(200, "Server-Leaving", {""}).is_leaving);
  EXPECT_EQ(read(503, "Retry-After", {"2"}).rest, absl::Seconds(2));
  EXPECT_EQ(read(503, "Retry-After", {"0.25"}).rest, absl::Milliseconds(250));
  EXPECT_EQ(read(503, "Retry-After", {"1e300"}).rest, absl::Seconds(60));
  EXPECT_FALSE(read(200, "Retry-After", {"2"}).rest);
  EXPECT_FALSE(read(503, "Retry-After", {"2", "3"}).rest);
  for (const char* value :
       {"", "0", "-1", "nan", "soon", "Sat, 05 Dec 2026 08:00:00 GMT"}) {
    EXPECT_FALSE(read(503, "Retry-After", {value}).rest) << value;
  }
}

}  // namespace
}  // namespace camphorsail::platform

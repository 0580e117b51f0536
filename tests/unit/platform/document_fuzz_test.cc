#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "gtest/gtest.h"
#include "platform/registration.h"
#include "platform/routing_document.h"
#include "rapidcheck.h"
#include "tests/unit/platform/sample_document.h"

// Parses documents that differ slightly from valid ones: one value is replaced,
// a field is removed, or bytes are changed, inserted or cut off.
namespace camphorsail::platform {
namespace {

using nlohmann::json;

const char kSampleRegistration[] =
    R"({"service":"m","address":"10.0.0.1:80","zone":"z","version":"v1","slots":64,"state":"ready","sequence":3,
"born":1700000000000,"models":[{"name":"x"}]})";

/// @return Pointers to all values in a document, including objects and lists.
std::vector<json::json_pointer> AllPaths(const json& root) {
  std::vector<json::json_pointer> paths;
  const json flat = root.flatten();
  for (const auto& [path, value] : flat.items()) {
    json::json_pointer pointer(path);
    while (!pointer.empty()) {
      paths.push_back(pointer);
      pointer = pointer.parent_pointer();
    }
  }
  return paths;
}

/// @return A random value that is unusual for most fields.
json RandomValue() {
  static const auto* const values =
      new std::vector<json>{nullptr,
                            true,
                            0,
                            -1,
                            1,
                            1.5,
                            -0.0,
                            1e300,
                            std::numeric_limits<int64_t>::min(),
                            std::numeric_limits<uint64_t>::max(),
                            4294967296LL,
                            "",
                            "x",
                            "\xc3\xa9\n\"",
                            "/",
                            json::array(),
                            json::object(),
                            json::array({1, "x", nullptr}),
                            {{"name", "m"}},
                            {{"version", 9}}};
  return (*values)[*rc::gen::inRange<size_t>(0, values->size())];
}

/// @return The document with one value replaced or removed, and the name of the
/// field with that value.
std::pair<std::string, std::string> Mutate(const char* document) {
  json root = json::parse(document);
  const std::vector<json::json_pointer> paths = AllPaths(root);
  const json::json_pointer path =
      paths[*rc::gen::inRange<size_t>(0, paths.size())];
  std::string name = path.back();
  if (*rc::gen::inRange(0, 3) == 0) {
    json& parent = root[path.parent_pointer()];
    if (parent.is_object()) {
      parent.erase(path.back());
    } else {
      parent.erase(std::stoul(path.back()));
    }
  } else {
    root[path] = RandomValue();
  }
  return {root.dump(-1, ' ', false, json::error_handler_t::replace), name};
}

/// @return The document with bytes changed, inserted or cut off.
std::string CorruptBytes(std::string text) {
  const int changes = *rc::gen::inRange(1, 6);
  for (int i = 0; i < changes && !text.empty(); ++i) {
    const size_t at = *rc::gen::inRange<size_t>(0, text.size());
    switch (*rc::gen::inRange(0, 4)) {
      case 0:
        text.resize(at);
        break;
      case 1:
        text.erase(at, *rc::gen::inRange<size_t>(1, 20));
        break;
      case 2:
        text.insert(at, text.substr(0, *rc::gen::inRange<size_t>(1, 40)));
        break;
      default:
        text[at] = *rc::gen::arbitrary<char>();
    }
  }
  return text;
}

/// Checks the invariants of an accepted table.
void CheckTable(const RoutingTable& table, const std::string& document) {
  RC_ASSERT(table.Validate().has_value());
  RC_ASSERT(table.document == document);
  RC_ASSERT(table.version <= uint64_t{std::numeric_limits<int64_t>::max()});
  for (const Route& route : table.routes) {
    RC_ASSERT(route.timeout_ms > 0);
    RC_ASSERT(!route.targets.empty());
  }
}

// Guards against documents that are accepted only in part or end the process.
// For example, a version of -1 was accepted and became the highest version.
TEST(DocumentFuzzTest, MutatedTablesAreParsedOrRejected) {
  EXPECT_TRUE(rc::check([] {
    const auto [document, name] = Mutate(kSampleDocument);
    const Expected<RoutingTable> table = ParseRoutingDocument(document);
    if (table) {
      CheckTable(*table, document);
    } else {
      RC_ASSERT(table.error().kind == ErrorKind::kSettingsInvalid);
      RC_ASSERT(!table.error().message.empty());
    }
  }));
}

TEST(DocumentFuzzTest, CorruptedTablesAreParsedOrRejected) {
  EXPECT_TRUE(rc::check([] {
    const std::string document = CorruptBytes(kSampleDocument);
    if (const auto table = ParseRoutingDocument(document)) {
      CheckTable(*table, document);
    }
  }));
}

TEST(DocumentFuzzTest, RegistrationsAreParsedOrRejected) {
  EXPECT_TRUE(rc::check([] {
    const auto [body, name] = Mutate(kSampleRegistration);
    for (const std::string& text : {body, CorruptBytes(kSampleRegistration)}) {
      const Expected<ServerAnnouncement> read =
          ParseRegistration("i-1", text, absl::InfiniteFuture());
      if (read) {
        RC_ASSERT(read->description.capacity >= 1);
        RC_ASSERT(!read->description.address.empty());
        RC_ASSERT(read->description.targets.size() == 1U);
      } else {
        RC_ASSERT(!read.error().message.empty());
      }
    }
  }));
}

// Guards against error messages that do not name the invalid field.
TEST(DocumentFuzzTest, ErrorsNameTheField) {
  const auto error = [](const char* path, const json& value) {
    json root = json::parse(kSampleDocument);
    if (value.is_discarded()) {
      const json::json_pointer pointer(path);
      root[pointer.parent_pointer()].erase(pointer.back());
    } else {
      root[json::json_pointer(path)] = value;
    }
    const auto table = ParseRoutingDocument(root.dump());
    return table ? std::string("accepted") : table.error().message;
  };
  const json removed(json::value_t::discarded);
  EXPECT_EQ(error("/version", -1),
            "version must be an integer from 0 to 9223372036854775807");
  EXPECT_EQ(error("/version", 1.5),
            "version must be an integer from 0 to 9223372036854775807");
  EXPECT_EQ(error("/routes", removed), "routes is missing; it must be a list");
  EXPECT_EQ(error("/routes", 3), "routes must be a list");
  EXPECT_EQ(error("/routes/1", 3), "routes[1] must be an object");
  EXPECT_EQ(error("/routes/1/host", removed),
            "routes[1].host is missing; it must be a string");
  EXPECT_EQ(error("/routes/0/trafficSplit/1/weight", "x"),
            "routes[0].trafficSplit[1].weight must be a number");
  EXPECT_EQ(error("/routes/0/public", 1),
            "routes[0].public must be true or false");
  EXPECT_EQ(error("/tenants/0/apiKeys/1", 5),
            "tenants[0].apiKeys[1] must be a string");
  EXPECT_EQ(error("/limits", "x"), "limits must be an object");
  EXPECT_EQ(error("/tenants", nullptr), "accepted");
  EXPECT_EQ(error("/version", 8.0), "accepted");
}

}  // namespace
}  // namespace camphorsail::platform

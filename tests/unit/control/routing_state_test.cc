#include "camphorsail/control/control_state.h"
#include "gtest/gtest.h"

namespace camphorsail {
namespace {

std::string EncodeTable(uint64_t version, std::string document) {
  RoutingTable table;
  table.version = version;
  table.document = std::move(document);
  return EncodeCommand({VmId("vm1"), 1'764'800'000'000'000, std::move(table)});
}

// Guards against a table that replaces one whose version is the same or higher:
// two operators may send different tables with the same version.
TEST(RoutingStateTest, OnlyAHigherVersionReplacesATable) {
  ControlState state;
  EXPECT_EQ(state.routing()->table.version, 0U);
  CommandResult result = state.Apply(LogIndex(1), EncodeTable(7, "seven"));
  EXPECT_EQ(result.settings_version, SettingsVersion(7));
  for (const auto& [version, document] :
       {std::pair(7, "other seven"), std::pair(3, "three")}) {
    result = state.Apply(LogIndex(static_cast<uint64_t>(version) + 10),
                         EncodeTable(static_cast<uint64_t>(version), document));
    EXPECT_FALSE(result.error.has_value());
    EXPECT_EQ(result.settings_version, SettingsVersion(7));
    EXPECT_EQ(state.routing()->table.document, "seven");
  }
  state.Apply(LogIndex(30), EncodeTable(9, "nine"));
  EXPECT_EQ(state.routing()->table.document, "nine");
}

// Guards against a snapshot that loses the routing table.
TEST(RoutingStateTest, SnapshotKeepsTheTable) {
  ControlState state;
  state.Apply(LogIndex(1), EncodeTable(7, "seven"));
  const Expected<ControlState> restored =
      ControlState::Restore(state.Snapshot());
  ASSERT_TRUE(restored);
  EXPECT_EQ(restored->routing()->table, state.routing()->table);
  EXPECT_EQ(restored->Digest(), state.Digest());
}

}  // namespace
}  // namespace camphorsail

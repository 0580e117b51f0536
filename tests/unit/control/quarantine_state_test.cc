#include <vector>

#include "camphorsail/base/msgpack_unpack.h"
#include "camphorsail/control/control_state.h"
#include "camphorsail/quarantine/quarantine_store.h"
#include "gtest/gtest.h"

namespace camphorsail {
namespace {

std::string EncodeAdd(uint64_t part) {
  QuarantineChange change;
  change.action = static_cast<uint8_t>(QuarantineAction::kAdd);
  change.parts = {PromptPartHash(part)};
  change.crashes = 3;
  return EncodeCommand({VmId("vm1"), 1'764'800'000'000'000, std::move(change)});
}

// Guards against a replica that serves harmful requests again after a restart.
TEST(QuarantineStateTest, SnapshotKeepsTheList) {
  ControlState state;
  const CommandResult result = state.Apply(LogIndex(1), EncodeAdd(7));
  EXPECT_FALSE(result.error.has_value());
  const Expected<ControlState> restored =
      ControlState::Restore(state.Snapshot());
  ASSERT_TRUE(restored) << restored.error().message;
  EXPECT_EQ(restored->Digest(), state.Digest());
  ASSERT_EQ(restored->quarantine().Entries().size(), 1U);
  EXPECT_EQ(restored->quarantine().Entries()[0].parts,
            PromptPartHashes{PromptPartHash(7)});
}

// Guards against a replica that cannot start on a snapshot of the release
// before, which has no list.
TEST(QuarantineStateTest, SnapshotOfTheFormatBeforeIsRead) {
  constexpr uint32_t kFormatBefore = 2;
  constexpr uint32_t kFieldsBefore = 10;
  ControlState state;
  state.Apply(LogIndex(1), EncodeAdd(7));
  const std::string snapshot = state.Snapshot();
  const msgpack::object_handle handle = UnpackBounded(snapshot);
  const auto fields = handle.get().as<std::vector<msgpack::object>>();
  msgpack::sbuffer buffer;
  msgpack::packer<msgpack::sbuffer> packer(buffer);
  packer.pack_array(kFieldsBefore);
  packer.pack(kFormatBefore);
  for (size_t i = 1; i < kFieldsBefore; ++i) {
    packer.pack(fields[i]);
  }
  const Expected<ControlState> restored =
      ControlState::Restore({buffer.data(), buffer.size()});
  ASSERT_TRUE(restored) << restored.error().message;
  EXPECT_EQ(restored->applied_index(), LogIndex(1));
  EXPECT_TRUE(restored->quarantine().empty());
}

}  // namespace
}  // namespace camphorsail

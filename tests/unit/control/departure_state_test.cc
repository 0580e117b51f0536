#include <vector>

#include "camphorsail/base/msgpack_unpack.h"
#include "camphorsail/control/control_state.h"
#include "camphorsail/membership/departure_store.h"
#include "gtest/gtest.h"

namespace camphorsail {
namespace {

const BackendServerId& Server() {
  static const BackendServerId* const server = new BackendServerId("s");
  return *server;
}

std::string EncodeDeparture(uint64_t incarnation) {
  ServerDeparture departure;
  departure.server = Server();
  departure.version.incarnation = Incarnation(incarnation);
  return EncodeCommand({VmId("vm1"), 1'764'800'000'000'000, departure});
}

// Guards against a departure that was acknowledged and is forgotten when all
// replicas restart from their snapshots.
TEST(DepartureStateTest, SnapshotKeepsDepartures) {
  ControlState state;
  EXPECT_FALSE(state.Apply(LogIndex(1), EncodeDeparture(7)).error.has_value());
  const Expected<ControlState> restored =
      ControlState::Restore(state.Snapshot());
  ASSERT_TRUE(restored) << restored.error().message;
  EXPECT_EQ(restored->Digest(), state.Digest());
  EXPECT_TRUE(restored->departures().Covers(Server(), Incarnation(7)));
}

// Guards against a replica that cannot start on a snapshot of the release
// before, which has no departures.
TEST(DepartureStateTest, SnapshotOfTheFormatBeforeIsRead) {
  constexpr uint32_t kFormatBefore = 4;
  constexpr uint32_t kFieldsBefore = 12;
  ControlState state;
  state.Apply(LogIndex(1), EncodeDeparture(7));
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
  EXPECT_EQ(restored->departures().size(), 0U);
}

}  // namespace
}  // namespace camphorsail

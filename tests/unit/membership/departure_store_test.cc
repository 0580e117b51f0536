#include "camphorsail/membership/departure_store.h"

#include <string>
#include <vector>

#include "gtest/gtest.h"

namespace camphorsail {
namespace {

absl::Time At(double seconds) {
  return absl::FromUnixSeconds(1'800'000'000) + absl::Seconds(seconds);
}

ServerDeparture MakeTestDeparture(const std::string& id, uint64_t incarnation) {
  ServerDeparture departure;
  departure.server = BackendServerId(id);
  departure.version = {Incarnation(incarnation), AnnouncementSequence(3)};
  departure.description.address = "10.0.0.1:80";
  return departure;
}

bool Covers(const DepartureStore& store,
            const std::string& id,
            uint64_t incarnation) {
  return store.Covers(BackendServerId(id), Incarnation(incarnation));
}

// Guards against a departure that is forgotten when an older one of the same
// server is repeated, and against one that covers the server's next start.
TEST(DepartureStoreTest, KeepsTheLatestIncarnationOfAServer) {
  DepartureStore store;
  EXPECT_FALSE(Covers(store, "a", 0));
  store.Apply(MakeTestDeparture("a", 5), At(0));
  const uint64_t version = store.version();
  store.Apply(MakeTestDeparture("a", 4), At(1));
  store.Apply(MakeTestDeparture("a", 5), At(1));
  EXPECT_EQ(store.version(), version);
  EXPECT_TRUE(Covers(store, "a", 4));
  EXPECT_TRUE(Covers(store, "a", 5));
  EXPECT_FALSE(Covers(store, "a", 6));
  store.Apply(MakeTestDeparture("a", 6), At(2));
  ASSERT_EQ(store.Since(version).size(), 1U);
  EXPECT_EQ(store.Since(version)[0].departure, MakeTestDeparture("a", 6));
  EXPECT_EQ(store.size(), 1U);
}

// Guards against state that grows without limit, and against the loss of recent
// departures before old ones.
TEST(DepartureStoreTest, IsBoundedInTimeAndNumber) {
  DepartureStore store;
  store.Apply(MakeTestDeparture("old", 1), At(0));
  store.Apply(MakeTestDeparture("b", 1), At(599));
  EXPECT_TRUE(Covers(store, "old", 1));
  store.Apply(MakeTestDeparture("c", 1), At(600));
  EXPECT_FALSE(Covers(store, "old", 1));
  EXPECT_TRUE(Covers(store, "b", 1));
  for (size_t i = 0; i < DepartureStore::kMaxRecords - 1; ++i) {
    store.Apply(MakeTestDeparture("s" + std::to_string(i), 1), At(601));
  }
  EXPECT_EQ(store.size(), DepartureStore::kMaxRecords);
  EXPECT_FALSE(Covers(store, "b", 1));
  EXPECT_TRUE(Covers(store, "c", 1));
}

// Guards against a replica that restarts from a snapshot without departures, or
// with others than the replicas that applied the log.
TEST(DepartureStoreTest, SnapshotKeepsEverything) {
  DepartureStore store;
  for (const char* id : {"b", "a", "c", "b"}) {
    store.Apply(MakeTestDeparture(id, store.version() + 1), At(0));
  }
  Expected<DepartureStore> restored = DepartureStore::Restore(store.Snapshot());
  ASSERT_TRUE(restored) << restored.error().message;
  EXPECT_EQ(restored->Since(0), store.Since(0));
  EXPECT_EQ(restored->version(), store.version());
  restored->Apply(MakeTestDeparture("d", 1), At(1));
  store.Apply(MakeTestDeparture("d", 1), At(1));
  EXPECT_EQ(restored->Snapshot(), store.Snapshot());
  EXPECT_FALSE(DepartureStore::Restore("x"));
}

// Guards against a snapshot of several megabytes of long descriptions.
TEST(DepartureStoreTest, LongDescriptionsAreLeftOut) {
  ServerAnnouncement announcement;
  announcement.server = BackendServerId("a");
  announcement.version = {Incarnation(2), AnnouncementSequence(9)};
  announcement.description.targets = {ModelId("m")};
  EXPECT_EQ(MakeDeparture(announcement).description, announcement.description);
  announcement.description.targets = {ModelId(std::string(4000, 'm'))};
  const ServerDeparture departure = MakeDeparture(announcement);
  EXPECT_EQ(departure.description, ServerDescription());
  EXPECT_EQ(departure.version.incarnation, Incarnation(2));
}

}  // namespace
}  // namespace camphorsail

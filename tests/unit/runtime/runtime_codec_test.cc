#include "camphorsail/base/request_id_text.h"
#include "camphorsail/runtime/ledger_bridge.h"
#include "camphorsail/runtime/load_digest_codec.h"
#include "gtest/gtest.h"

namespace camphorsail {
namespace {

// Guards against a field of the digest that is lost between VMs, so that one VM
// refuses requests of a tier that its peers accept.
TEST(LoadDigestCodecTest, CarriesEveryField) {
  LoadDigest digest;
  digest.vm = VmId("vm1");
  digest.sequence = 7;
  digest.tiers[1] = {false, true, Tokens(900)};
  LoadDigest::PoolState pool;
  pool.kind = ServerKind::kService;
  pool.target = ModelId("orders");
  pool.tiers[2] = {false, true, Tokens(40)};
  pool.classes_beyond_guarantee = {ClassId("booking")};
  digest.pools.push_back(pool);
  const Expected<LoadDigest> decoded =
      DecodeLoadDigest(EncodeLoadDigest(digest));
  ASSERT_TRUE(decoded.has_value());
  EXPECT_EQ(decoded->vm, digest.vm);
  EXPECT_EQ(decoded->sequence, 7u);
  EXPECT_FALSE(decoded->tiers[1].open);
  EXPECT_TRUE(decoded->tiers[1].overloaded);
  EXPECT_EQ(decoded->tiers[1].outstanding, Tokens(900));
  ASSERT_EQ(decoded->pools.size(), 1u);
  EXPECT_EQ(decoded->pools[0].kind, ServerKind::kService);
  EXPECT_EQ(decoded->pools[0].target, pool.target);
  EXPECT_FALSE(decoded->pools[0].tiers[2].open);
  EXPECT_EQ(decoded->pools[0].classes_beyond_guarantee,
            pool.classes_beyond_guarantee);
}

// Guards against a crash on bytes that are not a digest, or their acceptance.
TEST(LoadDigestCodecTest, RejectsOtherBytes) {
  EXPECT_FALSE(DecodeLoadDigest("").has_value());
  EXPECT_FALSE(DecodeLoadDigest("\xc1garbage").has_value());
}

// Guards against a request with an unknown outcome being recorded as finished,
// after which a repeated request would get a wrong answer or run again.
TEST(LedgerBridgeTest, UnknownOutcomeLeavesTheRecordOpen) {
  LedgerCloseAction action;
  action.request = RequestId(9);
  action.account = ClientAccountId("demo");
  action.key = IdempotencyKey("key");
  action.outcome.kind = LedgerOutcome::Kind::kUnknown;
  EXPECT_FALSE(MakeLedgerClose(action).has_value());
  action.outcome.kind = LedgerOutcome::Kind::kNotRun;
  ASSERT_TRUE(MakeLedgerClose(action).has_value());
  EXPECT_TRUE(MakeLedgerClose(action)->not_run);
}

// Guards against requests without a key that share a record with a caller's
// key.
TEST(LedgerBridgeTest, RequestWithoutKeyHasItsOwnRecord) {
  LedgerOpenAction action;
  action.request = RequestId(9);
  action.account = ClientAccountId("demo");
  action.key = IdempotencyKey(FormatRequestId(action.request));
  const LedgerOpen open =
      MakeLedgerOpen(action, VmId("vm1"), absl::UnixEpoch());
  EXPECT_EQ(open.key, LedgerKey::ForRequest(action.account, action.request));
}

// Guards against an answer that was too long to keep being replayed as empty.
TEST(LedgerBridgeTest, OutcomeWithoutBodyIsAnsweredUnknown) {
  LedgerOpenAnsweredAction action;
  LedgerOpenResult result;
  result.verdict = LedgerVerdict::kRecorded;
  result.outcome.body_stored = false;
  action.result = result;
  EXPECT_EQ(MakeLedgerAnswer(action).kind, LedgerAnswer::Kind::kUnknown);
}

}  // namespace
}  // namespace camphorsail

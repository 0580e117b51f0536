#ifndef TESTS_UNIT_CONSENSUS_TEST_OPTIONS_H_
#define TESTS_UNIT_CONSENSUS_TEST_OPTIONS_H_

#include <cstdint>

namespace camphorsail {

/// Command-line options of the test program.
struct TestOptions {
  /// `--seed N`: seed of the first history.
  uint64_t seed = 1;
  /// `--histories N`: number of histories.
  uint64_t histories = 10'000;
};

TestOptions& GetTestOptions();

}  // namespace camphorsail

#endif  // TESTS_UNIT_CONSENSUS_TEST_OPTIONS_H_

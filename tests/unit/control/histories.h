#ifndef TESTS_UNIT_CONTROL_HISTORIES_H_
#define TESTS_UNIT_CONTROL_HISTORIES_H_

#include <cstdint>
#include <functional>
#include <optional>
#include <sstream>
#include <string>
#include <tuple>
#include <vector>

#include "rapidcheck.h"

namespace camphorsail {

/// One generated step. Each test maps the numbers to its own operations.
struct Step {
  int kind;
  int a;
  int b;
  int c;
};

/// Function that runs the steps of a history and returns a description of the
/// first violated invariant, or nothing.
using History =
    std::function<std::optional<std::string>(const std::vector<Step>&)>;

/// Runs generated histories with a fixed seed.
/// @param count Number of histories.
/// @param kinds Exclusive upper bound of `Step::kind`.
/// @param shrink Whether to search for a shorter history that also fails. Tests
/// that expect a violation pass false to save the time.
/// @return The violation and its history; nothing when all histories passed.
inline std::optional<std::string> FindViolation(int count,
                                                int kinds,
                                                const History& history,
                                                bool shrink = true) {
  using Numbers = std::tuple<int, int, int, int>;
  const auto steps = rc::gen::container<std::vector<Numbers>>(
      rc::gen::tuple(rc::gen::inRange(0, kinds), rc::gen::inRange(0, 100),
                     rc::gen::inRange(0, 100), rc::gen::inRange(0, 100)));
  const auto property = [&] {
    std::vector<Step> run;
    for (const auto& [kind, a, b, c] : *steps) {
      run.push_back({kind, a, b, c});
    }
    if (const auto found = history(run)) {
      RC_FAIL(*found);
    }
  };
  rc::detail::TestParams params;
  params.seed = 20261204;
  params.maxSuccess = count;
  params.disableShrinking = !shrink;
  const auto result =
      rc::detail::checkTestable(property, rc::detail::TestMetadata(), params);
  if (result.is<rc::detail::SuccessResult>()) {
    return std::nullopt;
  }
  std::ostringstream text;
  rc::detail::printResultMessage(result, text);
  return text.str();
}

}  // namespace camphorsail

#endif  // TESTS_UNIT_CONTROL_HISTORIES_H_

#ifndef CAMPHORSAIL_BASE_ERROR_H_
#define CAMPHORSAIL_BASE_ERROR_H_

#include <string>

#include "absl/time/time.h"
#include "camphorsail/base/error_kind.h"
#include "tl/expected.hpp"

namespace camphorsail {

/// An error: its kind and the details for the caller or operator.
struct Error {
  ErrorKind kind = ErrorKind::kInternal;
  /// One sentence for the caller or operator.
  std::string message;
  /// Time after which a retry may succeed; zero when unknown.
  absl::Duration retry_after = absl::ZeroDuration();
};

template <typename T>
using Expected = tl::expected<T, Error>;

/// @return An error that a function returning `Expected` can return directly.
inline tl::unexpected<Error> Fail(ErrorKind kind, std::string message) {
  return tl::unexpected<Error>(
      Error{kind, std::move(message), absl::ZeroDuration()});
}

}  // namespace camphorsail

#endif  // CAMPHORSAIL_BASE_ERROR_H_

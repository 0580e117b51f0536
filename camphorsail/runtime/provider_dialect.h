#ifndef CAMPHORSAIL_RUNTIME_PROVIDER_DIALECT_H_
#define CAMPHORSAIL_RUNTIME_PROVIDER_DIALECT_H_

#include <string>
#include <vector>

#include "camphorsail/duties/provider_call.h"

namespace camphorsail {

/// The parts of an HTTP request that depend on the content of the call.
struct ProviderRequest {
  std::string path;
  /// Lines of the form `Name: value`.
  std::vector<std::string> headers;
  std::string body;
};

/// Functions that translate calls into the HTTP interface of the deployment's
/// provider. The functions have no state; they are null when the deployment has
/// no provider.
struct ProviderDialect {
  ProviderRequest (*write_request)(const ProviderCall& call) = nullptr;
  /// @param status HTTP status of the complete answer.
  ProviderOutcome (*read_status)(int status) = nullptr;
};

}  // namespace camphorsail

#endif  // CAMPHORSAIL_RUNTIME_PROVIDER_DIALECT_H_

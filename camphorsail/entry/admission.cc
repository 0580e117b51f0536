#include "camphorsail/entry/admission.h"

#include "absl/strings/match.h"
#include "camphorsail/entry/sha256.h"

namespace camphorsail {
namespace {

constexpr std::string_view kServicePrefix = "/v1/services/";
// Longer idempotency keys are refused, which bounds the size of a ledger
// record.
constexpr size_t kMaxHeaderValueBytes = 256;

// Paths are forwarded to backend servers unchanged. A path is therefore refused
// when it could lead out of the service's own paths (`..`) or break the HTTP
// request line.
bool IsSafePath(std::string_view path) {
  for (char c : path) {
    if (c <= ' ' || c >= 0x7f || c == '\\' || c == '#') {
      return false;
    }
  }
  return path.find("..") == std::string_view::npos &&
         path.find("%2e") == std::string_view::npos &&
         path.find("%2E") == std::string_view::npos;
}

Expected<void> FindEndpoint(const RequestArrivedEvent& event,
                            AdmittedHeaders* result) {
  std::string_view path = event.path;
  if (!IsSafePath(path)) {
    return Fail(ErrorKind::kInvalidRequest,
                "the path has characters or parts that are not allowed");
  }
  path = path.substr(0, path.find('?'));
  std::string_view method = "POST";
  if (path == "/v1/chat/completions") {
    result->endpoint = CallerEndpoint::kChatCompletions;
  } else if (path == "/v1/completions") {
    result->endpoint = CallerEndpoint::kCompletions;
  } else if (path == "/v1/models") {
    result->endpoint = CallerEndpoint::kModels;
    method = "GET";
  } else if (path.substr(0, kServicePrefix.size()) == kServicePrefix) {
    path.remove_prefix(kServicePrefix.size());
    result->endpoint = CallerEndpoint::kService;
    result->service = ModelId(std::string(path.substr(0, path.find('/'))));
    if (result->service.value().empty()) {
      return Fail(ErrorKind::kNotFound, "the path names no service");
    }
  } else {
    return Fail(ErrorKind::kNotFound, "there is no such path");
  }
  if (event.method != method) {
    return Fail(ErrorKind::kMethodNotAllowed,
                "this path takes " + std::string(method) + " only");
  }
  return {};
}

}  // namespace

Expected<void> CheckHeaders(const RequestArrivedEvent& event,
                            const EffectiveSettings& effective_settings,
                            AdmittedHeaders* result) {
  const std::string_view authorization = event.authorization;
  constexpr size_t kSchemeBytes = 7;
  if (!absl::StartsWithIgnoreCase(event.authorization, "Bearer ") ||
      authorization.size() == kSchemeBytes) {
    return Fail(ErrorKind::kUnauthenticated,
                "the Authorization header must carry a bearer key");
  }
  const auto account_id = effective_settings.account_by_key_sha256.find(
      Sha256Hex(authorization.substr(kSchemeBytes)));
  if (account_id == effective_settings.account_by_key_sha256.end()) {
    return Fail(ErrorKind::kUnauthenticated, "the key is not known");
  }
  const auto account = effective_settings.accounts.find(account_id->second);
  if (account == effective_settings.accounts.end()) {
    return Fail(ErrorKind::kUnauthenticated,
                "the account of this API key is not known");
  }
  result->account = &account->second;
  if (auto found = FindEndpoint(event, result); !found) {
    return found;
  }
  const ClassId class_id = event.class_header.empty()
                               ? result->account->default_class
                               : ClassId(event.class_header);
  for (const EffectiveClass& candidate : result->account->classes) {
    if (candidate.class_id == class_id) {
      result->effective_class = &candidate;
    }
  }
  if (result->effective_class == nullptr) {
    return Fail(ErrorKind::kUnknownClass,
                "the account has no class of this name");
  }
  if (event.idempotency_key.size() > kMaxHeaderValueBytes) {
    return Fail(ErrorKind::kInvalidRequest,
                "the Idempotency-Key has " +
                    std::to_string(event.idempotency_key.size()) +
                    " bytes; at most 256 are allowed");
  }
  if (!event.idempotent_header.empty() && event.idempotent_header != "true" &&
      event.idempotent_header != "false") {
    return Fail(ErrorKind::kInvalidRequest,
                "X-Camphorsail-Idempotent must be true or false");
  }
  // The header can only make a request non-idempotent. Requests of a class that
  // must not run twice stay non-idempotent whatever the header says.
  result->idempotent =
      result->effective_class->idempotent && event.idempotent_header != "false";
  return {};
}

}  // namespace camphorsail

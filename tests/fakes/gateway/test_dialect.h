#ifndef TESTS_FAKES_GATEWAY_TEST_DIALECT_H_
#define TESTS_FAKES_GATEWAY_TEST_DIALECT_H_

#include <cstdlib>
#include <string>

#include "absl/strings/str_split.h"
#include "camphorsail/gateway/wire_dialect.h"

namespace camphorsail {

/// @return A dialect with header names of its own, so that the tests of the
/// gateway do not depend on the headers of a deployment.
inline WireDialect MakeTestDialect() {
  WireDialect dialect;
  dialect.read_request =
      [](const HttpRequestHead& head) -> Expected<CallerRequest> {
    CallerRequest request;
    if (const std::string* id = head.headers.Find("X-Id")) {
      request.request_id = *id;
    }
    if (const std::string* key = head.headers.Find("X-Key")) {
      request.api_key = *key;
    }
    if (const std::string* ms = head.headers.Find("X-Patience")) {
      request.caller_timeout = absl::Milliseconds(std::atoi(ms->c_str()));
    }
    if (const std::string* tokens = head.headers.Find("X-Prompt")) {
      request.prompt_tokens = Tokens(std::atoi(tokens->c_str()));
    }
    if (const std::string* parts = head.headers.Find("X-Parts")) {
      for (const absl::string_view part : absl::StrSplit(*parts, ',')) {
        request.prompt_parts.push_back({std::string(part), Tokens(100)});
      }
    }
    return request;
  };
  dialect.write_forward_headers = [](const ForwardParameters& parameters,
                                     HttpHeaders* headers) {
    std::erase_if(headers->items(), [](const HttpHeaders::Item& item) {
      return item.first == "X-Key" || item.first == "X-Account";
    });
    headers->Add("X-Server", parameters.server.value());
    headers->Add("X-Account", parameters.account.value());
    if (parameters.last_event.has_value()) {
      headers->Add("X-Last", std::to_string(*parameters.last_event));
    }
  };
  dialect.read_reply = [](const HttpResponseHead& head) {
    ServerReply reply;
    if (const std::string* id = head.headers.Find("X-Id")) {
      reply.request_id = *id;
    }
    reply.not_run = head.headers.Find("X-Not-Run") != nullptr;
    reply.is_leaving = head.headers.Find("X-Leaving") != nullptr;
    if (const std::string* ms = head.headers.Find("X-Rest")) {
      reply.rest = absl::Milliseconds(std::atoi(ms->c_str()));
    }
    if (const std::string* load = head.headers.Find("X-Odd-Load")) {
      reply.odd_load = *load;
    }
    reply.is_signed = head.headers.Find("X-Signature") != nullptr;
    return reply;
  };
  dialect.strip_reply = [](HttpHeaders*) {};
  dialect.write_gateway_answer = [](const std::string& id,
                                    HttpHeaders* headers) {
    headers->Add("X-Id", id);
  };
  return dialect;
}

}  // namespace camphorsail

#endif  // TESTS_FAKES_GATEWAY_TEST_DIALECT_H_

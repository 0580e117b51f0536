#include "camphorsail/entry/model_request.h"

#include <cstddef>
#include <nlohmann/json.hpp>

namespace camphorsail {
namespace {

using Json = nlohmann::json;

// Valid requests need no deeper nesting. The limit protects the stack, because
// serialising is recursive.
constexpr int kMaxJsonDepth = 64;
// Bounds the memory of the parsed body, which takes about 20 times the size of
// the body when this consists of empty arrays.
constexpr size_t kMaxJsonValues = 200'000;

struct LimitExceeded {};

Expected<Json> ParseBounded(std::string_view body) {
  size_t values = 0;
  try {
    return Json::parse(
        body.begin(), body.end(), [&](int depth, Json::parse_event_t, Json&) {
          if (depth > kMaxJsonDepth || ++values > kMaxJsonValues) {
            throw LimitExceeded{};
          }
          return true;
        });
  } catch (const LimitExceeded&) {
    return Fail(ErrorKind::kInvalidRequest,
                "the body is nested deeper than 64 levels or has more than "
                "200000 values");
  } catch (const Json::exception& e) {
    const std::string_view what = e.what();
    if (what.find("ill-formed UTF-8") != std::string_view::npos) {
      return Fail(ErrorKind::kInvalidUtf8, "the body is not valid UTF-8");
    }
    return Fail(ErrorKind::kInvalidRequest, "the body is not valid JSON");
  }
}

tl::unexpected<Error> InvalidRequest(std::string message) {
  return Fail(ErrorKind::kInvalidRequest, std::move(message));
}

// Appends the text of one message's "content", which is a string or a list of
// parts. Returns false when it is neither.
bool AppendContent(const Json& content, std::string* prompt) {
  if (content.is_string()) {
    prompt->append(content.get_ref<const std::string&>());
    return true;
  }
  if (content.is_null()) {
    return true;
  }
  if (!content.is_array()) {
    return false;
  }
  for (const Json& part : content) {
    if (!part.is_object()) {
      return false;
    }
    const auto text = part.find("text");
    if (text != part.end()) {
      if (!text->is_string()) {
        return false;
      }
      prompt->append(text->get_ref<const std::string&>());
    }
  }
  return true;
}

Expected<std::string> ChatPrompt(const Json& body) {
  const auto messages = body.find("messages");
  if (messages == body.end() || !messages->is_array() || messages->empty()) {
    return InvalidRequest("\"messages\" must be a non-empty array");
  }
  std::string prompt;
  for (const Json& message : *messages) {
    if (!message.is_object()) {
      return InvalidRequest("each message must be an object");
    }
    const auto role = message.find("role");
    if (role == message.end() || !role->is_string()) {
      return InvalidRequest("each message must have a string \"role\"");
    }
    prompt.append(role->get_ref<const std::string&>()).push_back(':');
    const auto content = message.find("content");
    if (content != message.end() && !AppendContent(*content, &prompt)) {
      return InvalidRequest(
          "\"content\" must be a string or a list of text parts");
    }
    prompt.push_back('\n');
  }
  return prompt;
}

bool IsSet(const Json& body, const char* key) {
  const auto value = body.find(key);
  return value != body.end() && !value->is_null() && *value != Json(false) &&
         !(value->is_array() && value->empty());
}

}  // namespace

Expected<ModelRequest> ParseModelRequest(bool chat, std::string_view text) {
  Expected<Json> parsed = ParseBounded(text);
  if (!parsed) {
    return tl::unexpected<Error>(parsed.error());
  }
  const Json& body = *parsed;
  if (!body.is_object()) {
    return InvalidRequest("the body must be a JSON object");
  }
  ModelRequest request;
  request.chat = chat;
  if (const auto model = body.find("model"); model != body.end()) {
    if (!model->is_string()) {
      return InvalidRequest("\"model\" must be a string");
    }
    request.model = ModelId(model->get<std::string>());
  }
  if (const auto stream = body.find("stream");
      stream != body.end() && !stream->is_null()) {
    if (!stream->is_boolean()) {
      return InvalidRequest("\"stream\" must be true or false");
    }
    request.streamed = stream->get<bool>();
  }
  for (const char* key : {"max_tokens", "max_completion_tokens"}) {
    const auto limit = body.find(key);
    if (limit == body.end() || limit->is_null()) {
      continue;
    }
    if (!limit->is_number_integer() || *limit < 1 || *limit > 1'000'000'000) {
      return InvalidRequest(std::string("\"") + key +
                            "\" must be a positive whole number");
    }
    request.max_tokens = Tokens(limit->get<int64_t>());
  }
  if (const auto n = body.find("n"); n != body.end() && !n->is_null()) {
    if (!n->is_number_integer() || *n < 1 || *n > 128) {
      return InvalidRequest("\"n\" must be a whole number from 1 to 128");
    }
    request.needs_unstreamed_answer = *n > 1;
  }
  for (const char* key :
       {"tools", "functions", "logprobs", "best_of", "echo", "top_logprobs"}) {
    request.needs_unstreamed_answer |= IsSet(body, key);
  }
  if (chat) {
    Expected<std::string> prompt = ChatPrompt(body);
    if (!prompt) {
      return tl::unexpected<Error>(prompt.error());
    }
    request.prompt = *std::move(prompt);
  } else {
    const auto prompt = body.find("prompt");
    if (prompt == body.end() || !prompt->is_string()) {
      return InvalidRequest("\"prompt\" must be a string");
    }
    request.prompt = prompt->get<std::string>();
  }
  return request;
}

Tokens CompletionTokens(std::string_view answer) {
  const auto json = nlohmann::json::parse(answer, nullptr, false);
  if (!json.is_object() || !json.contains("usage")) {
    return Tokens(0);
  }
  const auto& usage = json["usage"];
  if (!usage.is_object() || !usage.contains("completion_tokens") ||
      !usage["completion_tokens"].is_number_unsigned()) {
    return Tokens(0);
  }
  return Tokens(usage["completion_tokens"].get<int64_t>());
}

std::string BuildEngineBody(std::string_view text,
                            const EngineBodyOptions& options) {
  Json body = Json::parse(text.begin(), text.end());
  body["model"] = options.model.value();
  body["stream"] = options.stream;
  body["priority"] = options.priority;
  body.erase("max_completion_tokens");
  body["max_tokens"] = options.max_tokens.value();
  // Only the router may ask an engine to resume an answer, so a field sent by
  // the caller is removed.
  body.erase("camphorsail_resume");
  if (options.resume_tokens.value() > 0) {
    body["camphorsail_resume"] = {{"text", std::string(options.resume_text)},
                                  {"tokens", options.resume_tokens.value()}};
  }
  return body.dump();
}

}  // namespace camphorsail

#include "camphorsail/entry/engine_answer.h"

#include <nlohmann/json.hpp>

namespace camphorsail {
namespace {

// Rewritten events keep the order of the engine's fields.
using Json = nlohmann::ordered_json;

const std::string* FindString(const Json& object, const char* key) {
  if (!object.is_object()) {
    return nullptr;
  }
  const auto value = object.find(key);
  return value != object.end() && value->is_string()
             ? value->get_ptr<const std::string*>()
             : nullptr;
}

// Returns the first element of "choices"; null when there is none.
const Json* FirstChoice(const Json& event) {
  const auto choices = event.find("choices");
  if (choices == event.end() || !choices->is_array() || choices->empty() ||
      !choices->front().is_object()) {
    return nullptr;
  }
  return &choices->front();
}

// Returns the text that a choice adds; null when it adds none.
const std::string* ChoiceText(const Json& choice, bool chat) {
  if (!chat) {
    return FindString(choice, "text");
  }
  const auto delta = choice.find("delta");
  return delta == choice.end() ? nullptr : FindString(*delta, "content");
}

}  // namespace

void EngineAnswer::StartAttempt() {
  is_resumed_ = !id_.empty();
  parser_ = SseParser();
}

EngineAnswer::Progress EngineAnswer::OnData(std::string_view data) {
  Progress progress;
  if (!parser_.Append(data)) {
    progress.failed = true;
    return progress;
  }
  while (!progress.done && !progress.failed) {
    const std::optional<std::string> event = parser_.Next();
    if (!event) {
      break;
    }
    OnEvent(*event, &progress);
  }
  return progress;
}

void EngineAnswer::OnEvent(const std::string& data, Progress* progress) {
  if (data == "[DONE]") {
    // A stream that ends without a finish reason may have been truncated.
    progress->done = finished();
    progress->failed = !finished();
    if (progress->done) {
      progress->caller_bytes.append("data: [DONE]\n\n");
    }
    return;
  }
  Json event = Json::parse(data, nullptr, false);
  if (!event.is_object() || event.contains("error")) {
    progress->failed = true;
    return;
  }
  bool has_new_content = false;
  if (const Json* choice = FirstChoice(event); choice != nullptr) {
    const std::string* text = ChoiceText(*choice, chat_);
    if (text != nullptr && !text->empty()) {
      text_.append(*text);
      tokens_ = tokens_ + Tokens(1);
      progress->tokens = progress->tokens + Tokens(1);
      has_new_content = true;
    }
    if (const std::string* reason = FindString(*choice, "finish_reason")) {
      finish_reason_ = *reason;
      has_new_content = true;
    }
  }
  if (const auto usage = event.find("usage");
      usage != event.end() && usage->is_object()) {
    usage_ = usage->dump();
    has_new_content = true;
  }
  if (!is_resumed_) {
    if (id_.empty()) {
      const std::string* id = FindString(event, "id");
      const std::string* model = FindString(event, "model");
      id_ = id != nullptr ? *id : "unnamed";
      model_ = model != nullptr ? *model : "";
      created_ = event.value("created", int64_t{0});
    }
    progress->caller_bytes.append("data: ").append(data).append("\n\n");
  } else if (has_new_content) {
    progress->caller_bytes.append("data: ")
        .append(RewriteEvent(&event))
        .append("\n\n");
  }
}

std::string EngineAnswer::RewriteEvent(Json* event) const {
  (*event)["id"] = id_;
  (*event)["created"] = created_;
  return event->dump();
}

std::string EngineAnswer::CompleteAnswer() const {
  nlohmann::ordered_json answer;
  answer["id"] = id_;
  answer["object"] = chat_ ? "chat.completion" : "text_completion";
  answer["created"] = created_;
  answer["model"] = model_;
  nlohmann::ordered_json choice;
  choice["index"] = 0;
  if (chat_) {
    choice["message"]["role"] = "assistant";
    choice["message"]["content"] = text_;
  } else {
    choice["text"] = text_;
  }
  choice["finish_reason"] = finish_reason_;
  answer["choices"].push_back(std::move(choice));
  if (!usage_.empty()) {
    answer["usage"] = nlohmann::ordered_json::parse(usage_);
  }
  return answer.dump();
}

}  // namespace camphorsail

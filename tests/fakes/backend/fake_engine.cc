#include "tests/fakes/backend/fake_engine.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

#include "absl/strings/str_cat.h"
#include "absl/time/clock.h"
#include "camphorsail/base/monotonic_clock.h"
#include "camphorsail/entry/model_request.h"
#include "camphorsail/entry/prefix_hash.h"
#include "camphorsail/http/route_table.h"
#include "tests/fakes/backend/fake_tokens.h"

namespace camphorsail {

using Json = nlohmann::json;

FakeEngine::FakeEngine(const FakeOptions& options)
    : options_(options), cache_(options), faults_left_(options.fault_count) {
  thread_ = std::thread([this] { Run(); });
}

FakeEngine::~FakeEngine() {
  {
    absl::MutexLock lock(&mutex_);
    stopping_ = true;
  }
  thread_.join();
}

void FakeEngine::Submit(const Ref<ServerStream>& stream) {
  const HttpRequest& request = stream->request();
  auto sequence = std::make_unique<Sequence>();
  sequence->arrival = MonotonicNow();
  sequence->chat = request.path == "/v1/chat/completions";
  Expected<ModelRequest> parsed =
      ParseModelRequest(sequence->chat, request.body);
  if (!parsed) {
    stream->Respond(
        RouteTable::ErrorResponse(parsed.error(), RequestId(stream->tag())));
    return;
  }
  const Json body = Json::parse(request.body);
  sequence->stream = stream;
  sequence->streamed = parsed->streamed;
  sequence->model = parsed->model.value();
  sequence->prompt = parsed->prompt;
  sequence->priority = body.value("priority", 0);
  sequence->total = FakeAnswerLength(sequence->prompt);
  if (parsed->max_tokens.value() > 0) {
    sequence->total = static_cast<int>(
        std::min<int64_t>(sequence->total, parsed->max_tokens.value()));
  }
  if (const auto resume = body.find("camphorsail_resume");
      resume != body.end()) {
    sequence->resumed_at = resume->value("tokens", 0);
    sequence->produced = sequence->resumed_at;
  }
  sequence->prompt_tokens = static_cast<int>(sequence->prompt.size() / 4 + 1);

  absl::MutexLock lock(&mutex_);
  const int cached_blocks =
      cache_.Use(PrefixHashes(sequence->prompt), MonotonicNow());
  const int cached_tokens =
      cached_blocks * static_cast<int>(kPrefixBlockBytes) / 4;
  const int prefill_tokens = std::max(
      0, sequence->prompt_tokens + sequence->resumed_at - cached_tokens);
  sequence->prefill =
      absl::Microseconds(prefill_tokens * options_.prefill_per_token_us) *
      options_.slow_factor;
  const bool has_fault =
      options_.crash_after_tokens >= 0 || options_.hang_after_tokens >= 0;
  if (has_fault && faults_left_ != 0) {
    sequence->faulty = true;
    --faults_left_;
  }
  ++stats_.started;
  stats_.resumed += sequence->resumed_at > 0 ? 1 : 0;
  stats_.cached_blocks += cached_blocks;
  sequence->order = next_order_++;
  if (sequence->streamed) {
    HttpResponse head;
    head.content_type = "text/event-stream";
    stream->Start(head, true);
  }
  waiting_.push_back(std::move(sequence));
}

void FakeEngine::Cancel(const ServerStream* stream) {
  absl::MutexLock lock(&mutex_);
  const auto matches = [stream](const std::unique_ptr<Sequence>& sequence) {
    return sequence->stream.get() == stream;
  };
  stats_.cancelled += static_cast<int64_t>(std::erase_if(batch_, matches) +
                                           std::erase_if(waiting_, matches));
}

void FakeEngine::Run() {
  absl::MutexLock lock(&mutex_);
  MonoTime due = MonotonicNow();
  while (true) {
    mutex_.Await(absl::Condition(this, &FakeEngine::HasWork));
    if (stopping_) {
      return;
    }
    FillBatch();
    const absl::Duration step =
        absl::Microseconds(options_.step_us +
                           options_.step_per_sequence_us *
                               static_cast<int64_t>(batch_.size())) *
        options_.slow_factor;
    // Steps follow each other without drift while the machine keeps up.
    due = std::max(due, MonotonicNow()) + step;
    mutex_.Unlock();
    absl::SleepFor(due - MonotonicNow());
    mutex_.Lock();
    Step(step);
    const MonoTime now = MonotonicNow();
    if (loads_.empty() || now - loads_.back().at > absl::Milliseconds(20)) {
      ReportLoad(now);
    }
  }
}

void FakeEngine::FillBatch() {
  std::sort(waiting_.begin(), waiting_.end(), [](const auto& a, const auto& b) {
    return std::make_pair(a->priority, a->order) <
           std::make_pair(b->priority, b->order);
  });
  size_t taken = 0;
  while (taken < waiting_.size() &&
         batch_.size() < static_cast<size_t>(options_.capacity)) {
    batch_.push_back(std::move(waiting_[taken++]));
  }
  waiting_.erase(waiting_.begin(),
                 waiting_.begin() + static_cast<std::ptrdiff_t>(taken));
}

void FakeEngine::Step(absl::Duration step) {
  for (auto& sequence : batch_) {
    if (sequence->prefill > absl::ZeroDuration()) {
      sequence->prefill -= step;
      continue;
    }
    Produce(sequence.get());
  }
  std::erase_if(batch_, [](const auto& sequence) { return sequence->done; });
}

void FakeEngine::Produce(Sequence* sequence) {
  const int in_this_call = sequence->produced - sequence->resumed_at;
  if (sequence->faulty && options_.hang_after_tokens >= 0 &&
      in_this_call >= options_.hang_after_tokens) {
    return;
  }
  if (sequence->faulty && options_.crash_after_tokens >= 0 &&
      in_this_call >= options_.crash_after_tokens) {
    sequence->stream->Abort();
    sequence->done = true;
    return;
  }
  if (sequence->produced >= sequence->total) {
    Finish(sequence);
    return;
  }
  const std::string token = FakeToken(sequence->prompt, sequence->produced++);
  ++stats_.tokens;
  if (sequence->streamed) {
    std::string data;
    if (in_this_call == 0) {
      sequence->first_token = MonotonicNow();
    }
    if (in_this_call == 0 && sequence->chat) {
      data = Event(*sequence, "", true, false);
    }
    data += Event(*sequence, token, false, false);
    sequence->stream->Write(data);
  } else {
    sequence->text += token;
  }
  if (sequence->produced >= sequence->total) {
    Finish(sequence);
  }
}

void FakeEngine::Finish(Sequence* sequence) {
  sequence->done = true;
  ++stats_.completed;
  if (sequence->streamed) {
    sequence->stream->Write(Event(*sequence, "", false, true) +
                            "data: [DONE]\n\n");
    sequence->stream->End();
    return;
  }
  HttpResponse response;
  const std::string text = Json(sequence->text).dump();
  response.body = absl::StrCat(
      R"({"id":"engine-)", sequence->order, R"(","object":")",
      sequence->chat ? "chat.completion" : "text_completion",
      R"(","created":0,"model":)", Json(sequence->model).dump(),
      R"(,"choices":[{"index":0,)",
      sequence->chat ? R"("message":{"role":"assistant","content":)"
                     : R"("text":)",
      text, sequence->chat ? "}" : "", R"(,"finish_reason":"stop"}],"usage":)",
      Usage(*sequence), "}");
  sequence->stream->Respond(response);
}

std::string FakeEngine::StreamId(const Sequence& sequence) const {
  std::string id = absl::StrCat("engine-", sequence.order);
  if (options_.stamp_times) {
    absl::StrAppend(&id, "-", sequence.arrival.nanos(), "-",
                    sequence.first_token.nanos());
  }
  return id;
}

std::string FakeEngine::Usage(const Sequence& sequence) const {
  return absl::StrCat(R"({"prompt_tokens":)", sequence.prompt_tokens,
                      R"(,"completion_tokens":)", sequence.produced,
                      R"(,"total_tokens":)",
                      sequence.prompt_tokens + sequence.produced, "}");
}

std::string FakeEngine::Event(const Sequence& sequence,
                              const std::string& text,
                              bool first,
                              bool last) const {
  std::string choice;
  if (!sequence.chat) {
    choice = absl::StrCat(R"("text":")", text, R"(")");
  } else if (first) {
    choice = R"("delta":{"role":"assistant","content":""})";
  } else if (last) {
    choice = R"("delta":{})";
  } else {
    choice = absl::StrCat(R"("delta":{"content":")", text, R"("})");
  }
  return absl::StrCat(
      R"(data: {"id":")", StreamId(sequence), R"(","object":")",
      sequence.chat ? "chat.completion.chunk" : "text_completion",
      R"(","created":0,"model":)", Json(sequence.model).dump(),
      R"(,"choices":[{"index":0,)", choice, R"(,"finish_reason":)",
      last ? R"("stop"}],"usage":)" + Usage(sequence) : "null}]", "}\n\n");
}

void FakeEngine::ReportLoad(MonoTime now) {
  Load load;
  load.at = now;
  load.running = static_cast<int>(batch_.size());
  load.waiting = static_cast<int>(waiting_.size());
  load.kv_usage = std::min(
      1.0, static_cast<double>(batch_.size()) / std::max(1, options_.capacity));
  loads_.push_back(load);
  // One entry older than the lag stays for `ReportedLoad`.
  const MonoTime old = now - absl::Milliseconds(options_.load_lag_ms);
  while (loads_.size() > 1 && loads_[1].at <= old) {
    loads_.pop_front();
  }
}

FakeEngine::Load FakeEngine::ReportedLoad() {
  absl::MutexLock lock(&mutex_);
  ReportLoad(MonotonicNow());
  return loads_.front();
}

FakeEngine::Stats FakeEngine::GetStats() const {
  absl::MutexLock lock(&mutex_);
  return stats_;
}

FakePrefixCache::Events FakeEngine::TakeCacheEvents() {
  absl::MutexLock lock(&mutex_);
  return cache_.TakeEvents(MonotonicNow());
}

}  // namespace camphorsail

#include "tests/fakes/backend/fake_service.h"

#include <nlohmann/json.hpp>
#include <utility>

#include "absl/time/clock.h"
#include "camphorsail/base/monotonic_clock.h"

namespace camphorsail {

FakeService::FakeService(const FakeOptions& options) : options_(options) {
  thread_ = std::thread([this] { Run(); });
}

FakeService::~FakeService() {
  {
    absl::MutexLock lock(&mutex_);
    stopping_ = true;
  }
  thread_.join();
}

void FakeService::Submit(const Ref<ServerStream>& stream) {
  const HttpRequest& request = stream->request();
  absl::MutexLock lock(&mutex_);
  const int runs = ++calls_[request.body];
  if (options_.crash_after_run &&
      request.body.find("crash") != std::string::npos) {
    stream->Abort();
    return;
  }
  nlohmann::ordered_json answer;
  answer["path"] = request.target;
  answer["runs"] = runs;
  answer["body_bytes"] = request.body.size();
  HttpResponse response;
  response.body = answer.dump();
  if (options_.service_delay_ms == 0) {
    stream->Respond(response);
    return;
  }
  pending_.push_back(
      {MonotonicNow() + absl::Milliseconds(options_.service_delay_ms), stream,
       std::move(response)});
}

std::map<std::string, int> FakeService::Calls() const {
  absl::MutexLock lock(&mutex_);
  return calls_;
}

void FakeService::Run() {
  while (true) {
    {
      absl::MutexLock lock(&mutex_);
      if (stopping_ && pending_.empty()) {
        return;
      }
      while (!pending_.empty() && pending_.front().due <= MonotonicNow()) {
        pending_.front().stream->Respond(pending_.front().response);
        pending_.pop_front();
      }
    }
    absl::SleepFor(absl::Milliseconds(2));
  }
}

}  // namespace camphorsail

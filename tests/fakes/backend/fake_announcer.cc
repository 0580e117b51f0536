#include "tests/fakes/backend/fake_announcer.h"

#include <curl/curl.h>

#include <nlohmann/json.hpp>

#include "absl/strings/str_cat.h"
#include "absl/time/clock.h"
#include "camphorsail/base/monotonic_clock.h"

namespace camphorsail {
namespace {

using Json = nlohmann::ordered_json;

size_t Discard(char* /*data*/, size_t size, size_t count, void* /*cls*/) {
  return size * count;
}

}  // namespace

FakeAnnouncer::FakeAnnouncer(const FakeOptions& options,
                             uint16_t port,
                             const FakeOrders* orders,
                             FakeEngine* engine)
    : options_(options),
      port_(port),
      orders_(orders),
      engine_(engine),
      incarnation_(
          options.incarnation != 0
              ? options.incarnation
              : static_cast<uint64_t>(absl::ToUnixMicros(absl::Now()))) {
  thread_ = std::thread([this] { Run(); });
}

FakeAnnouncer::~FakeAnnouncer() {
  {
    absl::MutexLock lock(&mutex_);
    stopping_ = true;
  }
  if (thread_.joinable()) {
    thread_.join();
  }
}

void FakeAnnouncer::Leave() {
  {
    absl::MutexLock lock(&mutex_);
    stopping_ = true;
  }
  thread_.join();
  SendToAll(Announcement(true));
}

void FakeAnnouncer::Run() {
  while (true) {
    SendToAll(Announcement(false));
    absl::MutexLock lock(&mutex_);
    if (mutex_.AwaitWithTimeout(absl::Condition(&stopping_),
                                absl::Milliseconds(options_.announce_ms))) {
      return;
    }
  }
}

std::string FakeAnnouncer::Announcement(bool leaving) {
  Json body;
  body["id"] = options_.id;
  body["incarnation"] = incarnation_;
  body["sequence"] = ++sequence_;
  body["address"] = absl::StrCat(options_.address, ":", port_);
  body["failure_domain"] = options_.failure_domain;
  body["kind"] = options_.service ? "service" : "model";
  body["targets"] = orders_->targets();
  body["capacity"] = options_.capacity;
  body["checks_fencing_tokens"] = options_.checks_fencing;
  body["leaving"] = leaving;
  FakeEngine::Load load;
  FakePrefixCache::Events events;
  int64_t age_ms = 0;
  if (engine_ != nullptr) {
    load = engine_->ReportedLoad();
    events = engine_->TakeCacheEvents();
    age_ms = absl::ToInt64Milliseconds(MonotonicNow() - load.at);
  }
  body["age_ms"] = age_ms;
  body["running"] = load.running;
  body["waiting"] = load.waiting;
  body["kv_usage"] = load.kv_usage;
  body["cached_blocks"] = events.added;
  body["evicted_blocks"] = events.evicted;
  body["cache_gap"] = events.gap;
  return body.dump();
}

void FakeAnnouncer::SendToAll(const std::string& body) {
  for (const std::string& vm : options_.announce_to) {
    CURL* easy = curl_easy_init();
    const std::string url = "http://" + vm + "/backend/v1/announce";
    const std::string secret = "X-Camphorsail-Secret: " + options_.secret;
    curl_slist* headers = curl_slist_append(nullptr, secret.c_str());
    headers = curl_slist_append(headers, "Content-Type: application/json");
    curl_easy_setopt(easy, CURLOPT_URL, url.c_str());
    curl_easy_setopt(easy, CURLOPT_PROXY, "");
    curl_easy_setopt(easy, CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(easy, CURLOPT_HTTPHEADER, headers);
    curl_easy_setopt(easy, CURLOPT_POSTFIELDS, body.c_str());
    curl_easy_setopt(easy, CURLOPT_TIMEOUT_MS, 500L);
    curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, &Discard);
    // A VM that is away hears the next announcement.
    (void)curl_easy_perform(easy);
    curl_slist_free_all(headers);
    curl_easy_cleanup(easy);
  }
}

}  // namespace camphorsail

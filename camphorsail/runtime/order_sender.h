#ifndef CAMPHORSAIL_RUNTIME_ORDER_SENDER_H_
#define CAMPHORSAIL_RUNTIME_ORDER_SENDER_H_

#include <curl/curl.h>

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <thread>
#include <vector>

#include "absl/base/thread_annotations.h"
#include "absl/synchronization/mutex.h"
#include "camphorsail/base/ids.h"
#include "camphorsail/control/control_action.h"
#include "camphorsail/control/control_event.h"
#include "camphorsail/http/backend_address.h"

namespace camphorsail {

/// Executes `EngineCallAction`s by HTTP on a dedicated thread. Each call uses a
/// new connection and is never repeated. Thread-safe.
class OrderSender {
 public:
  /// Returns the address of a server; empty when no server of this incarnation
  /// is known.
  using Resolve =
      std::function<BackendAddress(const BackendServerId&, Incarnation)>;
  /// Called on the sender's thread; must not block.
  using Sink = std::function<void(EngineCallResultEvent)>;

  OrderSender(Resolve resolve, Sink sink);
  /// Aborts the calls in progress without reporting results.
  ~OrderSender();
  OrderSender(const OrderSender&) = delete;
  OrderSender& operator=(const OrderSender&) = delete;

  void Call(EngineCallAction action);

 private:
  /// One call in progress. Used on the sender's thread.
  struct Transfer {
    EngineCallAction action;
    std::string body;
    std::string answer;
    /// True once the request may have been written.
    bool may_have_been_sent = false;
  };

  static size_t OnData(char* data, size_t size, size_t count, void* transfer);
  static int OnBeforeRequest(void* transfer, char*, char*, int, int);

  void Run();
  void Start(EngineCallAction action);
  void Finish(CURL* easy, CURLcode code);
  void Report(const EngineCallAction& action,
              bool has_ended,
              std::optional<EngineObservation> observation);

  const Resolve resolve_;
  const Sink sink_;
  CURLM* multi_;
  std::map<CURL*, std::unique_ptr<Transfer>> transfers_;
  /// The headers of every request.
  curl_slist* headers_;

  absl::Mutex mutex_;
  std::vector<EngineCallAction> calls_ ABSL_GUARDED_BY(mutex_);
  bool stopping_ ABSL_GUARDED_BY(mutex_) = false;
  std::thread thread_;
};

}  // namespace camphorsail

#endif  // CAMPHORSAIL_RUNTIME_ORDER_SENDER_H_

#ifndef CAMPHORSAIL_HTTP_BACKEND_CLIENT_H_
#define CAMPHORSAIL_HTTP_BACKEND_CLIENT_H_

#include <curl/curl.h>

#include <functional>
#include <memory>
#include <thread>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "absl/synchronization/mutex.h"
#include "camphorsail/base/mono_time.h"
#include "camphorsail/entry/entry_event.h"
#include "camphorsail/http/answer_head_validator.h"
#include "camphorsail/http/backend_call.h"

namespace camphorsail {

/// Sends one shard's requests to backend servers over libcurl, with reused
/// connections. Owns one thread, on which all events are delivered. The public
/// functions are thread-safe and do not block.
class BackendClient {
 public:
  /// @param sink Receives the events of the calls and the events passed to
  ///     `Post`, on the client's thread with no lock held.
  explicit BackendClient(std::function<void(EntryEvent)> sink);
  ~BackendClient();
  BackendClient(const BackendClient&) = delete;
  BackendClient& operator=(const BackendClient&) = delete;

  void Start(BackendCall call);
  /// Once the client's thread has processed this, no event of the call follows.
  void Cancel(const AttemptId& attempt);
  /// Pauses or resumes receiving the answer.
  void SetPaused(const AttemptId& attempt, bool paused);
  /// Delivers an event that does not come from a call to the sink, on the
  /// client's thread.
  void Post(EntryEvent event);

 private:
  /// One running call. Used on the client's thread only.
  struct Transfer {
    BackendClient* client = nullptr;
    BackendCall call;
    CURL* easy = nullptr;
    curl_slist* headers = nullptr;
    AnswerHeadValidator head_validator;
    bool headers_reported = false;
    bool paused = false;
  };
  struct Command {
    enum class Kind : uint8_t { kStart, kCancel, kPause, kResume, kPost };
    Kind kind;
    AttemptId attempt;
    BackendCall call;
    EntryEvent event;
  };

  // Callbacks of libcurl.
  static size_t OnData(char* data, size_t size, size_t count, void* cls);
  static int OnSocket(CURL* easy,
                      curl_socket_t fd,
                      int what,
                      void* cls,
                      void* socket_state);
  static int OnTimer(CURLM* multi, long timeout_ms, void* cls);

  void Run();
  void Push(Command command);
  // Executes all queued commands.
  // @return False when the client is to stop.
  bool RunCommands();
  void StartTransfer(BackendCall call);
  void ReportHeaders(Transfer* transfer);
  // Removes the finished transfers and delivers their end or failure events.
  void CollectFinishedTransfers();
  void RemoveTransfer(Transfer* transfer);

  const std::function<void(EntryEvent)> sink_;
  int epoll_fd_;
  int wake_fd_;
  CURLM* multi_;

  /// Used on the client's thread only.
  absl::flat_hash_map<RequestId, std::unique_ptr<Transfer>> transfers_;
  /// Time at which libcurl's timer expires; infinite when it is not set.
  MonoTime timer_ = MonoTime::Infinite();

  absl::Mutex mutex_;
  std::vector<Command> commands_ ABSL_GUARDED_BY(mutex_);
  bool stopping_ ABSL_GUARDED_BY(mutex_) = false;
  /// True when the thread has been woken and has not taken the commands yet.
  bool wake_pending_ ABSL_GUARDED_BY(mutex_) = false;

  std::thread thread_;
};

}  // namespace camphorsail

#endif  // CAMPHORSAIL_HTTP_BACKEND_CLIENT_H_

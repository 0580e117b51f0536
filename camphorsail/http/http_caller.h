#ifndef CAMPHORSAIL_HTTP_HTTP_CALLER_H_
#define CAMPHORSAIL_HTTP_HTTP_CALLER_H_

#include <curl/curl.h>

#include <cstddef>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include "absl/base/thread_annotations.h"
#include "absl/synchronization/mutex.h"
#include "camphorsail/base/mono_time.h"
#include "camphorsail/http/answer_head_validator.h"

namespace camphorsail {

/// One HTTP request with method POST.
struct HttpCall {
  std::string url;
  /// Lines of the form `Name: value`.
  std::vector<std::string> headers;
  std::string body;
  /// The request must not be written to the connection at or after this time.
  MonoTime send_before;
  /// The connection is closed at this time, whether an answer has arrived or
  /// not. Data that the other side has not acknowledged is discarded.
  MonoTime deadline;
};

/// The end of an `HttpCall`.
struct HttpCallResult {
  /// False when the request was certainly not written to the connection.
  bool may_have_been_sent = false;
  /// HTTP status; 0 without a complete and valid answer.
  int status = 0;
  std::string body;
};

/// Makes HTTP calls that must not be repeated, on a dedicated thread. Each call
/// uses a new connection, because libcurl may send a request a second time on a
/// reused one that the other side has closed. Thread-safe.
class HttpCaller {
 public:
  /// Called on the caller's thread; must not block.
  using Done = std::function<void(HttpCallResult)>;

  /// @param max_answer_bytes Bound of the body of an answer; a longer answer is
  /// not complete.
  explicit HttpCaller(size_t max_answer_bytes);
  /// Aborts the calls in progress without reporting results.
  ~HttpCaller();
  HttpCaller(const HttpCaller&) = delete;
  HttpCaller& operator=(const HttpCaller&) = delete;

  void Post(HttpCall call, Done done);

 private:
  /// One call in progress. Used on the thread.
  struct Transfer {
    HttpCall call;
    Done done;
    size_t max_answer_bytes = 0;
    curl_slist* headers = nullptr;
    AnswerHeadValidator head_validator;
    HttpCallResult result;

    Transfer() = default;
    ~Transfer() { curl_slist_free_all(headers); }
    Transfer(const Transfer&) = delete;
    Transfer& operator=(const Transfer&) = delete;
  };

  static int OnSocket(void* transfer,
                      curl_socket_t socket,
                      curlsocktype purpose);
  static size_t OnData(char* data, size_t size, size_t count, void* transfer);
  static int OnBeforeRequest(void* transfer, char*, char*, int, int);

  void Run();
  void Start(std::unique_ptr<Transfer> transfer);
  void Finish(CURL* easy, CURLcode code);

  const size_t max_answer_bytes_;
  CURLM* multi_;
  std::map<CURL*, std::unique_ptr<Transfer>> transfers_;

  absl::Mutex mutex_;
  std::vector<std::unique_ptr<Transfer>> waiting_ ABSL_GUARDED_BY(mutex_);
  bool stopping_ ABSL_GUARDED_BY(mutex_) = false;
  std::thread thread_;
};

}  // namespace camphorsail

#endif  // CAMPHORSAIL_HTTP_HTTP_CALLER_H_

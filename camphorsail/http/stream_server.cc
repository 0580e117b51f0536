#include "camphorsail/http/stream_server.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <unistd.h>

#include <algorithm>
#include <cstring>
#include <string>
#include <utility>

#include "absl/strings/ascii.h"
#include "absl/strings/numbers.h"
#include "absl/time/clock.h"
#include "camphorsail/base/release_memory.h"

namespace camphorsail {
namespace {

// libmicrohttpd's memory of one connection for the request's headers and the
// answer's headers and chunks.
constexpr size_t kConnectionMemoryBytes = 16 * 1024;
// Largest piece of a streamed answer.
constexpr size_t kChunkBytes = 8 * 1024;
// Bytes of a streamed answer that the connection has taken are reported in
// steps of at least this size, which saves a call of the handler per event of
// the stream.
constexpr size_t kReportBytes = 8 * 1024;
// Of a body above the limit, up to this many bytes are read and dropped, so
// that a client that sends its whole body before it reads still receives the
// error answer.
constexpr size_t kMaxDroppedBytes = 64 * 1024 * 1024;

MHD_Result AddHeader(void* cls,
                     MHD_ValueKind /*kind*/,
                     const char* key,
                     const char* value) {
  auto* headers =
      static_cast<std::vector<std::pair<std::string, std::string>>*>(cls);
  headers->emplace_back(absl::AsciiStrToLower(key),
                        value == nullptr ? "" : value);
  return MHD_YES;
}

MHD_Result AddQuery(void* cls,
                    MHD_ValueKind /*kind*/,
                    const char* key,
                    const char* value) {
  auto* query =
      static_cast<std::vector<std::pair<std::string, std::string>>*>(cls);
  query->emplace_back(key, value == nullptr ? "" : value);
  return MHD_YES;
}

std::string ClientAddress(MHD_Connection* connection) {
  const MHD_ConnectionInfo* info =
      MHD_get_connection_info(connection, MHD_CONNECTION_INFO_CLIENT_ADDRESS);
  if (info == nullptr || info->client_addr == nullptr ||
      info->client_addr->sa_family != AF_INET) {
    return "";
  }
  char text[INET_ADDRSTRLEN] = "";
  inet_ntop(AF_INET,
            &reinterpret_cast<const sockaddr_in*>(info->client_addr)->sin_addr,
            text, sizeof(text));
  return text;
}

}  // namespace

StreamServer::StreamServer(const StreamServerSettings& settings,
                           StreamHandlers handlers)
    : settings_(settings), handlers_(std::move(handlers)) {}

Expected<std::unique_ptr<StreamServer>> StreamServer::Create(
    const StreamServerSettings& settings,
    StreamHandlers handlers) {
  if (auto valid = settings.Validate(); !valid) {
    return tl::unexpected<Error>(valid.error());
  }
  std::unique_ptr<StreamServer> server(
      new StreamServer(settings, std::move(handlers)));
  StreamServer* self = server.get();
  server->watcher_ = std::make_unique<DisconnectWatcher>(
      [self](const Ref<ServerStream>& stream) { self->OnDisconnect(stream); });
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(settings.port);
  inet_pton(AF_INET, settings.address.c_str(), &address.sin_addr);
  unsigned int flags = MHD_USE_EPOLL_INTERNAL_THREAD | MHD_ALLOW_SUSPEND_RESUME;
  server->daemon_ = MHD_start_daemon(
      flags, settings.port, nullptr, nullptr, &StreamServer::OnAccess, self,
      MHD_OPTION_SOCK_ADDR, reinterpret_cast<sockaddr*>(&address),
      MHD_OPTION_THREAD_POOL_SIZE,
      static_cast<unsigned int>(settings.threads > 1 ? settings.threads : 0),
      MHD_OPTION_CONNECTION_LIMIT,
      static_cast<unsigned int>(settings.max_connections),
      MHD_OPTION_CONNECTION_TIMEOUT,
      static_cast<unsigned int>(absl::ToInt64Seconds(settings.idle_timeout)),
      MHD_OPTION_CONNECTION_MEMORY_LIMIT, kConnectionMemoryBytes,
      MHD_OPTION_URI_LOG_CALLBACK, &StreamServer::OnTarget, self,
      MHD_OPTION_NOTIFY_COMPLETED, &StreamServer::OnCompleted, self,
      MHD_OPTION_LISTEN_BACKLOG_SIZE, 1024U, MHD_OPTION_LISTENING_ADDRESS_REUSE,
      1U, MHD_OPTION_END);
  if (server->daemon_ == nullptr) {
    return Fail(ErrorKind::kSettingsInvalid, "cannot listen on " +
                                                 settings.address + ":" +
                                                 std::to_string(settings.port) +
                                                 ": " + std::strerror(errno));
  }
  const MHD_DaemonInfo* info =
      MHD_get_daemon_info(server->daemon_, MHD_DAEMON_INFO_BIND_PORT);
  server->port_ = info != nullptr ? info->port : settings.port;
  return server;
}

StreamServer::~StreamServer() {
  if (daemon_ == nullptr) {
    return;
  }
  // libmicrohttpd aborts the process when it is stopped while connections are
  // suspended.
  stopping_.store(true);
  {
    absl::MutexLock lock(&mutex_);
    for (ServerStream* stream : streams_) {
      stream->Abort();
    }
  }
  MHD_stop_daemon(daemon_);
}

int StreamServer::open_streams() const {
  absl::MutexLock lock(&mutex_);
  return static_cast<int>(streams_.size());
}

bool StreamServer::WaitUntilIdle(absl::Duration timeout) const {
  const absl::Time deadline = absl::Now() + timeout;
  while (open_streams() > 0) {
    if (absl::Now() > deadline) {
      return false;
    }
    absl::SleepFor(absl::Milliseconds(5));
  }
  return true;
}

MHD_Result StreamServer::OnAccess(void* cls,
                                  MHD_Connection* connection,
                                  const char* url,
                                  const char* method,
                                  const char* /*version*/,
                                  const char* upload_data,
                                  size_t* upload_data_size,
                                  void** state) {
  auto* self = static_cast<StreamServer*>(cls);
  auto* stream = static_cast<ServerStream*>(*state);
  if (!stream->headers_received_) {
    stream->headers_received_ = true;
    return self->BeginStream(connection, url, method,
                             Ref<ServerStream>(stream));
  }
  if (*upload_data_size > 0) {
    return self->ReceiveBody(stream, upload_data, upload_data_size);
  }
  if (!stream->body_complete_) {
    stream->body_complete_ = true;
    stream->SetBodyArrived();
    const Ref<ServerStream> ref(stream);
    if (stream->IsStarted()) {
      // The headers handler has already answered.
    } else if (stream->body_failed_) {
      self->handlers_.on_rejected(ref, stream->body_error_);
    } else {
      self->handlers_.on_body(ref);
    }
  }
  return self->QueueOrSuspend(stream, connection);
}

void* StreamServer::OnTarget(void* cls,
                             const char* target,
                             MHD_Connection* connection) {
  auto* self = static_cast<StreamServer*>(cls);
  const MHD_ConnectionInfo* info =
      MHD_get_connection_info(connection, MHD_CONNECTION_INFO_CONNECTION_FD);
  auto* stream = new ServerStream(self, connection, info->connect_fd);
  stream->request_.target = target;
  // The pointer that libmicrohttpd keeps owns a reference, which OnCompleted
  // releases.
  stream->AddRef();
  absl::MutexLock lock(&self->mutex_);
  self->streams_.insert(stream);
  return stream;
}

MHD_Result StreamServer::BeginStream(MHD_Connection* connection,
                                     const char* url,
                                     const char* method,
                                     const Ref<ServerStream>& stream) {
  HttpRequest& request = stream->request_;
  request.method = method;
  request.path = url;
  request.client_address = ClientAddress(connection);
  MHD_get_connection_values(connection, MHD_HEADER_KIND, &AddHeader,
                            &request.headers);
  MHD_get_connection_values(connection, MHD_GET_ARGUMENT_KIND, &AddQuery,
                            &request.query);
  size_t header_bytes = request.target.size();
  for (const auto& [name, value] : request.headers) {
    header_bytes += name.size() + value.size();
  }
  uint64_t content_length = 0;
  if (header_bytes > settings_.max_header_bytes) {
    handlers_.on_rejected(stream, ErrorKind::kHeadersTooLarge);
  } else if (absl::SimpleAtoi(request.Header("content-length"),
                              &content_length) &&
             content_length > settings_.max_body_bytes) {
    handlers_.on_rejected(stream, ErrorKind::kBodyTooLarge);
  } else {
    handlers_.on_headers(stream);
  }
  // Only a request with a body is answered here: an answer before the body
  // closes the connection. A request without a body is answered at the
  // library's next call.
  const bool has_body =
      content_length > 0 || !request.Header("transfer-encoding").empty();
  absl::MutexLock lock(&stream->mutex_);
  if (has_body && stream->started_ && stream->ended_ && !stream->aborted_) {
    MHD_Response* response = MakeResponseLocked(stream.get());
    stream->queued_ = true;
    const auto status = static_cast<unsigned int>(stream->head_.status);
    const MHD_Result result = MHD_queue_response(connection, status, response);
    MHD_destroy_response(response);
    return result;
  }
  stream->awaiting_body_ = has_body;
  return MHD_YES;
}

MHD_Result StreamServer::ReceiveBody(ServerStream* stream,
                                     const char* data,
                                     size_t* size) {
  {
    absl::MutexLock lock(&stream->mutex_);
    if (stream->aborted_) {
      return MHD_NO;
    }
  }
  std::string& body = stream->request_.body;
  if (stream->body_failed_) {
    stream->dropped_bytes_ += *size;
    if (stream->dropped_bytes_ > kMaxDroppedBytes) {
      return MHD_NO;
    }
  } else {
    stream->counted_bytes_ += *size;
    const size_t total = total_body_bytes_.fetch_add(*size) + *size;
    if (body.size() + *size > settings_.max_body_bytes) {
      stream->body_failed_ = true;
    } else if (total > settings_.max_total_body_bytes) {
      stream->body_failed_ = true;
      stream->body_error_ = ErrorKind::kOverloaded;
    } else {
      body.append(data, *size);
    }
    if (stream->body_failed_) {
      // First, so that no other body is refused while the memory is freed.
      total_body_bytes_.fetch_sub(std::exchange(stream->counted_bytes_, 0));
      ReleaseMemory(&body);
    }
  }
  *size = 0;
  return MHD_YES;
}

MHD_Response* StreamServer::MakeResponseLocked(ServerStream* stream) {
  MHD_Response* response;
  if (stream->streamed_) {
    // The response owns a reference, which its free callback releases.
    stream->AddRef();
    response = MHD_create_response_from_callback(
        MHD_SIZE_UNKNOWN, kChunkBytes, &StreamServer::OnRead, stream,
        [](void* cls) { static_cast<ServerStream*>(cls)->Release(); });
  } else {
    response = MHD_create_response_from_buffer(
        stream->buffer_.size(), stream->buffer_.data(), MHD_RESPMEM_MUST_COPY);
    ReleaseMemory(&stream->buffer_);
  }
  if (!stream->head_.content_type.empty()) {
    MHD_add_response_header(response, MHD_HTTP_HEADER_CONTENT_TYPE,
                            stream->head_.content_type.c_str());
  }
  for (const auto& [name, value] : stream->head_.headers) {
    MHD_add_response_header(response, name.c_str(), value.c_str());
  }
  return response;
}

MHD_Result StreamServer::QueueOrSuspend(ServerStream* stream,
                                        MHD_Connection* connection) {
  absl::MutexLock lock(&stream->mutex_);
  if (stream->aborted_ || stopping_.load()) {
    return MHD_NO;
  }
  const bool has_bytes = stream->buffer_.size() > stream->offset_;
  if (stream->started_ &&
      (stream->ended_ || (stream->streamed_ && has_bytes))) {
    MHD_Response* response = MakeResponseLocked(stream);
    stream->queued_ = true;
    const auto status = static_cast<unsigned int>(stream->head_.status);
    const MHD_Result result = MHD_queue_response(connection, status, response);
    MHD_destroy_response(response);
    return result;
  }
  if (!stream->watched_) {
    stream->watched_ = true;
    watcher_->Watch(stream->fd_, Ref<ServerStream>(stream));
  }
  stream->SuspendLocked();
  return MHD_YES;
}

ssize_t StreamServer::OnRead(void* cls,
                             uint64_t /*position*/,
                             char* out,
                             size_t max) {
  auto* stream = static_cast<ServerStream*>(cls);
  size_t report = 0;
  size_t taken = 0;
  {
    absl::MutexLock lock(&stream->mutex_);
    if (stream->aborted_ || stream->server_->stopping_.load()) {
      return MHD_CONTENT_READER_END_WITH_ERROR;
    }
    const size_t available = stream->buffer_.size() - stream->offset_;
    if (available == 0) {
      if (stream->ended_) {
        return MHD_CONTENT_READER_END_OF_STREAM;
      }
      stream->SuspendLocked();
      return 0;
    }
    taken = std::min(available, max);
    std::memcpy(out, stream->buffer_.data() + stream->offset_, taken);
    stream->offset_ += taken;
    if (stream->offset_ == stream->buffer_.size()) {
      stream->buffer_.clear();
      stream->offset_ = 0;
    } else if (stream->offset_ >= kReportBytes) {
      stream->buffer_.erase(0, stream->offset_);
      stream->offset_ = 0;
    }
    stream->unreported_bytes_ += taken;
    if (stream->unreported_bytes_ >= kReportBytes) {
      report = std::exchange(stream->unreported_bytes_, 0);
    }
  }
  if (report > 0) {
    stream->server_->handlers_.on_drained(Ref<ServerStream>(stream), report);
  }
  return static_cast<ssize_t>(taken);
}

void StreamServer::OnCompleted(void* cls,
                               MHD_Connection* /*connection*/,
                               void** state,
                               MHD_RequestTerminationCode code) {
  auto* self = static_cast<StreamServer*>(cls);
  auto* stream = static_cast<ServerStream*>(*state);
  if (stream == nullptr) {
    return;
  }
  *state = nullptr;
  if (stream->watched_) {
    self->watcher_->Unwatch(stream->fd_);
  }
  {
    absl::MutexLock lock(&stream->mutex_);
    stream->connection_ = nullptr;
  }
  if (stream->headers_received_ &&
      code != MHD_REQUEST_TERMINATED_COMPLETED_OK) {
    self->handlers_.on_gone(Ref<ServerStream>(stream));
  }
  self->total_body_bytes_.fetch_sub(stream->counted_bytes_);
  {
    absl::MutexLock lock(&self->mutex_);
    self->streams_.erase(stream);
  }
  stream->Release();
}

void StreamServer::OnDisconnect(const Ref<ServerStream>& stream) {
  handlers_.on_gone(stream);
  stream->Abort();
}

}  // namespace camphorsail

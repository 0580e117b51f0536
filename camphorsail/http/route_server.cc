#include "camphorsail/http/route_server.h"

#include <utility>

namespace camphorsail {

Expected<std::unique_ptr<RouteServer>> RouteServer::Create(
    const StreamServerSettings& settings,
    RouteTable routes,
    int workers) {
  std::unique_ptr<RouteServer> self(new RouteServer(std::move(routes)));
  RouteServer* raw = self.get();
  StreamHandlers handlers;
  handlers.on_headers = [raw](const Ref<ServerStream>& stream) {
    stream->set_tag(raw->next_id_.fetch_add(1));
  };
  handlers.on_body = [raw](const Ref<ServerStream>& stream) {
    raw->Enqueue(stream);
  };
  handlers.on_rejected = [](const Ref<ServerStream>& stream, ErrorKind kind) {
    stream->Respond(RouteTable::ErrorResponse(
        {kind, "the request is too large"}, RequestId(stream->tag())));
  };
  handlers.on_gone = [](const Ref<ServerStream>&) {};
  handlers.on_drained = [](const Ref<ServerStream>&, size_t) {};
  Expected<std::unique_ptr<StreamServer>> server =
      StreamServer::Create(settings, std::move(handlers));
  if (!server) {
    return tl::unexpected<Error>(server.error());
  }
  self->server_ = *std::move(server);
  for (int i = 0; i < workers; ++i) {
    self->workers_.emplace_back([raw] { raw->RunWorker(); });
  }
  return self;
}

RouteServer::~RouteServer() {
  {
    absl::MutexLock lock(&mutex_);
    stopping_ = true;
  }
  for (std::thread& worker : workers_) {
    worker.join();
  }
  // The listener cannot stop while connections are suspended; aborting resumes
  // them.
  for (const Ref<ServerStream>& stream : waiting_) {
    stream->Abort();
  }
  server_.reset();
}

void RouteServer::Enqueue(const Ref<ServerStream>& stream) {
  absl::MutexLock lock(&mutex_);
  if (stopping_ || waiting_.size() >= kMaxWaitingRequests) {
    const ErrorKind kind =
        stopping_ ? ErrorKind::kShuttingDown : ErrorKind::kOverloaded;
    stream->Respond(RouteTable::ErrorResponse(
        {kind, "too many requests are waiting"}, RequestId(stream->tag())));
    return;
  }
  waiting_.push_back(stream);
}

void RouteServer::RunWorker() {
  const auto has_work = [this]() ABSL_SHARED_LOCKS_REQUIRED(mutex_) {
    return stopping_ || !waiting_.empty();
  };
  while (true) {
    Ref<ServerStream> stream;
    {
      absl::MutexLock lock(&mutex_);
      mutex_.Await(absl::Condition(&has_work));
      if (waiting_.empty()) {
        return;
      }
      stream = std::move(waiting_.front());
      waiting_.pop_front();
    }
    stream->Respond(
        routes_.Handle(stream->request(), RequestId(stream->tag())));
  }
}

}  // namespace camphorsail

#include "camphorsail/peer/peer_transport_core.h"

#include <sys/epoll.h>
#include <sys/eventfd.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <cstring>
#include <random>
#include <utility>

#include "absl/container/flat_hash_set.h"
#include "camphorsail/base/monotonic_clock.h"
#include "camphorsail/net/tcp_socket.h"
#include "camphorsail/peer/peer_frame.h"
#include "camphorsail/process/guarded_call.h"
#include "camphorsail/process/log_event.h"

namespace camphorsail {
namespace {

// Values of `epoll_event::data` for the listening socket and the wake-up
// descriptor. Connections have ids from `kFirstConnectionId`.
constexpr uint64_t kListenId = 0;
constexpr uint64_t kWakeId = 1;
constexpr uint64_t kFirstConnectionId = 2;
/// Delay before connections are accepted again after the process ran out of
/// file descriptors or memory.
constexpr absl::Duration kAcceptPause = absl::Milliseconds(100);
/// Interval at which acknowledgements are checked during `Flush`.
constexpr absl::Duration kFlushPoll = absl::Milliseconds(5);
constexpr absl::Duration kRefusalLogInterval = absl::Seconds(1);

uint64_t RandomSeed() {
  std::random_device device;
  return (static_cast<uint64_t>(device()) << 32) | device();
}

}  // namespace

PeerTransportCore::PeerTransportCore(PeerTransportSettings settings,
                                     SharedHybridClock* clock,
                                     PeerTransport::MessageHandler on_message,
                                     PeerTransport::StateHandler on_state)
    : settings_(std::move(settings)),
      clock_(clock),
      on_message_(std::move(on_message)),
      on_state_(std::move(on_state)),
      table_(settings_),
      next_id_(kFirstConnectionId),
      jitter_(RandomSeed()) {}

PeerTransportCore::~PeerTransportCore() {
  Stop();
  for (const int fd : {listen_fd_, epoll_fd_, wake_fd_}) {
    if (fd >= 0) {
      close(fd);
    }
  }
}

Expected<void> PeerTransportCore::Start() {
  const Expected<int> listen_fd = ListenTcp(settings_.listen);
  if (!listen_fd) {
    return Fail(listen_fd.error().kind,
                ToString(settings_.listen) + ": " + listen_fd.error().message);
  }
  listen_fd_ = *listen_fd;
  listen_address_ = LocalAddress(listen_fd_);
  epoll_fd_ = epoll_create1(EPOLL_CLOEXEC);
  wake_fd_ = eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC);
  if (epoll_fd_ < 0 || wake_fd_ < 0) {
    return Fail(ErrorKind::kInternal,
                "cannot create the descriptors of the event loop");
  }
  epoll_event event = {};
  event.events = EPOLLIN;
  event.data.u64 = kWakeId;
  epoll_ctl(epoll_fd_, EPOLL_CTL_ADD, wake_fd_, &event);
  SetListening(true);
  thread_ = std::thread([this] { Run(); });
  pthread_setname_np(thread_.native_handle(), "peer");
  return {};
}

void PeerTransportCore::Stop() {
  stopping_ = true;
  if (thread_.joinable()) {
    Wake();
    thread_.join();
  }
}

PeerSendResult PeerTransportCore::Send(const VmId& to, PeerMessage message) {
  if (stopping_) {
    return PeerSendResult::kStopped;
  }
  bool wake = false;
  const PeerSendResult result = table_.Push(to, std::move(message), &wake);
  if (wake) {
    Wake();
  }
  return result;
}

Expected<void> PeerTransportCore::AddPeer(const PeerAddress& peer) {
  Expected<void> added = table_.Add(peer);
  Wake();
  return added;
}

void PeerTransportCore::RemovePeer(const VmId& vm) {
  table_.Remove(vm);
  Wake();
}

bool PeerTransportCore::Flush(absl::Duration timeout) {
  const MonoTime deadline = MonotonicNow() + timeout;
  ++active_flushes_;
  Wake();
  bool unsent = table_.HasUnsentMessages();
  while (unsent && MonotonicNow() < deadline) {
    absl::MutexLock lock(&flush_mutex_);
    flush_progress_.WaitWithTimeout(&flush_mutex_, kFlushPoll);
    unsent = table_.HasUnsentMessages();
  }
  --active_flushes_;
  return !unsent;
}

void PeerTransportCore::Wake() {
  if (!wake_pending_.exchange(true)) {
    const uint64_t one = 1;
    // The descriptor's counter cannot overflow, because the loop resets it.
    [[maybe_unused]] const ssize_t written = write(wake_fd_, &one, sizeof(one));
  }
}

void PeerTransportCore::Run() {
  std::array<epoll_event, 64> events;
  while (!stopping_) {
    absl::Duration wait = next_housekeeping_ - MonotonicNow();
    if (active_flushes_ > 0) {
      wait = std::min(wait, kFlushPoll);
    }
    const int64_t wait_ms =
        absl::ToInt64Milliseconds(absl::Ceil(wait, absl::Milliseconds(1)));
    const int count =
        epoll_wait(epoll_fd_, events.data(), events.size(),
                   static_cast<int>(std::max<int64_t>(wait_ms, 0)));
    now_ = MonotonicNow();
    for (int i = 0; i < count; ++i) {
      const uint64_t id = events[i].data.u64;
      if (id == kListenId) {
        Accept(now_);
      } else if (id == kWakeId) {
        uint64_t value = 0;
        [[maybe_unused]] const ssize_t size =
            read(wake_fd_, &value, sizeof(value));
        wake_pending_ = false;
      } else {
        if (!GuardedCall("peer",
                         [&] { HandleEvent(id, events[i].events, now_); })) {
          marked_for_close_.push_back(id);
        }
      }
    }
    UpdatePeers();
    SendPending();
    if (now_ >= next_housekeeping_) {
      DoHousekeeping(now_);
    }
    CloseMarked(now_);
    if (active_flushes_ > 0) {
      ReportFlushProgress();
    }
  }
  for (auto& [id, connection] : connections_) {
    if (connection.peer) {
      connection.peer->outbound_connected = false;
      connection.peer->inbound_connected = false;
    }
  }
  connections_.clear();
}

void PeerTransportCore::UpdatePeers() {
  if (!table_.TakeChanges(&loop_peers_)) {
    return;
  }
  const absl::flat_hash_set<const PeerState*> current = [this] {
    absl::flat_hash_set<const PeerState*> result;
    for (const Ref<PeerState>& peer : loop_peers_) {
      result.insert(peer.get());
    }
    return result;
  }();
  for (auto& [id, connection] : connections_) {
    if (connection.peer && !current.contains(connection.peer.get())) {
      marked_for_close_.push_back(id);
    }
  }
  next_housekeeping_ = now_;
}

void PeerTransportCore::SendPending() {
  const std::vector<Ref<PeerState>> pending = table_.TakePending();
  for (const Ref<PeerState>& peer : pending) {
    // Reset before the queue is read, so that a message added meanwhile puts
    // the peer into the list again.
    peer->send_pending = false;
    const auto it = connections_.find(peer->outbound_id);
    if (it != connections_.end() && it->second.outbound->ready()) {
      it->second.socket().ResumeData();
      WriteConnection(it->first);
    }
  }
}

void PeerTransportCore::Accept(MonoTime now) {
  while (true) {
    const int fd = AcceptTcp(listen_fd_);
    if (fd < 0) {
      if (errno == EMFILE || errno == ENFILE || errno == ENOMEM ||
          errno == ENOBUFS) {
        SetListening(false);
        LogEvent("peer_accept_paused", LogLevel::kError)
            .Add("error", std::strerror(errno));
      }
      return;
    }
    if (inbound_count_ >= settings_.max_inbound_connections ||
        unauthenticated_count_ >= settings_.max_unauthenticated_connections) {
      ++refused_connections_;
      close(fd);
      continue;
    }
    ++inbound_count_;
    ++unauthenticated_count_;
    const uint64_t id = next_id_;
    Connection connection;
    connection.inbound = std::make_unique<InboundConnection>(
        fd, settings_.vm, settings_.secret, settings_.max_message_bytes,
        InboundConnection::Hooks{
            [this, fd](const VmId& from) { return IsAllowed(from, fd); },
            [this, id](const VmId& from) { OnAuthenticated(id, from); },
            [this, id](const VmId& /*from*/, PeerMessage message) {
              OnMessage(id, std::move(message));
            }},
        now);
    Register(fd, std::move(connection));
    WriteConnection(id);
  }
}

void PeerTransportCore::Connect(const Ref<PeerState>& peer, MonoTime now) {
  const Expected<int> fd = ConnectTcp(listen_address_.ip, peer->address);
  if (!fd) {
    if (!std::exchange(peer->failure_logged, true)) {
      LogEvent("peer_unreachable", LogLevel::kWarning)
          .Add("peer", peer->vm)
          .Add("reason", fd.error().message);
    }
    ScheduleReconnect(*peer, /*was_stable=*/false, now);
    return;
  }
  Connection connection;
  connection.peer = peer;
  PeerState* const state = peer.get();
  connection.outbound = std::make_unique<OutboundConnection>(
      *fd, settings_.vm, peer->vm, settings_.secret,
      OutboundConnection::Hooks{[this, state](PeerMessage* message) {
                                  return NextMessage(*state, message);
                                },
                                [this, state] { OnReady(*state); }},
      now);
  const bool started = connection.outbound->Start();
  peer->outbound_id = Register(*fd, std::move(connection));
  if (started) {
    WriteConnection(peer->outbound_id);
  } else {
    marked_for_close_.push_back(peer->outbound_id);
  }
}

void PeerTransportCore::HandleEvent(uint64_t id,
                                    uint32_t events,
                                    MonoTime now) {
  const auto it = connections_.find(id);
  if (it == connections_.end()) {
    return;
  }
  Connection& connection = it->second;
  // Received bytes are read before an error is handled, because they arrived
  // before it.
  const bool readable = (events & (EPOLLIN | EPOLLERR | EPOLLHUP)) != 0;
  const bool alive = !readable || connection.socket().Read(now);
  AccountWireBytes(connection);
  if (alive) {
    WriteConnection(id);
  } else {
    marked_for_close_.push_back(id);
  }
}

void PeerTransportCore::DoHousekeeping(MonoTime now) {
  next_housekeeping_ = now + settings_.max_backoff;
  if (!listening_) {
    SetListening(true);
  }
  for (auto& [id, connection] : connections_) {
    Http2Socket& socket = connection.socket();
    const bool established = connection.outbound
                                 ? connection.outbound->ready()
                                 : connection.inbound->authenticated();
    const MonoTime handshake_deadline =
        (connection.outbound ? connection.outbound->created()
                             : connection.inbound->created()) +
        settings_.handshake_timeout;
    if (!established) {
      if (now >= handshake_deadline) {
        marked_for_close_.push_back(id);
      }
      next_housekeeping_ = std::min(next_housekeeping_, handshake_deadline);
      continue;
    }
    if (!socket.CheckLiveness(now, settings_.ping_interval,
                              settings_.idle_timeout)) {
      ++connection.peer->ping_timeouts;
      marked_for_close_.push_back(id);
      continue;
    }
    WriteConnection(id);
    next_housekeeping_ = std::min(
        next_housekeeping_, socket.NextLivenessCheck(settings_.ping_interval,
                                                     settings_.idle_timeout));
  }
  CloseMarked(now);
  for (const Ref<PeerState>& peer : loop_peers_) {
    if (peer->outbound_id == 0 && now >= peer->next_attempt) {
      Connect(peer, now);
    }
    if (peer->outbound_id == 0) {
      next_housekeeping_ = std::min(next_housekeeping_, peer->next_attempt);
    }
  }
}

void PeerTransportCore::WriteConnection(uint64_t id) {
  Connection& connection = connections_.find(id)->second;
  Http2Socket& socket = connection.socket();
  const bool alive = socket.Write();
  AccountWireBytes(connection);
  if (!alive) {
    marked_for_close_.push_back(id);
    return;
  }
  if (socket.write_blocked() != connection.watches_writability) {
    connection.watches_writability = socket.write_blocked();
    epoll_event event = {};
    event.events = EPOLLIN | (connection.watches_writability ? EPOLLOUT : 0U);
    event.data.u64 = id;
    epoll_ctl(epoll_fd_, EPOLL_CTL_MOD, socket.fd(), &event);
  }
}

void PeerTransportCore::AccountWireBytes(Connection& connection) {
  if (connection.peer) {
    const auto [sent, received] = connection.socket().TakeWireBytes();
    connection.peer->wire_bytes_sent += sent;
    connection.peer->wire_bytes_received += received;
  }
}

void PeerTransportCore::CloseMarked(MonoTime now) {
  for (const uint64_t id : std::exchange(replaced_attempts_, {})) {
    const auto it = connections_.find(id);
    // An attempt whose handshake has ended in this iteration of the loop is
    // kept, because messages may have been written to it.
    if (it != connections_.end() && !it->second.outbound->ready()) {
      marked_for_close_.push_back(id);
    }
  }
  // Closing a connection calls handlers. They mark no other connection, but may
  // change the table of peers.
  const std::vector<uint64_t> marked = std::exchange(marked_for_close_, {});
  for (const uint64_t id : marked) {
    const auto it = connections_.find(id);
    if (it == connections_.end()) {
      continue;
    }
    Connection connection = std::move(it->second);
    connections_.erase(it);
    if (connection.outbound) {
      CloseOutbound(connection, now);
    } else {
      CloseInbound(connection, now);
    }
  }
}

void PeerTransportCore::CloseOutbound(Connection& connection, MonoTime now) {
  PeerState& peer = *connection.peer;
  OutboundConnection& outbound = *connection.outbound;
  const bool was_ready = outbound.ready();
  peer.outbound_id = 0;
  peer.outbound_connected = false;
  peer.maybe_unacknowledged = false;
  if (was_ready || !std::exchange(peer.failure_logged, true)) {
    std::string reason = outbound.refusal();
    if (reason.empty()) {
      reason = outbound.socket().close_reason();
    }
    LogEvent(was_ready ? LogEventName("peer_disconnected")
                       : LogEventName("peer_unreachable"),
             LogLevel::kWarning)
        .Add("peer", peer.vm)
        .Add("reason", reason.empty() ? "timeout or peer removed" : reason);
  }
  ScheduleReconnect(
      peer, was_ready && now - outbound.created() >= settings_.max_backoff,
      now);
  if (was_ready && on_state_) {
    on_state_(peer.vm, false);
  }
}

void PeerTransportCore::CloseInbound(Connection& connection, MonoTime now) {
  InboundConnection& inbound = *connection.inbound;
  --inbound_count_;
  if (inbound.authenticated()) {
    // When the peer already has a newer connection, its state stays unchanged.
    if (connection.peer->inbound_id != 0 &&
        !connections_.contains(connection.peer->inbound_id)) {
      connection.peer->inbound_id = 0;
      connection.peer->inbound_connected = false;
    }
  } else {
    --unauthenticated_count_;
  }
  if (inbound.authenticated() && inbound.refusal().empty()) {
    return;
  }
  ++refused_connections_;
  if (now < next_refusal_log_) {
    ++refusals_not_logged_;
    return;
  }
  next_refusal_log_ = now + kRefusalLogInterval;
  std::string reason = inbound.refusal();
  if (reason.empty()) {
    reason = inbound.socket().close_reason();
  }
  LogEvent("peer_refused", LogLevel::kWarning)
      .Add("from", inbound.from())
      .Add("address", ToString(RemoteAddress(inbound.socket().fd())))
      .Add("reason", reason.empty() ? "timeout or peer removed" : reason)
      .Add("not_logged", std::exchange(refusals_not_logged_, 0));
}

void PeerTransportCore::ScheduleReconnect(PeerState& peer,
                                          bool was_stable,
                                          MonoTime now) {
  // A connection that fails soon after its handshake does not reset the delay,
  // so that a peer that closes every connection is not reconnected in a tight
  // loop.
  const bool first = was_stable || peer.backoff == absl::ZeroDuration();
  peer.backoff = first ? settings_.initial_backoff
                       : std::min(peer.backoff * 2, settings_.max_backoff);
  peer.next_attempt = now + peer.backoff * (0.5 + 0.5 * jitter_.Uniform());
  next_housekeeping_ = std::min(next_housekeeping_, peer.next_attempt);
}

void PeerTransportCore::ReportFlushProgress() {
  for (auto& [id, connection] : connections_) {
    if (connection.outbound) {
      connection.peer->maybe_unacknowledged =
          connection.outbound->HasPartialFrame() ||
          connection.socket().HasUnacknowledgedBytes();
    }
  }
  absl::MutexLock lock(&flush_mutex_);
  flush_progress_.SignalAll();
}

void PeerTransportCore::SetListening(bool listening) {
  listening_ = listening;
  epoll_event event = {};
  event.events = EPOLLIN;
  event.data.u64 = kListenId;
  epoll_ctl(epoll_fd_, listening ? EPOLL_CTL_ADD : EPOLL_CTL_DEL, listen_fd_,
            &event);
  if (!listening) {
    next_housekeeping_ = std::min(next_housekeeping_, now_ + kAcceptPause);
  }
}

bool PeerTransportCore::IsAllowed(const VmId& from, int fd) const {
  if (settings_.accept_unlisted_peers) {
    return from.value() == RemoteAddress(fd).ip;
  }
  const Ref<PeerState> peer = table_.Find(from);
  return peer && peer->address.ip == RemoteAddress(fd).ip;
}

void PeerTransportCore::OnAuthenticated(uint64_t id, const VmId& from) {
  --unauthenticated_count_;
  Connection& connection = connections_.find(id)->second;
  Ref<PeerState> peer = table_.Find(from);
  if (!peer && settings_.accept_unlisted_peers &&
      table_.Add({from, {from.value(), listen_address_.port}})) {
    LogEvent("peer_added").Add("peer", from);
    peer = table_.Find(from);
  }
  if (!peer) {
    // The peer was removed after its request had been accepted. The connection
    // gets a placeholder state until it is closed.
    connection.peer = MakeRef<PeerState>(from, NetworkAddress{}, 1, 1);
    marked_for_close_.push_back(id);
    return;
  }
  connection.peer = peer;
  if (peer->inbound_id != 0) {
    // The peer restarted, or its previous connection is half-open.
    marked_for_close_.push_back(peer->inbound_id);
  }
  peer->inbound_id = id;
  peer->inbound_connected = true;
  if (!peer->outbound_connected) {
    // The peer is reachable: connect to it now, without waiting for the backoff
    // or for an attempt whose first packet was lost while the peer was
    // unreachable.
    peer->backoff = absl::ZeroDuration();
    if (peer->outbound_id != 0) {
      replaced_attempts_.push_back(peer->outbound_id);
    }
    peer->next_attempt = now_;
    next_housekeeping_ = now_;
  }
}

void PeerTransportCore::OnMessage(uint64_t id, PeerMessage message) {
  const Ref<PeerState> peer = connections_.find(id)->second.peer;
  if (peer->inbound_id != id) {
    // A newer connection has replaced this one; passing on its message would
    // break the order.
    return;
  }
  ++peer->messages_received;
  peer->payload_bytes_received += message.payload.size();
  if (!clock_->Observe(message.sent_at)) {
    LogEvent("peer_clock_ignored", LogLevel::kWarning)
        .Add("peer", peer->vm)
        .Add("wall_micros", message.sent_at.wall_micros);
  }
  if (IsKnownChannel(message.channel)) {
    on_message_(peer->vm, std::move(message));
  }
}

bool PeerTransportCore::NextMessage(PeerState& peer, PeerMessage* message) {
  peer.maybe_unacknowledged = true;
  if (!peer.queue.Pop(message)) {
    return false;
  }
  message->sent_at = clock_->Now();
  ++peer.messages_sent;
  peer.payload_bytes_sent += message->payload.size();
  return true;
}

void PeerTransportCore::OnReady(PeerState& peer) {
  peer.outbound_connected = true;
  peer.failure_logged = false;
  ++peer.connects;
  LogEvent("peer_connected").Add("peer", peer.vm);
  if (on_state_) {
    on_state_(peer.vm, true);
  }
}

uint64_t PeerTransportCore::Register(int fd, Connection connection) {
  const uint64_t id = next_id_++;
  epoll_event event = {};
  event.events = EPOLLIN;
  event.data.u64 = id;
  epoll_ctl(epoll_fd_, EPOLL_CTL_ADD, fd, &event);
  connections_.emplace(id, std::move(connection));
  // Housekeeping must run at the new connection's first deadline.
  next_housekeeping_ = std::min(
      next_housekeeping_,
      now_ + std::min(settings_.handshake_timeout, settings_.ping_interval));
  return id;
}

}  // namespace camphorsail

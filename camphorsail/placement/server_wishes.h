#ifndef CAMPHORSAIL_PLACEMENT_SERVER_WISHES_H_
#define CAMPHORSAIL_PLACEMENT_SERVER_WISHES_H_

#include <algorithm>
#include <optional>

#include "absl/time/time.h"
#include "camphorsail/base/mono_time.h"

namespace camphorsail {

/// Whether one incarnation of a backend server wants new requests from this
/// gateway, by what it says in its answers. This is no matter of health: a
/// server that leaves or rests is not ill. Not thread-safe.
class ServerWishes {
 public:
  /// Time between two requests to a server after its rest, until it has
  /// answered one. All requests that waited would overload it again.
  static constexpr absl::Duration kTrialInterval = absl::Milliseconds(200);

  /// Records that the server is about to leave, which is final.
  void OnLeaving() { is_leaving_ = true; }
  /// Records that the server wants no requests for some time.
  void OnRest(absl::Duration rest, MonoTime now) {
    resting_until_ = std::max(resting_until_.value_or(now), now + rest);
  }
  /// Records that a request is sent to the server.
  void OnDispatch(MonoTime now) { dispatched_at_ = now; }
  /// Records that the server has answered a request.
  /// @param sent_at When the request was sent.
  void OnAnswer(MonoTime sent_at) {
    if (resting_until_.has_value() && sent_at >= *resting_until_) {
      resting_until_.reset();
    }
  }

  bool is_leaving() const { return is_leaving_; }
  bool IsResting(MonoTime now) const {
    return resting_until_.has_value() && now < *resting_until_;
  }
  /// @return True when a new request may be sent to the server.
  bool AcceptsRequests(MonoTime now) const {
    return !is_leaving_ && (!resting_until_.has_value() ||
                            (now >= *resting_until_ &&
                             (dispatched_at_ < *resting_until_ ||
                              now - dispatched_at_ >= kTrialInterval)));
  }
  /// @return When the server may get a request again; infinite when it is
  /// leaving.
  MonoTime AcceptsFrom(MonoTime now) const {
    if (is_leaving_) {
      return MonoTime::Infinite();
    }
    if (AcceptsRequests(now)) {
      return now;
    }
    return std::max(*resting_until_, dispatched_at_ + kTrialInterval);
  }

 private:
  bool is_leaving_ = false;
  /// Set until the server has answered a request after its rest.
  std::optional<MonoTime> resting_until_;
  MonoTime dispatched_at_;
};

}  // namespace camphorsail

#endif  // CAMPHORSAIL_PLACEMENT_SERVER_WISHES_H_

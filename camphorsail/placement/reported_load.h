#ifndef CAMPHORSAIL_PLACEMENT_REPORTED_LOAD_H_
#define CAMPHORSAIL_PLACEMENT_REPORTED_LOAD_H_

#include <optional>

namespace camphorsail {

/// Load that a server reports with an answer.
struct ReportedLoad {
  /// Requests that the server is running.
  int running = 0;
  /// Requests in the server's queue.
  int waiting = 0;
  /// Requests that the server can run at the same time.
  int slots = 0;
  /// How long work takes on the server's host at the moment of the report, as a
  /// multiple of the usual time; nothing when the server does not tell. Changes
  /// many times a second.
  std::optional<double> slowdown{};
};

}  // namespace camphorsail

#endif  // CAMPHORSAIL_PLACEMENT_REPORTED_LOAD_H_

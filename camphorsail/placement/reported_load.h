#ifndef CAMPHORSAIL_PLACEMENT_REPORTED_LOAD_H_
#define CAMPHORSAIL_PLACEMENT_REPORTED_LOAD_H_

namespace camphorsail {

/// Load that a server reports with an answer.
struct ReportedLoad {
  /// Requests that the server is running.
  int running = 0;
  /// Requests in the server's queue.
  int waiting = 0;
  /// Requests that the server can run at the same time.
  int slots = 0;
};

}  // namespace camphorsail

#endif  // CAMPHORSAIL_PLACEMENT_REPORTED_LOAD_H_

#ifndef CAMPHORSAIL_PROCESS_OPTIONS_H_
#define CAMPHORSAIL_PROCESS_OPTIONS_H_

#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "absl/time/time.h"
#include "camphorsail/base/ids.h"
#include "camphorsail/base/network_address.h"
#include "camphorsail/peer/peer_address.h"
#include "camphorsail/process/log_level.h"

namespace camphorsail {

/// The parts that a daemon plays; any combination with at least one.
struct Roles {
  /// Serves callers.
  bool entry = false;
  /// Keeps a copy of the replicated log and may vote.
  bool replica = false;
  /// Takes announcements of backend servers and forwards them.
  bool relay = false;
  /// Forwards requests by the routing table. Stands alone: a gateway keeps no
  /// replica.
  bool gateway = false;

  friend bool operator==(const Roles&, const Roles&) = default;
};

/// @return For example `entry,replica`.
std::string ToString(const Roles& roles);

/// The settings of one daemon process. Each is a flag, a `CAMPHORSAIL_*`
/// variable and a default, declared in the table of `options.cc`. Immutable
/// after `ParseOptions`.
struct Options {
  VmId vm;
  std::string region;
  FailureDomainId failure_domain;
  Roles roles;

  NetworkAddress caller_listen;
  NetworkAddress announce_listen;
  NetworkAddress admin_listen;
  NetworkAddress peer_listen;
  /// Where backend servers register and operators set the routing table, by the
  /// deployment's own protocol; port 0 for none.
  NetworkAddress platform_listen;
  /// Where a gateway takes requests, and where it is asked whether it is ready.
  NetworkAddress gateway_listen;
  NetworkAddress ready_listen;
  /// Daemons to join through. When set, daemons find each other at run time,
  /// the id of each is its IP address, and all use the port of `peer_listen`.
  std::vector<NetworkAddress> seeds;
  /// True when the seeds may found a new group.
  bool found_group = true;
  /// Replicas that a group with seeds may lose at once with their disks.
  int tolerated_losses = 0;
  /// How long a gateway goes on after a replica last confirmed its table.
  absl::Duration gateway_lease;
  /// Retries that all gateways together may send to a service in any window of
  /// `retry_window`: this part of its requests, and this many besides.
  double retry_ratio = 0;
  int retry_slack = 0;
  absl::Duration retry_window;
  /// The other daemons; does not contain `vm`.
  std::vector<PeerAddress> peers;
  /// Voters of the initial membership, counted from the lowest `VmId`.
  int initial_voters = 0;
  /// Empty when the VM has no disk.
  std::string data_folder;

  /// Threads that serve callers.
  int shards = 0;
  LogLevel log_level = LogLevel::kInfo;
  /// Lines of each bounded event in a second.
  int log_lines_per_second = 0;
  /// Lines that wait for the reader of the log.
  size_t log_buffer_bytes = 0;
  /// A further address of `/metrics`; port 0 for none.
  NetworkAddress metrics_listen;
  /// What the deployment allows this process; zero for no limit.
  size_t memory_limit_bytes = 0;
  int descriptor_limit = 0;
  size_t max_body_bytes = 0;
  size_t max_total_body_bytes = 0;
  size_t max_header_bytes = 0;
  /// Time for a request's body to arrive.
  absl::Duration body_timeout;
  /// Limit for requests in progress after SIGTERM.
  absl::Duration drain_timeout;
  /// Time from reporting not ready to refusing new requests.
  absl::Duration drain_delay;
  /// Period of the `Tick` events.
  absl::Duration tick;

  /// Contents of the secret files, without the final line break. Never
  /// printed.
  std::string peer_secret;
  std::string announce_secret;
  std::string admin_secret;

  /// The text of each setting, by the name of its flag.
  std::map<std::string, std::string> texts;
};

/// What `ParseOptions` asks the program to do.
struct OptionsOutcome {
  /// Absent when the program exits at once with `exit_code`.
  std::optional<Options> options;
  /// 0 after `--help`, `--version` and `--check`; 2 after an error.
  int exit_code = 0;
  /// Text for standard output.
  std::string output;
  /// Text for standard error: one line per wrong setting.
  std::string errors;
};

/// Reads the settings of a daemon: a flag overrides a variable, which overrides
/// the default.
///
/// @param arguments The program's name and its arguments.
/// @param environment Name and value of every variable of the process; those
/// that do not start with `CAMPHORSAIL_` are ignored.
/// @return The settings, or the text and exit code to end with. Each error
/// names the setting, the source of its value and what is allowed.
OptionsOutcome ParseOptions(
    const std::vector<std::string>& arguments,
    const std::vector<std::pair<std::string, std::string>>& environment);

/// @return The environment of this process, for `ParseOptions`.
std::vector<std::pair<std::string, std::string>> ProcessEnvironment();

}  // namespace camphorsail

#endif  // CAMPHORSAIL_PROCESS_OPTIONS_H_

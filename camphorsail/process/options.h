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

/// The roles of a daemon: `gateway` alone, or any combination of the others.
struct Roles {
  /// Accepts requests of callers.
  bool entry = false;
  /// Keeps a copy of the replicated log and may vote.
  bool replica = false;
  /// Receives announcements of backend servers and forwards them to the other
  /// daemons.
  bool relay = false;
  /// Forwards requests according to the routing table. Cannot be combined with
  /// the other roles, since a gateway keeps no replica.
  bool gateway = false;

  friend bool operator==(const Roles&, const Roles&) = default;
};

/// @return For example `entry,replica`.
std::string ToString(const Roles& roles);

/// The calls to the provider that one daemon at a time has to make.
struct ProviderDuties {
  /// Reports the requests of each account, see `UsageWindow`.
  bool usage = false;
  /// Orders servers, see `ServerOrder`.
  bool server_orders = false;

  friend bool operator==(const ProviderDuties&,
                         const ProviderDuties&) = default;
};

/// The settings of one daemon process. Each has a flag, a `CAMPHORSAIL_*`
/// variable and a default, declared in `OptionsTable`. After `ParseOptions`,
/// only `SettingsReloader` changes them.
struct Options {
  VmId vm;
  std::string region;
  FailureDomainId failure_domain;
  Roles roles;

  NetworkAddress caller_listen;
  NetworkAddress announce_listen;
  NetworkAddress admin_listen;
  NetworkAddress peer_listen;
  /// Listener for the deployment's own protocol, by which backend servers
  /// register and operators set the routing table; port 0 for none.
  NetworkAddress platform_listen;
  /// Address at which a gateway accepts requests.
  NetworkAddress gateway_listen;
  /// Address at which a gateway reports whether it is ready.
  NetworkAddress ready_listen;
  /// Daemons to join through. When set, daemons find each other at run time,
  /// the id of each is its IP address, and all use the port of `peer_listen`.
  std::vector<NetworkAddress> seeds;
  /// True when the seeds may bootstrap a new replicated group.
  bool may_bootstrap_group = true;
  /// Number of replicas that a group with seeds may lose at the same time,
  /// together with their disks.
  int tolerated_losses = 0;
  /// Time for which a gateway accepts requests after a replica last confirmed
  /// its routing table.
  absl::Duration gateway_lease;
  /// In any window of length `retry_window`, all gateways together may send a
  /// service `retry_ratio` times its requests plus `retry_slack` as retries.
  double retry_ratio = 0;
  double retry_slack = 0;
  absl::Duration retry_window;
  /// Address of the provider that takes usage reports and server orders; port 0
  /// for none.
  NetworkAddress provider;
  /// The calls to the provider that are this deployment's duties.
  ProviderDuties provider_duties;
  /// Calls per second that the provider accepts from all daemons together.
  double provider_calls_per_s = 0;
  /// True when the provider rejects calls with a stale fencing token.
  bool provider_checks_fencing = false;
  /// Time for which the holder of the duties may act after a quorum last
  /// confirmed it, and for which a new holder waits before it acts.
  absl::Duration duty_lease;
  /// Length of a usage window; zero when usage is not counted.
  absl::Duration usage_window;
  /// Time after the end of a usage window at which its report is due.
  absl::Duration usage_report_delay;
  /// True when a gateway finds a pace for servers that start or recover.
  bool server_pace = false;
  /// The other daemons; does not contain `vm`.
  std::vector<PeerAddress> peers;
  /// Number of voters in the initial membership, which are the daemons with the
  /// lowest `VmId`; 0 means all daemons, but at most 7.
  int initial_voters = 0;
  /// Empty when the VM has no disk.
  std::string data_folder;

  /// Number of threads that serve callers.
  int shards = 0;
  LogLevel log_level = LogLevel::kInfo;
  /// Log lines per second of each bounded event.
  int log_lines_per_second = 0;
  /// Size of the buffer for log lines that are not written yet.
  size_t log_buffer_bytes = 0;
  /// Additional address that serves `/metrics`; port 0 for none.
  NetworkAddress metrics_listen;
  /// Memory and file descriptors that this process may use; zero for no limit.
  size_t memory_limit_bytes = 0;
  int descriptor_limit = 0;
  size_t max_body_bytes = 0;
  size_t max_total_body_bytes = 0;
  size_t max_header_bytes = 0;
  /// Time for a request's body to arrive.
  absl::Duration body_timeout;
  /// Time that requests in progress have to finish after SIGTERM.
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

/// Result of `ParseOptions`: the settings, or the texts and exit code with
/// which the program ends.
struct OptionsOutcome {
  /// Absent when the program exits at once with `exit_code`.
  std::optional<Options> options;
  /// 0 after `--help`, `--version` and `--check`; 2 after an error.
  int exit_code = 0;
  /// Text for standard output.
  std::string output;
  /// Text for standard error: one line per invalid setting.
  std::string errors;
};

/// Reads the settings of a daemon: a flag overrides an environment variable,
/// which overrides the settings file, which overrides the default.
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

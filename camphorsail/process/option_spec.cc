#include "camphorsail/process/option_spec.h"

#include <algorithm>
#include <cstdint>
#include <fstream>
#include <iterator>
#include <limits>
#include <set>
#include <utility>

#include "absl/strings/ascii.h"
#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/str_split.h"

namespace camphorsail {
namespace {

using Store = std::function<bool(const std::string&, Options*)>;

constexpr size_t kMaxNameBytes = 63;
constexpr size_t kMinSecretBytes = 16;
constexpr size_t kMaxSecretBytes = 4096;
constexpr int kMaxInitialVoters = 7;

/// Checks that a name can be used in paths, headers, logs and metrics without
/// quoting.
bool IsName(const std::string& text) {
  return !text.empty() && text.size() <= kMaxNameBytes &&
         std::all_of(text.begin(), text.end(), [](char c) {
           return absl::ascii_isalnum(static_cast<unsigned char>(c)) ||
                  c == '-' || c == '_' || c == '.';
         });
}

Store StoreName(std::string Options::*member) {
  return [member](const std::string& value, Options* options) {
    options->*member = value;
    return IsName(value);
  };
}

template <typename Id>
Store StoreId(Id Options::*member) {
  return [member](const std::string& value, Options* options) {
    options->*member = Id(value);
    return IsName(value);
  };
}

bool ParseInteger(const std::string& text,
                  int64_t min,
                  int64_t max,
                  int64_t* value) {
  // SimpleAtoi accepts surrounding spaces, which are not allowed here.
  const bool digits = !text.empty() &&
                      text.find_first_not_of("0123456789") == std::string::npos;
  return digits && absl::SimpleAtoi(text, value) && *value >= min &&
         *value <= max;
}

/// Like `IntegerOption`, for a number that may have decimals. Figures that a
/// deployment fills in need not be integers.
/// @param set Stores the number in its type and unit.
OptionSpec DecimalOption(std::string name,
                         double default_value,
                         double min,
                         double max,
                         std::string help,
                         std::function<void(double, Options*)> set) {
  return {
      std::move(name), absl::StrCat(default_value),
      absl::StrCat("a number from ", min, " to ", max), std::move(help),
      [min, max, set = std::move(set)](const std::string& text,
                                       Options* options) {
        double value = 0;
        // SimpleAtod accepts surrounding spaces, signs and names such as
        // "nan", which are not allowed here.
        if (text.empty() ||
            text.find_first_not_of("0123456789.eE-+") != std::string::npos ||
            !absl::SimpleAtod(text, &value) || !(value >= min) ||
            !(value <= max)) {
          return false;
        }
        set(value, options);
        return true;
      }};
}

/// @param set Stores the number in its type and unit.
OptionSpec IntegerOption(std::string name,
                         int64_t default_value,
                         int64_t min,
                         int64_t max,
                         std::string help,
                         std::function<void(int64_t, Options*)> set) {
  return {std::move(name), absl::StrCat(default_value),
          absl::StrCat("an integer from ", min, " to ", max), std::move(help),
          [min, max, set = std::move(set)](const std::string& text,
                                           Options* options) {
            int64_t value = 0;
            if (!ParseInteger(text, min, max, &value)) {
              return false;
            }
            set(value, options);
            return true;
          }};
}

OptionSpec ListenOption(std::string name,
                        std::string default_value,
                        std::string help,
                        NetworkAddress Options::*member) {
  return {std::move(name), std::move(default_value),
          "IP:port; port 0 chooses a free port", std::move(help),
          [member](const std::string& text, Options* options) {
            const Expected<NetworkAddress> address = ParseNetworkAddress(text);
            if (address) {
              options->*member = *address;
            }
            return address.has_value();
          }};
}

OptionSpec SecretOption(std::string name,
                        std::string help,
                        std::string Options::*member) {
  return {std::move(name), "",
          absl::StrCat("a readable file with ", kMinSecretBytes, " to ",
                       kMaxSecretBytes, " bytes"),
          std::move(help), [member](const std::string& path, Options* options) {
            std::ifstream file(path, std::ios::binary);
            // Two bytes above the limit, for a line break and to detect a file
            // that is too long.
            std::string content(kMaxSecretBytes + 2, '\0');
            file.read(content.data(),
                      static_cast<std::streamsize>(content.size()));
            content.resize(static_cast<size_t>(file.gcount()));
            if (!content.empty() && content.back() == '\n') {
              content.pop_back();
            }
            if (!content.empty() && content.back() == '\r') {
              content.pop_back();
            }
            options->*member = content;
            return content.size() >= kMinSecretBytes &&
                   content.size() <= kMaxSecretBytes;
          }};
}

/// @return `spec`, marked as read again at SIGHUP.
OptionSpec Reloadable(OptionSpec spec) {
  spec.reloadable = true;
  return spec;
}

/// Declares the address of a listener that the daemon opens only when the
/// address is given.
OptionSpec OptionalListenOption(std::string name,
                                std::string help,
                                NetworkAddress Options::*member) {
  OptionSpec spec = ListenOption(std::move(name), "", std::move(help), member);
  spec.allowed = "IP:port, or empty for none";
  spec.store = [store = spec.store](const std::string& text, Options* options) {
    return text.empty() || store(text, options);
  };
  return spec;
}

bool StoreSeeds(const std::string& text, Options* options) {
  options->seeds.clear();
  for (const auto& item : absl::StrSplit(text, ',', absl::SkipEmpty())) {
    const Expected<NetworkAddress> address =
        ParseNetworkAddress(std::string_view(item.data(), item.size()));
    if (!address) {
      return false;
    }
    options->seeds.push_back(*address);
  }
  return true;
}

bool StoreRoles(const std::string& text, Options* options) {
  Roles roles;
  for (const std::string& role :
       std::vector<std::string>(absl::StrSplit(text, ','))) {
    if (role == "entry") {
      roles.entry = true;
    } else if (role == "replica") {
      roles.replica = true;
    } else if (role == "relay") {
      roles.relay = true;
    } else if (role == "gateway") {
      roles.gateway = true;
    } else {
      return false;
    }
  }
  options->roles = roles;
  return true;
}

bool StoreProviderDuties(const std::string& text, Options* options) {
  options->provider_duties = ProviderDuties();
  for (const auto& duty : absl::StrSplit(text, ',', absl::SkipEmpty())) {
    if (duty == "usage") {
      options->provider_duties.usage = true;
    } else if (duty == "scale") {
      options->provider_duties.server_orders = true;
    }
    // Other duties are not the daemon's.
  }
  return true;
}

bool StorePeers(const std::string& text, Options* options) {
  options->peers.clear();
  if (text.empty()) {
    return true;
  }
  for (const std::string& item :
       std::vector<std::string>(absl::StrSplit(text, ','))) {
    const std::pair<std::string, std::string> parts =
        absl::StrSplit(item, absl::MaxSplits('=', 1));
    const Expected<NetworkAddress> address = ParseNetworkAddress(parts.second);
    if (!IsName(parts.first) || !address || address->port == 0) {
      return false;
    }
    options->peers.push_back({VmId(parts.first), *address});
  }
  return true;
}

bool StoreLogLevel(const std::string& text, Options* options) {
  for (const LogLevel level : {LogLevel::kDebug, LogLevel::kInfo,
                               LogLevel::kWarning, LogLevel::kError}) {
    if (text == ToString(level)) {
      options->log_level = level;
      return true;
    }
  }
  return false;
}

constexpr double kBytesPerMiB = 1 << 20;

const char kNameForm[] =
    "1 to 63 characters of A-Z, a-z, 0-9, '-', '_' and '.'";

}  // namespace

const std::vector<OptionSpec>& OptionsTable() {
  static const auto* const table = new std::vector<OptionSpec>{
      {"vm", "", kNameForm, "Id of this VM, unique in the fleet.",
       StoreId(&Options::vm)},
      {"region", "main", kNameForm, "Region of this VM.",
       StoreName(&Options::region)},
      {"failure-domain", "", kNameForm, "Failure domain of this VM.",
       StoreId(&Options::failure_domain)},
      {"roles", "entry,replica,relay",
       "a comma-separated list of entry, replica and relay, or gateway alone",
       "Roles of this daemon.", StoreRoles},
      ListenOption("caller-listen", "127.0.0.1:8080", "Address for callers.",
                   &Options::caller_listen),
      ListenOption("announce-listen", "127.0.0.1:8081",
                   "Address for announcements of backend servers.",
                   &Options::announce_listen),
      ListenOption("admin-listen", "127.0.0.1:8082", "Address for operators.",
                   &Options::admin_listen),
      ListenOption("peer-listen", "127.0.0.1:8083",
                   "Address for the other daemons; also the source address of "
                   "connections to them.",
                   &Options::peer_listen),
      {"peers", "", "VM=IP:port, comma-separated, with ports above 0",
       "The other daemons and their peer addresses.", StorePeers},
      OptionalListenOption("platform-listen",
                           "Address of the deployment's own protocol for "
                           "backend servers and operators.",
                           &Options::platform_listen),
      OptionalListenOption("gateway-listen",
                           "Address at which a gateway accepts requests.",
                           &Options::gateway_listen),
      OptionalListenOption(
          "ready-listen",
          "Address at which a gateway reports whether it is ready.",
          &Options::ready_listen),
      {"seeds", "", "IP:port, comma-separated",
       "Daemons to join through. Each daemon's id is then its IP address, and "
       "all use the port of peer-listen.",
       StoreSeeds},
      {"found-group", "true", "true or false",
       "Whether the seeds may bootstrap a new replicated group.",
       [](const std::string& value, Options* options) {
         options->may_bootstrap_group = value == "true";
         return value == "true" || value == "false";
       }},
      IntegerOption("tolerated-losses", 1, 0, (kMaxInitialVoters - 1) / 2,
                    "Number of replicas that a group with seeds may lose at "
                    "the same time, together with their disks.",
                    [](int64_t value, Options* options) {
                      options->tolerated_losses = static_cast<int>(value);
                    }),
      Reloadable(
          IntegerOption("gateway-lease-ms", 4000, 500, 60000,
                        "Milliseconds for which a gateway accepts requests "
                        "after a replica last confirmed its routing table.",
                        [](int64_t value, Options* options) {
                          options->gateway_lease = absl::Milliseconds(value);
                        })),
      Reloadable(DecimalOption("retry-ratio", 0.1, 0, 1,
                               "Retries that all gateways together may send "
                               "to a service, as a fraction of its requests.",
                               [](double value, Options* options) {
                                 options->retry_ratio = value;
                               })),
      Reloadable(DecimalOption("retry-slack", 10, 0, 100000,
                               "Retries to a service that are allowed per "
                               "retry window in addition to retry-ratio.",
                               [](double value, Options* options) {
                                 options->retry_slack = value;
                               })),
      Reloadable(DecimalOption("retry-window-s", 10, 0.1, 600,
                               "Length in seconds of the retry window, in "
                               "which retries are counted.",
                               [](double value, Options* options) {
                                 options->retry_window = absl::Seconds(value);
                               })),
      OptionalListenOption("provider-address",
                           "Address of the provider that takes usage reports "
                           "and server orders.",
                           &Options::provider),
      {"provider-duties", "", "a comma-separated list of usage and scale",
       "Calls that one daemon at a time makes to the provider: reports of "
       "usage, orders of servers.",
       StoreProviderDuties},
      DecimalOption("provider-calls-per-s", 10, 0.1, 100000,
                    "Calls per second that the provider accepts from all "
                    "daemons together.",
                    [](double value, Options* options) {
                      options->provider_calls_per_s = value;
                    }),
      {"provider-checks-fencing", "false", "true or false",
       "Whether the provider rejects calls with a stale fencing token.",
       [](const std::string& value, Options* options) {
         options->provider_checks_fencing = value == "true";
         return value == "true" || value == "false";
       }},
      DecimalOption("duty-lease-ms", 3000, 1, 600000,
                    "Milliseconds for which the holder of the duties may act "
                    "after a quorum last confirmed it.",
                    [](double value, Options* options) {
                      options->duty_lease = absl::Milliseconds(value);
                    }),
      DecimalOption("usage-window-s", 0, 0, 86400,
                    "Length in seconds of the windows in which requests are "
                    "counted for usage reports; 0 for no counting.",
                    [](double value, Options* options) {
                      options->usage_window = absl::Seconds(value);
                    }),
      DecimalOption("usage-report-delay-s", 10, 0.1, 86400,
                    "Seconds after the end of a window at which its usage "
                    "report is due.",
                    [](double value, Options* options) {
                      options->usage_report_delay = absl::Seconds(value);
                    }),
      {"server-pace", "false", "true or false",
       "Whether a gateway limits the requests on servers that start or recover "
       "by how they answer.",
       [](const std::string& value, Options* options) {
         options->server_pace = value == "true";
         return value == "true" || value == "false";
       }},
      IntegerOption("initial-voters", 0, 0, kMaxInitialVoters,
                    "Number of voters in the first membership; 0 means all "
                    "daemons, but at most 7.",
                    [](int64_t value, Options* options) {
                      options->initial_voters = static_cast<int>(value);
                    }),
      {"data-folder", "", "a path, or empty for a VM without a disk",
       "Folder of the replicated log.",
       [](const std::string& value, Options* options) {
         options->data_folder = value;
         return value.find('\0') == std::string::npos;
       }},
      IntegerOption("shards", 4, 1, 256,
                    "Number of threads that serve callers.",
                    [](int64_t value, Options* options) {
                      options->shards = static_cast<int>(value);
                    }),
      Reloadable({"log-level", "info", "debug, info, warning or error",
                  "Least severe level that is logged.", StoreLogLevel}),
      Reloadable(IntegerOption(
          "log-lines-per-second", 150, 0, 1'000'000,
          "Log lines per second of each event that callers, servers or "
          "operators can cause; errors and state changes are always written.",
          [](int64_t value, Options* options) {
            options->log_lines_per_second = static_cast<int>(value);
          })),
      IntegerOption("log-buffer-bytes", 1 << 20, 4 << 10, 64 << 20,
                    "Size of the buffer for log lines that a slow reader has "
                    "not read yet; further lines are dropped and counted.",
                    [](int64_t value, Options* options) {
                      options->log_buffer_bytes = static_cast<size_t>(value);
                    }),
      OptionalListenOption(
          "metrics-listen",
          "Additional address that serves /metrics; the daemon runs without it "
          "when the address cannot be used.",
          &Options::metrics_listen),
      DecimalOption(
          "memory-limit-mb", 0, 0, 1 << 20,
          "Memory that this process may use, in MiB; 0 for no limit. A gateway "
          "rejects new connections of callers before it uses half of it.",
          [](double value, Options* options) {
            options->memory_limit_bytes =
                static_cast<size_t>(value * kBytesPerMiB);
          }),
      DecimalOption("descriptor-limit", 0, 0, 1 << 20,
                    "File descriptors that this process may use; 0 for no "
                    "limit. A gateway rejects new connections of callers "
                    "before it uses half of them.",
                    [](double value, Options* options) {
                      options->descriptor_limit = static_cast<int>(value);
                    }),
      IntegerOption("max-body-bytes", 4 << 20, 1 << 10, 64 << 20,
                    "Largest body of a request.",
                    [](int64_t value, Options* options) {
                      options->max_body_bytes = static_cast<size_t>(value);
                    }),
      IntegerOption(
          "max-total-body-bytes", 256 << 20, 1 << 10, int64_t{4} << 30,
          "Sum of the bodies of all open requests of a listener.",
          [](int64_t value, Options* options) {
            options->max_total_body_bytes = static_cast<size_t>(value);
          }),
      IntegerOption("max-header-bytes", 16 << 10, 1 << 10, 1 << 20,
                    "Largest header block of a request.",
                    [](int64_t value, Options* options) {
                      options->max_header_bytes = static_cast<size_t>(value);
                    }),
      IntegerOption("body-timeout-ms", 10000, 100, 600000,
                    "Milliseconds that a caller has to send a request's body.",
                    [](int64_t value, Options* options) {
                      options->body_timeout = absl::Milliseconds(value);
                    }),
      Reloadable(DecimalOption("drain-timeout-s", 60, 1, 3600,
                               "Seconds that requests in progress have to "
                               "finish after SIGTERM.",
                               [](double value, Options* options) {
                                 options->drain_timeout = absl::Seconds(value);
                               })),
      Reloadable(
          IntegerOption("drain-delay-ms", 2000, 0, 60000,
                        "Milliseconds between reporting not ready and refusing "
                        "new requests, for the load balancer to notice.",
                        [](int64_t value, Options* options) {
                          options->drain_delay = absl::Milliseconds(value);
                        })),
      IntegerOption("tick-ms", 10, 1, 100,
                    "Period of timer events in milliseconds.",
                    [](int64_t value, Options* options) {
                      options->tick = absl::Milliseconds(value);
                    }),
      SecretOption("peer-secret-file",
                   "File with the secret shared by all daemons.",
                   &Options::peer_secret),
      SecretOption("announce-secret-file",
                   "File with the secret of the backend servers.",
                   &Options::announce_secret),
      SecretOption("admin-secret-file", "File with the operators' credential.",
                   &Options::admin_secret),
  };
  return *table;
}

std::string VariableName(const std::string& name) {
  std::string variable = absl::StrCat("CAMPHORSAIL_", name);
  std::replace(variable.begin(), variable.end(), '-', '_');
  absl::AsciiStrToUpper(&variable);
  return variable;
}

std::vector<std::string> FindOptionConflicts(const Options& options) {
  std::vector<std::string> conflicts;
  std::set<VmId> vms = {options.vm};
  std::set<NetworkAddress> addresses;
  for (const PeerAddress& peer : options.peers) {
    if (peer.vm == options.vm) {
      conflicts.push_back(
          absl::StrCat("peers and vm: peers contains ", peer.vm.value(),
                       ", which is this VM; list only the other daemons"));
    } else if (!vms.insert(peer.vm).second) {
      conflicts.push_back(absl::StrCat("peers: ", peer.vm.value(),
                                       " appears twice; list each VM once"));
    }
    if (!addresses.insert(peer.address).second) {
      conflicts.push_back(
          absl::StrCat("peers: ", ToString(peer.address),
                       " appears twice; give each VM a different address"));
    }
  }
  const std::vector<std::pair<std::string, NetworkAddress>> listeners = {
      {"caller-listen", options.caller_listen},
      {"announce-listen", options.announce_listen},
      {"admin-listen", options.admin_listen},
      {"peer-listen", options.peer_listen}};
  for (size_t i = 0; i < listeners.size(); ++i) {
    for (size_t j = i + 1; j < listeners.size(); ++j) {
      if (listeners[i].second == listeners[j].second &&
          listeners[i].second.port != 0) {
        conflicts.push_back(absl::StrCat(
            listeners[i].first, " and ", listeners[j].first, ": both are ",
            ToString(listeners[i].second), "; use different addresses"));
      }
    }
  }
  if (options.initial_voters > static_cast<int>(vms.size())) {
    conflicts.push_back(absl::StrCat(
        "initial-voters and peers: ", options.initial_voters, " voters, but ",
        vms.size(), " daemons; allowed are 0 to ", vms.size()));
  }
  if (options.roles.gateway && options.roles != Roles{.gateway = true}) {
    conflicts.push_back("roles: gateway cannot be combined with other roles");
  }
  if (options.roles.gateway &&
      (options.gateway_listen.port == 0 || options.ready_listen.port == 0 ||
       options.seeds.empty())) {
    conflicts.push_back(
        "roles: gateway needs gateway-listen, ready-listen and seeds");
  }
  if (!options.seeds.empty() && options.vm.value() != options.peer_listen.ip) {
    conflicts.push_back(
        "vm and seeds: with seeds, vm must be the IP address of peer-listen");
  }
  const auto require_secret = [&](const char* name, const std::string& secret,
                                  bool needed, const char* reason) {
    if (needed && secret.empty()) {
      conflicts.push_back(absl::StrCat(name, ": missing; required ", reason));
    }
  };
  require_secret("peer-secret-file", options.peer_secret,
                 !options.peers.empty() || !options.seeds.empty(),
                 "with peers or seeds");
  require_secret("announce-secret-file", options.announce_secret,
                 options.roles.entry || options.roles.relay,
                 "for the roles entry and relay");
  require_secret("admin-secret-file", options.admin_secret,
                 !options.roles.gateway, "for every daemon except a gateway");
  return conflicts;
}

}  // namespace camphorsail

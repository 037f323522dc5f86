// Scenario of a rig run: topology, load and the timeline of faults. Parsed from JSON text and validated
// before anything starts; no I/O.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "tools/lab/simulation.h"

namespace cedarring::rig {

/// What a fault applies to: gateways or hosts, selected by zone and number, and of these a share drawn with
/// the seed; or discovery.
struct Target {
  enum class Kind {
    gateways,
    hosts,
    primary,  // the hosts that are primaries when the fault starts
    discovery
  };
  Kind kind = Kind::gateways;
  std::string zone;          // empty: any
  std::vector<int> numbers;  // indexes of gateways, hosts or, for `primary`, groups; empty: any
  double share = 1;          // of the targets selected by zone and number
};

/// Kind of a fault, in the order of the words in the scenario file. Unless said otherwise, the end of a fault
/// undoes it.
enum class FaultKind {
  kill,             // gateways get SIGKILL, hosts crash; both restart at the end of the fault
  terminate,        // gateways get SIGTERM and are started again at the end of the fault
  pause,            // gateways get SIGSTOP
  reload,           // gateways get SIGHUP; has no end
  upgrade,          // a second process takes over from the gateway; has no end
  slow,             // hosts need a multiple of the normal time
  fail,             // hosts answer a share of the requests with an error
  silent,           // hosts or discovery accept connections, but read and answer nothing
  lag,              // replicas need a multiple of the normal time to apply a write
  drain,            // hosts drain, and are listed as draining
  cut,              // links carry nothing, in one or both directions
  delay,            // answers of hosts, lists of discovery or datagrams between gateways arrive late
  refuse,           // discovery closes its connections and refuses calls
  abort_request,    // connections are reset during a request, some after a part of the answer
  bad_answer,       // answers are malformed, incomplete or endless
  slow_handshake,   // hosts delay the handshake of new connections
  early_close,      // hosts close idle connections early
  stall_discovery,  // open watches send nothing more and stay open
  truncate_list,    // watches are closed in the middle of a list
  loss,             // datagrams between gateways are dropped
  duplicate,        // datagrams between gateways arrive twice
  reorder           // datagrams between gateways arrive after later ones
};

/// A fault on the timeline; times are in microseconds since the load started.
struct Fault {
  Duration at{};
  FaultKind kind = FaultKind::kill;
  Target target;        // for a link, the gateways at one end
  Target link_end;      // the other end of a link: hosts, discovery or gateways
  Duration duration{};  // 0: until the end of the run
  // slow, lag: multiple of the normal time. fail, abort_request, bad_answer: share of the requests. loss,
  // duplicate, reorder: share of the datagrams. delay, slow_handshake, early_close: milliseconds. Without
  // meaning for the other kinds.
  double factor = 1;
  bool reset = false;                   // cut: reset open connections instead of letting them stall
  bool forward = true, reverse = true;  // cut: the directions, from target to link_end and back
};

/// A validated scenario. Durations are in microseconds.
struct Scenario {
  std::string name;
  std::uint64_t seed = 1;
  int gateways = 3;
  int groups = 3;
  int members = 3;  // hosts in each group
  std::vector<std::string> zones{"a"};
  Duration run_time{10'000'000};
  Duration warm_up{2'000'000};   // start of run_time; requests that arrive in it are not counted by class
  double load = 0.5;             // share of the capacity of all hosts
  double ramp = 1;               // multiple of `load` reached at the end, linearly
  Duration takeover{2'000'000};  // from the loss of a primary to the promotion of a replica
  Duration discovery_delay{500'000};      // from a change of members to its publication
  Duration balancer_delay{1'000'000};     // from a gateway's death until clients go elsewhere
  Duration warm_up_duration{14'000'000};  // of a restarted host, until it has full capacity
  double cold_capacity_share = 0.17;      // share of the capacity that a restarted host has at first
  int memory_mb = 64;                     // limit of each gateway
  int sockets = 512;                      // limit of each gateway
  lab::HostSpec host;
  std::vector<lab::ClassSpec> classes;
  std::vector<lab::TenantSpec> tenants;
  double client_exit_share = 0;  // share of the requests whose clients leave early
  double probe_cost = 0.05;      // of one probe, in values of a request
  // The gateway file of each gateway, as JSON; empty: none. With peer links, @REAL@ stands for the address at
  // which the gateway is bound, @SHOWN@ for the one it advertises, and "@SEEDS@" for the list of the first
  // three advertised addresses.
  std::string gateway_file;
  bool peer_links = false;  // gateways exchange messages through a relay
  std::vector<Fault> faults;
  double min_value_served = 0;  // smallest share of value served for a pass; 0: not checked
};

/// Parses and validates a scenario; `file` is named in errors. Throws app::ConfigError with one line that
/// contains the JSON pointer of the invalid value.
Scenario parse_scenario(const std::string& text, const std::string& file);

/// Returns the gateway's configuration as JSON, in the form of the platform. `initial_list`: the member list
/// that it starts with, as discovery sends it.
std::string gateway_config(const Scenario& scenario, int gateway, const std::string& listen,
                           const std::string& control, const std::string& discovery,
                           const std::string& initial_list);

/// Mean work of a request in seconds (its time on a core of speed 1), over all classes by their share.
double mean_work_seconds(const Scenario& scenario);
/// Requests a second that all gateways together get at `load` 1.
double full_load_rate(const Scenario& scenario);

}  // namespace cedarring::rig

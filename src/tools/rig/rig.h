// Runs gateways as real processes. Hosts, discovery and clients are emulated in one event loop, which also
// injects the faults of a scenario and passes what it sees to the rule checker.
#pragma once

#include <ev++.h>

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "app/clock.h"
#include "tools/lab/host_model.h"
#include "tools/lab/timeline.h"
#include "tools/rig/relay.h"
#include "tools/rig/rules.h"
#include "tools/rig/scenario.h"
#include "wire/connection.h"

namespace cedarring::rig {

/// Stands for discovery in place of the index of a host.
inline constexpr int discovery_index = -1;

/// Settings of one run that are not part of the scenario.
struct Options {
  std::string gateway;  // path of the gateway program
  std::string out;      // folder for logs, results and plots
  bool live = false;    // print one line a second to standard output
};

/// Final outcomes of the requests of one class; a request counts once, however often its client retried.
struct ClassResult {
  std::uint64_t asked = 0;    // all requests that arrived after the warm-up
  std::uint64_t in_time = 0;  // served within the latency target
  std::uint64_t late = 0;     // served after the latency target
  std::uint64_t refused = 0;
  std::uint64_t failed = 0;         // answered without a row, or with an error that is no refusal
  std::uint64_t lost = 0;           // without an answer
  std::uint64_t client_left = 0;    // whose client left before the answer
  std::vector<float> latencies_ms;  // of served requests, counted from the intended send time
};
/// Outcomes within one second of the run, over all classes and with the warm-up.
struct SecondResult {
  std::uint64_t asked = 0;
  std::uint64_t served = 0;
  std::uint64_t in_time = 0;  // of those served
  std::uint64_t refused = 0;
  std::uint64_t failed = 0;                     // ClassResult::failed and lost; not those whose client left
  double worst_send_delay_ms = 0;               // largest delay between the intended and the actual send
  double p99_ms = 0;                            // of latencies_ms
  std::vector<float> latencies_ms;              // of served requests
  std::vector<std::uint32_t> attempts_by_host;  // attempts received
};
/// A fault, a recovery or another notable event of the run.
struct TimelineEvent {
  double at = 0;  // seconds since the load started
  std::string text;
};
/// The outcome of a run.
struct RunResult {
  std::vector<ClassResult> classes;   // by index of the class in the scenario
  std::vector<SecondResult> seconds;  // since the load started
  std::vector<TimelineEvent> events;
  std::vector<Violation> violations;
  std::uint64_t violation_count = 0;  // also those that are not stored in `violations`
  std::uint64_t requests = 0;         // of clients, with the warm-up, without retries
  std::uint64_t attempts = 0;         // received by hosts
  std::uint64_t crashes = 0;  // exits of gateways that should run, and failed exits of replaced processes
  // Share of the value requested after the warm-up; late answers count with their late value.
  double value_served = 0;
  double send_delay_p99_ms = 0;     // delay of the rig's own sends
  double startup_seconds = 0;       // until all gateways answered
  double gateways_cpu_seconds = 0;  // of all processes together
  double gateways_mb = 0;           // sum of the peak resident memory of all processes, in MiB
  // The machine delayed the rig too much, or the rig ran out of descriptors: the figures do not count.
  bool too_slow = false;
  std::string error;  // why the scenario could not be run; empty on success
};

class HostLink;
class ClientLink;
class DiscoveryLink;

/// Runs one scenario once. Owns the gateway processes: they are killed at the latest by the destructor.
class Rig {
 public:
  Rig(Scenario scenario, Options options);
  ~Rig();
  /// Starts the gateways, plays load and faults, stops everything and returns the result. Blocks; errors are
  /// reported in RunResult::error.
  RunResult run();

 private:
  friend class HostLink;
  friend class ClientLink;
  friend class DiscoveryLink;

  /// A gateway process and the connections that clients hold to it.
  struct Gateway {
    std::string link_address;    // address at which hosts and discovery listen for this gateway
    std::string listen_address;  // address:port at which it accepts clients
    std::string folder;          // for its configuration and temporary files
    pid_t pid = -1;
    pid_t previous_pid = -1;                // process that `pid` has replaced, until it has exited
    int starts = 0;                         // of processes so far
    bool in_rotation = false;               // answered a probe: the load balancer sends clients to it
    bool terminating = false;               // got SIGTERM: clients keep using the connections that stay open
    bool should_run = true;                 // an exit while this is set counts as a crash
    double weight = 1;                      // share of the clients, relative to the other gateways
    std::vector<ClientLink*> idle_clients;  // open connections without a request
  };
  /// An emulated host: its model, its listeners and the faults in effect.
  struct Host {
    lab::HostModel* model = nullptr;
    lab::ReplicaGroup* group = nullptr;
    int group_index = 0;
    std::vector<wire::Fd> listeners;  // one for each gateway, or a single one for all
    std::vector<std::unique_ptr<ev::io>> accept_watchers;
    std::vector<int> ports;  // by gateway, or a single one for all
    double slowdown = 1;     // multiple of the normal time of a request
    // Shares of the requests: answered with an error, reset, or answered wrongly (see FaultKind).
    double failure_share = 0;
    double abort_share = 0;
    double bad_answer_share = 0;
    Duration handshake_delay{};  // longest delay of a delayed handshake; 0: none
    Duration idle_timeout{};     // 0: none
    bool draining = false;
    bool removed = false;  // from the member list, while the host is down
    std::string id;        // in the member list
    /// The port at which the host is reached by a gateway.
    [[nodiscard]] int port_for(int gateway) const {
      return ports[ports.size() > 1 ? static_cast<std::size_t>(gateway) : 0];
    }
  };
  /// The fault on the link between a gateway and a host, or discovery.
  struct LinkFault {
    bool requests_cut = false;  // from the gateway
    bool answers_cut = false;   // to the gateway
    Duration delay{};           // of what is sent to the gateway
  };
  /// A request as its client sees it, over all attempts.
  struct Request {
    std::size_t class_index = 0;
    std::size_t tenant = 0;  // index in the scenario
    int group = 0;           // counted from 0
    std::string key;         // of the row that the statement names
    Duration work{};
    Time arrived_at{};  // the intended time of its first send
    Time deadline{};
    int attempts = 0;   // by the client, without redirects
    int redirects = 0;  // attempts that their gateway did not accept
  };
  /// One attempt of a client, with an id of its own.
  struct ClientAttempt {
    std::shared_ptr<Request> request;
    std::string id;
    int gateway = 0;
    Time sent_at{};
  };

  // clock

  /// Runs the events of the timeline that are due. Periods in which the loop was delayed are excused.
  void advance();
  /// Runs due events and sets the timer to the next event.
  void before_blocking(ev::prepare&, int);
  void after_blocking(ev::check&, int) { advance(); }
  void on_timer(ev::timer&, int) { advance(); }
  // processes
  /// Starts a process of the gateway; an upgrade keeps the previous process running for the handover.
  void start_gateway(int gateway, bool upgrade);
  void signal_gateway(int gateway, int number);
  /// Collects exited processes and their resource usage; counts crashes.
  void reap_processes();
  /// Probes a gateway until it answers an empty query, which takes it into rotation.
  void probe_gateway(int gateway);
  // hosts and discovery
  /// Opens the listeners of a host, at its former ports if it had any. Sets RunResult::error on failure.
  void open_listeners(Host& host);
  /// Accepts connections of gateways at a listener of a host or of discovery.
  void on_connection(ev::io& watcher, int);
  /// The gateway to whose link address a connection was made; -1: none.
  [[nodiscard]] int gateway_of(int fd) const;
  /// The member list for one gateway as JSON, with the addresses at which it reaches the hosts.
  [[nodiscard]] std::string member_list_for(int gateway);
  /// Publishes a new version of the list after the discovery delay.
  void on_list_change();
  /// Sends the present list to the watches of a gateway, late if the link is delayed.
  void send_list(int gateway);
  void send_list_now(int gateway);
  /// Tells the rule checker that the gateway has received the present list.
  void record_list_delivery(int gateway);
  /// Crashes a host and resets its connections; the loss of a primary starts a takeover.
  void stop_host(int host);
  /// Starts a stopped host, cold.
  void start_host(int host);
  /// Applies a fault to the links between two sets of gateways, or removes it if not `active`.
  void set_peer_links(const Fault& fault, const std::vector<int>& from, const std::vector<int>& to,
                      bool active);
  /// The address for messages between gateways: the one that a gateway advertises, or is bound to.
  [[nodiscard]] std::string peer_address(int gateway, bool advertised) const;
  LinkFault& link_fault(int gateway, int host) { return link_faults_[{gateway, host}]; }
  [[nodiscard]] const LinkFault& link_fault_of(int gateway, int host) const;
  /// Applies changed faults to the open connections of these links, or resets them. `pairs`: gateway and
  /// host.
  void update_links(const std::set<std::pair<int, int>>& pairs, bool with_reset);
  /// Closes the connections of this request that its gateway has already closed.
  void close_ended_links(const std::string& id);
  // clients
  /// Sends a newly drawn request and schedules the next one.
  void next_arrival();
  /// Starts an attempt at a gateway drawn by weight.
  void send_request(const std::shared_ptr<Request>& request);
  /// Draws a gateway that clients may use, by weight; empty if there is none.
  [[nodiscard]] std::optional<int> choose_gateway();
  /// Takes an open idle connection to the gateway; null if there is none.
  [[nodiscard]] ClientLink* take_idle_client(Gateway& gateway);
  /// Sends SIGTERM, and SIGKILL if the process has not exited within the time allowed for draining.
  void terminate_gateway(int gateway);
  /// The client leaves before its deadline, in one of the ways of ClientLink::ClientExit. `id`: of its
  /// attempt.
  void leave_early(const std::string& id);
  /// Retries a refused request once, or counts the outcome.
  void on_answer(const ClientAttempt& attempt, Answer answer, Duration retry_after);
  /// The gateway never read the request, so the client sends it again through another connection.
  void on_not_accepted(const ClientAttempt& attempt);
  /// The client gives up after its deadline and closes the connection. `id`: of its attempt.
  void abandon(const std::string& id);
  // faults
  /// Starts a fault of the scenario and schedules its end.
  void apply_fault(std::size_t index);
  /// Indexes of the targets, sorted; discovery_index for discovery. `stream` selects the random sequence for
  /// the share.
  [[nodiscard]] std::vector<int> select_targets(const Target& target, std::uint64_t stream) const;
  /// Adds an event to the result at the present time.
  void add_event(const std::string& text);
  [[nodiscard]] double elapsed_seconds() const;
  /// The result of the present second; added if missing.
  SecondResult& current_second();
  /// Computes the figures of the result after the run.
  void summarize();

  Scenario scenario_;
  Options options_;
  ev::dynamic_loop loop_;  // libev's default loop would reap the child processes
  app::UnixClock clock_;
  lab::Timeline timeline_;
  Time load_started_at_{};
  bool running_ = false;   // clients send requests, or wait for answers
  bool stopping_ = false;  // gateways are stopped: their exits are no crashes
  bool gave_up_ = false;   // the machine is too slow for the load
  wire::Reaper reaper_;
  ev::prepare prepare_;
  ev::check check_;
  ev::timer timer_;
  std::vector<Gateway> gateways_;
  std::vector<std::unique_ptr<lab::ReplicaGroup>> groups_;
  std::vector<Host> hosts_;
  std::map<std::pair<int, int>, LinkFault> link_faults_;  // by gateway and host, or discovery_index
  std::map<std::pair<int, int>, LinkState> peer_links_;   // by sending and receiving gateway
  std::unique_ptr<Relay> relay_;
  std::uint64_t list_version_ = 1;
  bool discovery_refuses_ = false;
  Host discovery_;                                           // only its listeners and ports are used
  std::map<const ev::io*, int> host_by_watcher_;             // host index, or discovery_index
  std::unordered_map<std::uint64_t, HostLink*> host_links_;  // by number of the link
  // By id of the client's attempt: the connections on which hosts have received it and not answered.
  std::unordered_map<std::string, std::vector<HostLink*>> links_by_request_;
  std::vector<DiscoveryLink*> discovery_links_;
  std::unordered_map<std::string, ClientAttempt> open_attempts_;  // by attempt id
  std::vector<std::unique_ptr<ClientLink>> clients_;
  std::uint64_t next_link_number_ = 1;
  std::uint64_t next_attempt_id_ = 1;
  lab::Random arrival_random_;  // for arrival times and what is requested
  lab::Random fault_random_;    // for faults drawn for each request, and the gateway of each attempt
  lab::Random exit_random_;     // for clients that leave early
  std::optional<RuleChecker> rules_;
  std::vector<float> send_delays_;  // in ms
  RunResult result_;
};

}  // namespace cedarring::rig

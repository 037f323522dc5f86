// Wiring, start, reload, upgrade and shutdown of a gateway process.
#pragma once

#include <ev++.h>

#include <map>
#include <memory>
#include <stdexcept>
#include <string>
#include <vector>

#include "app/clock.h"
#include "app/config.h"
#include "app/service.h"
#include "app/successor_queue.h"
#include "telemetry/log.h"
#include "wire/admin.h"
#include "wire/control_endpoint.h"
#include "wire/handover.h"

namespace cedarring::app {

/// The start has been cancelled by SIGTERM or SIGINT.
struct StartCancelled : std::runtime_error {
  using std::runtime_error::runtime_error;
};
/// Another process serves, and its handover has not begun in time.
struct HandoverUnavailable : std::runtime_error {
  using std::runtime_error::runtime_error;
};

/// One gateway process. During an upgrade two processes of a gateway run: the predecessor, which serves, and
/// the successor, which takes over its listeners, clients and state through a HandoverLink.
class Gateway {
 public:
  /// `file`: the gateway file named on the command line, for reloads; empty: the default one. Throws
  /// ConfigError, std::system_error, StartCancelled or HandoverUnavailable.
  Gateway(ev::loop_ref loop, const Config& config, std::string file = "");
  /// Serves until the shutdown after SIGTERM or SIGINT is complete.
  void run();

 private:
  // Signals and shutdown. A front is a listener of one protocol with its broker and hosts (see Service).
  /// SIGTERM or SIGINT: begins the shutdown.
  void on_stop_signal(ev::sig&, int);
  /// Stops accepting clients; the process ends when the last client has left.
  void on_drain_timer(ev::timer&, int);
  /// Ends pending requests whose answer is not being streamed, shortly before the process would be killed.
  void on_shutdown_timer(ev::timer&, int);
  /// SIGHUP: applies the changed configuration.
  void reload(ev::sig&, int);
  /// SIGUSR1.
  void on_report_signal(ev::sig&, int) { report(); }
  /// Prints one line per tenant to standard output: its requests at this gateway, how many of them exceeded
  /// its share, and the results.
  void report() const;
  /// Switches the log lines of finished requests, with their results and attempts, on at log level `debug`,
  /// else off.
  void update_request_traces();
  /// While draining or leaving, ends the loop as soon as the last client has been answered and has left.
  void check_empty(ev::prepare&, int);
  /// Whether no service has a connected client.
  [[nodiscard]] bool no_clients_left() const;

  // Commands of operators. Answers of the admin socket are JSON.
  /// Answers a command on the admin socket. Never blocks.
  std::string answer_admin(const std::vector<std::string>& words);
  std::string answer_levels() const;
  /// One object for each front and replica group, with counts of the group's hosts and their load. Keys that
  /// differ from GroupView: "out" is `unavailable`, "window" is `concurrency_limit`; tools read these keys.
  std::string answer_hosts();
  /// The latest decision records, at most `max_records`.
  std::string answer_records(std::size_t max_records) const;
  /// Handles `set-level FRONT pressure|GROUP LEVEL SECONDS` and `unset-level FRONT pressure|GROUP`.
  std::string set_level(const std::vector<std::string>& words);
  /// Answers a request at the control endpoint. Never blocks.
  wire::ControlResponse answer_control(const wire::ControlRequest& request);
  /// Whether this process accepts clients and can serve them on every front.
  [[nodiscard]] bool ready() const;
  /// Disables or enables a host in all services and in the other process. False if no service accepts it:
  /// none has the host, or too many hosts are disabled already.
  bool set_disabled(const std::string& host, bool disabled);
  /// Opens the admin socket, if one is configured and not open yet.
  void open_admin_socket();
  /// The metrics of all fronts as Prometheus text.
  std::string metrics();

  // Upgrades.
  /// Requests the handover of the process that serves, if any. Blocks until it is complete.
  std::optional<wire::ReceivedHandover> request_handover() const;
  void start_as_successor(wire::Fd link);
  /// Runs repeatedly until serving starts: once all services may start, serves, or first requests the
  /// predecessor's share of the budgets.
  void try_serving(ev::timer&, int);
  /// Starts accepting clients and tells the predecessor, if any, to hand its clients over.
  void serve();
  void on_budgets_timeout(ev::timer&, int);
  void split_budgets();
  /// Sends new ejections of hosts to the other process, which sends requests to the same hosts.
  void send_ejections(ev::timer&, int);
  /// Sends a text of any length as consecutive packets of one kind.
  void send_in_packets(const char* kind, const std::string& text);
  /// Sends sections by front, then a packet of `kind`, which tells the receiver what they are.
  void send_sections(const char* kind, const std::map<std::string, StateSections>& sections);
  /// Logs the names of sections that the other process has sent and that cannot be read.
  void log_unreadable(const std::string& front, const std::vector<std::string>& sections);
  void listen_for_successor();
  void on_successor_connected(wire::Fd link);
  /// Sends the handover to a successor.
  void begin_handover(wire::Fd link);
  /// The successor has ended: accepts clients again, or, while draining, closes those that are left.
  void take_back_clients();
  void on_packet(wire::Packet packet);
  void on_peer_end();
  /// Sets the limits on memory and connections of this process beside the other process. `outgoing`: this is
  /// the predecessor. `peer_clients`: the client connections that the predecessor still has, if this is the
  /// successor.
  void share_resources(bool outgoing, std::size_t peer_clients);
  /// The resources of a service while one process serves.
  [[nodiscard]] handover::ResourceShares total_resources_of(const Service& service) const;

  ev::loop_ref loop_;
  std::string file_;             // the gateway file named on the command line; empty: the default one
  std::string config_in_force_;  // text of the platform's configuration file
  UnixClock clock_;
  telemetry::Log log_;
  wire::Reaper reaper_;
  // The PostgreSQL front, and the MySQL front if it was configured at the start.
  std::vector<std::unique_ptr<Service>> services_;
  std::unique_ptr<wire::AdminSocket> admin_;
  std::unique_ptr<wire::ControlServer> control_;
  std::uint64_t configs_applied_ = 0;   // at SIGHUP
  std::uint64_t configs_rejected_ = 0;  // at SIGHUP
  std::string handover_dir_;            // folder of the handover socket
  std::string handover_name_;           // name of the handover socket; empty: upgrades are not possible
  std::string admin_path_;              // of the admin socket; empty: none
  std::size_t max_buffer_bytes_;        // limit on the buffers of all fronts: half of the memory
  ev::tstamp started_at_;
  std::unique_ptr<wire::HandoverListener> handover_listener_;  // where a successor connects
  std::unique_ptr<wire::HandoverLink> link_;                   // to the other process, while there is one
  SuccessorQueue waiting_successors_;
  bool serving_ = false;           // clients have been accepted
  bool is_successor_ = false;      // this is the successor, and the predecessor has not ended
  bool handing_over_ = false;      // this is the predecessor, and the successor serves
  bool budgets_split_ = false;     // this is the predecessor, and budgets are divided
  bool awaits_budgets_ = false;    // this is the successor, and the predecessor will send its share
  std::string received_sections_;  // text of the sections that the predecessor has sent so far
  /// Ends of ejections that both processes know, by front and host.
  std::map<std::string, Time> known_ejections_;
  std::size_t predecessor_clients_ = 0;  // clients that the predecessor has still to transfer
  /// Links that have ended; freed when no callback of theirs can be running.
  std::vector<std::shared_ptr<wire::HandoverLink>> ended_links_;
  ev::timer serving_timer_;         // checks whether serving may start
  ev::timer handover_drain_timer_;  // this is the predecessor: drains some time after the successor serves
  ev::timer budgets_timer_;         // limits the wait for the predecessor's share of the budgets
  ev::timer ejections_timer_;       // sends ejections to the other process
  ev::sig term_signal_;
  ev::sig int_signal_;
  ev::sig usr1_signal_;
  ev::sig hup_signal_;
  ev::timer drain_timer_;     // after SIGTERM: stops accepting clients
  ev::timer shutdown_timer_;  // after SIGTERM: ends pending requests
  ev::prepare empty_check_;   // active while draining
  ev::prepare leave_check_;   // active once the successor has asked this predecessor to leave
};

}  // namespace cedarring::app

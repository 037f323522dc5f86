#include "app/gateway.h"

#include <rapidjson/stringbuffer.h>
#include <rapidjson/writer.h>
#include <xxhash.h>

#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <iostream>

#include "app/pending_signals.h"
#include "handover/json_archive.h"
#include "handover/snapshot_fields.h"
#include "wire/mysql_client.h"
#include "wire/mysql_host.h"
#include "wire/pg_client.h"
#include "wire/pg_host.h"

namespace cedarring::app {
namespace {

// Times in seconds.

/// Limits on the wait for the handover at the start: until the first packet, between two packets, in all. A
/// predecessor ends leave_after_s after its successor serves, once its requests are answered.
constexpr wire::HandoverTimeouts handover_timeouts{3, 3, 15};
/// How long a predecessor runs once its successor serves; then it drains and exits by itself.
constexpr double leave_after_s = 10;
/// The interval at which a starting process checks whether it may serve.
constexpr double serving_check_interval_s = 0.01;
/// How long after its start a process waits at most for discovery to push the first host list.
constexpr double first_list_timeout_s = 3;
/// How long a successor waits for the predecessor to send its share of the budgets.
constexpr double budgets_timeout_s = 0.5;
/// The interval at which new ejections are sent to the other process.
constexpr double ejections_interval_s = 0.05;
/// How long clients are still accepted after SIGTERM: new connections keep arriving for 0.2 to 0.4 s.
constexpr double serve_after_term_s = 0.5;
/// The platform that runs the gateway sends SIGTERM, and SIGKILL after the longest deadline, counted as at
/// most max_kill_deadline_s, plus this time.
constexpr double kill_after_s = 0.7;
constexpr double max_kill_deadline_s = 3;
/// How long before the SIGKILL pending requests are ended, so that their answers still reach the clients.
constexpr double shutdown_lead_s = 0.1;
/// Descriptors kept for listeners, discovery, the event loop and a burst of accepts.
constexpr std::size_t reserved_descriptors = 48;
/// Ejections of a host whose ends differ by less than this (100 ms) are the same: the processes read their
/// clocks at different times.
constexpr Duration ejection_tolerance{100'000};
/// The number of records that the admin command `records` returns if it names none.
constexpr std::size_t default_record_count = 50;
constexpr std::int64_t max_pin_seconds = 86'400;  // 24 h

/// The factories of a protocol with these connection classes.
template <class Host, class Client>
Service::ConnectionFactories connection_factories(ev::loop_ref loop) {
  return {[loop](wire::Fd fd, HostId host, wire::SocketUpstream& owner) {
            return std::make_unique<Host>(loop, std::move(fd), host, owner);
          },
          [loop](wire::Fd fd, wire::ClientSet& owner) {
            return std::make_unique<Client>(loop, std::move(fd), owner);
          }};
}

/// The name of the handover socket: the same for all processes of a gateway, different for each gateway that
/// shares the folder.
std::string handover_name(const Config& config) {
  const auto text = config.name + '\n' + config.platform.listen;  // `platform`: the PostgreSQL front
  char hex[17];
  std::snprintf(hex, sizeof hex, "%016llx",
                static_cast<unsigned long long>(XXH64(text.data(), text.size(), 0)));
  return std::string("cedarring-") + hex;
}

}  // namespace

Gateway::Gateway(ev::loop_ref loop, const Config& config, std::string file)
    : loop_(loop),
      file_(std::move(file)),
      config_in_force_(config.platform_text),
      log_(config.name, config.gateway_file.log, [this] { return clock_.now(); }),
      reaper_(loop),
      max_buffer_bytes_((config.memory_mb << 20U) / 2),
      started_at_(loop.now()),
      waiting_successors_(loop),
      serving_timer_(loop),
      handover_drain_timer_(loop),
      budgets_timer_(loop),
      ejections_timer_(loop),
      term_signal_(loop),
      int_signal_(loop),
      usr1_signal_(loop),
      hup_signal_(loop),
      drain_timer_(loop),
      shutdown_timer_(loop),
      empty_check_(loop),
      leave_check_(loop) {
  term_signal_.set<Gateway, &Gateway::on_stop_signal>(this);
  int_signal_.set<Gateway, &Gateway::on_stop_signal>(this);
  term_signal_.start(SIGTERM);
  int_signal_.start(SIGINT);
  usr1_signal_.set<Gateway, &Gateway::on_report_signal>(this);
  usr1_signal_.start(SIGUSR1);
  hup_signal_.set<Gateway, &Gateway::reload>(this);
  hup_signal_.start(SIGHUP);
  drain_timer_.set<Gateway, &Gateway::on_drain_timer>(this);
  shutdown_timer_.set<Gateway, &Gateway::on_shutdown_timer>(this);
  empty_check_.set<Gateway, &Gateway::check_empty>(this);
  leave_check_.set<Gateway, &Gateway::check_empty>(this);
  serving_timer_.set<Gateway, &Gateway::try_serving>(this);
  handover_drain_timer_.set<Gateway, &Gateway::on_drain_timer>(this);
  budgets_timer_.set<Gateway, &Gateway::on_budgets_timeout>(this);
  ejections_timer_.set<Gateway, &Gateway::send_ejections>(this);
  broker::MessageMemory::set_limit(max_buffer_bytes_);
  const auto clock = [this] { return clock_.now(); };
  const auto reserved =
      reserved_descriptors + (config.control.empty() ? 0 : wire::ControlServer::descriptors);
  // The fronts divide the descriptors that are not reserved, but at least a quarter of all.
  const auto descriptors = std::max(config.max_descriptors - std::min(reserved, config.max_descriptors),
                                    config.max_descriptors / 4) /
                           (config.mysql ? 2 : 1);
  // Another process of this gateway may be serving. An incomplete handover is ignored.
  // Upgrades are on only with a control endpoint, whose /-/ready tells the operator when the new process
  // serves.
  std::optional<wire::ReceivedHandover> predecessor;
  std::optional<std::vector<ServiceState>> state;
  if (const char* dir = std::getenv("TMPDIR"); dir && *dir && !config.control.empty()) {
    handover_dir_ = dir;
    handover_name_ = handover_name(config);
    predecessor = request_handover();
    if (predecessor) state = parse_services(predecessor->state);
    if (!state) predecessor.reset();
  }
  const auto listener = [&](const std::string& front) {
    if (predecessor)
      for (auto& [name, fd] : predecessor->listeners)
        if (name == front) return std::move(fd);
    return wire::Fd();
  };
  const auto state_of_front = [&](const std::string& front) -> const ServiceState* {
    if (state)
      for (const auto& candidate : *state)
        if (candidate.front == front) return &candidate;
    return nullptr;
  };
  // `platform` configures the PostgreSQL front, so services_[0] is that front.
  services_.push_back(std::make_unique<Service>(
      loop, reaper_, clock, config.platform, connection_factories<wire::PgHost, wire::PgClient>(loop),
      descriptors, "postgresql", log_, listener("postgresql"), state_of_front("postgresql")));
  if (config.mysql)
    services_.push_back(std::make_unique<Service>(
        loop, reaper_, clock, *config.mysql, connection_factories<wire::MysqlHost, wire::MysqlClient>(loop),
        descriptors, "mysql", log_, listener("mysql"), state_of_front("mysql"), listener("mysql updates")));
  admin_path_ = config.gateway_file.admin_socket;
  for (auto& service : services_) {
    service->broker().set_role_change_callback([this](const std::string& host, Role role) {
      if (link_) link_->send("role", std::string(role_name(role)) + ' ' + host);
    });
    // Sent before the client gets its answer, so that its next request finds the commit known in the other
    // process.
    service->broker().set_commit_callback([this, front = service->front()](const SessionSnapshot& session) {
      if (link_) link_->send("commit", front + ' ' + handover::to_text(session));
    });
    if (const auto* received = state_of_front(service->front()); received && !received->sections.empty()) {
      awaits_budgets_ = true;
      log_unreadable(service->front(), service->restore(received->sections));
    }
  }
  for (auto& service : services_) service->set_resources(total_resources_of(*service));
  update_request_traces();
  if (predecessor) {
    start_as_successor(std::move(predecessor->link));
  } else {
    open_admin_socket();
    listen_for_successor();
    serving_timer_.start(0, serving_check_interval_s);
  }
  if (!config.control.empty())
    control_ = std::make_unique<wire::ControlServer>(
        loop, reaper_, config.control,
        [this](const wire::ControlRequest& request) { return answer_control(request); });
  for (const auto& warning : config.warnings) log_.write(telemetry::Level::warning, "configuration", warning);
}

std::optional<wire::ReceivedHandover> Gateway::request_handover() const {
  const PendingStopSignals stop_signals;
  auto result = wire::receive_handover(
      handover_dir_, handover_name_, handover_timeouts,
      {[&] { return stop_signals.arrived(); },
       [] { std::cout << "waiting for the handover of the process that serves" << std::endl; }});
  switch (result.status) {
    case wire::HandoverStatus::complete:
      return std::move(result.handover);
    case wire::HandoverStatus::no_predecessor:
      return std::nullopt;
    case wire::HandoverStatus::unusable:
      std::cout << "the process that serves gives no usable handover: starting without its state"
                << std::endl;
      return std::nullopt;
    case wire::HandoverStatus::cancelled:
      throw StartCancelled("told to end before the handover: the process that serves is unaffected");
    case wire::HandoverStatus::still_busy:
      break;
  }
  throw HandoverUnavailable(
      "another upgrade of this gateway has not finished: the process that serves is unaffected; end the "
      "process that it has replaced, or the one that does not become ready, then start again");
}

void Gateway::run() {
  static constexpr const char* fronts[] = {"postgresql", "mysql"};
  if (control_) std::cout << "listening control " << control_->address() << std::endl;
  for (std::size_t i = 0; i < services_.size(); ++i) {
    if (const auto zone = services_[i]->dns_update_address(); !zone.empty())
      std::cout << "listening dns " << zone << std::endl;
    std::cout << "listening " << fronts[i] << ' ' << services_[i]->address() << std::endl;
  }
  loop_.run(0);
  report();
  if (!link_ || !handing_over_) return;
  std::map<std::string, StateSections> sections;
  for (auto& service : services_) sections[service->front()] = service->contract_counts_since_split();
  send_sections("booked", sections);
}

void Gateway::report() const {
  for (const auto& service : services_)
    for (const auto& budget : service->budgets())
      std::cout << "tenant " << budget.tenant << " asked " << budget.requested << " over "
                << budget.over_budget << " served " << budget.served << " refused " << budget.refused
                << " failed " << budget.failed << std::endl;
}

/// Applies settings, discovery addresses, contracts, levels and log limits of the configuration as it is now.
/// Host lists, requests and connections stay; any other change needs a restart. Everything is read first, so
/// that an invalid configuration changes nothing.
void Gateway::reload(ev::sig&, int) {
  try {
    const auto config = load_config(true, file_, config_in_force_);
    log_.reload(config.gateway_file.log);  // the only later step that can fail
    update_request_traces();
    config_in_force_ = config.platform_text;
    services_[0]->update_settings(config.platform);
    if (config.mysql && services_.size() > 1) services_[1]->update_settings(*config.mysql);
    const auto reload_gates = [this](Service& service, const ServiceConfig& service_config) {
      // Gates identify classes by their index at the start.
      if (service.same_classes(service_config)) {
        service.reload_contracts(service_config.contracts);
        service.reload_levels(service_config.levels);
        return;
      }
      if (service_config.contracts || service_config.levels)
        log_.write(
            telemetry::Level::warning, "configuration",
            "the classes have changed: contracts and levels keep their former settings until a restart");
    };
    reload_gates(*services_[0], config.platform);
    if (config.mysql && services_.size() > 1) reload_gates(*services_[1], *config.mysql);
    if (config.gateway_file.admin_socket != (admin_ ? admin_->path() : std::string()))
      log_.write(telemetry::Level::warning, "configuration", "a change of admin.socket needs a restart");
    if (config.mysql.has_value() != (services_.size() > 1))
      log_.write(telemetry::Level::warning, "configuration",
                 "switching the MySQL front on or off needs a restart");
    services_[0]->change_discovery_address(config.platform.discovery);
    if (config.mysql && services_.size() > 1) services_[1]->change_discovery_address(config.mysql->discovery);
    ++configs_applied_;
    std::cout << "configuration reloaded, discovery " << config.platform.discovery << std::endl;
  } catch (const std::exception& e) {
    ++configs_rejected_;
    std::cout << "configuration not reloaded: " << e.what() << std::endl;
  }
}

void Gateway::update_request_traces() {
  const bool on = log_.config().min_level == telemetry::Level::debug;
  for (auto& service : services_) {
    if (!on) {
      service->broker().set_request_trace_callback(nullptr);
      continue;
    }
    service->broker().set_request_trace_callback([this](const broker::RequestTrace& trace) {
      const auto milliseconds = [](Duration duration) {
        char text[32];
        std::snprintf(text, sizeof text, "%.1f", static_cast<double>(duration.count()) / 1000);
        return std::string(text);
      };
      std::string attempts;
      for (const auto& attempt : trace.attempts)
        attempts += (attempts.empty() ? "" : " ") + attempt.host + '@' + milliseconds(attempt.sent_after) +
                    '+' + milliseconds(attempt.duration) + '=' + name_of(attempt.outcome);
      log_.write(telemetry::Level::debug, "request", "request finished",
                 {{"id", trace.name},
                  {"class", trace.class_name},
                  {"group", std::to_string(trace.group.value)},
                  {"retry", trace.retry ? "1" : "0"},
                  {"end", gates::name_of(trace.end)},
                  {"ms", milliseconds(trace.elapsed)},
                  {"course", attempts}});
    });
  }
}

/// An error answer on the admin socket.
std::string error_json(const std::string& text) {
  rapidjson::StringBuffer buffer;
  rapidjson::Writer<rapidjson::StringBuffer> writer(buffer);
  writer.StartObject();
  writer.Key("error");
  writer.String(text.c_str());
  writer.EndObject();
  return buffer.GetString();
}

std::string Gateway::answer_admin(const std::vector<std::string>& words) {
  const std::string verb = words.empty() ? "" : words[0];
  if (verb == "levels") return answer_levels();
  if (verb == "contracts") {
    std::string out = "[";
    for (const auto& service : services_)
      if (const auto* contracts = service->contracts())
        out += (out.size() > 1 ? "," : "") + contracts->status();
    return out + "]";
  }
  if (verb == "hosts") return answer_hosts();
  if (verb == "records")
    return answer_records(words.size() > 1 ? std::strtoul(words[1].c_str(), nullptr, 10)
                                           : default_record_count);
  if (verb == "set-level" || verb == "unset-level") return set_level(words);
  if (verb == "help" || verb.empty())
    return "{\"commands\":[\"levels\",\"contracts\",\"hosts\",\"records [N]\",\"set-level FRONT "
           "pressure|GROUP LEVEL SECONDS\","
           "\"unset-level FRONT pressure|GROUP\"]}";
  return error_json("unknown command '" + verb + "'");
}

std::string Gateway::answer_levels() const {
  std::string out = "[";
  for (const auto& service : services_)
    if (const auto* levels = service->levels()) out += (out.size() > 1 ? "," : "") + levels->status();
  return out + "]";
}

std::string Gateway::answer_hosts() {
  rapidjson::StringBuffer buffer;
  rapidjson::Writer<rapidjson::StringBuffer> writer(buffer);
  writer.StartArray();
  for (const auto& service : services_) {
    std::vector<GroupView> views;
    service->broker().group_views(views);
    for (const auto& view : views) {
      writer.StartObject();
      writer.Key("front");
      writer.String(service->front().c_str());
      writer.Key("group");
      writer.Int64(view.group.value);
      writer.Key("primary");
      writer.Bool(view.has_primary);
      writer.Key("hosts");
      writer.Int(view.hosts);
      // Hosts that are ejected or not responding. The packet "out" differs: it is for a host that an operator
      // has disabled.
      writer.Key("out");
      writer.Int(view.unavailable);
      writer.Key("replicas");
      writer.Int(view.replicas);
      writer.Key("lagging");
      writer.Int(view.lagging);
      writer.Key("in_flight");
      writer.Int(view.in_flight);
      writer.Key("waiting");
      writer.Int(view.waiting);
      writer.Key("window");
      writer.Double(view.concurrency_limit);
      writer.EndObject();
    }
  }
  writer.EndArray();
  return buffer.GetString();
}

std::string Gateway::answer_records(std::size_t max_records) const {
  const auto& all = log_.records();
  std::string out = "[";
  for (std::size_t i = all.size() > max_records ? all.size() - max_records : 0; i < all.size(); ++i)
    out += (out.size() > 1 ? "," : "") + telemetry::to_json(all[i], log_.instance());
  return out + "]";
}

std::string Gateway::set_level(const std::vector<std::string>& words) {
  const bool set = words[0] == "set-level";
  if (words.size() != (set ? 5U : 3U)) return error_json("set-level FRONT pressure|GROUP LEVEL SECONDS");
  for (const auto& service : services_) {
    auto* levels = service->levels();
    if (service->front() != words[1] || !levels) continue;
    std::optional<GroupId> group;
    if (words[2] != "pressure") {
      const auto number = wire::to_int(words[2]);
      if (!number) return error_json("the axis is 'pressure' or the number of a group");
      group = GroupId{*number};
    }
    std::string error;
    bool done = false;
    if (set) {
      const auto length = wire::to_int(words[4]);
      done = length && *length <= max_pin_seconds &&
             levels->pin(group, words[3], std::chrono::seconds(*length), error);
      if (!length || *length > max_pin_seconds) error = "seconds: a whole number up to 86400";
    } else {
      done = levels->unpin(group);
      if (!done) error = "no such group";
    }
    if (!done) return error_json(error);
    log_.write(telemetry::Level::warning, "operator", set ? "level pinned" : "level unpinned",
               {{"front", words[1]}, {"axis", words[2]}, {"level", set ? words[3] : ""}});
    return "{\"done\":true}";
  }
  return error_json("no front of that name has levels");
}

bool Gateway::ready() const {
  return !drain_timer_.is_active() && !empty_check_.is_active() && !handing_over_ &&
         !serving_timer_.is_active() &&
         std::all_of(
             services_.begin(), services_.end(), [](const auto& service) { return service->ready(); });
}

std::string Gateway::metrics() {
  telemetry::Metrics metrics;
  for (auto& service : services_) service->collect_metrics(metrics);
  metrics.message_bytes = broker::MessageMemory::used();
  metrics.config_applied = configs_applied_;
  metrics.config_rejected = configs_rejected_;
  return telemetry::to_prometheus(metrics);
}

wire::ControlResponse Gateway::answer_control(const wire::ControlRequest& request) {
  const auto path = wire::split_path(request.path);
  if (!path) return {400, "the path cannot be read\n", {}};
  const auto has_method = [&](const char* method) { return request.method == method; };
  const auto& segments = *path;
  if (segments.size() == 2 && segments[0] == "-" && segments[1] == "ready") {
    if (!has_method("GET")) return {405, "GET asks whether this process can serve\n", "GET"};
    return ready() ? wire::ControlResponse{200, "ready\n", {}}
                   : wire::ControlResponse{503, "not ready\n", {}};
  }
  if (segments.size() == 2 && segments[0] == "-" && segments[1] == "metrics") {
    if (!has_method("GET")) return {405, "GET asks for the figures\n", "GET"};
    return {200, metrics(), {}};
  }
  if (segments.size() == 4 && segments[0] == "-" && segments[1] == "database-hosts" &&
      (segments[3] == "disable" || segments[3] == "enable")) {
    if (!has_method("POST")) return {405, "POST leaves a database host out, or takes it back\n", "POST"};
    const bool disabled = segments[3] == "disable";
    // The text is the same if the host is known but too many hosts are disabled.
    if (!set_disabled(segments[2], disabled)) return {404, "nobody has this id\n", {}};
    return {200, segments[2] + (disabled ? " is left out\n" : " is used again\n"), {}};
  }
  return {404, "there is no such call\n", {}};
}

bool Gateway::set_disabled(const std::string& host, bool disabled) {
  bool any = false;
  for (auto& service : services_) any = service->broker().set_disabled(host, disabled) || any;
  if (!any) return false;
  if (link_) link_->send(disabled ? "out" : "back", host);
  log_.write(telemetry::Level::warning, "operator", disabled ? "host disabled" : "host enabled",
             {{"host", host}});
  return true;
}

void Gateway::open_admin_socket() {
  if (admin_ || admin_path_.empty()) return;
  admin_ = std::make_unique<wire::AdminSocket>(
      loop_, reaper_, admin_path_,
      [this](const std::vector<std::string>& words) { return answer_admin(words); });
}

/// Another process serves; this one will take over.
void Gateway::start_as_successor(wire::Fd link) {
  is_successor_ = true;
  link_ = std::make_unique<wire::HandoverLink>(
      loop_, std::move(link),
      wire::HandoverLink::Callbacks{[this](wire::Packet packet) { on_packet(std::move(packet)); },
                                    [this] { on_peer_end(); }});
  share_resources(false, 0);
  serving_timer_.start(0, serving_check_interval_s);
}

/// Starts serving once the services are ready. A pushed list is waited for only for a limited time, since
/// discovery may be down.
void Gateway::try_serving(ev::timer&, int) {
  for (auto& service : services_)
    if ((is_successor_ && !service->broker().ready()) ||
        (!service->may_start_serving() && loop_.now() - started_at_ < first_list_timeout_s))
      return;
  serving_timer_.stop();
  if (!link_ || !awaits_budgets_) return serve();
  link_->send("ready");
  budgets_timer_.start(budgets_timeout_s);
}

/// The predecessor has not answered: it may be hung, and its spending is unknown.
void Gateway::on_budgets_timeout(ev::timer&, int) {
  for (auto& service : services_) service->assume_own_share();
  serve();
}

void Gateway::serve() {
  serving_ = true;
  awaits_budgets_ = false;
  budgets_timer_.stop();
  for (auto& service : services_) service->start_accepting();
  if (link_) {
    link_->send("serving");
    ejections_timer_.start(ejections_interval_s, ejections_interval_s);
  }
  if (!handover_listener_) listen_for_successor();
}

/// The successor is about to serve: from now on the budgets are divided between the processes.
void Gateway::split_budgets() {
  if (std::exchange(budgets_split_, true)) return;
  std::map<std::string, StateSections> sections;
  for (auto& service : services_) sections[service->front()] = service->snapshot(true);
  send_sections("yes", sections);
  ejections_timer_.start(ejections_interval_s, ejections_interval_s);
}

void Gateway::send_in_packets(const char* kind, const std::string& text) {
  for (std::size_t offset = 0; offset < text.size(); offset += wire::max_packet_text)
    link_->send(kind, std::string_view(text).substr(offset, wire::max_packet_text));
}

void Gateway::send_sections(const char* kind, const std::map<std::string, StateSections>& sections) {
  send_in_packets("parts", handover::to_text(sections));
  link_->send(kind);
}

void Gateway::log_unreadable(const std::string& front, const std::vector<std::string>& sections) {
  for (const auto& section : sections)
    log_.write(telemetry::Level::warning, "upgrade",
               "cannot parse a section of the other process's state; the section is ignored",
               {{"front", front}, {"part", section}});
}

void Gateway::send_ejections(ev::timer&, int) {
  if (!link_) return ejections_timer_.stop();
  for (auto& service : services_) {
    handover::HostsSection ejected;
    for (auto& host : service->broker().snapshot(SnapshotScope::hosts).hosts) {
      auto& known_until = known_ejections_[service->front() + ' ' + host.name];
      const auto until = host.ejection_remaining ? clock_.now() + *host.ejection_remaining : Time{};
      if (!host.ejection_remaining || until <= known_until + ejection_tolerance) continue;
      known_until = until;
      // Estimates are specific to each process.
      host.relative_latency = host.concurrency_limit = 0;
      host.load = -1;
      host.start_age.reset();
      host.slow_start_sends.clear();
      ejected.snapshot.hosts.push_back(std::move(host));
    }
    if (!ejected.snapshot.hosts.empty())
      link_->send("hosts", service->front() + ' ' + handover::to_text(ejected));
  }
}

void Gateway::listen_for_successor() {
  if (!handover_name_.empty())
    handover_listener_ = wire::HandoverListener::open(
        loop_, handover_dir_, handover_name_,
        [this](wire::Fd link) { on_successor_connected(std::move(link)); });
}

/// A successor requests the handover. Only one other process at a time shares the budgets, so it waits until
/// the predecessor, or a successor that connected before and does not serve yet, has ended.
void Gateway::on_successor_connected(wire::Fd link) {
  ended_links_.clear();
  if (handing_over_) return;  // closes the link: the name of the socket belongs to the successor
  if (!link_) return begin_handover(std::move(link));
  waiting_successors_.add(std::move(link));
  if (is_successor_) link_->send("leave");
}

void Gateway::begin_handover(wire::Fd link) {
  if (std::exchange(budgets_split_, false))
    for (auto& service : services_) service->resume_full_spending();
  known_ejections_.clear();
  link_ = std::make_unique<wire::HandoverLink>(
      loop_, std::move(link),
      wire::HandoverLink::Callbacks{[this](wire::Packet packet) { on_packet(std::move(packet)); },
                                    [this] { on_peer_end(); }});
  std::vector<ServiceState> states;
  for (const auto& service : services_) {
    link_->send("listener", service->front(), service->listener().get());
    if (const auto* socket = service->dns_update_socket())
      link_->send("listener", service->front() + " updates", socket->get());
    states.push_back(capture_state(service->front(), service->broker().hosts()));
    states.back().sections = service->snapshot(false);
  }
  send_in_packets("state", to_json(states));
  link_->send("whole");
  share_resources(true, 0);
}

handover::ResourceShares Gateway::total_resources_of(const Service& service) const {
  auto total = service.total_resources();
  total.memory = max_buffer_bytes_;
  return total;
}

void Gateway::share_resources(bool outgoing, std::size_t peer_clients) {
  for (auto& service : services_) {
    const auto total = total_resources_of(*service);
    const auto share = handover::split_resources(total, outgoing, outgoing ? total.clients : peer_clients);
    broker::MessageMemory::set_limit(share.memory);
    service->set_resources(share);
  }
}

/// Acts on a packet of the other process; wire::Packet lists the kinds.
void Gateway::on_packet(wire::Packet packet) {
  const auto find_service = [&](const std::string& front) -> Service* {
    for (auto& service : services_)
      if (service->front() == front) return service.get();
    return nullptr;
  };
  // The text of most packets is a word, such as the name of a front, and a rest after a space.
  const auto space = packet.text.find(' ');
  const bool has_rest = space != std::string::npos;
  const auto word = packet.text.substr(0, space);
  const auto rest = has_rest ? packet.text.substr(space + 1) : std::string();
  if (packet.kind == "ready" && !is_successor_ && !handing_over_) {
    split_budgets();
  } else if (packet.kind == "parts" && is_successor_) {
    if (received_sections_.size() + packet.text.size() <= wire::max_link_bytes)
      received_sections_ += packet.text;
  } else if ((packet.kind == "yes" || packet.kind == "booked") && is_successor_) {
    const auto received =
        handover::from_text<std::map<std::string, StateSections>>(std::exchange(received_sections_, {}));
    if (!received) {
      log_unreadable("all", {packet.kind});
      for (auto& service : services_) service->assume_own_share();
    } else {
      for (const auto& [front, sections] : *received)
        if (auto* service = find_service(front))
          log_unreadable(front, packet.kind == "yes" ? service->restore(sections)
                                                     : service->add_contract_counts(sections));
    }
    if (awaits_budgets_) serve();
  } else if (packet.kind == "commit") {
    const auto commit = handover::from_text<SessionSnapshot>(rest);
    if (auto* service = find_service(word); service && commit) {
      RouterSnapshot snapshot;
      snapshot.sessions.push_back(*commit);
      service->broker().merge_snapshot(std::move(snapshot));
    }
  } else if (packet.kind == "hosts") {
    auto ejected = handover::from_text<handover::HostsSection>(rest);
    if (auto* service = find_service(word); service && ejected) {
      for (const auto& host : ejected->snapshot.hosts)
        if (host.ejection_remaining)
          known_ejections_[service->front() + ' ' + host.name] = clock_.now() + *host.ejection_remaining;
      service->broker().merge_snapshot(std::move(ejected->snapshot));
    }
  } else if (packet.kind == "serving" && !is_successor_ && !handing_over_) {
    split_budgets();  // successors of older builds do not send "ready"
    handing_over_ = true;
    serving_timer_.stop();
    handover_listener_.reset();  // the socket's name belongs to the successor now
    waiting_successors_.clear();
    admin_.reset();
    for (auto& service : services_)
      service->start_handover([this, front = service->front()](int fd, const std::string& state) {
        return link_ && link_->send_now("client", front + ' ' + state, fd);
      });
    std::size_t remaining_clients = 0;
    for (const auto& service : services_) remaining_clients += service->client_count();
    link_->send("stopped", std::to_string(remaining_clients));
    handover_drain_timer_.start(leave_after_s);
    std::cout << "replaced by a new process: this process hands its clients over, then ends" << std::endl;
  } else if (packet.kind == "leave" && handing_over_) {
    leave_check_.start();
  } else if (packet.kind == "client" && packet.fds.size() == 1) {
    if (auto* service = find_service(word); service && has_rest)
      service->adopt(std::move(packet.fds[0]), rest);
    if (predecessor_clients_ > 0) share_resources(false, --predecessor_clients_);
  } else if (packet.kind == "stopped") {
    predecessor_clients_ = static_cast<std::size_t>(wire::to_int(packet.text).value_or(0));
    share_resources(false, predecessor_clients_);
    open_admin_socket();
  } else if (packet.kind == "out" || packet.kind == "back") {
    for (auto& service : services_) service->broker().set_disabled(packet.text, packet.kind == "out", true);
  } else if (packet.kind == "role") {
    if (!has_rest) return;
    for (auto& service : services_) service->broker().observe(rest, parse_role(word), std::nullopt);
  }
}

/// The other process has ended: the predecessor, or a successor before it had taken over.
void Gateway::on_peer_end() {
  // Not freed here, since its callback is still running.
  auto link = std::shared_ptr<wire::HandoverLink>(std::move(link_));
  ended_links_.push_back(std::move(link));
  if (handing_over_) take_back_clients();
  if (is_successor_) open_admin_socket();
  if (is_successor_ || budgets_split_)
    for (auto& service : services_) service->resume_full_spending();
  is_successor_ = false;
  budgets_split_ = false;
  ejections_timer_.stop();
  known_ejections_.clear();
  received_sections_.clear();
  if (awaits_budgets_ && budgets_timer_.is_active()) serve();
  broker::MessageMemory::set_limit(max_buffer_bytes_);
  for (auto& service : services_) service->set_resources(total_resources_of(*service));
  if (empty_check_.is_active()) return;
  if (auto next = waiting_successors_.take()) begin_handover(std::move(*next));
}

void Gateway::take_back_clients() {
  handing_over_ = false;
  leave_check_.stop();
  handover_drain_timer_.stop();
  for (auto& service : services_) service->cancel_handover();
  if (empty_check_.is_active()) {
    for (auto& service : services_) service->drain();
    return;
  }
  open_admin_socket();
  listen_for_successor();
  std::cout << "the new process has ended: this process accepts clients again" << std::endl;
}

bool Gateway::no_clients_left() const {
  return std::all_of(
      services_.begin(), services_.end(), [](const auto& service) { return service->empty(); });
}

/// New clients are accepted for serve_after_term_s longer, since load balancers have not noticed the signal
/// yet. A successor that does not serve yet ends at once and leaves the clients to its predecessor.
void Gateway::on_stop_signal(ev::sig&, int) {
  if (is_successor_ && !serving_) return loop_.break_loop(ev::ALL);
  if (!shutdown_timer_.is_active()) {
    Duration longest_deadline{};
    for (const auto& service : services_)
      longest_deadline = std::max(longest_deadline, service->longest_deadline());
    const auto deadline_s =
        std::min(static_cast<double>(longest_deadline.count()) / 1e6, max_kill_deadline_s);
    shutdown_timer_.start(deadline_s + kill_after_s - shutdown_lead_s);
  }
  if (!drain_timer_.is_active() && !empty_check_.is_active())
    drain_timer_.start(handing_over_ ? 0 : serve_after_term_s);
}

void Gateway::on_shutdown_timer(ev::timer&, int) {
  for (auto& service : services_) service->broker().begin_shutdown();
}

void Gateway::on_drain_timer(ev::timer&, int) {
  if (empty_check_.is_active()) return;
  serving_timer_.stop();
  handover_listener_.reset();
  waiting_successors_.clear();
  for (auto& service : services_) service->drain();
  empty_check_.start();
  if (no_clients_left()) loop_.break_loop(ev::ALL);
}

void Gateway::check_empty(ev::prepare&, int) {
  if (no_clients_left()) loop_.break_loop(ev::ALL);
}

}  // namespace cedarring::app

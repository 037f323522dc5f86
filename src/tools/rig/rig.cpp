#include "tools/rig/rig.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <boost/random/exponential_distribution.hpp>
#include <boost/random/uniform_01.hpp>
#include <climits>
#include <cmath>
#include <csignal>
#include <cstdio>
#include <cstring>
#include <fstream>
#include <functional>

#include "tools/rig/links.h"
#include "tools/rig/processes.h"
#include "tools/rig/report.h"
#include "wire/discovery.h"

namespace cedarring::rig {
namespace {

constexpr Duration startup_timeout = std::chrono::seconds(20);  // until all gateways answer
// From the start of the second process: drain notices bind 2 s after it has accepted the handover.
constexpr Duration upgrade_binding_delay = std::chrono::milliseconds(2500);
constexpr Duration upgrade_term_delay = std::chrono::seconds(1);  // until the old process gets SIGTERM
// How long a client waits after its deadline, as an answer may be on its way.
constexpr Duration answer_grace = std::chrono::milliseconds(100);
// Delay of the event loop from which the machine counts as too busy to check time limits.
constexpr Duration stall_threshold = std::chrono::milliseconds(25);
// For a gateway to process its backlog after a pause.
constexpr Duration resume_grace = std::chrono::milliseconds(500);
constexpr double max_send_delay_ms = 20;       // of the rig's own sends; larger delays distort the metrics
constexpr double abort_send_delay_ms = 2000;   // ends the run
constexpr double max_delayed_share = 0.01;     // of sends with a larger delay than max_send_delay_ms
constexpr int wildcard_listener_links = 2000;  // with more links, a host has a single listener
// Loopback addresses are 127.<network>.<block>.<number>. The network is that of the run; gateways are
// numbered from 1, and addresses_per_block of them share a block. Each use of an address has blocks of its
// own: the links to hosts and discovery from 0, then those below.
constexpr int addresses_per_block = 250;
constexpr int client_block = 100;           // listeners for clients, control endpoints
constexpr int bound_peer_block = 150;       // messages between gateways: where a gateway is bound
constexpr int advertised_peer_block = 200;  // messages between gateways: the relay
constexpr int first_control_port = 7001;
constexpr int control_port_count = 900;
constexpr int max_accepts_per_event = 64;
constexpr int max_redirects = 20;       // of a request whose gateways do not accept it
constexpr int immediate_redirects = 4;  // from this redirect on, the later delay applies
constexpr Duration immediate_redirect_delay{1000};
constexpr Duration later_redirect_delay{50'000};
constexpr Duration default_retry_delay{200'000};  // after a refusal without a retry-after
constexpr int max_client_attempts = 2;
constexpr int row_key_count = 5000;  // keys of rows that requests name
constexpr Duration process_poll_interval = std::chrono::milliseconds(20);
constexpr Duration probe_interval = std::chrono::milliseconds(50);
// From SIGTERM until the load balancer sends no more new connections.
constexpr Duration term_rotation_delay = std::chrono::milliseconds(300);
// A terminated gateway is killed after the longest deadline or max_drain_time, whichever is shorter, and
// drain_margin.
constexpr Duration max_drain_time = std::chrono::seconds(3);
constexpr Duration drain_margin = std::chrono::milliseconds(700);
// Time limits are not checked in this period around a kill.
constexpr Duration kill_excuse_before = std::chrono::milliseconds(1);
constexpr Duration kill_excuse_after = std::chrono::milliseconds(200);
constexpr Duration rest_of_run = std::chrono::hours(1);     // longer than any run
constexpr Duration stop_timeout = std::chrono::seconds(4);  // for the exits of gateways at the end
constexpr std::size_t max_named_targets = 4;                // of a fault, in its event
constexpr int seed_address_count = 3;                       // gateways in the list that @SEEDS@ stands for
constexpr double rounding_tolerance = 1e-9;                 // of the number of targets
constexpr double microseconds_per_second = 1e6;
// Select the random sequences of a seed. The relay has a further one.
constexpr std::uint64_t arrival_stream = 1;
constexpr std::uint64_t fault_stream = 2;
constexpr std::uint64_t weight_stream = 3;
constexpr std::uint64_t exit_stream = 4;
constexpr std::uint64_t first_target_stream = 100;  // two for each fault: its target and its other end

/// A uniform draw from [0, 1).
double draw(lab::Random& random) { return boost::random::uniform_01<double>()(random); }
double seconds(Duration duration) { return static_cast<double>(duration.count()) / microseconds_per_second; }
Duration from_ms(double ms) { return Duration(static_cast<std::int64_t>(ms * 1000)); }

/// Opens a listener at all loopback addresses and at no other interface.
wire::Fd listen_on_all_loopback(int port) {
  wire::Fd fd(::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0));
  const int enabled = 1;
  ::setsockopt(fd.get(), SOL_SOCKET, SO_REUSEADDR, &enabled, sizeof enabled);
  if (::setsockopt(fd.get(), SOL_SOCKET, SO_BINDTODEVICE, "lo", 3) != 0) return wire::Fd();
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(static_cast<std::uint16_t>(port));
  if (::bind(fd.get(), reinterpret_cast<sockaddr*>(&address), sizeof address) != 0 ||
      ::listen(fd.get(), 1024) != 0)
    return wire::Fd();
  return fd;
}

/// The port that a socket is bound to.
int port_of(const wire::Fd& fd) {
  const auto address = wire::bound_address(fd);
  return std::atoi(address.substr(address.rfind(':') + 1).c_str());
}

/// What the rule checker needs of each class.
std::vector<ClassRule> class_rules(const Scenario& scenario) {
  std::vector<ClassRule> rules;
  for (const auto& class_spec : scenario.classes)
    rules.push_back({class_spec.request_class.idempotency, class_spec.request_class.dedup_scope,
                     class_spec.request_class.dedup_window, class_spec.request_class.freshness,
                     class_spec.request_class.staleness_bound});
  return rules;
}

Duration longest_deadline(const Scenario& scenario) {
  Duration longest{};
  for (const auto& class_spec : scenario.classes)
    longest = std::max(longest, class_spec.request_class.deadline);
  return longest;
}

/// The first two bytes of an address "127.x.y.z", as text.
std::string network_of(const std::string& address) { return address.substr(0, address.find('.', 4)); }

}  // namespace

Rig::Rig(Scenario scenario, Options options)
    : scenario_(std::move(scenario)),
      options_(std::move(options)),
      timeline_(clock_.now()),
      reaper_(loop_),
      prepare_(loop_),
      check_(loop_),
      timer_(loop_),
      arrival_random_(scenario_.seed, arrival_stream),
      fault_random_(scenario_.seed, fault_stream),
      exit_random_(scenario_.seed, exit_stream) {
  prepare_.set<Rig, &Rig::before_blocking>(this);
  check_.set<Rig, &Rig::after_blocking>(this);
  check_.priority = EV_MAXPRI;
  timer_.set<Rig, &Rig::on_timer>(this);
}

Rig::~Rig() {
  for (auto& process : gateways_)
    for (const pid_t pid : {process.pid, process.previous_pid})
      if (pid > 0) {
        signal_process(pid, SIGKILL);
        ::waitpid(pid, nullptr, 0);
      }
  while (!host_links_.empty()) host_links_.begin()->second->shut_down(true);
  while (!discovery_links_.empty()) discovery_links_.back()->shut_down(true);
}

// ---- clock ----
void Rig::advance() {
  const auto now = clock_.now();
  if (const auto due = timeline_.next_due(); due && rules_ && now - *due > stall_threshold)
    rules_->excuse_all(*due, now + stall_threshold);
  timeline_.run_until(now);
}

void Rig::before_blocking(ev::prepare&, int) {
  advance();
  timer_.stop();
  if (const auto next = timeline_.next_due()) timer_.start(std::max(0.0, seconds(*next - clock_.now())));
}

double Rig::elapsed_seconds() const { return seconds(timeline_.now() - load_started_at_); }

SecondResult& Rig::current_second() {
  constexpr double last_index = 3600;  // all later seconds count in this one
  const auto index = static_cast<std::size_t>(std::clamp(elapsed_seconds(), 0.0, last_index));
  while (result_.seconds.size() <= index) {
    result_.seconds.emplace_back();
    result_.seconds.back().attempts_by_host.resize(hosts_.size());
  }
  return result_.seconds[index];
}

void Rig::add_event(const std::string& text) {
  result_.events.push_back({elapsed_seconds(), text});
  if (options_.live) {
    std::printf("%6.1f s  %s\n", elapsed_seconds(), text.c_str());
    std::fflush(stdout);
  }
}

// ---- hosts and discovery ----
/// One listener for each gateway, at its link address, or a single one at all loopback addresses.
void Rig::open_listeners(Host& emulated_host) {
  const bool wildcard = static_cast<int>(hosts_.size()) * scenario_.gateways > wildcard_listener_links;
  const auto count = wildcard ? 1 : gateways_.size();
  const bool reopening = !emulated_host.ports.empty();
  for (std::size_t i = 0; i < count; ++i) {
    const int port = reopening ? emulated_host.ports[i] : 0;
    auto fd = wildcard ? listen_on_all_loopback(port)
                       : wire::listen_on(gateways_[i].link_address + ':' + std::to_string(port));
    if (fd.get() < 0) {
      result_.error = std::string("cannot open a listener: ") + std::strerror(errno);
      return;
    }
    if (!reopening) emulated_host.ports.push_back(port_of(fd));
    auto watcher = std::make_unique<ev::io>(loop_);
    watcher->set<Rig, &Rig::on_connection>(this);
    watcher->start(fd.get(), ev::READ);
    host_by_watcher_[watcher.get()] =
        &emulated_host == &discovery_ ? discovery_index : static_cast<int>(&emulated_host - hosts_.data());
    emulated_host.accept_watchers.push_back(std::move(watcher));
    emulated_host.listeners.push_back(std::move(fd));
  }
}

int Rig::gateway_of(int fd) const {
  sockaddr_in address{};
  socklen_t size = sizeof address;
  ::getsockname(fd, reinterpret_cast<sockaddr*>(&address), &size);
  const auto block_and_number = ntohl(address.sin_addr.s_addr) & 0xffffU;
  const auto block = block_and_number >> 8U;
  const auto number = block_and_number & 0xffU;
  const int gateway = static_cast<int>(block * static_cast<unsigned>(addresses_per_block) + number) - 1;
  return gateway >= 0 && gateway < scenario_.gateways ? gateway : -1;
}

void Rig::on_connection(ev::io& watcher, int) {
  const auto it = host_by_watcher_.find(&watcher);
  if (it == host_by_watcher_.end()) return;
  for (int i = 0; i < max_accepts_per_event; ++i) {
    auto fd = wire::accept_from(watcher.fd);
    if (fd.get() < 0) {
      if ((errno == EMFILE || errno == ENFILE) && !std::exchange(result_.too_slow, true))
        add_event("out of file descriptors");
      return;
    }
    const int gateway = gateway_of(fd.get());
    if (gateway < 0) continue;  // not made to a gateway's link address
    if (it->second == discovery_index) {
      discovery_links_.push_back(new DiscoveryLink(*this, std::move(fd), gateway));
      continue;
    }
    const auto number = next_link_number_++;
    host_links_[number] = new HostLink(*this, std::move(fd), number, gateway, it->second);
  }
}

const Rig::LinkFault& Rig::link_fault_of(int gateway, int host) const {
  static const LinkFault none;
  const auto it = link_faults_.find({gateway, host});
  return it == link_faults_.end() ? none : it->second;
}

std::string Rig::member_list_for(int gateway) {
  broker::MemberList list;
  list.version = list_version_;
  list.full = true;
  for (std::size_t i = 0; i < hosts_.size(); ++i) {
    const auto& emulated_host = hosts_[i];
    if (emulated_host.removed) continue;
    broker::Member member;
    member.id = emulated_host.id;
    member.address = gateways_[static_cast<std::size_t>(gateway)].link_address + ':' +
                     std::to_string(emulated_host.port_for(gateway));
    member.zone = emulated_host.model->zone();
    member.group = emulated_host.group->id();
    member.state = emulated_host.draining ? HostState::draining : HostState::ready;
    member.primary = emulated_host.group->primary() == emulated_host.model;
    if (emulated_host.model->started_at() > Time{}) member.started_at = emulated_host.model->started_at();
    list.members.push_back(member);
  }
  return wire::members_json(list);
}

/// On a delayed link the gateway keeps an older list than other gateways until the list arrives.
void Rig::send_list(int gateway) {
  const auto& fault = link_fault_of(gateway, discovery_index);
  if (fault.answers_cut) return;
  if (fault.delay > Duration::zero())
    timeline_.after(fault.delay, [this, gateway] { send_list_now(gateway); });
  else
    send_list_now(gateway);
}

void Rig::send_list_now(int gateway) {
  if (link_fault_of(gateway, discovery_index).answers_cut) return;
  const auto list = member_list_for(gateway);
  bool delivered = false;
  for (auto* watch : discovery_links_)
    if (watch->gateway() == gateway) delivered = watch->send_list(list) || delivered;
  if (delivered) record_list_delivery(gateway);
}

void Rig::record_list_delivery(int gateway) {
  for (std::size_t i = 0; i < hosts_.size(); ++i)
    rules_->on_listing(gateway, static_cast<int>(i), !hosts_[i].removed && !hosts_[i].draining,
                       timeline_.now());
}

void Rig::on_list_change() {
  timeline_.after(
      scenario_.discovery_delay,
      [this] {
        ++list_version_;
        for (int g = 0; g < scenario_.gateways; ++g) send_list(g);
      });
}

void Rig::stop_host(int host) {
  auto& emulated_host = hosts_[static_cast<std::size_t>(host)];
  if (!emulated_host.model->alive()) return;
  for (auto& watcher : emulated_host.accept_watchers) host_by_watcher_.erase(watcher.get());
  emulated_host.accept_watchers.clear();
  emulated_host.listeners.clear();
  if (emulated_host.group->primary() == emulated_host.model) {
    emulated_host.group->fail_primary(
        scenario_.takeover,
        [this](lab::HostModel&) {
          add_event("a group has a primary again");
          on_list_change();
        });
  } else {
    emulated_host.model->crash();
  }
  std::vector<HostLink*> links;
  for (const auto& [number, link] : host_links_)
    if (link->host() == host) links.push_back(link);
  for (auto* link : links) link->shut_down(true);
  emulated_host.removed = true;
  on_list_change();
}

void Rig::start_host(int host) {
  auto& emulated_host = hosts_[static_cast<std::size_t>(host)];
  if (emulated_host.model->alive()) return;
  emulated_host.model->start(scenario_.warm_up_duration, scenario_.cold_capacity_share);
  emulated_host.removed = emulated_host.draining = false;
  rules_->on_host_start(host, emulated_host.model->spec().cores * emulated_host.model->spec().speed,
                        timeline_.now());
  open_listeners(emulated_host);
  on_list_change();
}

/// Passes over all links once, not once for each pair: there are thousands of links, and a cut between zones
/// is thousands of pairs.
void Rig::update_links(const std::set<std::pair<int, int>>& pairs, bool with_reset) {
  std::vector<HostLink*> links;
  for (const auto& [number, link] : host_links_)
    if (pairs.count({link->gateway(), link->host()}) > 0) links.push_back(link);
  for (auto* link : links) with_reset ? link->shut_down(true) : link->on_link_change();
  std::vector<DiscoveryLink*> watches;
  for (auto* watch : discovery_links_)
    if (pairs.count({watch->gateway(), discovery_index}) > 0) watches.push_back(watch);
  for (auto* watch : watches) with_reset ? watch->shut_down(true) : watch->on_link_change();
}

void Rig::close_ended_links(const std::string& id) {
  const auto it = links_by_request_.find(id);
  if (it == links_by_request_.end()) return;
  const auto links = it->second;  // a copy: closing a link removes it
  for (auto* link : links)
    if (link->peer_closed()) link->shut_down(false);
}

// ---- between gateways ----
std::string Rig::peer_address(int gateway, bool advertised) const {
  const auto network = network_of(gateways_[static_cast<std::size_t>(gateway)].link_address);
  const int first_block = advertised ? advertised_peer_block : bound_peer_block;
  const int number = gateway + 1;
  return network + "." + std::to_string(first_block + number / addresses_per_block) + "." +
         std::to_string(number % addresses_per_block) + ":7100";
}

void Rig::set_peer_links(const Fault& fault, const std::vector<int>& from, const std::vector<int>& to,
                         bool active) {
  const auto set_direction = [&](int sender, int receiver) {
    auto& link = peer_links_[{sender, receiver}];
    switch (fault.kind) {
      case FaultKind::cut:
        link.cut = active;
        break;
      case FaultKind::delay:
        link.delay = active ? from_ms(fault.factor) : Duration{};
        break;
      case FaultKind::loss:
        link.loss = active ? fault.factor : 0;
        break;
      case FaultKind::duplicate:
        link.duplicate = active ? fault.factor : 0;
        break;
      default:
        link.reorder = active ? fault.factor : 0;
    }
    if (link.healthy()) peer_links_.erase({sender, receiver});
  };
  for (const int a : from)
    for (const int b : to) {
      if (a == b) continue;
      if (fault.forward) set_direction(a, b);
      if (fault.reverse) set_direction(b, a);
      if (active && fault.reset) relay_->reset(a, b);
    }
  relay_->update_streams();
}

// ---- processes ----
void Rig::start_gateway(int gateway, bool upgrade) {
  auto& process = gateways_[static_cast<std::size_t>(gateway)];
  const int number = gateway + 1;
  // Each process has a control port of its own, as two processes of a gateway may run at once.
  const int control_port = first_control_port + process.starts++ % control_port_count;
  const auto control = network_of(process.link_address) + "." +
                       std::to_string(client_block + number / addresses_per_block) + "." +
                       std::to_string(number % addresses_per_block) + ":" + std::to_string(control_port);
  std::ofstream(process.folder + "/config.json") << gateway_config(
      scenario_, gateway, process.listen_address, control,
      process.link_address + ':' + std::to_string(discovery_.port_for(gateway)), member_list_for(gateway));
  std::vector<std::pair<std::string, std::string>> variables = {
      {"ROUTER_CONFIG", process.folder + "/config.json"}, {"TMPDIR", process.folder}};
  if (!scenario_.gateway_file.empty()) {
    auto file = scenario_.gateway_file;
    const auto replace_all = [&](const std::string& placeholder, const std::string& value) {
      for (auto at = file.find(placeholder); at != std::string::npos;
           at = file.find(placeholder, at + value.size()))
        file.replace(at, placeholder.size(), value);
    };
    std::string seeds;
    for (int i = 0; i < std::min(seed_address_count, scenario_.gateways); ++i)
      seeds += (i ? ",\"" : "\"") + peer_address(i, true) + '"';
    replace_all("\"@SEEDS@\"", '[' + seeds + ']');
    replace_all("@REAL@", peer_address(gateway, false));
    replace_all("@SHOWN@", peer_address(gateway, true));
    std::ofstream(process.folder + "/gateway.json") << file;
    variables.emplace_back("CEDARRING_GATEWAY", process.folder + "/gateway.json");
  }
  if (upgrade || process.pid > 0)
    process.previous_pid = process.pid;  // a terminating process may still be running
  process.terminating = false;
  process.in_rotation = process.in_rotation && upgrade;
  process.pid =
      start_program(options_.gateway, variables, options_.out + "/g" + std::to_string(gateway) + ".log");
  process.should_run = true;
  if (process.pid < 0) result_.error = "cannot start the gateway program";
  if (upgrade) return rules_->on_upgrade(gateway, timeline_.now() + upgrade_binding_delay);
  rules_->on_new_process(gateway);
  probe_gateway(gateway);
}

void Rig::probe_gateway(int gateway) {
  auto& process = gateways_[static_cast<std::size_t>(gateway)];
  if (process.in_rotation || !process.should_run || stopping_) return;
  constexpr bool is_probe = true;
  auto link = std::make_unique<ClientLink>(*this, process.listen_address, gateway, is_probe);
  if (!link->closed()) clients_.push_back(std::move(link));
  timeline_.after(probe_interval, [this, gateway] { probe_gateway(gateway); });
}

void Rig::signal_gateway(int gateway, int number) {
  const auto& process = gateways_[static_cast<std::size_t>(gateway)];
  signal_process(process.pid, number);
}

void Rig::reap_processes() {
  for (int i = 0; i < scenario_.gateways; ++i) {
    auto& process = gateways_[static_cast<std::size_t>(i)];
    int status = 0;
    rusage used{};
    const auto add_usage = [&] {
      result_.gateways_cpu_seconds +=
          static_cast<double>(used.ru_utime.tv_sec + used.ru_stime.tv_sec) +
          static_cast<double>(used.ru_utime.tv_usec + used.ru_stime.tv_usec) / 1e6;
      result_.gateways_mb += static_cast<double>(used.ru_maxrss) / 1024;  // from KiB
    };
    if (process.previous_pid > 0 &&
        ::wait4(process.previous_pid, &status, WNOHANG, &used) == process.previous_pid) {
      process.previous_pid = -1;
      add_usage();
      if (!WIFEXITED(status) || WEXITSTATUS(status) != 0) {
        ++result_.crashes;
        add_event("g" + std::to_string(i) + " has crashed");
      }
    }
    if (process.pid > 0 && ::wait4(process.pid, &status, WNOHANG, &used) == process.pid) {
      process.pid = -1;
      add_usage();
      if (process.should_run && !stopping_) {
        ++result_.crashes;
        add_event("g" + std::to_string(i) + " has crashed");
        rules_->excuse_gateway(i, timeline_.now(), timeline_.now() + rest_of_run);
        process.in_rotation = false;
      }
    }
  }
  if (!stopping_) timeline_.after(process_poll_interval, [this] { reap_processes(); });
}

// ---- clients ----
/// Open-loop arrivals: each request and the time of the next one are drawn before the request is sent,
/// whatever the state of earlier requests.
void Rig::next_arrival() {
  const double elapsed = elapsed_seconds();
  const double run_seconds = seconds(scenario_.run_time);
  const double rate =
      full_load_rate(scenario_) * scenario_.load * (1 + (scenario_.ramp - 1) * elapsed / run_seconds);
  const auto intended = timeline_.now();
  const auto gap_seconds = boost::random::exponential_distribution<double>(rate)(arrival_random_);
  auto request = std::make_shared<Request>();
  // Draws the class and the tenant by their shares.
  double shares = 0;
  for (const auto& class_spec : scenario_.classes) shares += class_spec.share;
  double remainder = draw(arrival_random_) * shares;
  while (request->class_index + 1 < scenario_.classes.size() &&
         (remainder -= scenario_.classes[request->class_index].share) >= 0)
    ++request->class_index;
  remainder = draw(arrival_random_);
  while (request->tenant + 1 < scenario_.tenants.size() &&
         (remainder -= scenario_.tenants[request->tenant].share) >= 0)
    ++request->tenant;
  const auto& class_spec = scenario_.classes[request->class_index];
  request->group = static_cast<int>(draw(arrival_random_) * scenario_.groups);
  request->key = std::to_string(static_cast<int>(draw(arrival_random_) * row_key_count));
  request->work =
      class_spec.min_work +
      Duration(static_cast<std::int64_t>(
          static_cast<double>((class_spec.max_work - class_spec.min_work).count()) * draw(arrival_random_)));
  request->arrived_at = intended;
  request->deadline = intended + class_spec.request_class.deadline;
  const double delay_ms = static_cast<double>((clock_.now() - intended).count()) / 1000;
  send_delays_.push_back(static_cast<float>(delay_ms));
  current_second().worst_send_delay_ms = std::max(current_second().worst_send_delay_ms, delay_ms);
  if (delay_ms > abort_send_delay_ms) {
    add_event("the machine is too slow for this load: given up");
    gave_up_ = result_.too_slow = true;
    return;
  }
  ++result_.requests;
  ++current_second().asked;
  if (intended >= load_started_at_ + scenario_.warm_up) ++result_.classes[request->class_index].asked;
  send_request(request);
  const auto next = intended + Duration(static_cast<std::int64_t>(gap_seconds * microseconds_per_second));
  if (next < load_started_at_ + scenario_.run_time) timeline_.at(next, [this] { next_arrival(); });
}

std::optional<int> Rig::choose_gateway() {
  const auto weight = [](const Gateway& process) {
    return process.in_rotation || (process.terminating && !process.idle_clients.empty()) ? process.weight : 0;
  };
  double total_weight = 0;
  for (const auto& process : gateways_) total_weight += weight(process);
  double remainder = draw(fault_random_) * total_weight;
  for (std::size_t i = 0; i < gateways_.size(); ++i)
    if (weight(gateways_[i]) > 0 && (remainder -= gateways_[i].weight) < 0) return static_cast<int>(i);
  return std::nullopt;
}

ClientLink* Rig::take_idle_client(Gateway& process) {
  while (!process.idle_clients.empty()) {
    auto* link = process.idle_clients.back();
    process.idle_clients.pop_back();
    if (!link->closed() && !link->peer_closed()) return link;  // otherwise on_end() is about to remove it
  }
  return nullptr;
}

void Rig::send_request(const std::shared_ptr<Request>& request) {
  ClientAttempt attempt;
  attempt.request = request;
  attempt.sent_at = timeline_.now();
  std::optional<int> gateway;
  ClientLink* idle = nullptr;
  // A terminating gateway accepts no new connections, so only an idle one can be used.
  do {
    gateway = choose_gateway();
    idle = gateway ? take_idle_client(gateways_[static_cast<std::size_t>(*gateway)]) : nullptr;
  } while (gateway && !idle && !gateways_[static_cast<std::size_t>(*gateway)].in_rotation);
  if (!gateway || attempt.sent_at >= request->deadline) {
    on_answer(attempt, Answer::lost, {});
    return;
  }
  attempt.gateway = *gateway;
  char id[24];
  std::snprintf(id, sizeof id, "%016llx", static_cast<unsigned long long>(next_attempt_id_++));
  attempt.id = id;
  const auto& request_class = scenario_.classes[request->class_index].request_class;
  const bool write = request_class.freshness == Freshness::write;
  std::string sql = write ? "INSERT INTO records (k, v) VALUES ('" + request->key + "', '\\x9f') RETURNING v"
                          : "SELECT v FROM records WHERE k = '" + request->key + "'";
  sql +=
      " /* id=" + attempt.id + ",c=" + request_class.name + ",t=" + scenario_.tenants[request->tenant].name +
      ",d=" + std::to_string(std::max<std::int64_t>(1, (request->deadline - attempt.sent_at).count() / 1000));
  // Each attempt of a client has a deduplication key of its own.
  if (request_class.idempotency == Idempotency::keyed) sql += ",k=key-" + attempt.id;
  if (request->attempts > 0) sql += ",r=1";
  sql += ",cluster=" + std::to_string(request->group + 1) + " */";
  ++request->attempts;
  rules_->on_request(attempt.id, attempt.gateway, request->class_index, attempt.sent_at, request->deadline);
  open_attempts_[attempt.id] = attempt;
  timeline_.at(request->deadline + answer_grace, [this, id = attempt.id] { abandon(id); });
  if (scenario_.client_exit_share > 0) {
    const double exit_draw = draw(exit_random_);
    const double time_draw = draw(exit_random_);
    const auto delay = Duration(static_cast<std::int64_t>(
        time_draw * static_cast<double>((request->deadline - attempt.sent_at).count())));
    if (exit_draw < scenario_.client_exit_share)
      timeline_.after(delay, [this, id = attempt.id] { leave_early(id); });
  }
  if (idle) return idle->send_request(attempt, sql);
  constexpr bool is_probe = false;
  const auto& address = gateways_[static_cast<std::size_t>(*gateway)].listen_address;
  auto link = std::make_unique<ClientLink>(*this, address, *gateway, is_probe);
  auto* opened = link.get();
  clients_.push_back(std::move(link));
  opened->send_request(attempt, sql);
  if (opened->closed()) opened->shut_down();
}

void Rig::abandon(const std::string& id) {
  if (open_attempts_.count(id) == 0) return;
  for (const auto& client : clients_)
    if (client->waits_for(id)) return client->shut_down();
}

void Rig::leave_early(const std::string& id) {
  const auto it = open_attempts_.find(id);
  if (it == open_attempts_.end()) return;
  for (const auto& client : clients_) {
    if (!client->waits_for(id)) continue;
    const auto& request = *it->second.request;
    if (request.arrived_at >= load_started_at_ + scenario_.warm_up)
      ++result_.classes[request.class_index].client_left;
    rules_->on_client_exit(id, timeline_.now());
    open_attempts_.erase(it);
    return client->leave(static_cast<ClientLink::ClientExit>(exit_random_() % ClientLink::client_exit_count));
  }
}

void Rig::terminate_gateway(int gateway) {
  auto& process = gateways_[static_cast<std::size_t>(gateway)];
  const auto pid = process.pid;
  process.should_run = false;
  process.terminating = true;
  signal_gateway(gateway, SIGTERM);
  timeline_.after(term_rotation_delay, [this, gateway, pid] {
    auto& terminating = gateways_[static_cast<std::size_t>(gateway)];
    if (terminating.pid == pid || terminating.pid < 0) terminating.in_rotation = false;
  });
  timeline_.after(std::min(longest_deadline(scenario_), max_drain_time) + drain_margin, [this, gateway, pid] {
    auto& overdue = gateways_[static_cast<std::size_t>(gateway)];
    if (overdue.pid != pid && overdue.previous_pid != pid) return;
    if (signal_process(pid, SIGKILL)) add_event('g' + std::to_string(gateway) + " had not ended, killed");
  });
}

/// Clients learn late that a gateway is dead, and go on to send requests to it until then.
void Rig::on_not_accepted(const ClientAttempt& attempt) {
  if (rules_->reached_host(attempt.id) || attempt.request->redirects >= max_redirects)
    return on_answer(attempt, Answer::lost, {});
  rules_->forget(attempt.id);
  open_attempts_.erase(attempt.id);
  ++attempt.request->redirects;
  --attempt.request->attempts;
  // The first redirects are immediate; later ones pause, so that refused connections cause no busy loop.
  timeline_.after(
      attempt.request->redirects < immediate_redirects ? immediate_redirect_delay : later_redirect_delay,
      [this, request = attempt.request] { send_request(request); });
}

void Rig::on_answer(const ClientAttempt& attempt, Answer answer, Duration retry_after) {
  const auto now = timeline_.now();
  if (!attempt.id.empty()) {
    rules_->on_answer(attempt.id, answer, now);
    open_attempts_.erase(attempt.id);
  }
  const auto& request = *attempt.request;
  const auto& request_class = scenario_.classes[request.class_index].request_class;
  if (answer == Answer::refused && request.attempts < max_client_attempts) {
    const auto pause = retry_after > Duration::zero() ? retry_after : default_retry_delay;
    if (now + pause < request.deadline) {
      timeline_.after(pause, [this, request = attempt.request] { send_request(request); });
      return;
    }
  }
  const double latency_ms = static_cast<double>((now - request.arrived_at).count()) / 1000;
  auto& second = current_second();
  const bool in_time = answer == Answer::served && now - request.arrived_at <= request_class.latency_target;
  second.served += answer == Answer::served;
  second.in_time += in_time;
  second.refused += answer == Answer::refused;
  second.failed += answer == Answer::failed || answer == Answer::lost;
  if (answer == Answer::served) second.latencies_ms.push_back(static_cast<float>(latency_ms));
  if (request.arrived_at < load_started_at_ + scenario_.warm_up) return;
  auto& class_result = result_.classes[request.class_index];
  switch (answer) {
    case Answer::served:
      ++(in_time ? class_result.in_time : class_result.late);
      class_result.latencies_ms.push_back(static_cast<float>(latency_ms));
      break;
    case Answer::refused:
      ++class_result.refused;
      break;
    case Answer::failed:
      ++class_result.failed;
      break;
    case Answer::lost:
      ++class_result.lost;
      break;
  }
}

// ---- faults ----
std::vector<int> Rig::select_targets(const Target& target, std::uint64_t stream) const {
  std::vector<int> all;
  const auto includes = [&](int number) {
    return target.numbers.empty() ||
           std::find(target.numbers.begin(), target.numbers.end(), number) != target.numbers.end();
  };
  if (target.kind == Target::Kind::discovery) return {discovery_index};
  if (target.kind == Target::Kind::gateways) {
    for (int g = 0; g < scenario_.gateways; ++g)
      if (includes(g) &&
          (target.zone.empty() ||
           scenario_.zones[static_cast<std::size_t>(g) % scenario_.zones.size()] == target.zone))
        all.push_back(g);
  } else {
    for (std::size_t h = 0; h < hosts_.size(); ++h) {
      const auto& host = hosts_[h];
      if (!target.zone.empty() && host.model->zone() != target.zone) continue;
      const bool primary = host.group->primary() == host.model;
      if (target.kind == Target::Kind::primary ? primary && includes(host.group_index)
                                               : includes(static_cast<int>(h)))
        all.push_back(static_cast<int>(h));
    }
  }
  const auto count = static_cast<std::size_t>(
      std::ceil(target.share * static_cast<double>(all.size()) - rounding_tolerance));
  // Moves a random choice to the front.
  lab::Random random(scenario_.seed, first_target_stream + stream);
  for (std::size_t i = 0; i < count && i < all.size(); ++i)
    std::swap(all[i], all[i + static_cast<std::size_t>(draw(random) * static_cast<double>(all.size() - i))]);
  all.resize(std::min(count, all.size()));
  std::sort(all.begin(), all.end());
  return all;
}

void Rig::apply_fault(std::size_t index) {
  const auto& fault = scenario_.faults[index];
  const auto now = timeline_.now();
  const auto at_fault_end = [&](auto action) {
    if (fault.duration > Duration::zero()) timeline_.after(fault.duration, action);
  };
  // In the order of FaultKind.
  static constexpr const char* fault_texts[] = {"killed",
                                                "told to end",
                                                "stopped",
                                                "told of settings",
                                                "upgraded",
                                                "slow",
                                                "failing",
                                                "silent",
                                                "behind",
                                                "draining",
                                                "cut off",
                                                "delayed",
                                                "refusing",
                                                "breaking off",
                                                "spoiling answers",
                                                "up late",
                                                "closing early",
                                                "mute",
                                                "torn",
                                                "losing datagrams",
                                                "doubling datagrams",
                                                "out of order"};
  const auto targets = select_targets(fault.target, index * 2);
  std::string text;
  const char letter = fault.target.kind == Target::Kind::gateways ? 'g' : 'h';
  for (std::size_t i = 0; i < targets.size() && i < max_named_targets; ++i)
    text += (i ? ", " : "") +
            (targets[i] == discovery_index ? std::string("discovery") : letter + std::to_string(targets[i]));
  if (targets.size() > max_named_targets)
    text += " and " + std::to_string(targets.size() - max_named_targets) + " more";
  add_event(text + ' ' + fault_texts[static_cast<int>(fault.kind)]);
  // Calls `set` for each target now and `unset` at the end of the fault.
  const auto for_hosts = [&](auto set, auto unset) {
    for (const int h : targets) {
      set(h);
      at_fault_end([=] { unset(h); });
    }
  };
  const auto host = [this](int h) -> Host& { return hosts_[static_cast<std::size_t>(h)]; };
  switch (fault.kind) {
    case FaultKind::kill:
      for (const int target : targets) {
        if (fault.target.kind != Target::Kind::gateways) {
          stop_host(target);
          at_fault_end([this, target] {
            add_event('h' + std::to_string(target) + " started, cold");
            start_host(target);
          });
          continue;
        }
        auto& process = gateways_[static_cast<std::size_t>(target)];
        process.should_run = false;
        signal_gateway(target, SIGKILL);
        rules_->excuse_gateway(target, now - kill_excuse_before, now + kill_excuse_after);
        timeline_.after(scenario_.balancer_delay, [this, target] {
          auto& killed = gateways_[static_cast<std::size_t>(target)];
          if (!killed.should_run) killed.in_rotation = false;
        });
        at_fault_end([this, target] {
          auto& restarted = gateways_[static_cast<std::size_t>(target)];
          restarted.in_rotation = false;
          start_gateway(target, false);
        });
      }
      if (fault.target.kind == Target::Kind::gateways)
        at_fault_end([this] { add_event("those that were killed start again"); });
      break;
    case FaultKind::terminate:
      for (const int target : targets) {
        terminate_gateway(target);
        at_fault_end([this, target] { start_gateway(target, false); });
      }
      break;
    case FaultKind::pause:
      for (const int target : targets) {
        signal_gateway(target, SIGSTOP);
        rules_->excuse_gateway(
            target, now,
            now + (fault.duration > Duration::zero() ? fault.duration + resume_grace : rest_of_run));
        at_fault_end([this, target] { signal_gateway(target, SIGCONT); });
      }
      at_fault_end([this] { add_event("those that were stopped go on"); });
      break;
    case FaultKind::reload:
      for (const int target : targets) signal_gateway(target, SIGHUP);
      break;
    case FaultKind::upgrade:
      for (const int target : targets) {
        start_gateway(target, true);
        timeline_.after(upgrade_term_delay, [this, target] {
          const auto& process = gateways_[static_cast<std::size_t>(target)];
          signal_process(process.previous_pid, SIGTERM);
        });
      }
      break;
    case FaultKind::slow:
      for_hosts([&](int h) { host(h).slowdown = fault.factor; },
                [this](int h) { hosts_[static_cast<std::size_t>(h)].slowdown = 1; });
      break;
    case FaultKind::fail:
      for_hosts([&](int h) { host(h).failure_share = fault.factor; },
                [this](int h) { hosts_[static_cast<std::size_t>(h)].failure_share = 0; });
      break;
    case FaultKind::abort_request:
      for_hosts([&](int h) { host(h).abort_share = fault.factor; },
                [this](int h) { hosts_[static_cast<std::size_t>(h)].abort_share = 0; });
      break;
    case FaultKind::bad_answer:
      for_hosts([&](int h) { host(h).bad_answer_share = fault.factor; },
                [this](int h) { hosts_[static_cast<std::size_t>(h)].bad_answer_share = 0; });
      break;
    case FaultKind::slow_handshake:
      for_hosts([&](int h) { host(h).handshake_delay = from_ms(fault.factor); },
                [this](int h) { hosts_[static_cast<std::size_t>(h)].handshake_delay = {}; });
      break;
    case FaultKind::early_close:
      for_hosts([&](int h) { host(h).idle_timeout = from_ms(fault.factor); },
                [this](int h) { hosts_[static_cast<std::size_t>(h)].idle_timeout = {}; });
      break;
    case FaultKind::stall_discovery:
      for (auto* watch : discovery_links_) watch->stall();
      break;
    case FaultKind::truncate_list: {
      const auto watches = discovery_links_;  // a copy: closing a watch removes it
      for (auto* watch : watches) watch->truncate_list();
      break;
    }
    case FaultKind::lag:
      for_hosts([&](int h) { host(h).model->set_apply_slowdown(fault.factor); },
                [this](int h) { hosts_[static_cast<std::size_t>(h)].model->set_apply_slowdown(1); });
      break;
    case FaultKind::silent: {
      std::set<std::pair<int, int>> pairs;
      for (int g = 0; g < scenario_.gateways; ++g)
        for (const int h : targets) pairs.emplace(g, h);
      const auto set = [this, pairs, targets](bool silent) {
        for (const int h : targets)
          if (h != discovery_index)
            hosts_[static_cast<std::size_t>(h)].model->set_unresponsive(silent);
          else
            for (int g = 0; g < scenario_.gateways; ++g)
              link_fault(g, discovery_index) = {silent, silent, {}};
        update_links(pairs, false);
      };
      set(true);
      at_fault_end([set] { set(false); });
      break;
    }
    case FaultKind::drain:
      for_hosts(
          [&](int h) {
            host(h).draining = true;
            host(h).model->set_draining(true);
            on_list_change();
          },
          [this](int h) {
            auto& recovered = hosts_[static_cast<std::size_t>(h)];
            recovered.draining = false;
            recovered.model->set_draining(false);
            on_list_change();
          });
      break;
    case FaultKind::loss:
    case FaultKind::duplicate:
    case FaultKind::reorder:
    case FaultKind::cut:
    case FaultKind::delay: {
      if (fault.link_end.kind == Target::Kind::gateways) {
        const auto to = select_targets(fault.link_end, index * 2 + 1);
        set_peer_links(fault, targets, to, true);
        at_fault_end([this, fault, targets, to] {
          set_peer_links(fault, targets, to, false);
          add_event("links between gateways are whole again");
        });
        break;
      }
      std::set<std::pair<int, int>> pairs;
      for (const int g : targets)
        for (const int h : select_targets(fault.link_end, index * 2 + 1)) {
          LinkFault link;
          if (fault.kind == FaultKind::cut) {
            link.requests_cut = fault.forward;
            link.answers_cut = fault.reverse;
          } else {
            link.delay = from_ms(fault.factor);
          }
          link_fault(g, h) = link;
          pairs.emplace(g, h);
        }
      update_links(pairs, fault.reset);
      at_fault_end([this, pairs] {
        for (const auto& [g, h] : pairs) link_fault(g, h) = {};
        update_links(pairs, false);
        add_event("links are whole again");
      });
      break;
    }
    case FaultKind::refuse: {
      discovery_refuses_ = true;
      const auto watches = discovery_links_;  // a copy: closing a watch removes it
      for (auto* watch : watches) watch->shut_down(true);
      at_fault_end([this] { discovery_refuses_ = false; });
      break;
    }
  }
}

// ---- run ----
RunResult Rig::run() {
  ::mkdir(options_.out.c_str(), 0755);
  std::ofstream(options_.out + "/result.json") << "{\"complete\":false}\n";
  std::signal(SIGPIPE, SIG_IGN);
  const int host_count = scenario_.groups * scenario_.members;
  // For each gateway: its connections to hosts, its clients and discovery; plus the listeners. A gateway's
  // connections to hosts are estimated: one to each host, but at most the quarter of its descriptors that
  // broker::split_connections always leaves to hosts, after those that it keeps for itself.
  constexpr int gateway_reserved_descriptors = 48;
  constexpr int min_gateway_connections = 64;
  constexpr int guaranteed_host_divisor = 4;  // a gateway's connections over those always left to hosts
  constexpr int spare_descriptors = 200;
  const double needed_descriptors =
      static_cast<double>(scenario_.gateways) *
          std::min<double>(host_count, std::max(min_gateway_connections,
                                                scenario_.sockets - gateway_reserved_descriptors) /
                                           guaranteed_host_divisor) +
      full_load_rate(scenario_) * scenario_.load * std::max(1.0, scenario_.ramp) + scenario_.gateways * 2 +
      (host_count * scenario_.gateways > wildcard_listener_links ? host_count
                                                                 : host_count * scenario_.gateways) +
      spare_descriptors;
  rlimit files{};
  ::getrlimit(RLIMIT_NOFILE, &files);
  files.rlim_cur = files.rlim_max;
  ::setrlimit(RLIMIT_NOFILE, &files);
  if (needed_descriptors > static_cast<double>(files.rlim_max)) {
    result_.error = "needs " + std::to_string(static_cast<long>(needed_descriptors)) +
                    " descriptors, may have " + std::to_string(files.rlim_max);
    return std::move(result_);
  }
  constexpr std::size_t max_buffer_bytes = std::size_t{1} << 30U;  // of all connections of the rig
  broker::MessageMemory::set_limit(max_buffer_bytes);
  rules_.emplace(
      [&] {
        Limits limits;
        limits.warm_up_duration = scenario_.warm_up_duration;
        limits.cold_capacity_share = scenario_.cold_capacity_share;
        return limits;
      }(),
      class_rules(scenario_), timeline_.now());
  result_.classes.resize(scenario_.classes.size());
  // The network of this run, from the process id. Two runs at once may take the same network; the gateways of
  // the second then fail to listen on their control ports, and the run ends with an error.
  const auto network = "127." + std::to_string(20 + ::getpid() % 200);
  char path[PATH_MAX] = "";
  const std::string out = ::realpath(options_.out.c_str(), path) ? path : options_.out;
  options_.out = out;
  lab::Random weights(scenario_.seed, weight_stream);
  for (int g = 0; g < scenario_.gateways; ++g) {
    Gateway gateway;
    const auto number_in_block = std::to_string((g + 1) % addresses_per_block);
    const int block = (g + 1) / addresses_per_block;
    gateway.link_address = network + "." + std::to_string(block) + "." + number_in_block;
    gateway.listen_address =
        network + "." + std::to_string(client_block + block) + "." + number_in_block + ":7000";
    gateway.folder = out + "/g" + std::to_string(g);
    gateway.weight = 0.5 + draw(weights);  // from 0.5 to 1.5
    ::mkdir(gateway.folder.c_str(), 0755);
    gateways_.push_back(std::move(gateway));
  }
  hosts_.resize(static_cast<std::size_t>(host_count));
  for (int g = 0; g < scenario_.groups; ++g) {
    groups_.push_back(std::make_unique<lab::ReplicaGroup>(timeline_, GroupId{g + 1}));
    for (int m = 0; m < scenario_.members; ++m) {
      const int index = g * scenario_.members + m;
      auto& emulated_host = hosts_[static_cast<std::size_t>(index)];
      emulated_host.id = "h" + std::to_string(index);
      emulated_host.group = groups_.back().get();
      emulated_host.group_index = g;
      emulated_host.model = &emulated_host.group->add(
          HostId{static_cast<std::uint32_t>(index + 1)}, scenario_.host,
          scenario_.zones[static_cast<std::size_t>(g + m) % scenario_.zones.size()]);
    }
  }
  for (auto& emulated_host : hosts_) open_listeners(emulated_host);
  open_listeners(discovery_);
  if (scenario_.peer_links) {
    std::vector<Relay::Peer> peers;
    for (int g = 0; g < scenario_.gateways; ++g)
      peers.push_back({peer_address(g, false), peer_address(g, true)});
    relay_ =
        std::make_unique<Relay>(loop_, timeline_, scenario_.seed, std::move(peers), [this](int from, int to) {
          const auto it = peer_links_.find({from, to});
          return it == peer_links_.end() ? LinkState{} : it->second;
        });
    if (result_.error.empty()) result_.error = relay_->error();
  }
  if (!result_.error.empty()) return std::move(result_);
  prepare_.start();
  check_.start();
  const auto startup_began_at = clock_.now();
  timeline_.run_until(startup_began_at);
  for (int g = 0; g < scenario_.gateways; ++g) start_gateway(g, false);
  timeline_.after(
      process_poll_interval, [this] { reap_processes(); });
  const auto all_in_rotation = [this] {
    return std::all_of(gateways_.begin(), gateways_.end(),
                       [](const Gateway& process) { return process.in_rotation; });
  };
  while (!all_in_rotation() && clock_.now() - startup_began_at < startup_timeout && result_.error.empty() &&
         result_.crashes == 0)
    loop_.run(ev::ONCE);
  result_.startup_seconds = seconds(clock_.now() - startup_began_at);
  if (!all_in_rotation()) {
    if (result_.error.empty())
      result_.error = result_.crashes > 0 ? "a gateway exited at its start, see its log"
                                          : "not all gateways are ready in time";
    return std::move(result_);
  }
  advance();
  load_started_at_ = timeline_.now();
  running_ = true;
  result_.events.clear();
  const std::function<void()> each_second = [this, &each_second] {
    for (auto* watch : discovery_links_) watch->send_heartbeat();
    rules_->check_timeouts(timeline_.now());
    timeline_.after(std::chrono::seconds(1), each_second);
  };
  timeline_.after(std::chrono::seconds(1), each_second);
  if (options_.live)
    for (int i = 1; i <= static_cast<int>(scenario_.run_time.count() / 1'000'000); ++i)
      timeline_.after(std::chrono::seconds(i), [this, i] {
        const auto& second =
            result_.seconds[std::min(result_.seconds.size(), static_cast<std::size_t>(i)) - 1];
        std::printf(
            "%6d s  asked %5llu  in time %5llu  refused %4llu  failed %4llu\n", i,
            static_cast<unsigned long long>(second.asked), static_cast<unsigned long long>(second.in_time),
            static_cast<unsigned long long>(second.refused), static_cast<unsigned long long>(second.failed));
        std::fflush(stdout);
      });
  for (std::size_t f = 0; f < scenario_.faults.size(); ++f)
    timeline_.after(scenario_.faults[f].at, [this, f] { apply_fault(f); });
  next_arrival();
  const auto end = load_started_at_ + scenario_.run_time;
  while (clock_.now() < end && !gave_up_) loop_.run(ev::ONCE);
  // Waits for open requests until their deadlines, plus a margin for a delayed event loop.
  const auto last_answer_by = end + longest_deadline(scenario_) + std::chrono::seconds(2);
  while (!open_attempts_.empty() && !gave_up_ && clock_.now() < last_answer_by) loop_.run(ev::ONCE);
  running_ = false;
  // From this far ahead every time limit has passed: each request without an answer is reported.
  if (!gave_up_) rules_->check_timeouts(timeline_.now() + rest_of_run);
  stopping_ = true;
  for (int g = 0; g < scenario_.gateways; ++g) {
    signal_gateway(g, SIGCONT);
    signal_gateway(g, SIGTERM);
  }
  const auto any_process_left = [this] {
    return std::any_of(gateways_.begin(), gateways_.end(),
                       [](const Gateway& process) { return process.pid > 0 || process.previous_pid > 0; });
  };
  for (const auto until = clock_.now() + stop_timeout; any_process_left() && clock_.now() < until;) {
    timeline_.after(process_poll_interval, [] {});  // ends the wait of the loop
    loop_.run(ev::ONCE);
    reap_processes();
  }
  prepare_.stop();
  check_.stop();
  timer_.stop();
  summarize();
  return std::move(result_);
}

void Rig::summarize() {
  result_.violation_count = rules_->violation_count();
  result_.violations = rules_->violations();
  double possible_value = 0;
  double earned_value = 0;
  for (std::size_t i = 0; i < scenario_.classes.size(); ++i) {
    const auto& request_class = scenario_.classes[i].request_class;
    const auto& class_result = result_.classes[i];
    possible_value += request_class.value * static_cast<double>(class_result.asked);
    earned_value += request_class.value * (static_cast<double>(class_result.in_time) +
                                           request_class.late_value * static_cast<double>(class_result.late));
  }
  result_.value_served = possible_value > 0 ? earned_value / possible_value : 0;
  for (auto& second : result_.seconds) second.p99_ms = quantile(second.latencies_ms, 0.99);
  result_.send_delay_p99_ms = quantile(send_delays_, 0.99);
  const auto delayed = std::count_if(send_delays_.begin(), send_delays_.end(),
                                     [](float delay_ms) { return delay_ms > max_send_delay_ms; });
  result_.too_slow = result_.too_slow || static_cast<double>(delayed) >
                                             max_delayed_share * static_cast<double>(send_delays_.size());
}

}  // namespace cedarring::rig

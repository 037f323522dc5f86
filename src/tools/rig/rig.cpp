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

constexpr Duration ready_within = std::chrono::seconds(20);  // all gateways, from the start
constexpr Duration upgrade_binds =
    std::chrono::milliseconds(2500);  // after the start of the second process: 2 s after its yes
constexpr Duration upgrade_after = std::chrono::seconds(1);  // the old process is told to end
constexpr Duration patience =
    std::chrono::milliseconds(100);  // of a client, behind its deadline: an answer may be on its way
constexpr Duration stood_still =
    std::chrono::milliseconds(25);  // behind what was due: the machine is too busy to judge times
constexpr Duration settle =
    std::chrono::milliseconds(500);      // a gateway that was stopped sees to what has waited
constexpr double lateness_most_ms = 20;  // of the rig's own sends; later ones spoil the figures
constexpr double lateness_hopeless_ms = 2000;
constexpr double late_share_most = 0.01;
constexpr int wildcard_from = 2000;  // links from which a host has one listener for all of them

double draw(lab::Random& r) { return boost::random::uniform_01<double>()(r); }

/// A listener at all of this machine's loopback addresses and at no other.
wire::Fd listen_on_loopback(int port) {
  wire::Fd fd(::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0));
  const int one = 1;
  ::setsockopt(fd.get(), SOL_SOCKET, SO_REUSEADDR, &one, sizeof one);
  if (::setsockopt(fd.get(), SOL_SOCKET, SO_BINDTODEVICE, "lo", 3) != 0) return wire::Fd();
  sockaddr_in at{};
  at.sin_family = AF_INET, at.sin_port = htons(static_cast<std::uint16_t>(port));
  if (::bind(fd.get(), reinterpret_cast<sockaddr*>(&at), sizeof at) != 0 || ::listen(fd.get(), 1024) != 0)
    return wire::Fd();
  return fd;
}

int port_of(const wire::Fd& fd) {
  const auto at = wire::bound_address(fd);
  return std::atoi(at.substr(at.rfind(':') + 1).c_str());
}

std::vector<ClassRule> class_rules(const Scenario& s) {
  std::vector<ClassRule> all;
  for (const auto& k : s.classes)
    all.push_back({k.request_class.idempotency, k.request_class.dedup_scope, k.request_class.dedup_window,
                   k.request_class.freshness, k.request_class.staleness_bound});
  return all;
}

}  // namespace

Rig::Rig(Scenario scenario, Options options)
    : s_(std::move(scenario)),
      o_(std::move(options)),
      timeline_(clock_.now()),
      reaper_(loop_),
      prepare_(loop_),
      check_(loop_),
      due_(loop_),
      arrivals_(s_.seed, 1),
      draws_(s_.seed, 2),
      leaving_(s_.seed, 4) {
  prepare_.set<Rig, &Rig::before_blocking>(this);
  check_.set<Rig, &Rig::after_blocking>(this);
  check_.priority = EV_MAXPRI;
  due_.set<Rig, &Rig::due>(this);
}

Rig::~Rig() {
  for (auto& g : gateways_)
    for (const pid_t pid : {g.pid, g.before})
      if (pid > 0) ::kill(pid, SIGKILL), ::waitpid(pid, nullptr, 0);
  while (!host_links_.empty()) host_links_.begin()->second->drop(true);
  while (!watches_.empty()) watches_.back()->drop(true);
}

// ---- the clock ----
void Rig::advance() {
  const auto now = clock_.now();
  if (const auto due = timeline_.next_due(); due && rules_ && now - *due > stood_still)
    rules_->stood_still(*due, now + stood_still);
  timeline_.run_until(now);
}

void Rig::before_blocking(ev::prepare&, int) {
  advance();
  due_.stop();
  if (const auto next = timeline_.next_due())
    due_.start(std::max(0.0, static_cast<double>((*next - clock_.now()).count()) / 1e6));
}

double Rig::seconds_in() const { return static_cast<double>((timeline_.now() - begun_).count()) / 1e6; }

Second& Rig::second() {
  const auto at = static_cast<std::size_t>(std::clamp(seconds_in(), 0.0, 3600.0));
  while (result_.seconds.size() <= at) {
    result_.seconds.emplace_back();
    result_.seconds.back().by_host.resize(hosts_.size());
  }
  return result_.seconds[at];
}

void Rig::mark(const std::string& what) {
  result_.marks.push_back({seconds_in(), what});
  if (o_.live) std::printf("%6.1f s  %s\n", seconds_in(), what.c_str()), std::fflush(stdout);
}

// ---- hosts and discovery ----
void Rig::listen(Host& h) {
  const bool wildcard = static_cast<int>(hosts_.size()) * s_.gateways > wildcard_from;
  const auto many = wildcard ? 1 : gateways_.size();
  const bool again = !h.ports.empty();
  for (std::size_t i = 0; i < many; ++i) {
    const int port = again ? h.ports[i] : 0;
    auto fd = wildcard ? listen_on_loopback(port)
                       : wire::listen_on(gateways_[i].links + ':' + std::to_string(port));
    if (fd.get() < 0) {
      result_.error = std::string("no listener: ") + std::strerror(errno);
      return;
    }
    if (!again) h.ports.push_back(port_of(fd));
    auto io = std::make_unique<ev::io>(loop_);
    io->set<Rig, &Rig::incoming>(this);
    io->start(fd.get(), ev::READ);
    accepting_[io.get()] = &h == &discovery_ ? -1 : static_cast<int>(&h - hosts_.data());
    h.accepts.push_back(std::move(io));
    h.listeners.push_back(std::move(fd));
  }
}

int Rig::gateway_of(int fd) const {
  sockaddr_in at{};
  socklen_t size = sizeof at;
  ::getsockname(fd, reinterpret_cast<sockaddr*>(&at), &size);
  const auto low = ntohl(at.sin_addr.s_addr) & 0xffffU;
  const int g = static_cast<int>((low >> 8U) * 250 + (low & 0xffU)) - 1;
  return g >= 0 && g < s_.gateways ? g : -1;
}

void Rig::incoming(ev::io& watcher, int) {
  const auto it = accepting_.find(&watcher);
  if (it == accepting_.end()) return;
  for (int i = 0; i < 64; ++i) {
    auto fd = wire::accept_from(watcher.fd);
    if (fd.get() < 0) {
      if ((errno == EMFILE || errno == ENFILE) && !std::exchange(result_.too_slow, true))
        mark("out of descriptors");
      return;
    }
    const int g = gateway_of(fd.get());
    if (g < 0) continue;
    if (it->second < 0) {
      watches_.push_back(new DiscoveryLink(*this, std::move(fd), g));
      continue;
    }
    const auto number = next_link_++;
    host_links_[number] = new HostLink(*this, std::move(fd), number, g, it->second);
  }
}

const Rig::Trouble& Rig::trouble_of(int gateway, int host) const {
  static const Trouble none;
  const auto it = troubles_.find({gateway, host});
  return it == troubles_.end() ? none : it->second;
}

/// The list as discovery tells it to one gateway: each host at that gateway's own address.
std::string Rig::list_for(int gateway) {
  broker::MemberList l;
  l.version = version_, l.full = true;
  for (std::size_t i = 0; i < hosts_.size(); ++i) {
    const auto& h = hosts_[i];
    if (h.gone) continue;
    broker::Member m;
    m.id = h.id;
    m.address =
        gateways_[static_cast<std::size_t>(gateway)].links + ':' + std::to_string(h.port_for(gateway));
    m.zone = h.model->zone(), m.group = h.group->id();
    m.state = h.draining ? HostState::draining : HostState::ready;
    m.primary = h.group->primary() == h.model;
    if (h.model->started_at() > Time{}) m.started_at = h.model->started_at();
    l.members.push_back(m);
  }
  return wire::members_json(l);
}

/// Where the link to discovery is slow, that gateway has an older list than others meanwhile.
void Rig::tell(int gateway) {
  const auto& t = trouble_of(gateway, -1);
  if (t.back) return;
  if (t.delay > Duration::zero())
    timeline_.after(t.delay, [this, gateway] { tell_now(gateway); });
  else
    tell_now(gateway);
}

void Rig::tell_now(int gateway) {
  if (trouble_of(gateway, -1).back) return;
  const auto list = list_for(gateway);
  bool any = false;
  for (auto* w : watches_)
    if (w->gateway() == gateway) any = w->tell(list) || any;
  if (any) counts_as_told(gateway);
}

void Rig::counts_as_told(int gateway) {
  for (std::size_t i = 0; i < hosts_.size(); ++i)
    rules_->told(gateway, static_cast<int>(i), !hosts_[i].gone && !hosts_[i].draining, timeline_.now());
}

void Rig::list_changed() {
  timeline_.after(
      s_.list_late,
      [this] {
        ++version_;
        for (int g = 0; g < s_.gateways; ++g) tell(g);
      });
}

void Rig::stop_host(int host) {
  auto& h = hosts_[static_cast<std::size_t>(host)];
  if (!h.model->alive()) return;
  for (auto& io : h.accepts) accepting_.erase(io.get());
  h.accepts.clear(), h.listeners.clear();
  if (h.group->primary() == h.model) {
    h.group->fail_primary(
        s_.takeover,
        [this](lab::HostModel&) {
          mark("a group has a primary again");
          list_changed();
        });
  } else {
    h.model->crash();
  }
  std::vector<HostLink*> all;
  for (const auto& [n, link] : host_links_)
    if (link->host() == host) all.push_back(link);
  for (auto* link : all) link->drop(true);
  h.gone = true;
  list_changed();
}

void Rig::start_host(int host) {
  auto& h = hosts_[static_cast<std::size_t>(host)];
  if (h.model->alive()) return;
  h.model->start(s_.cold, s_.cold_from);
  h.gone = h.draining = false;
  rules_->started(host, h.model->spec().cores * h.model->spec().speed, timeline_.now());
  listen(h);
  list_changed();
}

/// One look at all links: there are thousands, and a cut of zones is thousands of pairs.
void Rig::see_to(const std::set<std::pair<int, int>>& pairs, bool with_reset) {
  std::vector<HostLink*> links;
  for (const auto& [n, link] : host_links_)
    if (pairs.count({link->gateway(), link->host()}) > 0) links.push_back(link);
  for (auto* link : links) with_reset ? link->drop(true) : link->troubled();
  std::vector<DiscoveryLink*> watches;
  for (auto* w : watches_)
    if (pairs.count({w->gateway(), -1}) > 0) watches.push_back(w);
  for (auto* w : watches) with_reset ? w->drop(true) : w->troubled();
}

void Rig::see_ends(const std::string& id) {
  const auto it = working_.find(id);
  if (it == working_.end()) return;
  const auto links = it->second;
  for (auto* link : links)
    if (link->ended_there()) link->drop(false);
}

// ---- between gateways ----
std::string Rig::peer_address(int gateway, bool shown) const {
  const auto& links = gateways_[static_cast<std::size_t>(gateway)].links;
  const auto net = links.substr(0, links.find('.', 4));
  const int n = gateway + 1;
  return net + "." + std::to_string((shown ? 200 : 150) + n / 250) + "." + std::to_string(n % 250) + ":7100";
}

void Rig::set_ways(const Fault& f, const std::vector<int>& from, const std::vector<int>& to, bool on) {
  const auto set = [&](int a, int b) {
    auto& w = ways_[{a, b}];
    switch (f.what) {
      case Do::cut:
        w.cut = on;
        break;
      case Do::delay:
        w.delay = on ? Duration(static_cast<std::int64_t>(f.factor * 1000)) : Duration{};
        break;
      case Do::loss:
        w.loss = on ? f.factor : 0;
        break;
      case Do::twice:
        w.twice = on ? f.factor : 0;
        break;
      default:
        w.late = on ? f.factor : 0;
    }
    if (w.clear()) ways_.erase({a, b});
  };
  for (const int a : from)
    for (const int b : to) {
      if (a == b) continue;
      if (f.there) set(a, b);
      if (f.back) set(b, a);
      if (on && f.reset) relay_->reset(a, b);
    }
  relay_->changed();
}

// ---- processes ----
void Rig::start(int gateway, bool upgrade) {
  auto& g = gateways_[static_cast<std::size_t>(gateway)];
  const auto low = "." + std::to_string((gateway + 1) / 250) + "." + std::to_string((gateway + 1) % 250);
  const auto net = g.links.substr(0, g.links.find('.', 4));
  // A door of its own for each process: two may run at once.
  const auto control = net + "." + std::to_string(100 + (gateway + 1) / 250) + low.substr(low.rfind('.')) +
                       ":" + std::to_string(7001 + g.starts++ % 900);
  std::ofstream(g.dir + "/config.json")
      << gateway_config(s_, gateway, g.listen, control,
                        g.links + ':' + std::to_string(discovery_.port_for(gateway)), list_for(gateway));
  std::vector<std::pair<std::string, std::string>> variables = {{"ROUTER_CONFIG", g.dir + "/config.json"},
                                                                {"TMPDIR", g.dir}};
  if (!s_.gateway_file.empty()) {
    auto file = s_.gateway_file;
    const auto put = [&](const std::string& what, const std::string& with) {
      for (auto at = file.find(what); at != std::string::npos; at = file.find(what, at + with.size()))
        file.replace(at, what.size(), with);
    };
    std::string seeds;
    for (int i = 0; i < std::min(3, s_.gateways); ++i)
      seeds += (i ? ",\"" : "\"") + peer_address(i, true) + '"';
    put("\"@SEEDS@\"", '[' + seeds + ']');
    put("@REAL@", peer_address(gateway, false)), put("@SHOWN@", peer_address(gateway, true));
    std::ofstream(g.dir + "/gateway.json") << file;
    variables.emplace_back("CEDARRING_GATEWAY", g.dir + "/gateway.json");
  }
  if (upgrade || g.pid > 0) g.before = g.pid;  // one that is told to end may not have yet
  g.ending = false, g.in = g.in && upgrade;
  g.pid = start_program(o_.gateway, variables, o_.out + "/g" + std::to_string(gateway) + ".log");
  g.wanted = true;
  if (g.pid < 0) result_.error = "the gateway cannot be started";
  if (upgrade) return rules_->upgraded(gateway, timeline_.now() + upgrade_binds);
  rules_->anew(gateway);
  probe(gateway);
}

/// The front takes a gateway in once it has answered an empty query.
void Rig::probe(int gateway) {
  auto& g = gateways_[static_cast<std::size_t>(gateway)];
  if (g.in || !g.wanted || stopping_) return;
  auto link = std::make_unique<ClientLink>(*this, g.listen, gateway, true);
  if (!link->closed()) clients_.push_back(std::move(link));
  timeline_.after(std::chrono::milliseconds(50), [this, gateway] { probe(gateway); });
}

void Rig::signal(int gateway, int number) {
  const auto& g = gateways_[static_cast<std::size_t>(gateway)];
  if (g.pid > 0) ::kill(g.pid, number);
}

void Rig::watch_processes() {
  for (int i = 0; i < s_.gateways; ++i) {
    auto& g = gateways_[static_cast<std::size_t>(i)];
    int status = 0;
    rusage used{};
    const auto note = [&] {
      result_.gateways_cpu_s += static_cast<double>(used.ru_utime.tv_sec + used.ru_stime.tv_sec) +
                                static_cast<double>(used.ru_utime.tv_usec + used.ru_stime.tv_usec) / 1e6;
      result_.gateways_mb += static_cast<double>(used.ru_maxrss) / 1024;
    };
    if (g.before > 0 && ::wait4(g.before, &status, WNOHANG, &used) == g.before) {
      g.before = -1, note();
      if (!WIFEXITED(status) || WEXITSTATUS(status) != 0)
        ++result_.crashes, mark("g" + std::to_string(i) + " has crashed");
    }
    if (g.pid > 0 && ::wait4(g.pid, &status, WNOHANG, &used) == g.pid) {
      g.pid = -1, note();
      if (g.wanted && !stopping_) {
        ++result_.crashes, mark("g" + std::to_string(i) + " has crashed");
        rules_->harmed(i, timeline_.now(), timeline_.now() + std::chrono::hours(1));
        g.in = false;
      }
    }
  }
  if (!stopping_) timeline_.after(std::chrono::milliseconds(20), [this] { watch_processes(); });
}

// ---- clients ----
/// Arrivals wait for nobody: each draws the next one, and all that belongs to it, before it is sent.
void Rig::arrive() {
  const double in = seconds_in(), all = static_cast<double>(s_.length.count()) / 1e6;
  const double rate = full_rate(s_) * s_.load * (1 + (s_.ramp - 1) * in / all);
  const auto intended = timeline_.now();
  const auto gap = boost::random::exponential_distribution<double>(rate)(arrivals_);
  auto r = std::make_shared<Request>();
  double shares = 0;
  for (const auto& k : s_.classes) shares += k.share;
  double pick = draw(arrivals_) * shares;
  while (r->cls + 1 < s_.classes.size() && (pick -= s_.classes[r->cls].share) >= 0) ++r->cls;
  pick = draw(arrivals_);
  while (r->tenant + 1 < s_.tenants.size() && (pick -= s_.tenants[r->tenant].share) >= 0) ++r->tenant;
  const auto& k = s_.classes[r->cls];
  r->group = static_cast<int>(draw(arrivals_) * s_.groups);
  r->key = std::to_string(static_cast<int>(draw(arrivals_) * 5000));
  r->work = k.min_work + Duration(static_cast<std::int64_t>(
                             static_cast<double>((k.max_work - k.min_work).count()) * draw(arrivals_)));
  r->asked = intended, r->deadline = intended + k.request_class.deadline;
  const double late = static_cast<double>((clock_.now() - intended).count()) / 1000;
  lateness_.push_back(static_cast<float>(late));
  second().worst_lateness_ms = std::max(second().worst_lateness_ms, late);
  if (late > lateness_hopeless_ms) {
    mark("the machine is too slow for this load: given up");
    gave_up_ = result_.too_slow = true;
    return;
  }
  ++result_.requests, ++second().asked;
  if (intended >= begun_ + s_.warm_up) ++result_.classes[r->cls].asked;
  ask(r);
  if (intended + Duration(static_cast<std::int64_t>(gap * 1e6)) < begun_ + s_.length)
    timeline_.at(intended + Duration(static_cast<std::int64_t>(gap * 1e6)), [this] { arrive(); });
}

std::optional<int> Rig::choose() {
  const auto weight = [](const Gateway& g) { return g.in || (g.ending && !g.idle.empty()) ? g.weight : 0; };
  double all = 0;
  for (const auto& g : gateways_) all += weight(g);
  double at = draw(draws_) * all;
  for (std::size_t i = 0; i < gateways_.size(); ++i)
    if (weight(gateways_[i]) > 0 && (at -= gateways_[i].weight) < 0) return static_cast<int>(i);
  return std::nullopt;
}

ClientLink* Rig::idle_of(Gateway& g) {
  while (!g.idle.empty()) {
    auto* link = g.idle.back();
    g.idle.pop_back();
    if (!link->closed() && !link->ended_there()) return link;  // else its end is on its way
  }
  return nullptr;
}

void Rig::ask(const std::shared_ptr<Request>& r) {
  Try t;
  t.request = r, t.sent = timeline_.now();
  std::optional<int> g;
  ClientLink* idle = nullptr;
  // One that is ending has only the connections that are left of it.
  do {
    g = choose();
    idle = g ? idle_of(gateways_[static_cast<std::size_t>(*g)]) : nullptr;
  } while (g && !idle && !gateways_[static_cast<std::size_t>(*g)].in);
  if (!g || t.sent >= r->deadline) {
    answered(t, Answer::lost, {});
    return;
  }
  t.gateway = *g;
  char id[24];
  std::snprintf(id, sizeof id, "%016llx", static_cast<unsigned long long>(next_id_++));
  t.id = id;
  const auto& k = s_.classes[r->cls].request_class;
  const bool write = k.freshness == Freshness::write;
  std::string sql = write ? "INSERT INTO records (k, v) VALUES ('" + r->key + "', '\\x9f') RETURNING v"
                          : "SELECT v FROM records WHERE k = '" + r->key + "'";
  sql += " /* id=" + t.id + ",c=" + k.name + ",t=" + s_.tenants[r->tenant].name +
         ",d=" + std::to_string(std::max<std::int64_t>(1, (r->deadline - t.sent).count() / 1000));
  if (k.idempotency == Idempotency::keyed) sql += ",k=key-" + t.id;
  if (r->tries > 0) sql += ",r=1";
  sql += ",cluster=" + std::to_string(r->group + 1) + " */";
  ++r->tries;
  rules_->asked(t.id, t.gateway, r->cls, t.sent, r->deadline);
  tries_[t.id] = t;
  timeline_.at(r->deadline + patience, [this, id = t.id] { leave(id); });
  if (s_.leaving > 0) {
    const double whether = draw(leaving_), when = draw(leaving_);
    const auto in =
        Duration(static_cast<std::int64_t>(when * static_cast<double>((r->deadline - t.sent).count())));
    if (whether < s_.leaving) timeline_.after(in, [this, id = t.id] { give_up(id); });
  }
  if (idle) return idle->ask(t, sql);
  auto link = std::make_unique<ClientLink>(*this, gateways_[static_cast<std::size_t>(*g)].listen, *g, false);
  auto* raw = link.get();
  clients_.push_back(std::move(link));
  raw->ask(t, sql);
  if (raw->closed()) raw->drop();
}

/// Its client waits no longer: it closes the connection.
void Rig::leave(const std::string& id) {
  if (tries_.count(id) == 0) return;
  for (const auto& c : clients_)
    if (c->asks(id)) return c->drop();
}

/// Its client leaves before its time is up, in each of the ways there are.
void Rig::give_up(const std::string& id) {
  const auto it = tries_.find(id);
  if (it == tries_.end()) return;
  for (const auto& c : clients_) {
    if (!c->asks(id)) continue;
    const auto& r = *it->second.request;
    if (r.asked >= begun_ + s_.warm_up) ++result_.classes[r.cls].left;
    rules_->left(id, timeline_.now());
    tries_.erase(it);
    return c->go(static_cast<ClientLink::Way>(leaving_() % 4));
  }
}

/// Told to end; what it has not ended by the time that PROTOCOL gives is lost.
void Rig::end(int n) {
  auto& g = gateways_[static_cast<std::size_t>(n)];
  Duration longest{};
  for (const auto& k : s_.classes) longest = std::max(longest, k.request_class.deadline);
  const auto pid = g.pid;
  g.wanted = false, g.ending = true;
  signal(n, SIGTERM);
  timeline_.after(std::chrono::milliseconds(300), [this, n, pid] {
    auto& ends = gateways_[static_cast<std::size_t>(n)];
    if (ends.pid == pid || ends.pid < 0) ends.in = false;
  });
  timeline_.after(std::min(longest, Duration(std::chrono::seconds(3))) + std::chrono::milliseconds(700),
                  [this, n, pid] {
                    auto& late = gateways_[static_cast<std::size_t>(n)];
                    if (late.pid != pid && late.before != pid) return;
                    mark('g' + std::to_string(n) + " had not ended, killed");
                    ::kill(pid, SIGKILL);
                  });
}

/// Its gateway never read it: it goes to another, once a connection. Who sent it there hears of a death late.
void Rig::not_taken(const Try& t) {
  if (rules_->seen(t.id) || t.request->moves >= 20) return answered(t, Answer::lost, {});
  rules_->withdrawn(t.id);
  tries_.erase(t.id);
  ++t.request->moves, --t.request->tries;
  // Refused at once it is tried elsewhere at once, yet not in a circle without a pause.
  timeline_.after(t.request->moves < 4 ? Duration(1000) : Duration(50'000),
                  [this, r = t.request] { ask(r); });
}

void Rig::answered(const Try& t, Answer answer, Duration pause) {
  const auto now = timeline_.now();
  if (!t.id.empty()) {
    rules_->answered(t.id, answer, now);
    tries_.erase(t.id);
  }
  const auto& r = *t.request;
  const auto& k = s_.classes[r.cls].request_class;
  if (answer == Answer::refused && r.tries < 2) {
    const auto wait = pause > Duration::zero() ? pause : Duration(200'000);
    if (now + wait < r.deadline) {
      timeline_.after(wait, [this, request = t.request] { ask(request); });
      return;
    }
  }
  const double ms = static_cast<double>((now - r.asked).count()) / 1000;
  auto& sec = second();
  const bool in_time = answer == Answer::served && now - r.asked <= k.latency_target;
  sec.served += answer == Answer::served, sec.in_time += in_time, sec.refused += answer == Answer::refused;
  sec.failed += answer == Answer::failed || answer == Answer::lost;
  if (answer == Answer::served) sec.ms.push_back(static_cast<float>(ms));
  if (r.asked < begun_ + s_.warm_up) return;
  auto& c = result_.classes[r.cls];
  switch (answer) {
    case Answer::served:
      ++(in_time ? c.in_time : c.late), c.ms.push_back(static_cast<float>(ms));
      break;
    case Answer::refused:
      ++c.refused;
      break;
    case Answer::failed:
      ++c.failed;
      break;
    case Answer::lost:
      ++c.lost;
      break;
  }
}

// ---- faults ----
std::vector<int> Rig::picked(const Pick& p, std::uint64_t stream) const {
  std::vector<int> all;
  const auto has = [&](int n) {
    return p.numbers.empty() || std::find(p.numbers.begin(), p.numbers.end(), n) != p.numbers.end();
  };
  if (p.kind == Pick::Kind::discovery) return {-1};
  if (p.kind == Pick::Kind::gateways) {
    for (int g = 0; g < s_.gateways; ++g)
      if (has(g) && (p.zone.empty() || s_.zones[static_cast<std::size_t>(g) % s_.zones.size()] == p.zone))
        all.push_back(g);
  } else {
    for (std::size_t h = 0; h < hosts_.size(); ++h) {
      const auto& host = hosts_[h];
      if (!p.zone.empty() && host.model->zone() != p.zone) continue;
      const bool primary = host.group->primary() == host.model;
      if (p.kind == Pick::Kind::primary ? primary && has(host.group_at) : has(static_cast<int>(h)))
        all.push_back(static_cast<int>(h));
    }
  }
  const auto many = static_cast<std::size_t>(std::ceil(p.share * static_cast<double>(all.size()) - 1e-9));
  lab::Random order(s_.seed, 100 + stream);
  for (std::size_t i = 0; i < many && i < all.size(); ++i)
    std::swap(all[i], all[i + static_cast<std::size_t>(draw(order) * static_cast<double>(all.size() - i))]);
  all.resize(std::min(many, all.size()));
  std::sort(all.begin(), all.end());
  return all;
}

void Rig::apply(std::size_t number) {
  const auto& f = s_.faults[number];
  const auto now = timeline_.now();
  const auto later = [&](auto what) {
    if (f.lasts > Duration::zero()) timeline_.after(f.lasts, what);
  };
  static constexpr const char* words[] = {"killed",
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
  const auto on = picked(f.on, number * 2);
  std::string text;
  const char letter = f.on.kind == Pick::Kind::gateways ? 'g' : 'h';
  for (std::size_t i = 0; i < on.size() && i < 4; ++i)
    text += (i ? ", " : "") + (on[i] < 0 ? std::string("discovery") : letter + std::to_string(on[i]));
  if (on.size() > 4) text += " and " + std::to_string(on.size() - 4) + " more";
  mark(text + ' ' + words[static_cast<int>(f.what)]);
  const auto hosts = [&](auto set, auto unset) {
    for (const int h : on) {
      set(h);
      later([=] { unset(h); });
    }
  };
  const auto host = [this](int h) -> Host& { return hosts_[static_cast<std::size_t>(h)]; };
  switch (f.what) {
    case Do::kill:
      for (const int n : on) {
        if (f.on.kind != Pick::Kind::gateways) {
          stop_host(n);
          later([this, n] { mark('h' + std::to_string(n) + " started, cold"), start_host(n); });
          continue;
        }
        auto& g = gateways_[static_cast<std::size_t>(n)];
        g.wanted = false;
        signal(n, SIGKILL);
        rules_->harmed(n, now - std::chrono::milliseconds(1), now + std::chrono::milliseconds(200));
        timeline_.after(s_.front_late, [this, n] {
          auto& dead = gateways_[static_cast<std::size_t>(n)];
          if (!dead.wanted) dead.in = false;
        });
        later([this, n] {
          auto& again = gateways_[static_cast<std::size_t>(n)];
          again.in = false;
          start(n, false);
        });
      }
      if (f.on.kind == Pick::Kind::gateways) later([this] { mark("those that were killed start again"); });
      break;
    case Do::term:
      for (const int n : on) {
        end(n);
        later([this, n] { start(n, false); });
      }
      break;
    case Do::stop:
      for (const int n : on) {
        signal(n, SIGSTOP);
        rules_->harmed(
            n, now, now + (f.lasts > Duration::zero() ? f.lasts + settle : Duration(std::chrono::hours(1))));
        later([this, n] { signal(n, SIGCONT); });
      }
      later([this] { mark("those that were stopped go on"); });
      break;
    case Do::hup:
      for (const int n : on) signal(n, SIGHUP);
      break;
    case Do::upgrade:
      for (const int n : on) {
        start(n, true);
        timeline_.after(upgrade_after, [this, n] {
          const auto& g = gateways_[static_cast<std::size_t>(n)];
          if (g.before > 0) ::kill(g.before, SIGTERM);
        });
      }
      break;
    case Do::slow:
      hosts([&](int h) { host(h).slow = f.factor; },
            [this](int h) { hosts_[static_cast<std::size_t>(h)].slow = 1; });
      break;
    case Do::fail:
      hosts([&](int h) { host(h).fail = f.factor; },
            [this](int h) { hosts_[static_cast<std::size_t>(h)].fail = 0; });
      break;
    case Do::break_off:
      hosts([&](int h) { host(h).break_off = f.factor; },
            [this](int h) { hosts_[static_cast<std::size_t>(h)].break_off = 0; });
      break;
    case Do::spoil:
      hosts([&](int h) { host(h).spoil = f.factor; },
            [this](int h) { hosts_[static_cast<std::size_t>(h)].spoil = 0; });
      break;
    case Do::late:
      hosts([&](int h) { host(h).late = Duration(static_cast<std::int64_t>(f.factor * 1000)); },
            [this](int h) { hosts_[static_cast<std::size_t>(h)].late = {}; });
      break;
    case Do::hurry:
      hosts([&](int h) { host(h).hurry = Duration(static_cast<std::int64_t>(f.factor * 1000)); },
            [this](int h) { hosts_[static_cast<std::size_t>(h)].hurry = {}; });
      break;
    case Do::mute:
      for (auto* w : watches_) w->mute();
      break;
    case Do::tear: {
      const auto all = watches_;
      for (auto* w : all) w->tear();
      break;
    }
    case Do::lag:
      hosts([&](int h) { host(h).model->set_apply_slowdown(f.factor); },
            [this](int h) { hosts_[static_cast<std::size_t>(h)].model->set_apply_slowdown(1); });
      break;
    case Do::silent: {
      std::set<std::pair<int, int>> pairs;
      for (int g = 0; g < s_.gateways; ++g)
        for (const int h : on) pairs.emplace(g, h);
      const auto set = [this, pairs, on](bool silent) {
        for (const int h : on)
          if (h >= 0)
            hosts_[static_cast<std::size_t>(h)].model->set_unresponsive(silent);
          else
            for (int g = 0; g < s_.gateways; ++g) trouble(g, -1) = {silent, silent, {}};
        see_to(pairs, false);
      };
      set(true);
      later([set] { set(false); });
      break;
    }
    case Do::drain:
      hosts([&](int h) { host(h).draining = true, host(h).model->set_draining(true), list_changed(); },
            [this](int h) {
              auto& back = hosts_[static_cast<std::size_t>(h)];
              back.draining = false, back.model->set_draining(false), list_changed();
            });
      break;
    case Do::loss:
    case Do::twice:
    case Do::disorder:
    case Do::cut:
    case Do::delay: {
      if (f.to.kind == Pick::Kind::gateways) {
        const auto to = picked(f.to, number * 2 + 1);
        set_ways(f, on, to, true);
        later([this, f, on, to] {
          set_ways(f, on, to, false), mark("links between gateways are whole again");
        });
        break;
      }
      std::set<std::pair<int, int>> pairs;
      for (const int g : on)
        for (const int h : picked(f.to, number * 2 + 1)) {
          Trouble t;
          if (f.what == Do::cut)
            t.there = f.there, t.back = f.back;
          else
            t.delay = Duration(static_cast<std::int64_t>(f.factor * 1000));
          trouble(g, h) = t;
          pairs.emplace(g, h);
        }
      see_to(pairs, f.reset);
      later([this, pairs] {
        for (const auto& [g, h] : pairs) trouble(g, h) = {};
        see_to(pairs, false);
        mark("links are whole again");
      });
      break;
    }
    case Do::refuse: {
      discovery_refuses_ = true;
      const auto all = watches_;
      for (auto* w : all) w->drop(true);
      later([this] { discovery_refuses_ = false; });
      break;
    }
  }
}

// ---- the run ----
Result Rig::run() {
  ::mkdir(o_.out.c_str(), 0755);
  std::ofstream(o_.out + "/result.json") << "{\"complete\":false}\n";
  std::signal(SIGPIPE, SIG_IGN);
  const int count = s_.groups * s_.members;
  // Of each gateway a few connections to each host it uses, its clients', discovery's; and the listeners.
  const double need =
      static_cast<double>(s_.gateways) * std::min<double>(count, std::max(64, s_.sockets - 48) / 4) +
      full_rate(s_) * s_.load * std::max(1.0, s_.ramp) + s_.gateways * 2 +
      (count * s_.gateways > wildcard_from ? count : count * s_.gateways) + 200;
  rlimit files{};
  ::getrlimit(RLIMIT_NOFILE, &files);
  files.rlim_cur = files.rlim_max;
  ::setrlimit(RLIMIT_NOFILE, &files);
  if (need > static_cast<double>(files.rlim_max)) {
    result_.error = "needs " + std::to_string(static_cast<long>(need)) + " descriptors, may have " +
                    std::to_string(files.rlim_max);
    return std::move(result_);
  }
  wire::RingBuffer::set_total_limit(std::size_t{1} << 30U);
  rules_.emplace(
      [&] {
        Limits l;
        l.cold_for = s_.cold, l.cold_from = s_.cold_from;
        return l;
      }(),
      class_rules(s_), timeline_.now());
  result_.classes.resize(s_.classes.size());
  const auto net = "127." + std::to_string(20 + ::getpid() % 200);
  char path[PATH_MAX] = "";
  const std::string out = ::realpath(o_.out.c_str(), path) ? path : o_.out;
  o_.out = out;
  lab::Random weights(s_.seed, 3);
  for (int g = 0; g < s_.gateways; ++g) {
    Gateway one;
    const auto low = std::to_string((g + 1) % 250);
    one.links = net + "." + std::to_string((g + 1) / 250) + "." + low;
    one.listen = net + "." + std::to_string(100 + (g + 1) / 250) + "." + low + ":7000";
    one.dir = out + "/g" + std::to_string(g);
    one.weight = 0.5 + draw(weights);
    ::mkdir(one.dir.c_str(), 0755);
    gateways_.push_back(std::move(one));
  }
  hosts_.resize(static_cast<std::size_t>(count));
  for (int g = 0; g < s_.groups; ++g) {
    groups_.push_back(std::make_unique<lab::ReplicaGroup>(timeline_, GroupId{g + 1}));
    for (int m = 0; m < s_.members; ++m) {
      auto& h = hosts_[static_cast<std::size_t>(g * s_.members + m)];
      h.id = "h" + std::to_string(g * s_.members + m);
      h.group = groups_.back().get(), h.group_at = g;
      h.model = &h.group->add(HostId{static_cast<std::uint32_t>(g * s_.members + m + 1)}, s_.host,
                              s_.zones[static_cast<std::size_t>(g + m) % s_.zones.size()]);
    }
  }
  for (auto& h : hosts_) listen(h);
  listen(discovery_);
  if (s_.peers) {
    std::vector<Relay::Peer> peers;
    for (int g = 0; g < s_.gateways; ++g) peers.push_back({peer_address(g, false), peer_address(g, true)});
    relay_ = std::make_unique<Relay>(loop_, timeline_, s_.seed, std::move(peers), [this](int from, int to) {
      const auto it = ways_.find({from, to});
      return it == ways_.end() ? Way{} : it->second;
    });
    if (result_.error.empty()) result_.error = relay_->error();
  }
  if (!result_.error.empty()) return std::move(result_);
  prepare_.start(), check_.start();
  const auto from = clock_.now();
  timeline_.run_until(from);
  for (int g = 0; g < s_.gateways; ++g) start(g, false);
  timeline_.after(
      std::chrono::milliseconds(20), [this] { watch_processes(); });
  const auto all_in = [this] {
    return std::all_of(gateways_.begin(), gateways_.end(), [](const Gateway& g) { return g.in; });
  };
  while (!all_in() && clock_.now() - from < ready_within && result_.error.empty() && result_.crashes == 0)
    loop_.run(ev::ONCE);
  result_.start_up_s = static_cast<double>((clock_.now() - from).count()) / 1e6;
  if (!all_in()) {
    if (result_.error.empty())
      result_.error = result_.crashes > 0 ? "a gateway ends at its start, see its log"
                                          : "not all gateways are ready in time";
    return std::move(result_);
  }
  advance();
  begun_ = timeline_.now();
  running_ = true;
  result_.marks.clear();
  const std::function<void()> beat = [this, &beat] {
    for (auto* w : watches_) w->beat();
    rules_->look(timeline_.now());
    timeline_.after(std::chrono::seconds(1), beat);
  };
  timeline_.after(std::chrono::seconds(1), beat);
  if (o_.live)
    for (int i = 1; i <= static_cast<int>(s_.length.count() / 1'000'000); ++i)
      timeline_.after(std::chrono::seconds(i), [this, i] {
        const auto& sec = result_.seconds[std::min(result_.seconds.size(), static_cast<std::size_t>(i)) - 1];
        std::printf("%6d s  asked %5llu  in time %5llu  refused %4llu  failed %4llu\n", i,
                    static_cast<unsigned long long>(sec.asked), static_cast<unsigned long long>(sec.in_time),
                    static_cast<unsigned long long>(sec.refused),
                    static_cast<unsigned long long>(sec.failed));
        std::fflush(stdout);
      });
  for (std::size_t f = 0; f < s_.faults.size(); ++f)
    timeline_.after(s_.faults[f].at, [this, f] { apply(f); });
  arrive();
  Duration longest{};
  for (const auto& k : s_.classes) longest = std::max(longest, k.request_class.deadline);
  const auto end = begun_ + s_.length;
  while (clock_.now() < end && !gave_up_) loop_.run(ev::ONCE);
  // What is open has its time, and as long again for a loop that is behind.
  while (!tries_.empty() && !gave_up_ && clock_.now() < end + longest + std::chrono::seconds(2))
    loop_.run(ev::ONCE);
  running_ = false;
  if (!gave_up_) rules_->look(timeline_.now() + std::chrono::hours(1));
  stopping_ = true;
  for (int g = 0; g < s_.gateways; ++g) signal(g, SIGCONT), signal(g, SIGTERM);
  const auto running = [this] {
    return std::any_of(gateways_.begin(), gateways_.end(),
                       [](const Gateway& g) { return g.pid > 0 || g.before > 0; });
  };
  for (const auto until = clock_.now() + std::chrono::seconds(4); running() && clock_.now() < until;) {
    timeline_.after(std::chrono::milliseconds(20), [] {});
    loop_.run(ev::ONCE);
    watch_processes();
  }
  prepare_.stop(), check_.stop(), due_.stop();
  finish();
  return std::move(result_);
}

void Rig::finish() {
  result_.broken = rules_->broken();
  result_.violations = rules_->violations();
  double asked = 0, got = 0;
  for (std::size_t i = 0; i < s_.classes.size(); ++i) {
    const auto& k = s_.classes[i].request_class;
    const auto& c = result_.classes[i];
    asked += k.value * static_cast<double>(c.asked);
    got += k.value * (static_cast<double>(c.in_time) + k.late_value * static_cast<double>(c.late));
  }
  result_.served_worth = asked > 0 ? got / asked : 0;
  for (auto& sec : result_.seconds) sec.p99_ms = quantile(sec.ms, 0.99);
  result_.lateness_p99_ms = quantile(lateness_, 0.99);
  const auto late =
      std::count_if(lateness_.begin(), lateness_.end(), [](float ms) { return ms > lateness_most_ms; });
  result_.too_slow =
      result_.too_slow || static_cast<double>(late) > late_share_most * static_cast<double>(lateness_.size());
}

}  // namespace cedarring::rig

#include "app/gateway.h"

#include <rapidjson/stringbuffer.h>
#include <rapidjson/writer.h>
#include <xxhash.h>

#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <iostream>

#include "handover/json_archive.h"
#include "handover/snapshot_fields.h"
#include "wire/mysql_client.h"
#include "wire/mysql_host.h"
#include "wire/pg_client.h"
#include "wire/pg_host.h"

namespace cedarring::app {
namespace {

constexpr double handover_wait = 1;  // seconds for all of what the process before has to say
constexpr double leave_after = 10;   // seconds that one which is followed stays without being told to end
constexpr double serving_every = 0.01;
constexpr double first_list_within = 3;   // seconds, from the start, that a pushed list is waited for
constexpr double yes_within = 0.5;        // seconds that the old one has to tell what is left to spend
constexpr double step_every = 0.05;       // between two looks at what the other process has to be told
constexpr double serve_after_term = 0.5;  // seconds: the front goes on sending for 0.2 to 0.4 s
// Seconds from SIGTERM to SIGKILL beyond the longest deadline, which counts as 3 s where it is longer
// (PROTOCOL). The last call comes a little before.
constexpr double kill_after = 0.7, kill_deadline_most = 3, last_call_before = 0.1;
constexpr std::size_t spare_descriptors = 48;  // listeners, discovery, the loop's own, a burst of accepts

template <class Host, class Client>
Service::Parts parts(ev::loop_ref loop) {
  return {[loop](wire::Fd fd, HostId host, wire::SocketUpstream& owner) {
            return std::make_unique<Host>(loop, std::move(fd), host, owner);
          },
          [loop](wire::Fd fd, wire::ClientSet& owner) {
            return std::make_unique<Client>(loop, std::move(fd), owner);
          }};
}

/// The same for each process of a gateway, another for each gateway that shares the folder.
std::string handover_name(const Config& c) {
  const auto text = c.name + '\n' + c.platform.listen;
  char hex[17];
  std::snprintf(hex, sizeof hex, "%016llx",
                static_cast<unsigned long long>(XXH64(text.data(), text.size(), 0)));
  return std::string("cedarring-") + hex;
}

}  // namespace

Gateway::Gateway(ev::loop_ref loop, const Config& c, std::string file)
    : loop_(loop),
      file_(std::move(file)),
      in_force_(c.text),
      log_(c.name, c.file.log, [this] { return clock_.now(); }),
      reaper_(loop),
      memory_((c.memory_mb << 20U) / 2),
      since_(loop.now()),
      serving_(loop),
      leave_(loop),
      yes_(loop),
      step_(loop),
      term_(loop),
      int_(loop),
      usr1_(loop),
      hup_(loop),
      drain_(loop),
      last_(loop),
      check_(loop) {
  term_.set<Gateway, &Gateway::stop>(this);
  int_.set<Gateway, &Gateway::stop>(this);
  term_.start(SIGTERM);
  int_.start(SIGINT);
  usr1_.set<Gateway, &Gateway::told>(this);
  usr1_.start(SIGUSR1);
  hup_.set<Gateway, &Gateway::reload>(this);
  hup_.start(SIGHUP);
  drain_.set<Gateway, &Gateway::drain>(this);
  last_.set<Gateway, &Gateway::last_call>(this);
  check_.set<Gateway, &Gateway::check_empty>(this);
  serving_.set<Gateway, &Gateway::try_serving>(this);
  leave_.set<Gateway, &Gateway::drain>(this);
  yes_.set<Gateway, &Gateway::no_yes>(this);
  step_.set<Gateway, &Gateway::keep_in_step>(this);
  wire::RingBuffer::set_bound(memory_);
  const auto clock = [this] { return clock_.now(); };
  const auto spare = spare_descriptors + (c.control.empty() ? 0 : wire::ControlDoor::descriptors);
  const auto descriptors =
      std::max(c.sockets - std::min(spare, c.sockets), c.sockets / 4) / (c.mysql ? 2 : 1);
  // Another process of this gateway may be serving. What it does not hand over whole is not used.
  std::optional<wire::Inheritance> before;
  std::optional<std::vector<ServiceState>> state;
  if (const char* dir = std::getenv("TMPDIR"); dir && *dir && !c.control.empty()) {
    handover_dir_ = dir;
    handover_name_ = handover_name(c);
    before = wire::inherit(handover_dir_, handover_name_, handover_wait);
    if (before) state = services_of(before->state);
    if (!state) before.reset();
  }
  const auto listener = [&](const std::string& front) {
    if (before)
      for (auto& [name, fd] : before->listeners)
        if (name == front) return std::move(fd);
    return wire::Fd();
  };
  const auto known = [&](const std::string& front) -> const ServiceState* {
    if (state)
      for (const auto& s : *state)
        if (s.front == front) return &s;
    return nullptr;
  };
  services_.push_back(std::make_unique<Service>(
      loop, reaper_, clock, c.platform, parts<wire::PgHost, wire::PgClient>(loop), descriptors, "postgresql",
      log_, listener("postgresql"), known("postgresql")));
  if (c.mysql)
    services_.push_back(std::make_unique<Service>(
        loop, reaper_, clock, *c.mysql, parts<wire::MysqlHost, wire::MysqlClient>(loop), descriptors, "mysql",
        log_, listener("mysql"), known("mysql"), listener("mysql updates")));
  admin_path_ = c.file.admin_socket;
  for (auto& service : services_) {
    service->broker().on_role_change([this](const std::string& host, Role role) {
      if (link_) link_->send("role", std::string(word_of(role)) + ' ' + host);
    });
    // Before the client hears of it: what it asks the other process next finds it known there.
    service->broker().on_commit([this, front = service->front()](const SessionSnapshot& s) {
      if (link_) link_->send("commit", front + ' ' + handover::to_text(s));
    });
    if (const auto* s = known(service->front()); s && !s->parts.empty())
      waits_for_yes_ = true, spoilt(service->front(), service->take(s->parts));
  }
  for (auto& s : services_) s->limit(whole_of(*s));
  log_courses();
  if (before)
    follow(std::move(before->link));
  else
    make_admin(), wait_for_next(), serving_.start(0, serving_every);
  if (!c.control.empty())
    door_ = std::make_unique<wire::ControlDoor>(
        loop, reaper_, c.control, [this](const wire::DoorCall& call) { return this->call(call); });
  for (const auto& note : c.notes) log_.write(telemetry::Level::warning, "configuration", note);
}

void Gateway::run() {
  static constexpr const char* fronts[] = {"postgresql", "mysql"};
  if (door_) std::cout << "listening control " << door_->address() << std::endl;
  for (std::size_t i = 0; i < services_.size(); ++i) {
    if (const auto zone = services_[i]->zone_address(); !zone.empty())
      std::cout << "listening dns " << zone << std::endl;
    std::cout << "listening " << fronts[i] << ' ' << services_[i]->address() << std::endl;
  }
  loop_.run(0);
  report();
  if (!link_ || !handing_) return;
  std::map<std::string, StateParts> all;
  for (auto& s : services_) all[s->front()] = s->booked();
  send_parts("booked", all);
}

/// One line a tenant: what it asked for at this gateway, how much of that beyond its share, and how it ended.
void Gateway::report() const {
  for (const auto& s : services_)
    for (const auto& b : s->budgets())
      std::cout << "tenant " << b.tenant << " asked " << b.requested << " over " << b.over_budget
                << " served " << b.served << " refused " << b.refused << " failed " << b.failed << std::endl;
}

/// Moves the watches to where the configuration now says, and puts the levels and the log's bounds of the
/// gateway's file in force. Lists, requests and connections stay; whatever else has changed takes a restart.
/// All is read before anything is changed: one that cannot be used changes nothing.
void Gateway::reload(ev::sig&, int) {
  try {
    const auto c = load_config(true, file_, in_force_);
    log_.reload(c.file.log);  // the only step that can still fail
    log_courses();
    in_force_ = c.text;
    services_[0]->retune(c.platform);
    if (c.mysql && services_.size() > 1) services_[1]->retune(*c.mysql);
    const auto gates = [this](Service& s, const ServiceConfig& config) {
      // Gates know classes by the numbers of the start.
      if (s.same_classes(config)) return s.reload_contracts(config.contracts), s.reload_levels(config.levels);
      if (config.contracts || config.levels)
        log_.write(telemetry::Level::warning, "configuration",
                   "other classes: contracts and levels take a restart");
    };
    gates(*services_[0], c.platform);
    if (c.mysql && services_.size() > 1) gates(*services_[1], *c.mysql);
    if (c.file.admin_socket != (admin_ ? admin_->path() : std::string()))
      log_.write(telemetry::Level::warning, "configuration", "another admin socket takes a restart");
    if (c.mysql.has_value() != (services_.size() > 1))
      log_.write(telemetry::Level::warning, "configuration", "the MySQL front goes on or off at a restart");
    services_[0]->move_watch(c.platform.discovery);
    if (c.mysql && services_.size() > 1) services_[1]->move_watch(c.mysql->discovery);
    ++applied_;
    std::cout << "reloaded, discovery " << c.platform.discovery << std::endl;
  } catch (const std::exception& e) {
    ++rejected_;
    std::cout << "not reloaded: " << e.what() << std::endl;
  }
}

/// At the level `debug` each request that is over is a line: how it ended, and each attempt with its host.
void Gateway::log_courses() {
  const bool on = log_.config().min_level == telemetry::Level::debug;
  for (auto& s : services_) {
    if (!on) {
      s->broker().on_request_trace(nullptr);
      continue;
    }
    s->broker().on_request_trace([this](const broker::RequestTrace& c) {
      const auto ms = [](Duration d) {
        char text[32];
        std::snprintf(text, sizeof text, "%.1f", static_cast<double>(d.count()) / 1000);
        return std::string(text);
      };
      std::string course;
      for (const auto& leg : c.attempts)
        course += (course.empty() ? "" : " ") + leg.host + '@' + ms(leg.sent_after) + '+' + ms(leg.duration) +
                  '=' + name_of(leg.outcome);
      log_.write(telemetry::Level::debug, "request", "is over",
                 {{"id", c.name},
                  {"class", c.contract},
                  {"group", std::to_string(c.group.value)},
                  {"retry", c.retry ? "1" : "0"},
                  {"end", gates::name_of(c.end)},
                  {"ms", ms(c.elapsed)},
                  {"course", course}});
    });
  }
}

std::string error_json(const std::string& text) {
  rapidjson::StringBuffer buffer;
  rapidjson::Writer<rapidjson::StringBuffer> w(buffer);
  w.StartObject();
  w.Key("error");
  w.String(text.c_str());
  w.EndObject();
  return buffer.GetString();
}

/// The operators' commands. None of them waits for anything.
std::string Gateway::answer(const std::vector<std::string>& words) {
  const std::string verb = words.empty() ? "" : words[0];
  if (verb == "levels") return answer_levels();
  if (verb == "contracts") {
    std::string out = "[";
    for (const auto& s : services_)
      if (const auto* c = s->contracts()) out += (out.size() > 1 ? "," : "") + c->status();
    return out + "]";
  }
  if (verb == "hosts") return answer_hosts();
  if (verb == "records")
    return answer_records(words.size() > 1 ? std::strtoul(words[1].c_str(), nullptr, 10) : 50);
  if (verb == "set-level" || verb == "unset-level") return set_level(words);
  if (verb == "help" || verb.empty())
    return "{\"commands\":[\"levels\",\"contracts\",\"hosts\",\"records [N]\",\"set-level FRONT "
           "pressure|GROUP LEVEL SECONDS\","
           "\"unset-level FRONT pressure|GROUP\"]}";
  return error_json("unknown command '" + verb + "'");
}

std::string Gateway::answer_levels() const {
  std::string out = "[";
  for (const auto& s : services_)
    if (const auto* levels = s->levels()) out += (out.size() > 1 ? "," : "") + levels->status();
  return out + "]";
}

std::string Gateway::answer_hosts() {
  rapidjson::StringBuffer buffer;
  rapidjson::Writer<rapidjson::StringBuffer> w(buffer);
  w.StartArray();
  for (const auto& s : services_) {
    std::vector<GroupView> views;
    s->broker().group_views(views);
    for (const auto& v : views) {
      w.StartObject();
      w.Key("front"), w.String(s->front().c_str());
      w.Key("group"), w.Int64(v.group.value);
      w.Key("primary"), w.Bool(v.has_primary);
      w.Key("hosts"), w.Int(v.hosts);
      w.Key("out"), w.Int(v.unavailable);
      w.Key("replicas"), w.Int(v.replicas);
      w.Key("lagging"), w.Int(v.lagging);
      w.Key("in_flight"), w.Int(v.in_flight);
      w.Key("waiting"), w.Int(v.waiting);
      w.Key("window"), w.Double(v.concurrency_limit);
      w.EndObject();
    }
  }
  w.EndArray();
  return buffer.GetString();
}

std::string Gateway::answer_records(std::size_t most) const {
  const auto& all = log_.records();
  std::string out = "[";
  for (std::size_t i = all.size() > most ? all.size() - most : 0; i < all.size(); ++i)
    out += (out.size() > 1 ? "," : "") + telemetry::to_json(all[i], log_.instance());
  return out + "]";
}

/// set-level FRONT pressure|GROUP LEVEL SECONDS, or unset-level FRONT pressure|GROUP
std::string Gateway::set_level(const std::vector<std::string>& words) {
  const bool set = words[0] == "set-level";
  if (words.size() != (set ? 5U : 3U)) return error_json("set-level FRONT pressure|GROUP LEVEL SECONDS");
  for (const auto& s : services_) {
    auto* levels = s->levels();
    if (s->front() != words[1] || !levels) continue;
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
      done =
          length && *length <= 86'400 && levels->pin(group, words[3], std::chrono::seconds(*length), error);
      if (!length || *length > 86'400) error = "seconds: a whole number up to 86400";
    } else {
      done = levels->unpin(group);
      if (!done) error = "no such group";
    }
    if (!done) return error_json(error);
    log_.write(telemetry::Level::warning, "operator", set ? "a level is pinned" : "a pin is taken away",
               {{"front", words[1]}, {"axis", words[2]}, {"level", set ? words[3] : ""}});
    return "{\"done\":true}";
  }
  return error_json("no front of that name has levels");
}

bool Gateway::ready() const {
  return !drain_.is_active() && !check_.is_active() && !handing_ && !serving_.is_active() &&
         std::all_of(
             services_.begin(), services_.end(), [](const auto& s) { return s->ready(); });
}

std::string Gateway::metrics() {
  telemetry::Metrics f;
  for (auto& s : services_) s->broker().collect_metrics(f);
  f.config_applied = applied_;
  f.config_rejected = rejected_;
  return telemetry::to_prometheus(f);
}

/// The operators' calls. None of them waits for anything.
wire::DoorAnswer Gateway::call(const wire::DoorCall& call) {
  const auto parts = wire::path_parts(call.path);
  if (!parts) return {400, "the path cannot be read\n", {}};
  const auto only = [&](const char* method) { return call.method == method; };
  const auto& p = *parts;
  if (p.size() == 2 && p[0] == "-" && p[1] == "ready") {
    if (!only("GET")) return {405, "GET asks whether this process can serve\n", "GET"};
    return ready() ? wire::DoorAnswer{200, "ready\n", {}} : wire::DoorAnswer{503, "not ready\n", {}};
  }
  if (p.size() == 2 && p[0] == "-" && p[1] == "metrics") {
    if (!only("GET")) return {405, "GET asks for the figures\n", "GET"};
    return {200, metrics(), {}};
  }
  if (p.size() == 4 && p[0] == "-" && p[1] == "database-hosts" && (p[3] == "disable" || p[3] == "enable")) {
    if (!only("POST")) return {405, "POST leaves a database host out, or takes it back\n", "POST"};
    const bool out = p[3] == "disable";
    if (!set_out(p[2], out)) return {404, "nobody has this id\n", {}};
    return {200, p[2] + (out ? " is left out\n" : " is used again\n"), {}};
  }
  return {404, "there is no such call\n", {}};
}

bool Gateway::set_out(const std::string& host, bool out) {
  bool any = false;
  for (auto& s : services_) any = s->broker().set_disabled(host, out) || any;
  if (!any) return false;
  if (link_) link_->send(out ? "out" : "back", host);
  log_.write(telemetry::Level::warning, "operator",
             out ? "a host is left out by hand" : "a host is taken back by hand", {{"host", host}});
  return true;
}

void Gateway::make_admin() {
  if (admin_ || admin_path_.empty()) return;
  admin_ = std::make_unique<wire::AdminSocket>(
      loop_, reaper_, admin_path_, [this](const std::vector<std::string>& words) { return answer(words); });
}

/// This process comes after one that serves.
void Gateway::follow(wire::Fd link) {
  follows_ = true;
  link_ = std::make_unique<wire::Link>(
      loop_, std::move(link),
      wire::Link::Events{[this](wire::Packet p) { peer_said(std::move(p)); }, [this] { peer_ended(); }});
  share(false, 0);
  serving_.start(0, serving_every);
}

/// From here on this process has the clients: it can serve, and says so. A list is not waited for without
/// end: its agent may be down.
void Gateway::try_serving(ev::timer&, int) {
  for (auto& s : services_)
    if ((follows_ && !s->broker().ready()) || (!s->informed() && loop_.now() - since_ < first_list_within))
      return;
  serving_.stop();
  if (!link_ || !waits_for_yes_) return serve();
  link_->send("ready");
  yes_.start(yes_within);
}

/// The old one does not answer: it may be hung, and what it has spent is not known.
void Gateway::no_yes(ev::timer&, int) {
  for (auto& s : services_) s->unheard();
  serve();
}

void Gateway::serve() {
  waits_for_yes_ = false;
  yes_.stop();
  for (auto& s : services_) s->begin();
  if (link_) link_->send("serving"), step_.start(step_every, step_every);
  if (!handover_) wait_for_next();
}

/// The new one begins: what may be spent is from here on in two parts.
void Gateway::split() {
  if (std::exchange(split_, true)) return;
  std::map<std::string, StateParts> all;
  for (auto& s : services_) all[s->front()] = s->parts(true);
  send_parts("yes", all);
  step_.start(step_every, step_every);
}

void Gateway::send_parts(const char* kind, const std::map<std::string, StateParts>& all) {
  const auto text = handover::to_text(all);
  for (std::size_t at = 0; at < text.size(); at += wire::packet_most)
    link_->send("parts", std::string_view(text).substr(at, wire::packet_most));
  link_->send(kind);
}

void Gateway::spoilt(const std::string& front, const std::vector<std::string>& parts) {
  for (const auto& p : parts)
    log_.write(telemetry::Level::warning, "upgrade", "a part of what the other process knows cannot be read",
               {{"front", front}, {"part", p}});
}

/// Ejections of hosts, as they happen: both processes send to the same hosts.
void Gateway::keep_in_step(ev::timer&, int) {
  if (!link_) return step_.stop();
  for (auto& s : services_) {
    handover::HostsSection news;
    for (auto& h : s->broker().snapshot(SnapshotScope::hosts).hosts) {
      auto& told = told_[s->front() + ' ' + h.name];
      const auto until = h.ejection_remaining ? clock_.now() + *h.ejection_remaining : Time{};
      // The other's clock was read at another moment: what is later by less than a beat is the same ejection.
      if (!h.ejection_remaining || until <= told + Duration(100'000)) continue;
      told = until;
      h.relative_latency = h.concurrency_limit = 0, h.load = -1;  // estimates are each process's own
      h.start_age.reset(), h.slow_start_sends.clear();
      news.snapshot.hosts.push_back(std::move(h));
    }
    if (!news.snapshot.hosts.empty()) link_->send("hosts", s->front() + ' ' + handover::to_text(news));
  }
}

void Gateway::wait_for_next() {
  if (!handover_name_.empty())
    handover_ = wire::HandoverDoor::open(
        loop_, handover_dir_, handover_name_, [this](wire::Fd fd) { next_came(std::move(fd)); });
}

/// A process that is to follow asks. The newest wins: one that asked before and has not served yet may be
/// hung.
void Gateway::next_came(wire::Fd fd) {
  if (handing_ || follows_) return;
  forget_.clear();
  if (std::exchange(split_, false))
    for (auto& s : services_) s->alone();
  told_.clear();
  link_ = std::make_unique<wire::Link>(
      loop_, std::move(fd),
      wire::Link::Events{[this](wire::Packet p) { peer_said(std::move(p)); }, [this] { peer_ended(); }});
  std::vector<ServiceState> states;
  for (const auto& s : services_) {
    link_->send("listener", s->front(), s->listener().get());
    if (const auto* fd = s->updates()) link_->send("listener", s->front() + " updates", fd->get());
    states.push_back(state_of(s->front(), s->broker().hosts()));
    states.back().parts = s->parts(false);
  }
  const auto text = to_text(states);
  for (std::size_t at = 0; at < text.size(); at += wire::packet_most)
    link_->send("state", std::string_view(text).substr(at, wire::packet_most));
  link_->send("whole");
  share(true, 0);
}

handover::ResourceShares Gateway::whole_of(const Service& s) const {
  auto whole = s.whole();
  whole.memory = memory_;
  return whole;
}

void Gateway::share(bool ends, std::size_t theirs) {
  for (auto& s : services_) {
    const auto whole = whole_of(*s);
    const auto part = handover::split_resources(whole, ends, ends ? whole.clients : theirs);
    wire::RingBuffer::set_bound(part.memory);
    s->limit(part);
  }
}

void Gateway::peer_said(wire::Packet p) {
  const auto service = [&](const std::string& front) -> Service* {
    for (auto& s : services_)
      if (s->front() == front) return s.get();
    return nullptr;
  };
  // Most packets are a word and what it is about.
  const auto space = p.text.find(' ');
  const bool two = space != std::string::npos;
  const auto word = p.text.substr(0, space), rest = two ? p.text.substr(space + 1) : std::string();
  if (p.kind == "ready" && !follows_ && !handing_) {
    split();
  } else if (p.kind == "parts" && follows_) {
    if (parts_.size() + p.text.size() <= wire::link_most) parts_ += p.text;
  } else if ((p.kind == "yes" || p.kind == "booked") && follows_) {
    const auto all = handover::from_text<std::map<std::string, StateParts>>(std::exchange(parts_, {}));
    if (!all) {
      spoilt("all", {p.kind});
      for (auto& s : services_) s->unheard();
    } else {
      for (const auto& [front, parts] : *all)
        if (auto* s = service(front)) spoilt(front, p.kind == "yes" ? s->take(parts) : s->book(parts));
    }
    if (waits_for_yes_) serve();
  } else if (p.kind == "commit") {
    const auto commit = handover::from_text<SessionSnapshot>(rest);
    if (auto* s = service(word); s && commit) {
      RouterSnapshot k;
      k.sessions.push_back(*commit);
      s->broker().merge_snapshot(std::move(k));
    }
  } else if (p.kind == "hosts") {
    auto news = handover::from_text<handover::HostsSection>(rest);
    if (auto* s = service(word); s && news) {
      for (const auto& h : news->snapshot.hosts)
        if (h.ejection_remaining) told_[s->front() + ' ' + h.name] = clock_.now() + *h.ejection_remaining;
      s->broker().merge_snapshot(std::move(news->snapshot));
    }
  } else if (p.kind == "serving" && !follows_ && !handing_) {
    split();  // one of a build that does not ask for it
    handing_ = true;
    serving_.stop();
    handover_.reset();  // the name in the folder is the new one's now
    admin_.reset();
    for (auto& s : services_)
      s->hand_over([this, front = s->front()](int fd, const std::string& known) {
        return link_ && link_->send_now("client", front + ' ' + known, fd);
      });
    std::size_t left = 0;
    for (const auto& s : services_) left += s->clients();
    link_->send("stopped", std::to_string(left));
    leave_.start(leave_after);
    std::cout << "followed by another process" << std::endl;
  } else if (p.kind == "client" && p.fds.size() == 1) {
    if (auto* s = service(word); s && two) s->adopt(std::move(p.fds[0]), rest);
    if (theirs_ > 0) share(false, --theirs_);
  } else if (p.kind == "stopped") {
    theirs_ = static_cast<std::size_t>(wire::to_int(p.text).value_or(0));
    share(false, theirs_);
    make_admin();
  } else if (p.kind == "out" || p.kind == "back") {
    for (auto& s : services_) s->broker().set_disabled(p.text, p.kind == "out", true);
  } else if (p.kind == "role") {
    if (!two) return;
    for (auto& s : services_) s->broker().observe(rest, role_of(word), std::nullopt);
  }
}

/// Alone again: the old process has ended, or the new one has before it was done.
void Gateway::peer_ended() {
  // Not freed here: its callback is still running.
  auto link = std::shared_ptr<wire::Link>(std::move(link_));
  forget_.push_back(std::move(link));
  if (handing_ && !check_.is_active()) {
    handing_ = false;
    leave_.stop();
    for (auto& s : services_) s->take_back();
    make_admin();
    wait_for_next();
    std::cout << "the other process has ended, this one serves on" << std::endl;
  }
  if (follows_) make_admin();
  if (follows_ || split_)
    for (auto& s : services_) s->alone();
  follows_ = split_ = false;
  step_.stop();
  told_.clear(), parts_.clear();
  if (waits_for_yes_ && yes_.is_active()) serve();
  wire::RingBuffer::set_bound(memory_);
  for (auto& s : services_) s->limit(whole_of(*s));
}

bool Gateway::empty() const {
  return std::all_of(
      services_.begin(), services_.end(), [](const auto& s) { return s->empty(); });
}

/// New clients are still taken for a while: those who send them here have not heard yet.
void Gateway::stop(ev::sig&, int) {
  if (!last_.is_active()) {
    Duration longest{};
    for (const auto& s : services_) longest = std::max(longest, s->longest_deadline());
    const auto deadline = std::min(static_cast<double>(longest.count()) / 1e6, kill_deadline_most);
    last_.start(deadline + kill_after - last_call_before);
  }
  if (!drain_.is_active() && !check_.is_active()) drain_.start(handing_ ? 0 : serve_after_term);
}

void Gateway::last_call(ev::timer&, int) {
  for (auto& s : services_) s->broker().begin_shutdown();
}

void Gateway::drain(ev::timer&, int) {
  if (check_.is_active()) return;
  serving_.stop();
  for (auto& s : services_) s->drain();
  check_.start();
  if (empty()) loop_.break_loop(ev::ALL);
}

/// Once draining, ends as soon as the last client has its answer and has left.
void Gateway::check_empty(ev::prepare&, int) {
  if (empty()) loop_.break_loop(ev::ALL);
}

}  // namespace cedarring::app

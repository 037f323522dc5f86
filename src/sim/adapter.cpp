#include "sim/adapter.h"

#include <algorithm>
#include <cmath>
#include <cstdlib>
#include <istream>
#include <limits>
#include <optional>
#include <ostream>
#include <set>

namespace cedarring::sim {
namespace {

constexpr double largest_ms = 1e13;  // keeps microseconds inside 63 bits

struct Field {
  std::string_view name;
  std::string_view value;
};

/// The name=value parts of a line; `tail` names a field that runs to the end of the line.
std::vector<Field> split_fields(std::string_view text) {
  std::vector<Field> fields;
  while (!text.empty()) {
    const auto end = text.find(' ');
    const auto part = text.substr(0, end);
    if (const auto eq = part.find('='); eq != std::string_view::npos)
      fields.push_back({part.substr(0, eq), part.substr(eq + 1)});
    if (end == std::string_view::npos) break;
    text.remove_prefix(end + 1);
  }
  return fields;
}

std::optional<double> to_number(std::string_view text) {
  if (text.empty() || text.size() > 64) return std::nullopt;
  const std::string copy(text);
  char* end = nullptr;
  const double value = std::strtod(copy.c_str(), &end);
  if (end != copy.c_str() + copy.size() || !std::isfinite(value)) return std::nullopt;
  return value;
}

std::optional<std::uint64_t> to_whole(std::string_view text) {
  if (text.empty() || text.size() > 20) return std::nullopt;
  std::uint64_t value = 0;
  for (const char c : text) {
    if (c < '0' || c > '9') return std::nullopt;
    const auto digit = static_cast<std::uint64_t>(c - '0');
    if (value > (std::numeric_limits<std::uint64_t>::max() - digit) / 10) return std::nullopt;
    value = value * 10 + digit;
  }
  return value;
}

Duration from_ms(double ms) {
  if (std::fabs(ms) > largest_ms) throw ParseError("time out of range");
  return Duration(std::llround(ms * 1000.0));
}

class Line {
 public:
  Line(std::string_view verb, std::string_view rest) : verb_(verb), fields_(split_fields(rest)) {}

  [[nodiscard]] std::optional<std::string_view> text(std::string_view name) const {
    for (const auto& f : fields_)
      if (f.name == name) return f.value;
    return std::nullopt;
  }
  [[nodiscard]] std::string_view need(std::string_view name) const {
    const auto value = text(name);
    if (!value || value->empty()) throw ParseError(std::string(verb_) + " lacks " + std::string(name));
    return *value;
  }
  [[nodiscard]] std::optional<double> number(std::string_view name) const {
    const auto value = text(name);
    if (!value) return std::nullopt;
    const auto parsed = to_number(*value);
    if (!parsed) throw ParseError(std::string(verb_) + ": bad number in " + std::string(name));
    return parsed;
  }
  [[nodiscard]] double need_number(std::string_view name) const {
    static_cast<void>(need(name));
    return *number(name);
  }
  [[nodiscard]] std::optional<std::uint64_t> whole(std::string_view name) const {
    const auto value = text(name);
    if (!value) return std::nullopt;
    const auto parsed = to_whole(*value);
    if (!parsed) throw ParseError(std::string(verb_) + ": bad whole number in " + std::string(name));
    return parsed;
  }
  [[nodiscard]] std::int64_t need_int(std::string_view name) const {
    static_cast<void>(need(name));
    const auto value = *whole(name);
    if (value > static_cast<std::uint64_t>(std::numeric_limits<std::int64_t>::max()))
      throw ParseError(std::string(verb_) + ": " + std::string(name) + " out of range");
    return static_cast<std::int64_t>(value);
  }
  [[nodiscard]] bool flag(std::string_view name) const {
    const auto value = text(name);
    return value && (*value == "1" || *value == "true");
  }

 private:
  std::string_view verb_;
  std::vector<Field> fields_;
};

template <class Enum>
struct Word {
  std::string_view word;
  Enum value;
};

constexpr Word<Outcome> outcome_words[] = {{"served", Outcome::ok},
                                           {"server_error", Outcome::error},
                                           {"turned_away", Outcome::full},
                                           {"no_answer", Outcome::timeout},
                                           {"no_connection", Outcome::connect_failed},
                                           {"connection_lost", Outcome::reset},
                                           {"called_off", Outcome::cancelled},
                                           {"not_sent", Outcome::moot},
                                           {"not_stored", Outcome::miss}};
constexpr Word<Effect> effect_words[] = {
    {"read_like", Effect::safe}, {"idempotency_key", Effect::keyed}, {"non_idempotent", Effect::unsafe}};
constexpr Word<RepeatScope> scope_words[] = {
    {"all", RepeatScope::all}, {"zone", RepeatScope::zone}, {"cell", RepeatScope::group}};
constexpr Word<Freshness> need_words[] = {{"mutate", Freshness::write},
                                          {"strong", Freshness::fresh},
                                          {"causal", Freshness::session},
                                          {"lag_bound", Freshness::bounded},
                                          {"eventual", Freshness::any}};
constexpr Word<StaleCheck> check_words[] = {
    {"none", StaleCheck::none}, {"bounce", StaleCheck::refuse}, {"await", StaleCheck::wait}};
constexpr Word<ListRole> role_words[] = {
    {"none", ListRole::none}, {"trailing", ListRole::late}, {"static", ListRole::start}};
constexpr Word<TokenMode> token_words[] = {{"kept", TokenMode::remembered}, {"brought", TokenMode::carried}};
constexpr Word<DiscoveryMode> mode_words[] = {{"automatic", DiscoveryMode::push},
                                              {"subscribe", DiscoveryMode::ask}};

template <class Enum, std::size_t N>
std::optional<Enum> lookup(const Word<Enum> (&words)[N], std::string_view text) {
  for (const auto& w : words)
    if (w.word == text) return w.value;
  return std::nullopt;
}

std::vector<std::string_view> split_commas(std::string_view text) {
  std::vector<std::string_view> parts;
  if (text.empty()) return parts;
  for (;;) {
    const auto end = text.find(',');
    parts.push_back(text.substr(0, end));
    if (end == std::string_view::npos) return parts;
    text.remove_prefix(end + 1);
  }
}

/// Settings by path, each read with a default; a value of the wrong shape is named in the exception.
class Facts {
 public:
  explicit Facts(std::string_view text) {
    for (const auto& f : split_fields(text)) values_[std::string(f.name)] = f.value;
  }
  [[nodiscard]] std::string_view text(const std::string& key, std::string_view fallback = "") const {
    const auto it = values_.find(key);
    return it == values_.end() ? fallback : it->second;
  }
  [[nodiscard]] double number(const std::string& key, double fallback) const {
    const auto it = values_.find(key);
    if (it == values_.end()) return fallback;
    const auto value = to_number(it->second);
    if (!value || std::fabs(*value) > largest_ms) throw std::invalid_argument(key);
    return *value;
  }
  [[nodiscard]] Duration ms(const std::string& key, double fallback) const {
    return from_ms(number(key, fallback));
  }
  [[nodiscard]] bool flag(const std::string& key, bool fallback) const {
    const auto value = text(key);
    if (value.empty()) return fallback;
    if (value == "true" || value == "1") return true;
    if (value == "false" || value == "0") return false;
    throw std::invalid_argument(key);
  }
  template <class Enum, std::size_t N>
  [[nodiscard]] Enum word(const std::string& key, const Word<Enum> (&words)[N], Enum fallback) const {
    const auto value = text(key);
    if (value.empty()) return fallback;
    const auto found = lookup(words, value);
    if (!found) throw std::invalid_argument(key);
    return *found;
  }
  [[nodiscard]] std::uint32_t count(const std::string& key, std::uint32_t fallback) const {
    const double value = number(key, fallback);
    if (value < 0 || value > 1e6 || value != std::floor(value)) throw std::invalid_argument(key);
    return static_cast<std::uint32_t>(value);
  }

 private:
  std::map<std::string, std::string_view> values_;
};

ZoneId zone_id(std::string_view name, std::vector<std::string>& zones) {
  for (std::size_t i = 0; i < zones.size(); ++i)
    if (zones[i] == name) return ZoneId{static_cast<std::int32_t>(i)};
  zones.emplace_back(name);
  return ZoneId{static_cast<std::int32_t>(zones.size() - 1)};
}

SessionId session_id(std::string_view key) {  // FNV-1a; a clash only makes a read stricter
  std::uint64_t h = 14695981039346656037ULL;
  for (const char c : key) h = (h ^ static_cast<unsigned char>(c)) * 1099511628211ULL;
  return SessionId{h};
}

Note parse_note(std::optional<std::uint64_t> mark, Time base) {
  Note note;
  if (!mark) return note;
  const auto role = *mark & 3U;
  note.role = role == 1 ? Role::primary : role == 2 ? Role::replica : Role::unknown;
  const auto ms = *mark >> 2U;
  if (ms > 0 && ms < static_cast<std::uint64_t>(largest_ms))
    note.position = base + Time(static_cast<std::int64_t>(ms) * 1000);
  return note;
}

void put_ms(std::string& out, Duration value) {
  const auto us = value.count();
  out += std::to_string(us / 1000);
  if (const auto rest = us % 1000; rest != 0) {
    std::string digits = std::to_string(rest + 1000);
    digits[0] = '.';
    out += digits;
  }
}

}  // namespace

Report parse_report(std::optional<std::string_view> stats, Time base, char separator) {
  Report report;
  if (!stats) return report;
  for (const auto part : split_commas(*stats)) {
    const auto mark = part.find(separator);
    if (mark == std::string_view::npos) continue;
    const auto value = to_number(part.substr(mark + 1));
    if (!value) continue;
    const auto name = part.substr(0, mark);
    if (name == "x0" && std::fabs(*value) < largest_ms / 1e3) {
      // Rounded down: a position must never be believed above what the host holds.
      report.position = base + Time(static_cast<std::int64_t>(std::floor(*value * 1e6)));
    } else if (name == "x1") {
      report.role = *value >= 0.5 ? Role::primary : Role::replica;
    } else if (name == "pending" && *value >= 0) {
      report.queue = *value;
    } else if (name == "cpu_share" && *value >= 0) {
      report.util = std::min(1.0, *value);
    }
  }
  return report;
}

Report parse_whole_report(std::string_view stats) {
  std::set<std::string_view> names;
  for (const auto part : split_commas(stats)) {
    const auto mark = part.find('=');
    if (mark == std::string_view::npos || mark == 0 || !names.insert(part.substr(0, mark)).second) return {};
    const auto value = to_number(part.substr(mark + 1));
    if (!value || *value < 0 || (part.substr(0, mark) == "x1" && *value != 0 && *value != 1)) return {};
  }
  return parse_report(stats, Time::zero(), '=');
}

Settings parse_settings(std::string_view text, std::uint64_t seed, std::string_view zone,
                        std::vector<std::string>& zones, Time& base_time) {
  const Facts facts(text);
  Settings s;
  s.seed = seed;
  for (const auto name : split_commas(facts.text("zones"))) zone_id(name, zones);
  s.zone = zone_id(zone.empty() ? facts.text("az") : zone, zones);
  s.position = facts.count("position", 0);
  s.routers = facts.count("balancers", 1);
  base_time = facts.ms("specifics.base_time", 0);
  const auto needs = split_commas(facts.text("specifics.needs_by_class"));
  const auto bounds = split_commas(facts.text("specifics.class_bound"));
  const auto classes = facts.count("classes.count", 0);
  if (classes > 10000) throw std::invalid_argument("classes.count");
  for (std::uint32_t i = 0; i < classes; ++i) {
    const std::string at = "classes." + std::to_string(i) + ".";
    RequestClass c;
    c.name = facts.text(at + "name");
    c.aim = facts.ms(at + "aim", 1000);
    c.deadline = facts.ms(at + "deadline", 1000);
    c.worth = facts.number(at + "importance", 1);
    c.late_worth = facts.number(at + "late_worth", 0);
    c.effect = facts.word(at + "effect", effect_words, Effect::safe);
    c.scope = facts.word(at + "group", scope_words, RepeatScope::all);
    c.window = facts.ms(at + "window", 0);
    if (i < needs.size()) {
      const auto need = lookup(need_words, needs[i]);
      if (!need) throw std::invalid_argument("specifics.needs_by_class");
      c.freshness = *need;
    }
    if (i < bounds.size()) {
      const auto bound = to_number(bounds[i]);
      if (!bound) throw std::invalid_argument("specifics.class_bound");
      c.bound = from_ms(*bound);
    }
    s.classes.push_back(c);
  }
  s.checks = facts.word("specifics.checks", check_words, StaleCheck::none);
  s.list_role = facts.word("specifics.list_role", role_words, ListRole::none);
  s.tokens = facts.word("specifics.token_mode", token_words, TokenMode::remembered);
  s.discovery = facts.word("registry_mode", mode_words, DiscoveryMode::push);
  s.answers_carry_position = facts.flag("specifics.stamps", false);
  s.may_probe = facts.flag("limits.may_probe", false);
  s.may_cancel = facts.flag("limits.cancel", false);
  s.second_copies = facts.flag("limits.second_copies", false);
  s.retry_after = facts.flag("limits.retry_after", false);
  s.only_draining_binds = facts.flag("guarantees.dropped_stay_open", false);
  s.max_attempts = facts.count("limits.send_cap", 1);
  s.max_retry_after = facts.ms("limits.max_retry_after", 0);
  s.ask_within = facts.ms("guarantees.ask_within", 10000);
  s.cold_for = facts.ms("guarantees.cold", 0);
  s.cold_from = facts.number("guarantees.cold_from", 1);
  s.tip_multiple = facts.number("guarantees.tip_multiple", 3);
  s.tip_after = facts.ms("guarantees.tip_after", 1000);
  s.quantum = facts.ms("quantum", 5);
  s.connect_timeout = facts.ms("limits.connect_timeout", 250);
  s.idle_close = facts.ms("limits.idle_close", 15000);
  s.probe_price = facts.number("prices.probe", 0);
  return s;
}

struct Adapter::Item {
  std::string host;
  std::string zone;
  HostEntry entry;
};

struct Adapter::Instance {
  std::unique_ptr<Router> router;
  std::vector<std::string> zones;
  std::map<std::string, ClassId, std::less<>> classes;
  Time base{};
  std::map<std::string, HostId, std::less<>> host_ids;
  std::map<HostId, std::string> host_names;
  std::uint32_t next_host = 1;
  struct Request {
    std::string name;
    int out = 0;  // attempts without an outcome
    bool ended = false;
  };
  std::unordered_map<std::string, RequestId> request_ids;
  std::unordered_map<std::uint64_t, Request> requests;
  std::uint64_t next_request = 1;

  HostId host(std::string_view name) {
    if (const auto it = host_ids.find(name); it != host_ids.end()) return it->second;
    const HostId id{next_host++};
    host_ids.emplace(name, id);
    host_names.emplace(id, name);
    return id;
  }
  std::optional<HostId> known_host(std::string_view name) const {
    const auto it = host_ids.find(name);
    return it == host_ids.end() ? std::nullopt : std::optional<HostId>(it->second);
  }
  std::optional<RequestId> known_request(std::string_view name) const {
    const auto it = request_ids.find(std::string(name));
    return it == request_ids.end() ? std::nullopt : std::optional<RequestId>(it->second);
  }
  void settle(RequestId id) {  // forgets the names of requests that nothing more will be heard of
    const auto it = requests.find(id.value);
    if (it == requests.end() || !it->second.ended || it->second.out > 0) return;
    request_ids.erase(it->second.name);
    requests.erase(it);
  }
  void prune_hosts() {
    for (auto it = host_names.begin(); it != host_names.end();) {
      if (router->knows(it->first)) {
        ++it;
      } else {
        host_ids.erase(it->second);
        it = host_names.erase(it);
      }
    }
  }
};

Adapter::Adapter() = default;
Adapter::~Adapter() = default;

void Adapter::feed(std::int64_t number, Instance& in, const Event& event, std::string& out) {
  std::vector<Action> actions;
  in.router->handle(now_, event, actions);
  const std::string tag = " router=" + std::to_string(number);
  for (const auto& action : actions) {
    // Whatever names a request that has ended meanwhile has nothing left to say on the wire.
    const auto gone = [&](RequestId id) { return in.requests.count(id.value) == 0; };
    if (const auto* x = std::get_if<Send>(&action); x && gone(x->request)) continue;
    if (const auto* x = std::get_if<Cancel>(&action); x && gone(x->request)) continue;
    if (const auto* x = std::get_if<Refuse>(&action); x && gone(x->request)) continue;
    if (const auto* x = std::get_if<Fail>(&action); x && gone(x->request)) continue;
    if (const auto* a = std::get_if<Send>(&action)) {
      auto& r = in.requests.at(a->request.value);
      ++r.out;
      out += "dispatch" + tag + " txn=" + r.name + " host=" + in.host_names.at(a->host);
      if (a->stop_at > Time::zero()) {
        out += " stop_at=";
        put_ms(out, a->stop_at);
      }
    } else if (const auto* c = std::get_if<Cancel>(&action)) {
      out += "cancel" + tag + " txn=" + in.requests.at(c->request.value).name +
             " trial=" + std::to_string(c->attempt);
    } else if (const auto* b = std::get_if<Refuse>(&action)) {
      auto& r = in.requests.at(b->request.value);
      r.ended = true;
      out += "bounce" + tag + " txn=" + r.name;
      if (b->pause > Duration::zero()) {
        out += " pause=";
        put_ms(out, b->pause);
      }
      in.settle(b->request);
    } else if (const auto* f = std::get_if<Fail>(&action)) {
      auto& r = in.requests.at(f->request.value);
      r.ended = true;
      out += "fail" + tag + " txn=" + r.name;
      in.settle(f->request);
    } else if (const auto* p = std::get_if<Probe>(&action)) {
      out += "inspect" + tag + " host=" + in.host_names.at(p->host);
    } else if (const auto* t = std::get_if<SetTimer>(&action)) {
      out += "notify_me" + tag + " alarm_time=";
      put_ms(out, t->due);
      out += " name=" + std::to_string(t->timer);
    } else if (std::holds_alternative<Watch>(action)) {
      out += "watch" + tag + " want=1";
    }
    out += '\n';
  }
}

void Adapter::line(std::string_view text, std::string& out) {
  if (!text.empty() && text.back() == '\r') text.remove_suffix(1);
  batch_line(text, out);
}

void Adapter::batch_line(std::string_view text, std::string& out) {
  if (text.empty()) return;
  const auto space = text.find(' ');
  const auto verb = text.substr(0, space);
  const auto rest = space == std::string_view::npos ? std::string_view{} : text.substr(space + 1);
  if (verb == "batch") {
    const Line l(verb, rest);
    now_ = std::max(now_, from_ms(l.need_number("sim_time")));
    in_batch_ = true;
    return;
  }
  if (verb == "over_to_you") {
    if (!in_batch_) throw ParseError("over_to_you without batch");
    in_batch_ = false;
    out += "done\n";
    return;
  }
  if (verb == "item") {
    if (items_due_ == 0) return;
    const Line l(verb, rest);
    Item item;
    item.host = l.need("host");
    item.zone = l.text("region_part").value_or("");
    item.entry.group = GroupId{l.text("group") ? l.need_int("group") : 0};
    item.entry.listed_primary = l.number("primary").value_or(0) >= 0.5;
    const auto mode = l.whole("mode").value_or(2);
    item.entry.state = mode == 0 ? HostState::gone : mode == 1 ? HostState::draining : HostState::ready;
    item.entry.weight = l.number("weight").value_or(1);
    if (const auto born = l.number("born"); born && *born > 0) item.entry.born = from_ms(*born);
    rosters_[filling_].push_back(std::move(item));
    --items_due_;
    return;
  }
  if (verb == "roster") {
    const Line l(verb, rest);
    filling_ = l.need_int("ref");
    items_due_ = static_cast<std::size_t>(l.need_int("elements"));
    rosters_[filling_].clear();
    return;
  }
  if (verb == "enlist") {
    const auto facts_at = rest.find(" facts=");
    std::string_view head = rest;
    std::string_view facts = rest;
    if (facts_at != std::string_view::npos) {
      head = rest.substr(0, facts_at);
      facts = rest.substr(facts_at + 7);
    }
    const Line l(verb, head);
    const auto number = l.need_int("router");
    auto in = std::make_unique<Instance>();
    try {
      auto settings = parse_settings(facts, l.whole("prng").value_or(0), "", in->zones, in->base);
      for (std::size_t i = 0; i < settings.classes.size(); ++i)
        in->classes[settings.classes[i].name] = ClassId{static_cast<std::int32_t>(i)};
      in->router = std::make_unique<Router>(std::move(settings));
    } catch (const std::invalid_argument& e) {
      out += "panic router=" + std::to_string(number) + " words=bad setting " + e.what() + "\n";
      instances_.erase(number);
      return;
    }
    auto& slot = instances_[number];
    slot = std::move(in);
    feed(number, *slot, Started{}, out);
    return;
  }
  const bool known = verb == "power_off" || verb == "fleet" || verb == "query" || verb == "streaming" ||
                     verb == "resolved" || verb == "left" || verb == "ring" || verb == "probe_done" ||
                     verb == "note_from";
  if (!known) return;
  const Line l(verb, rest);
  const auto number = l.need_int("router");
  const auto found = instances_.find(number);
  if (verb == "power_off") {
    if (found != instances_.end()) instances_.erase(found);
    return;
  }
  if (verb == "fleet") {
    MembersListed event;
    switch (l.need_int("kind")) {
      case 0: event.kind = ListKind::delta; break;
      case 1: event.kind = ListKind::full; break;
      case 2: event.kind = ListKind::cached; break;
      case 3: event.kind = ListKind::failed; break;
      default: return;
    }
    std::int64_t ref = 0;
    if (event.kind != ListKind::failed) {
      ref = l.need_int("ref");
      if (rosters_.count(ref) == 0) throw ParseError("fleet names an unknown roster");
    }
    if (found == instances_.end()) return;
    auto& in = *found->second;
    if (event.kind != ListKind::failed) {
      for (const auto& item : rosters_[ref]) {
        auto entry = item.entry;
        entry.host = in.host(item.host);
        entry.zone = zone_id(item.zone, in.zones);
        event.entries.push_back(entry);
      }
    }
    feed(number, in, event, out);
    in.prune_hosts();
    return;
  }
  if (verb == "query") {
    const auto name = l.need("txn");
    RequestArrived event;
    event.time_left = from_ms(std::max(0.0, l.need_number("time_budget")));
    event.group = GroupId{l.text("cluster_no") ? l.need_int("cluster_no") : 0};
    if (const auto age = l.number("token_age_ms"); age && *age > 0) event.token_age = from_ms(*age);
    if (const auto key = l.text("sess"); key && !key->empty()) event.session = session_id(*key);
    const auto grade = l.text("grade").value_or("");
    if (found == instances_.end()) return;
    auto& in = *found->second;
    const auto cls = in.classes.find(grade);
    event.cls = cls == in.classes.end() ? ClassId{-1} : cls->second;
    if (in.known_request(name)) return;
    event.request = RequestId{in.next_request++};
    in.request_ids.emplace(name, event.request);
    in.requests[event.request.value].name = name;
    feed(number, in, event, out);
    return;
  }
  if (verb == "resolved") {
    AttemptEnded event;
    const auto outcome = lookup(outcome_words, l.need("verdict"));
    const auto name = l.need("txn");
    const auto host_name = l.need("host");
    const auto attempt = l.whole("trial").value_or(0);
    event.attempt = static_cast<std::uint32_t>(std::min<std::uint64_t>(attempt, 0xffffffffU));
    event.elapsed = from_ms(l.number("elapsed").value_or(0));
    event.request_ended = l.flag("ended");
    const auto mark = l.whole("mark");
    if (found == instances_.end()) return;
    auto& in = *found->second;
    const auto request = in.known_request(name);
    const auto host = in.known_host(host_name);
    if (!outcome || !request || !host) return;
    event.outcome = *outcome;
    event.request = *request;
    event.host = *host;
    event.note = parse_note(mark, in.base);
    event.report = parse_report(l.text("stats"), in.base);
    auto& r = in.requests.at(request->value);
    if (r.out > 0) --r.out;
    if (event.request_ended) r.ended = true;
    feed(number, in, event, out);
    in.settle(*request);
    return;
  }
  if (verb == "streaming" || verb == "left") {
    const auto name = l.need("txn");
    const auto attempt = l.whole("trial").value_or(0);
    if (found == instances_.end()) return;
    auto& in = *found->second;
    const auto request = in.known_request(name);
    if (!request) return;
    if (verb == "left") {
      in.requests.at(request->value).ended = true;
      feed(number, in, ClientLeft{*request}, out);
      in.settle(*request);
    } else {
      feed(number, in, AnswerStarted{*request, static_cast<std::uint32_t>(attempt)}, out);
    }
    return;
  }
  if (verb == "probe_done") {
    ProbeEnded event;
    const auto outcome = lookup(outcome_words, l.need("verdict"));
    const auto name = l.need("host");
    event.elapsed = from_ms(l.number("elapsed").value_or(0));
    if (found == instances_.end()) return;
    auto& in = *found->second;
    const auto host = in.known_host(name);
    if (!host || !outcome) return;
    event.host = *host;
    event.outcome = *outcome;
    event.report = parse_report(l.text("stats"), in.base);
    feed(number, in, event, out);
    return;
  }
  if (verb == "ring") {
    const auto name = static_cast<std::uint64_t>(l.need_int("name"));
    if (found != instances_.end()) feed(number, *found->second, TimerFired{name}, out);
  }
}

int run(std::istream& in, std::ostream& out, std::ostream& err) {
  Adapter adapter;
  std::string text;
  std::string reply;
  std::uint64_t number = 0;
  while (std::getline(in, text)) {
    ++number;
    try {
      adapter.line(text, reply);
    } catch (const ParseError& e) {
      err << "line " << number << ": " << e.what() << '\n';
      return 2;
    }
    if (reply.size() >= 5 && reply.compare(reply.size() - 5, 5, "done\n") == 0) {
      out << reply << std::flush;
      reply.clear();
    }
  }
  return 0;
}

}  // namespace cedarring::sim

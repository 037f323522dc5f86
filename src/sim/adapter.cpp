#include "sim/adapter.h"

#include <algorithm>
#include <cmath>
#include <cstdlib>
#include <istream>
#include <limits>
#include <optional>
#include <ostream>

#include "router/fields.h"
#include "router/settings_parser.h"

namespace cedarring::sim {

using namespace text;  // NOLINT(google-build-using-namespace): the fields that lines are made of

namespace {

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

constexpr Word<Outcome> outcome_words[] = {{"served", Outcome::ok},
                                           {"server_error", Outcome::error},
                                           {"turned_away", Outcome::full},
                                           {"no_answer", Outcome::timeout},
                                           {"no_connection", Outcome::connect_failed},
                                           {"connection_lost", Outcome::reset},
                                           {"called_off", Outcome::cancelled},
                                           {"not_sent", Outcome::not_sent},
                                           {"not_stored", Outcome::too_stale}};
SessionId session_id(std::string_view key) {  // FNV-1a; a clash only makes a read stricter
  std::uint64_t h = 14695981039346656037ULL;
  for (const char c : key) h = (h ^ static_cast<unsigned char>(c)) * 1099511628211ULL;
  return SessionId{h};
}

AnswerMetadata parse_note(std::optional<std::uint64_t> mark, Time base) {
  AnswerMetadata note;
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
      if (router->tracks(it->first)) {
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
      if (a->give_up_at > Time::zero()) {
        out += " stop_at=";
        put_ms(out, a->give_up_at);
      }
    } else if (const auto* c = std::get_if<Cancel>(&action)) {
      out += "cancel" + tag + " txn=" + in.requests.at(c->request.value).name +
             " trial=" + std::to_string(c->attempt);
    } else if (const auto* b = std::get_if<Refuse>(&action)) {
      auto& r = in.requests.at(b->request.value);
      r.ended = true;
      out += "bounce" + tag + " txn=" + r.name;
      if (b->retry_after > Duration::zero()) {
        out += " pause=";
        put_ms(out, b->retry_after);
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
    } else if (std::holds_alternative<OpenWatch>(action)) {
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
    if (const auto born = l.number("born"); born && *born > 0) item.entry.started_at = from_ms(*born);
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
      case 0:
        event.kind = ListKind::delta;
        break;
      case 1:
        event.kind = ListKind::full;
        break;
      case 2:
        event.kind = ListKind::cached;
        break;
      case 3:
        event.kind = ListKind::failed;
        break;
      default:
        return;
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
    event.class_id = cls == in.classes.end() ? ClassId{-1} : cls->second;
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
    event.metadata = parse_note(mark, in.base);
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

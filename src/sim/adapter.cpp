// Implementation of the simulator adapter: parsing of lines, mapping of names to ids, formatting of actions.
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

using namespace text;  // NOLINT(google-build-using-namespace): field parsers

namespace {

/// A line of the simulator's protocol: a verb and its fields. A getter throws ParseError for a field with an
/// invalid value. For a missing field, a getter named `require` throws as well, flag() returns false, and the
/// others return nothing.
class Line {
 public:
  Line(std::string_view verb, std::string_view rest) : verb_(verb), fields_(split_fields(rest)) {}

  [[nodiscard]] std::optional<std::string_view> text(std::string_view name) const {
    for (const auto& field : fields_)
      if (field.name == name) return field.value;
    return std::nullopt;
  }
  [[nodiscard]] std::string_view require(std::string_view name) const {
    const auto value = text(name);
    if (!value || value->empty())
      throw ParseError(std::string(verb_) + ": missing field " + std::string(name));
    return *value;
  }
  [[nodiscard]] std::optional<double> number(std::string_view name) const {
    const auto value = text(name);
    if (!value) return std::nullopt;
    const auto parsed = to_number(*value);
    if (!parsed) throw ParseError(std::string(verb_) + ": invalid number in field " + std::string(name));
    return parsed;
  }
  [[nodiscard]] double require_number(std::string_view name) const {
    static_cast<void>(require(name));
    return *number(name);
  }
  [[nodiscard]] std::optional<std::uint64_t> unsigned_integer(std::string_view name) const {
    const auto value = text(name);
    if (!value) return std::nullopt;
    const auto parsed = to_unsigned(*value);
    if (!parsed) throw ParseError(std::string(verb_) + ": invalid integer in field " + std::string(name));
    return parsed;
  }
  [[nodiscard]] std::int64_t require_int(std::string_view name) const {
    static_cast<void>(require(name));
    const auto value = *unsigned_integer(name);
    if (value > static_cast<std::uint64_t>(std::numeric_limits<std::int64_t>::max()))
      throw ParseError(std::string(verb_) + ": field " + std::string(name) + " out of range");
    return static_cast<std::int64_t>(value);
  }
  /// Whether the field is set to "1" or "true"; any other value is false.
  [[nodiscard]] bool flag(std::string_view name) const {
    const auto value = text(name);
    return value && (*value == "1" || *value == "true");
  }

 private:
  std::string_view verb_;
  std::vector<Field> fields_;
};

// Words of the simulator's protocol, see Outcome for their meaning.
constexpr Keyword<Outcome> outcome_keywords[] = {{"served", Outcome::ok},
                                                 {"server_error", Outcome::error},
                                                 {"turned_away", Outcome::full},
                                                 {"no_answer", Outcome::timeout},
                                                 {"no_connection", Outcome::connect_failed},
                                                 {"connection_lost", Outcome::reset},
                                                 {"called_off", Outcome::cancelled},
                                                 {"not_sent", Outcome::not_sent},
                                                 {"not_stored", Outcome::too_stale}};

constexpr std::int64_t us_per_ms = 1000;

/// The 64-bit FNV-1a hash of a session key. Sessions with equal hashes share a position, which only makes
/// their reads stricter.
SessionId session_id(std::string_view key) {
  constexpr std::uint64_t offset_basis = 14695981039346656037ULL;
  constexpr std::uint64_t prime = 1099511628211ULL;
  std::uint64_t hash = offset_basis;
  for (const char c : key) hash = (hash ^ static_cast<unsigned char>(c)) * prime;
  return SessionId{hash};
}

/// Decodes the `mark` of an answer: the role in the lowest two bits, the position in milliseconds after
/// `base` above them; a position of 0 is unknown.
AnswerMetadata parse_metadata(std::optional<std::uint64_t> mark, Time base) {
  constexpr std::uint64_t role_mask = 3;
  constexpr std::uint64_t primary_role = 1;
  constexpr std::uint64_t replica_role = 2;
  constexpr unsigned role_bits = 2;
  AnswerMetadata metadata;
  if (!mark) return metadata;
  const auto role = *mark & role_mask;
  metadata.role = role == primary_role ? Role::primary : role == replica_role ? Role::replica : Role::unknown;
  const auto position_ms = *mark >> role_bits;
  if (position_ms > 0 && position_ms < static_cast<std::uint64_t>(max_ms))
    metadata.position = base + Time(static_cast<std::int64_t>(position_ms) * us_per_ms);
  return metadata;
}

/// Appends a time in milliseconds, with three decimals unless the time is a whole number of milliseconds.
void append_ms(std::string& out, Duration value) {
  const auto us = value.count();
  out += std::to_string(us / us_per_ms);
  if (const auto fraction_us = us % us_per_ms; fraction_us != 0) {
    // Four digits, with leading zeros of the fraction kept; the first digit becomes the decimal point.
    std::string decimals = std::to_string(fraction_us + us_per_ms);
    decimals[0] = '.';
    out += decimals;
  }
}

}  // namespace

/// A host in a roster, as the simulator describes it. The ids of host and zone differ between instances, so
/// they are filled in when the roster is delivered to an instance.
struct Adapter::Item {
  std::string host;
  std::string zone;
  HostEntry entry;
};

/// A simulated router, with the mapping between the simulator's names and the router's ids.
struct Adapter::Instance {
  std::unique_ptr<Router> router;
  std::vector<std::string> zones;
  std::map<std::string, ClassId, std::less<>> classes;
  Time base_time{};  // origin of replication positions
  std::map<std::string, HostId, std::less<>> host_ids;
  std::map<HostId, std::string> host_names;
  std::uint32_t next_host_id = 1;
  /// A request that has not ended or still has attempts in flight.
  struct Request {
    std::string name;
    int in_flight = 0;  // attempts without an outcome
    bool ended = false;
  };
  std::unordered_map<std::string, RequestId> request_ids;  // by name
  std::unordered_map<std::uint64_t, Request> requests;     // by RequestId
  std::uint64_t next_request_id = 1;

  HostId find_or_add_host(std::string_view name) {
    if (const auto it = host_ids.find(name); it != host_ids.end()) return it->second;
    const HostId id{next_host_id++};
    host_ids.emplace(name, id);
    host_names.emplace(id, name);
    return id;
  }
  std::optional<HostId> find_host(std::string_view name) const {
    const auto it = host_ids.find(name);
    return it == host_ids.end() ? std::nullopt : std::optional<HostId>(it->second);
  }
  std::optional<RequestId> find_request(std::string_view name) const {
    const auto it = request_ids.find(std::string(name));
    return it == request_ids.end() ? std::nullopt : std::optional<RequestId>(it->second);
  }
  /// Forgets a request if it has ended and has no attempt in flight.
  void forget_if_complete(RequestId id) {
    const auto it = requests.find(id.value);
    if (it == requests.end() || !it->second.ended || it->second.in_flight > 0) return;
    request_ids.erase(it->second.name);
    requests.erase(it);
  }
  /// Forgets the hosts that the router no longer tracks.
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

void Adapter::deliver(std::int64_t router_number, Instance& instance, const Event& event, std::string& out) {
  std::vector<Action> actions;
  instance.router->handle(now_, event, actions);
  const std::string router_field = " router=" + std::to_string(router_number);
  for (const auto& action : actions) {
    // Actions for a request that has been forgotten are not written.
    const auto forgotten = [&](RequestId id) { return instance.requests.count(id.value) == 0; };
    if (const auto* send = std::get_if<Send>(&action); send && forgotten(send->request)) continue;
    if (const auto* cancel = std::get_if<Cancel>(&action); cancel && forgotten(cancel->request)) continue;
    if (const auto* refuse = std::get_if<Refuse>(&action); refuse && forgotten(refuse->request)) continue;
    if (const auto* fail = std::get_if<Fail>(&action); fail && forgotten(fail->request)) continue;
    if (const auto* send = std::get_if<Send>(&action)) {
      auto& request = instance.requests.at(send->request.value);
      ++request.in_flight;
      out +=
          "dispatch" + router_field + " txn=" + request.name + " host=" + instance.host_names.at(send->host);
      if (send->give_up_at > Time::zero()) {
        out += " stop_at=";
        append_ms(out, send->give_up_at);
      }
    } else if (const auto* cancel = std::get_if<Cancel>(&action)) {
      out += "cancel" + router_field + " txn=" + instance.requests.at(cancel->request.value).name +
             " trial=" + std::to_string(cancel->attempt);
    } else if (const auto* refuse = std::get_if<Refuse>(&action)) {
      auto& request = instance.requests.at(refuse->request.value);
      request.ended = true;
      out += "bounce" + router_field + " txn=" + request.name;
      if (refuse->retry_after > Duration::zero()) {
        out += " pause=";
        append_ms(out, refuse->retry_after);
      }
      instance.forget_if_complete(refuse->request);
    } else if (const auto* fail = std::get_if<Fail>(&action)) {
      auto& request = instance.requests.at(fail->request.value);
      request.ended = true;
      out += "fail" + router_field + " txn=" + request.name;
      instance.forget_if_complete(fail->request);
    } else if (const auto* probe = std::get_if<Probe>(&action)) {
      out += "inspect" + router_field + " host=" + instance.host_names.at(probe->host);
    } else if (const auto* timer = std::get_if<SetTimer>(&action)) {
      out += "notify_me" + router_field + " alarm_time=";
      append_ms(out, timer->due);
      out += " name=" + std::to_string(timer->timer);
    } else if (std::holds_alternative<OpenWatch>(action)) {
      out += "watch" + router_field + " want=1";  // fixed by the simulator's protocol
    }
    out += '\n';
  }
}

void Adapter::handle_line(std::string_view text, std::string& out) {
  if (!text.empty() && text.back() == '\r') text.remove_suffix(1);
  handle_message(text, out);
}

void Adapter::handle_message(std::string_view text, std::string& out) {
  if (text.empty()) return;
  const auto space = text.find(' ');
  const auto verb = text.substr(0, space);
  const auto rest = space == std::string_view::npos ? std::string_view{} : text.substr(space + 1);
  if (verb == "batch") {
    const Line line(verb, rest);
    now_ = std::max(now_, from_ms(line.require_number("sim_time")));
    in_batch_ = true;
    return;
  }
  if (verb == "over_to_you") {
    if (!in_batch_) throw ParseError("over_to_you: no batch is open");
    in_batch_ = false;
    out += "done\n";
    return;
  }
  if (verb == "item") {
    if (remaining_items_ == 0) return;
    const Line line(verb, rest);
    Item item;
    item.host = line.require("host");
    item.zone = line.text("region_part").value_or("");
    item.entry.group = GroupId{line.text("group") ? line.require_int("group") : 0};
    // The simulator writes flags as decimal numbers, 0 or 1.
    item.entry.listed_primary = line.number("primary").value_or(0) >= 0.5;
    constexpr std::uint64_t gone_mode = 0;
    constexpr std::uint64_t draining_mode = 1;
    constexpr std::uint64_t ready_mode = 2;
    const auto mode = line.unsigned_integer("mode").value_or(ready_mode);
    item.entry.state = mode == gone_mode       ? HostState::gone
                       : mode == draining_mode ? HostState::draining
                                               : HostState::ready;
    item.entry.weight = line.number("weight").value_or(1);
    if (const auto started_ms = line.number("born"); started_ms && *started_ms > 0)
      item.entry.started_at = from_ms(*started_ms);
    rosters_[current_roster_].push_back(std::move(item));
    --remaining_items_;
    return;
  }
  if (verb == "roster") {
    const Line line(verb, rest);
    current_roster_ = line.require_int("ref");
    remaining_items_ = static_cast<std::size_t>(line.require_int("elements"));
    rosters_[current_roster_].clear();
    return;
  }
  if (verb == "enlist") {
    // The settings run from this mark to the end of the line. Without the mark, all fields are read as
    // settings as well.
    constexpr std::string_view settings_mark = " facts=";
    const auto mark_at = rest.find(settings_mark);
    std::string_view fields_text = rest;
    std::string_view settings_text = rest;
    if (mark_at != std::string_view::npos) {
      fields_text = rest.substr(0, mark_at);
      settings_text = rest.substr(mark_at + settings_mark.size());
    }
    const Line line(verb, fields_text);
    const auto router_number = line.require_int("router");
    auto instance = std::make_unique<Instance>();
    try {
      auto settings = parse_settings(settings_text, line.unsigned_integer("prng").value_or(0), "",
                                     instance->zones, instance->base_time);
      for (std::size_t i = 0; i < settings.classes.size(); ++i)
        instance->classes[settings.classes[i].name] = ClassId{static_cast<std::int32_t>(i)};
      instance->router = std::make_unique<Router>(std::move(settings));
    } catch (const std::invalid_argument& error) {
      out += "panic router=" + std::to_string(router_number) + " words=bad setting " + error.what() + "\n";
      instances_.erase(router_number);
      return;
    }
    auto& slot = instances_[router_number];
    slot = std::move(instance);
    deliver(router_number, *slot, Started{}, out);
    return;
  }
  // The remaining messages go to one instance. Those with an unknown verb are skipped without being parsed;
  // "note_from" is parsed, but has no effect.
  const bool known = verb == "power_off" || verb == "fleet" || verb == "query" || verb == "streaming" ||
                     verb == "resolved" || verb == "left" || verb == "ring" || verb == "probe_done" ||
                     verb == "note_from";
  if (!known) return;
  const Line line(verb, rest);
  const auto router_number = line.require_int("router");
  const auto found = instances_.find(router_number);
  if (verb == "power_off") {
    if (found != instances_.end()) instances_.erase(found);
    return;
  }
  if (verb == "fleet") {
    MembersListed event;
    switch (line.require_int("kind")) {
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
      ref = line.require_int("ref");
      if (rosters_.count(ref) == 0) throw ParseError("fleet: unknown roster " + std::to_string(ref));
    }
    if (found == instances_.end()) return;
    auto& instance = *found->second;
    if (event.kind != ListKind::failed) {
      for (const auto& item : rosters_[ref]) {
        auto entry = item.entry;
        entry.host = instance.find_or_add_host(item.host);
        entry.zone = find_or_add_zone(item.zone, instance.zones);
        event.entries.push_back(entry);
      }
    }
    deliver(router_number, instance, event, out);
    instance.prune_hosts();
    return;
  }
  if (verb == "query") {
    const auto name = line.require("txn");
    RequestArrived event;
    event.time_left = from_ms(std::max(0.0, line.require_number("time_budget")));
    // The simulator calls the replica group a cluster.
    event.group = GroupId{line.text("cluster_no") ? line.require_int("cluster_no") : 0};
    if (const auto age_ms = line.number("token_age_ms"); age_ms && *age_ms > 0)
      event.token_age = from_ms(*age_ms);
    if (const auto session = line.text("sess"); session && !session->empty())
      event.session = session_id(*session);
    const auto class_name = line.text("grade").value_or("");
    if (found == instances_.end()) return;
    auto& instance = *found->second;
    const auto class_entry = instance.classes.find(class_name);
    constexpr ClassId unknown_class{-1};
    event.class_id = class_entry == instance.classes.end() ? unknown_class : class_entry->second;
    if (instance.find_request(name)) return;
    event.request = RequestId{instance.next_request_id++};
    instance.request_ids.emplace(name, event.request);
    instance.requests[event.request.value].name = name;
    deliver(router_number, instance, event, out);
    return;
  }
  if (verb == "resolved") {
    AttemptEnded event;
    const auto outcome = lookup(outcome_keywords, line.require("verdict"));
    const auto name = line.require("txn");
    const auto host_name = line.require("host");
    const auto attempt = line.unsigned_integer("trial").value_or(0);
    event.attempt = static_cast<std::uint32_t>(
        std::min<std::uint64_t>(attempt, std::numeric_limits<std::uint32_t>::max()));
    event.elapsed = from_ms(line.number("elapsed").value_or(0));
    event.request_ended = line.flag("ended");
    const auto mark = line.unsigned_integer("mark");
    if (found == instances_.end()) return;
    auto& instance = *found->second;
    const auto request = instance.find_request(name);
    const auto host = instance.find_host(host_name);
    if (!outcome || !request || !host) return;
    event.outcome = *outcome;
    event.request = *request;
    event.host = *host;
    event.metadata = parse_metadata(mark, instance.base_time);
    event.report = parse_report(line.text("stats"), instance.base_time);
    auto& state = instance.requests.at(request->value);
    if (state.in_flight > 0) --state.in_flight;
    if (event.request_ended) state.ended = true;
    deliver(router_number, instance, event, out);
    instance.forget_if_complete(*request);
    return;
  }
  if (verb == "streaming" || verb == "left") {
    const auto name = line.require("txn");
    const auto attempt = line.unsigned_integer("trial").value_or(0);
    if (found == instances_.end()) return;
    auto& instance = *found->second;
    const auto request = instance.find_request(name);
    if (!request) return;
    if (verb == "left") {
      instance.requests.at(request->value).ended = true;
      deliver(router_number, instance, ClientLeft{*request}, out);
      instance.forget_if_complete(*request);
    } else {
      deliver(router_number, instance, AnswerStarted{*request, static_cast<std::uint32_t>(attempt)}, out);
    }
    return;
  }
  if (verb == "probe_done") {
    ProbeEnded event;
    const auto outcome = lookup(outcome_keywords, line.require("verdict"));
    const auto name = line.require("host");
    event.elapsed = from_ms(line.number("elapsed").value_or(0));
    if (found == instances_.end()) return;
    auto& instance = *found->second;
    const auto host = instance.find_host(name);
    if (!host || !outcome) return;
    event.host = *host;
    event.outcome = *outcome;
    event.report = parse_report(line.text("stats"), instance.base_time);
    deliver(router_number, instance, event, out);
    return;
  }
  if (verb == "ring") {
    const auto timer = static_cast<std::uint64_t>(line.require_int("name"));
    if (found != instances_.end()) deliver(router_number, *found->second, TimerFired{timer}, out);
  }
}

int run(std::istream& input, std::ostream& output, std::ostream& errors) {
  constexpr std::string_view batch_end = "done\n";
  constexpr int malformed_input_status = 2;
  Adapter adapter;
  std::string line;
  std::string reply;
  std::uint64_t line_number = 0;
  while (std::getline(input, line)) {
    ++line_number;
    try {
      adapter.handle_line(line, reply);
    } catch (const ParseError& error) {
      errors << "line " << line_number << ": " << error.what() << '\n';
      return malformed_input_status;
    }
    // Replies are collected and written at the end of the batch.
    const bool batch_complete =
        reply.size() >= batch_end.size() &&
        reply.compare(reply.size() - batch_end.size(), batch_end.size(), batch_end) == 0;
    if (batch_complete) {
      output << reply << std::flush;
      reply.clear();
    }
  }
  return 0;
}

}  // namespace cedarring::sim

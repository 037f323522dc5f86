#include "tools/rig/rules.h"

#include <algorithm>
#include <cstdio>

namespace cedarring::rig {
namespace {

constexpr std::size_t max_stored_violations = 100;

const char* name_of(AttemptEnd end) {
  constexpr const char* names[] = {"served", "miss", "full", "error", "closed"};
  return names[static_cast<int>(end)];
}
const char* name_of(Answer a) {
  constexpr const char* names[] = {"served", "refused", "failed", "lost"};
  return names[static_cast<int>(a)];
}
double seconds(Duration d) { return static_cast<double>(d.count()) / 1e6; }

/// Whether it may have run: what a host has turned away, or has told to be elsewhere, never has.
bool may_have_run(AttemptEnd end) { return end != AttemptEnd::too_stale && end != AttemptEnd::full; }

}  // namespace

RuleChecker::RuleChecker(const Limits& limits, std::vector<ClassRule> classes, Time start)
    : limits_(limits), classes_(std::move(classes)), start_(start) {}

std::string RuleChecker::trace(const std::string& id) const {
  const auto it = requests_.find(id);
  if (it == requests_.end()) return {};
  char text[160];
  const auto ms = [&](Time t) { return seconds(t - start_) * 1000; };
  const auto& r = it->second;
  std::snprintf(text, sizeof text, "asked of g%d at %.1f, deadline %.1f", r.gateway, ms(r.at),
                ms(r.deadline));
  std::string trace_text = r.class_index ? text : "asked by nobody";
  for (const auto& a : r.attempts) {
    std::snprintf(text, sizeof text, "; g%d to h%d at %.1f", a.gateway, a.host, ms(a.at));
    trace_text += text;
    if (!a.ended) continue;
    std::snprintf(text, sizeof text, " %s %.1f", name_of(a.end), ms(*a.ended));
    trace_text += text;
  }
  if (r.client_left) {
    std::snprintf(text, sizeof text, "; its client left at %.1f", ms(*r.client_left));
    trace_text += text;
  } else if (r.answered) {
    std::snprintf(text, sizeof text, "; %s at %.1f", name_of(r.answer), ms(*r.answered));
    trace_text += text;
  }
  return trace_text;
}

void RuleChecker::report(const char* rule, const std::string& id, const std::string& description) {
  ++violation_count_;
  if (violations_.size() < max_stored_violations)
    violations_.push_back({rule, id, description + ": " + trace(id)});
}

void RuleChecker::on_request(const std::string& id, int gateway, std::size_t class_index, Time at,
                             Time deadline) {
  auto& r = requests_[id];
  r.class_index = class_index;
  r.gateway = gateway;
  r.at = at;
  r.deadline = deadline;
}

bool RuleChecker::excused(const Request& r, Time until) const {
  for (const int subject : {r.gateway, all_gateways}) {
    const auto it = excused_periods_.find(subject);
    if (it == excused_periods_.end()) continue;
    for (const auto& [from, to] : it->second)
      if (from <= until && to >= r.at) return true;
  }
  return false;
}

/// When a gateway that the rig has stopped can hear what is told at `at`; `at` itself for others.
Time RuleChecker::resumes_at(int gateway, Time at) const {
  const auto it = excused_periods_.find(gateway);
  if (it == excused_periods_.end()) return at;
  for (const auto& [from, to] : it->second)
    if (from <= at && at < to) at = to;
  return at;
}

void RuleChecker::on_answer(const std::string& id, Answer answer, Time at) {
  const auto it = requests_.find(id);
  if (it == requests_.end()) return;
  auto& r = it->second;
  if (r.answered) {
    if (answer != Answer::lost) report("one final answer", id, "a second answer");
    return;
  }
  r.answered = at;
  r.answer = answer;
  const bool in_time = at <= r.deadline + limits_.grace;
  const bool excused = this->excused(r, at);
  if (answer == Answer::lost && !excused)
    return report("one final answer", id, "its connection ended without one");
  if (!in_time && !excused) return report("in time", id, "answered behind its deadline");
  const auto& c = classes_[*r.class_index];
  if (answer != Answer::refused || c.idempotency == Idempotency::safe) return;
  // A refusal says that trying again is harmless: of what is kept apart by its key only in the scope of all
  // hosts.
  const bool may_have_executed = std::any_of(
      r.attempts.begin(), r.attempts.end(), [](const Attempt& a) { return !a.ended || may_have_run(a.end); });
  if (may_have_executed && (c.idempotency == Idempotency::unsafe || c.dedup_scope != DedupScope::all))
    report("refused what may have run", id, "refused");
}

void RuleChecker::on_client_exit(const std::string& id, Time at) {
  const auto it = requests_.find(id);
  if (it != requests_.end() && !it->second.answered) it->second.answered = it->second.client_left = at;
}

std::size_t RuleChecker::on_attempt(const std::string& id, int gateway, int host, int group, Duration work,
                                    Time at, bool connection_ended) {
  ++attempt_count_;
  auto& r = requests_[id];
  const auto number = r.attempts.size();
  r.attempts.push_back({gateway, host, group, at, std::nullopt, AttemptEnd::closed});
  if (!r.class_index) report("sent by nobody", id, "a host was sent what no client asked");
  if (number >= limits_.max_attempts) report("six at most", id, "one attempt too many");
  if (connection_ended) r.attempts.back().ended = at;
  if (r.client_left && !connection_ended &&
      at > *r.client_left + limits_.client_exit_deadline + limits_.grace && !excused(r, at))
    report("nothing for one that left", id, "sent on behind its client's leaving");
  for (std::size_t i = 0; i < number && !connection_ended; ++i)
    if (!r.attempts[i].ended) {
      report("never two at once", id, "sent while an attempt was out");
      break;
    }
  if (r.class_index && number > 0) {
    const auto& c = classes_[*r.class_index];
    const auto earlier = std::find_if(r.attempts.begin(), r.attempts.end() - 1,
                                      [](const Attempt& a) { return !a.ended || may_have_run(a.end); });
    if (c.idempotency != Idempotency::safe && earlier != r.attempts.end() - 1) {
      if (c.idempotency == Idempotency::unsafe)
        report("never again what may have run", id, "sent again");
      else if (at - earlier->at >= c.dedup_window + limits_.grace)
        report("never again what may have run", id, "behind its window");
      else if (c.dedup_scope == DedupScope::group && earlier->group != group)
        report("never again what may have run", id, "to another group");
    }
  }
  if (const auto it = closed_hosts_.find({gateway, host});
      it != closed_hosts_.end() && at > it->second + limits_.drain_deadline + limits_.grace)
    report("nothing new after a drain", id,
           "g" + std::to_string(gateway) + " had been told of h" + std::to_string(host));
  if (const auto it = cold_hosts_.find(host); it != cold_hosts_.end()) {
    auto& c = it->second;
    c.recent_work.emplace_back(at, work);
    c.recent_total += work;
    while (c.recent_work.front().first <= at - limits_.overload_window) {
      c.recent_total -= c.recent_work.front().second;
      c.recent_work.pop_front();
    }
    const auto warm_time = std::max(Duration::zero(), at - limits_.overload_window - c.started_at);
    const double share =
        std::min(1.0, limits_.cold_capacity_share + (1 - limits_.cold_capacity_share) * seconds(warm_time) /
                                                        std::max(0.001, seconds(limits_.warm_up_duration)));
    const double bound = limits_.overload_multiple * share * c.capacity * seconds(limits_.overload_window);
    if (seconds(c.recent_total) > bound && !std::exchange(c.reported, true)) {
      char text[120];
      std::snprintf(text, sizeof text,
                    "h%d, started %.1f s before, was sent %.2f s of work in a window, over %.2f", host,
                    seconds(at - c.started_at), seconds(c.recent_total), bound);
      report("no cold host tipped", id, text);
    }
    if (at - c.started_at > limits_.warm_up_duration) cold_hosts_.erase(it);
  }
  return number;
}

void RuleChecker::on_attempt_end(const std::string& id, std::size_t attempt, AttemptEnd end,
                                 std::optional<Time> position, Time at) {
  const auto it = requests_.find(id);
  if (it == requests_.end() || attempt >= it->second.attempts.size()) return;
  auto& a = it->second.attempts[attempt];
  if (a.ended) return;
  a.ended = at;
  a.end = end;
  if (end != AttemptEnd::served || !position || !it->second.class_index) return;
  const auto& c = classes_[*it->second.class_index];
  if (c.freshness == Freshness::bounded && a.at - *position > c.staleness_bound + limits_.stale_grace)
    report("no read too old", id,
           "the host was " + std::to_string((a.at - *position).count() / 1000) + " ms behind");
}

void RuleChecker::on_listing(int gateway, int host, bool usable, Time at) {
  if (usable)
    closed_hosts_.erase({gateway, host});
  else
    closed_hosts_.try_emplace({gateway, host},
                              std::max({at, resumes_at(gateway, at), binding_from_[gateway]}));
}

void RuleChecker::on_new_process(int gateway) {
  for (auto it = closed_hosts_.begin(); it != closed_hosts_.end();)
    it = it->first.first == gateway ? closed_hosts_.erase(it) : std::next(it);
}

void RuleChecker::on_host_start(int host, double capacity, Time at) {
  auto& c = cold_hosts_[host];
  c = {};
  c.started_at = at;
  c.capacity = capacity;
}

void RuleChecker::check_timeouts(Time now) {
  for (auto it = requests_.begin(); it != requests_.end();) {
    auto& r = it->second;
    // A second of patience: the answer may still be on its way through a loop that is behind.
    if (r.class_index && !r.answered && now > r.deadline + limits_.grace + Duration(1'000'000)) {
      if (!excused(r, now)) report("one final answer", it->first, "no answer");
      r.answered = now;
    }
    const bool finished =
        !r.class_index || (r.answered && now > std::max(*r.answered, r.deadline) + limits_.retention);
    const bool unowned =
        !r.class_index && !r.attempts.empty() && now <= r.attempts.back().at + limits_.retention;
    it = finished && !unowned ? requests_.erase(it) : std::next(it);
  }
}

}  // namespace cedarring::rig

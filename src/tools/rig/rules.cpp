#include "tools/rig/rules.h"

#include <algorithm>
#include <cstdio>

namespace cedarring::rig {
namespace {

constexpr std::size_t max_stored_violations = 100;
constexpr double microseconds_per_second = 1e6;
constexpr double min_warm_up_seconds = 0.001;  // keeps a division by a warm-up of zero defined
// From the end of a request's time limit until a missing answer is reported: the answer may still be queued
// in a delayed event loop.
constexpr Duration missing_answer_delay{1'000'000};

/// The word in traces.
const char* name_of(AttemptEnd end) {
  constexpr const char* names[] = {"served", "miss", "full", "error", "closed"};
  return names[static_cast<int>(end)];
}
/// The word in traces.
const char* name_of(Answer answer) {
  constexpr const char* names[] = {"served", "refused", "failed", "lost"};
  return names[static_cast<int>(answer)];
}
double seconds(Duration duration) { return static_cast<double>(duration.count()) / microseconds_per_second; }

/// Whether the statement may have been executed: hosts reject it unexecuted when full or too stale.
bool may_have_run(AttemptEnd end) { return end != AttemptEnd::too_stale && end != AttemptEnd::full; }

}  // namespace

RuleChecker::RuleChecker(const Limits& limits, std::vector<ClassRule> classes, Time start)
    : limits_(limits), classes_(std::move(classes)), start_(start) {}

std::string RuleChecker::trace(const std::string& id) const {
  const auto it = requests_.find(id);
  if (it == requests_.end()) return {};
  char text[160];
  const auto ms = [&](Time time) { return seconds(time - start_) * 1000; };
  const auto& request = it->second;
  std::snprintf(text, sizeof text, "asked of g%d at %.1f, deadline %.1f", request.gateway, ms(request.at),
                ms(request.deadline));
  std::string trace_text = request.class_index ? text : "asked by nobody";
  for (const auto& attempt : request.attempts) {
    std::snprintf(text, sizeof text, "; g%d to h%d at %.1f", attempt.gateway, attempt.host, ms(attempt.at));
    trace_text += text;
    if (!attempt.ended) continue;
    std::snprintf(text, sizeof text, " %s %.1f", name_of(attempt.end), ms(*attempt.ended));
    trace_text += text;
  }
  if (request.client_left) {
    std::snprintf(text, sizeof text, "; its client left at %.1f", ms(*request.client_left));
    trace_text += text;
  } else if (request.answered) {
    std::snprintf(text, sizeof text, "; %s at %.1f", name_of(request.answer), ms(*request.answered));
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
  auto& request = requests_[id];
  request.class_index = class_index;
  request.gateway = gateway;
  request.at = at;
  request.deadline = deadline;
}

bool RuleChecker::excused(const Request& request, Time until) const {
  for (const int subject : {request.gateway, all_gateways}) {
    const auto it = excused_periods_.find(subject);
    if (it == excused_periods_.end()) continue;
    for (const auto& [from, to] : it->second)
      if (from <= until && to >= request.at) return true;
  }
  return false;
}

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
  auto& request = it->second;
  if (request.answered) {
    if (answer != Answer::lost) report("one final answer", id, "a second answer");
    return;
  }
  request.answered = at;
  request.answer = answer;
  const bool in_time = at <= request.deadline + limits_.grace;
  const bool excused = this->excused(request, at);
  if (answer == Answer::lost && !excused)
    return report("one final answer", id, "its connection ended without one");
  if (!in_time && !excused) return report("in time", id, "answered behind its deadline");
  const auto& class_rule = classes_[*request.class_index];
  if (answer != Answer::refused || class_rule.idempotency == Idempotency::safe) return;
  // A refusal tells the client that a retry is harmless. If the request may have been executed, a retry is
  // harmless only for safe requests, and for keyed ones if hosts of all groups drop repeats.
  const bool may_have_executed =
      std::any_of(request.attempts.begin(), request.attempts.end(),
                  [](const Attempt& attempt) { return !attempt.ended || may_have_run(attempt.end); });
  if (may_have_executed &&
      (class_rule.idempotency == Idempotency::unsafe || class_rule.dedup_scope != DedupScope::all))
    report("refused what may have run", id, "refused");
}

void RuleChecker::on_client_exit(const std::string& id, Time at) {
  const auto it = requests_.find(id);
  if (it == requests_.end() || it->second.answered) return;
  it->second.answered = at;
  it->second.client_left = at;
}

std::size_t RuleChecker::on_attempt(const std::string& id, int gateway, int host, int group, Duration work,
                                    Time at, bool connection_ended) {
  ++attempt_count_;
  auto& request = requests_[id];
  const auto number = request.attempts.size();
  request.attempts.push_back({gateway, host, group, at, std::nullopt, AttemptEnd::closed});
  if (!request.class_index) report("sent by nobody", id, "a host was sent what no client asked");
  if (number >= limits_.max_attempts) report("six at most", id, "one attempt too many");
  if (connection_ended) request.attempts.back().ended = at;
  if (request.client_left && !connection_ended &&
      at > *request.client_left + limits_.client_exit_deadline + limits_.grace && !excused(request, at))
    report("nothing for one that left", id, "sent on behind its client's leaving");
  for (std::size_t i = 0; i < number; ++i)
    if (!request.attempts[i].ended) {
      report("never two at once", id, "sent while an attempt was out");
      break;
    }
  if (request.class_index && number > 0) {
    const auto& class_rule = classes_[*request.class_index];
    // The first attempt that may have been executed; the last entry is the attempt itself.
    const auto earlier =
        std::find_if(request.attempts.begin(), request.attempts.end() - 1,
                     [](const Attempt& attempt) { return !attempt.ended || may_have_run(attempt.end); });
    if (class_rule.idempotency != Idempotency::safe && earlier != request.attempts.end() - 1) {
      if (class_rule.idempotency == Idempotency::unsafe)
        report("never again what may have run", id, "sent again");
      else if (at - earlier->at >= class_rule.dedup_window + limits_.grace)
        report("never again what may have run", id, "behind its window");
      else if (class_rule.dedup_scope == DedupScope::group && earlier->group != group)
        report("never again what may have run", id, "to another group");
    }
  }
  if (const auto it = unusable_hosts_.find({gateway, host});
      it != unusable_hosts_.end() && at > it->second + limits_.drain_deadline + limits_.grace)
    report("nothing new after a drain", id,
           "g" + std::to_string(gateway) + " had been told of h" + std::to_string(host));
  if (const auto it = cold_hosts_.find(host); it != cold_hosts_.end()) {
    auto& cold_host = it->second;
    cold_host.recent_work.emplace_back(at, work);
    cold_host.recent_total += work;
    while (cold_host.recent_work.front().first <= at - limits_.overload_window) {
      cold_host.recent_total -= cold_host.recent_work.front().second;
      cold_host.recent_work.pop_front();
    }
    // How long the host had been up at the start of the window; its capacity at that time sets the bound.
    const auto warm_time = std::max(Duration::zero(), at - limits_.overload_window - cold_host.started_at);
    const double share =
        std::min(1.0, limits_.cold_capacity_share +
                          (1 - limits_.cold_capacity_share) * seconds(warm_time) /
                              std::max(min_warm_up_seconds, seconds(limits_.warm_up_duration)));
    const double bound =
        limits_.overload_multiple * share * cold_host.capacity * seconds(limits_.overload_window);
    if (seconds(cold_host.recent_total) > bound && !std::exchange(cold_host.reported, true)) {
      char text[120];
      std::snprintf(text, sizeof text,
                    "h%d, started %.1f s before, was sent %.2f s of work in a window, over %.2f", host,
                    seconds(at - cold_host.started_at), seconds(cold_host.recent_total), bound);
      report("no cold host tipped", id, text);
    }
    if (at - cold_host.started_at > limits_.warm_up_duration) cold_hosts_.erase(it);
  }
  return number;
}

void RuleChecker::on_attempt_end(const std::string& id, std::size_t attempt_index, AttemptEnd end,
                                 std::optional<Time> position, Time at) {
  const auto it = requests_.find(id);
  if (it == requests_.end() || attempt_index >= it->second.attempts.size()) return;
  auto& attempt = it->second.attempts[attempt_index];
  if (attempt.ended) return;
  attempt.ended = at;
  attempt.end = end;
  if (end != AttemptEnd::served || !position || !it->second.class_index) return;
  const auto& class_rule = classes_[*it->second.class_index];
  if (class_rule.freshness == Freshness::bounded &&
      attempt.at - *position > class_rule.staleness_bound + limits_.stale_grace)
    report("no read too old", id,
           "the host was " + std::to_string((attempt.at - *position).count() / 1000) + " ms behind");
}

void RuleChecker::on_listing(int gateway, int host, bool usable, Time at) {
  if (usable)
    unusable_hosts_.erase({gateway, host});
  else
    unusable_hosts_.try_emplace({gateway, host},
                                std::max({at, resumes_at(gateway, at), binding_from_[gateway]}));
}

void RuleChecker::on_new_process(int gateway) {
  for (auto it = unusable_hosts_.begin(); it != unusable_hosts_.end();)
    it = it->first.first == gateway ? unusable_hosts_.erase(it) : std::next(it);
}

void RuleChecker::on_host_start(int host, double capacity, Time at) {
  auto& cold_host = cold_hosts_[host];
  cold_host = {};
  cold_host.started_at = at;
  cold_host.capacity = capacity;
}

void RuleChecker::check_timeouts(Time now) {
  for (auto it = requests_.begin(); it != requests_.end();) {
    auto& request = it->second;
    if (request.class_index && !request.answered &&
        now > request.deadline + limits_.grace + missing_answer_delay) {
      if (!excused(request, now)) report("one final answer", it->first, "no answer");
      request.answered = now;
    }
    const bool finished =
        !request.class_index ||
        (request.answered && now > std::max(*request.answered, request.deadline) + limits_.retention);
    // A request that no client sent is forgotten when its last attempt is old.
    const bool recent_without_client = !request.class_index && !request.attempts.empty() &&
                                       now <= request.attempts.back().at + limits_.retention;
    it = finished && !recent_without_client ? requests_.erase(it) : std::next(it);
  }
}

}  // namespace cedarring::rig

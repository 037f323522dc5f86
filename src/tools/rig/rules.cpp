#include "tools/rig/rules.h"

#include <algorithm>
#include <cstdio>

namespace cedarring::rig {
namespace {

constexpr std::size_t violations_most = 100;

const char* name_of(Over how) {
  constexpr const char* names[] = {"served", "miss", "full", "error", "closed"};
  return names[static_cast<int>(how)];
}
const char* name_of(Answer a) {
  constexpr const char* names[] = {"served", "refused", "failed", "lost"};
  return names[static_cast<int>(a)];
}
double seconds(Duration d) { return static_cast<double>(d.count()) / 1e6; }

/// Whether it may have run: what a host has turned away, or has told to be elsewhere, never has.
bool may_have_run(Over how) { return how != Over::miss && how != Over::full; }

}  // namespace

Rules::Rules(const Limits& limits, std::vector<ClassRule> classes, Time start)
    : limits_(limits), classes_(std::move(classes)), start_(start) {}

std::string Rules::course(const std::string& id) const {
  const auto it = requests_.find(id);
  if (it == requests_.end()) return {};
  char text[160];
  const auto ms = [&](Time t) { return seconds(t - start_) * 1000; };
  const auto& r = it->second;
  std::snprintf(text, sizeof text, "asked of g%d at %.1f, deadline %.1f", r.gateway, ms(r.at),
                ms(r.deadline));
  std::string all = r.cls ? text : "asked by nobody";
  for (const auto& a : r.attempts) {
    std::snprintf(text, sizeof text, "; g%d to h%d at %.1f", a.gateway, a.host, ms(a.at));
    all += text;
    if (!a.ended) continue;
    std::snprintf(text, sizeof text, " %s %.1f", name_of(a.how), ms(*a.ended));
    all += text;
  }
  if (r.left) {
    std::snprintf(text, sizeof text, "; its client left at %.1f", ms(*r.left));
    all += text;
  } else if (r.answered) {
    std::snprintf(text, sizeof text, "; %s at %.1f", name_of(r.answer), ms(*r.answered));
    all += text;
  }
  return all;
}

void Rules::broke(const char* rule, const std::string& id, const std::string& why) {
  ++broken_;
  if (violations_.size() < violations_most) violations_.push_back({rule, id, why + ": " + course(id)});
}

void Rules::asked(const std::string& id, int gateway, std::size_t cls, Time at, Time deadline) {
  auto& r = requests_[id];
  r.cls = cls, r.gateway = gateway, r.at = at, r.deadline = deadline;
}

bool Rules::excused(const Request& r, Time until) const {
  for (const int who : {r.gateway, everybody}) {
    const auto it = harmed_.find(who);
    if (it == harmed_.end()) continue;
    for (const auto& [from, to] : it->second)
      if (from <= until && to >= r.at) return true;
  }
  return false;
}

/// When a gateway that the rig has stopped can hear what is told at `at`; `at` itself for others.
Time Rules::goes_on(int gateway, Time at) const {
  const auto it = harmed_.find(gateway);
  if (it == harmed_.end()) return at;
  for (const auto& [from, to] : it->second)
    if (from <= at && at < to) at = to;
  return at;
}

void Rules::answered(const std::string& id, Answer answer, Time at) {
  const auto it = requests_.find(id);
  if (it == requests_.end()) return;
  auto& r = it->second;
  if (r.answered) {
    if (answer != Answer::lost) broke("one final answer", id, "a second answer");
    return;
  }
  r.answered = at, r.answer = answer;
  const bool in_time = at <= r.deadline + limits_.grace;
  const bool excused = this->excused(r, at);
  if (answer == Answer::lost && !excused)
    return broke("one final answer", id, "its connection ended without one");
  if (!in_time && !excused) return broke("in time", id, "answered behind its deadline");
  const auto& c = classes_[*r.cls];
  if (answer != Answer::refused || c.effect == Idempotency::safe) return;
  // A refusal says that trying again is harmless: of what is kept apart by its key only in the scope of all
  // hosts.
  const bool ran = std::any_of(r.attempts.begin(), r.attempts.end(),
                               [](const Attempt& a) { return !a.ended || may_have_run(a.how); });
  if (ran && (c.effect == Idempotency::unsafe || c.scope != DedupScope::all))
    broke("refused what may have run", id, "refused");
}

void Rules::left(const std::string& id, Time at) {
  const auto it = requests_.find(id);
  if (it != requests_.end() && !it->second.answered) it->second.answered = it->second.left = at;
}

std::size_t Rules::attempt(const std::string& id, int gateway, int host, int group, Duration work, Time at,
                           bool given_up) {
  ++attempts_;
  auto& r = requests_[id];
  const auto number = r.attempts.size();
  r.attempts.push_back({gateway, host, group, at, std::nullopt, Over::closed});
  if (!r.cls) broke("sent by nobody", id, "a host was sent what no client asked");
  if (number >= limits_.attempts) broke("six at most", id, "one attempt too many");
  if (given_up) r.attempts.back().ended = at;
  if (r.left && !given_up && at > *r.left + limits_.after_leaving + limits_.grace && !excused(r, at))
    broke("nothing for one that left", id, "sent on behind its client's leaving");
  for (std::size_t i = 0; i < number && !given_up; ++i)
    if (!r.attempts[i].ended) {
      broke("never two at once", id, "sent while an attempt was out");
      break;
    }
  if (r.cls && number > 0) {
    const auto& c = classes_[*r.cls];
    const auto ran = std::find_if(r.attempts.begin(), r.attempts.end() - 1,
                                  [](const Attempt& a) { return !a.ended || may_have_run(a.how); });
    if (c.effect != Idempotency::safe && ran != r.attempts.end() - 1) {
      if (c.effect == Idempotency::unsafe)
        broke("never again what may have run", id, "sent again");
      else if (at - ran->at >= c.window + limits_.grace)
        broke("never again what may have run", id, "behind its window");
      else if (c.scope == DedupScope::group && ran->group != group)
        broke("never again what may have run", id, "to another group");
    }
  }
  if (const auto it = closed_.find({gateway, host});
      it != closed_.end() && at > it->second + limits_.after_drain + limits_.grace)
    broke("nothing new after a drain", id,
          "g" + std::to_string(gateway) + " had been told of h" + std::to_string(host));
  if (const auto it = cold_.find(host); it != cold_.end()) {
    auto& c = it->second;
    c.came.emplace_back(at, work), c.sum += work;
    while (c.came.front().first <= at - limits_.tip_after) c.sum -= c.came.front().second, c.came.pop_front();
    const auto up = std::max(Duration::zero(), at - limits_.tip_after - c.since);
    const double share = std::min(1.0, limits_.cold_from + (1 - limits_.cold_from) * seconds(up) /
                                                               std::max(0.001, seconds(limits_.cold_for)));
    const double bound = limits_.tip_multiple * share * c.capacity * seconds(limits_.tip_after);
    if (seconds(c.sum) > bound && !std::exchange(c.told, true)) {
      char text[120];
      std::snprintf(text, sizeof text,
                    "h%d, started %.1f s before, was sent %.2f s of work in a window, over %.2f", host,
                    seconds(at - c.since), seconds(c.sum), bound);
      broke("no cold host tipped", id, text);
    }
    if (at - c.since > limits_.cold_for) cold_.erase(it);
  }
  return number;
}

void Rules::over(const std::string& id, std::size_t attempt, Over how, std::optional<Time> position,
                 Time at) {
  const auto it = requests_.find(id);
  if (it == requests_.end() || attempt >= it->second.attempts.size()) return;
  auto& a = it->second.attempts[attempt];
  if (a.ended) return;
  a.ended = at, a.how = how;
  if (how != Over::served || !position || !it->second.cls) return;
  const auto& c = classes_[*it->second.cls];
  if (c.freshness == Freshness::bounded && a.at - *position > c.bound + limits_.stale_grace)
    broke("no read too old", id,
          "the host was " + std::to_string((a.at - *position).count() / 1000) + " ms behind");
}

void Rules::told(int gateway, int host, bool open, Time at) {
  if (open)
    closed_.erase({gateway, host});
  else
    closed_.try_emplace({gateway, host}, std::max({at, goes_on(gateway, at), binds_[gateway]}));
}

void Rules::anew(int gateway) {
  for (auto it = closed_.begin(); it != closed_.end();)
    it = it->first.first == gateway ? closed_.erase(it) : std::next(it);
}

void Rules::started(int host, double capacity, Time at) {
  auto& c = cold_[host];
  c = {};
  c.since = at, c.capacity = capacity;
}

void Rules::look(Time now) {
  for (auto it = requests_.begin(); it != requests_.end();) {
    auto& r = it->second;
    // A second of patience: the answer may still be on its way through a loop that is behind.
    if (r.cls && !r.answered && now > r.deadline + limits_.grace + Duration(1'000'000)) {
      if (!excused(r, now)) broke("one final answer", it->first, "no answer");
      r.answered = now;
    }
    const bool over = !r.cls || (r.answered && now > std::max(*r.answered, r.deadline) + limits_.kept);
    const bool stray = !r.cls && !r.attempts.empty() && now <= r.attempts.back().at + limits_.kept;
    it = over && !stray ? requests_.erase(it) : std::next(it);
  }
}

}  // namespace cedarring::rig

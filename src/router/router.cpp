// The decision module: every choice the router makes. Its interface is include/cedarring/router.h.
// It reads as a router works: membership, positions, primary, health, selection, admission, attempts, timers.
#include "cedarring/router.h"

#include <algorithm>
#include <numeric>
#include <random>
#include <tuple>
#include <utility>

#include "cedarring/snapshot.h"
#include "fleet/weighted_choice.h"
#include "handover/router_snapshot.h"
#include "router/state.h"

namespace cedarring {
using namespace state;  // NOLINT(google-build-using-namespace): the module's own records

namespace {

// ---- tuned values: all are shares or multiples of settings and of what is observed ----
constexpr double latency_gain = 0.15,
                 class_gain = 0.03;       // EWMA gains: a host against its class, a class (slow)
constexpr double default_latency = 0.25;  // of the class aim, until measured
constexpr double fail_gain = 0.2;         // EWMA gain of a host's failures
constexpr double eject_at = 0.5;          // failure score from which a host is ejected
constexpr double refused_weight = 3;      // failures that one refused connection counts for: enough to eject
constexpr int silent_probes = 2;          // probes lost in a row that make a host suspect
constexpr double doubt_at = 0.5;          // doubt of the probes themselves from which lost ones say nothing
constexpr double silence_latencies = 5;   // expected latencies without an answer that make a host suspect
constexpr double trial_patiences = 4;     // of those, between single trials of a host taken for dead
constexpr double lost_latencies = 12;     // expected latencies after which an attempt alone counts as lost
constexpr double age_multiple = 3;        // times the usual report age that make a primary's claim stale
constexpr double window_start = 12;       // in-flight window of a host over all routers at the start
constexpr double window_high = 0.27, window_low = 0.21;  // smoothed latency over aim: window shrinks, grows
constexpr double timeout_loads = 1.5;                    // smoothed loads that a time-out counts for, at most
constexpr double window_least = 0.25, window_cut = 0.9;  // smallest window (replicas pool it); one shrink
constexpr double read_share = 0.5;                   // of the primary's window that fallback reads may fill
constexpr double load_open = 0.35, load_shut = 0.6;  // recent latency over aim: all, next to nothing admitted
constexpr double backup_load = 1.4;  // a primary's load as it counts for reads that fall back to it
constexpr double load_full = 2;      // what an answer 'full' counts for
constexpr double queue_news = 1.3;   // useful probe periods for which a reported queue is believed
constexpr double busy_util = 0.9;    // reported use of cores from which a host counts as full
constexpr double group_seconds = 12,
                 rate_seconds = 3;                   // memory of one group's load (few samples), of rates
constexpr double load_samples = 12, load_prior = 3;  // samples remembered; own ones that outweigh all groups
constexpr double admit_least = 0.03;                 // share of the work that is always admitted
constexpr double retry_ratio = 0.2, retry_cap = 10;  // further attempts earned by a request, saved at most
constexpr double cold_share = 0.67;                  // of the tipping budget that is used: see cold_turn
constexpr double probe_bound_share = 0.2;            // probe period as a share of the tightest bound in use
constexpr int asked_at_once =
    2;  // replicas probed for a read that finds none recent enough, where only probes tell
constexpr double probe_load = 0.01;    // urgent probes of all routers: so many in a typical latency
constexpr double probe_points = 0.01;  // probing may cost about this much of the result
constexpr double probe_cap = 10, probe_kept = 0.5;  // probes saved at most; share kept for urgent ones
constexpr double hold_share = 0.45;  // of its time that a request may wait unsent, where holding costs
constexpr double forget_aims = 60;   // longest aims after which a session's last write becomes the floor

}  // namespace

class Router::Impl : Learnt {
 public:
  explicit Impl(Settings settings)
      : Learnt({settings.probe_cost, probe_points, probe_cap}), s_(std::move(settings)), random_(s_.seed) {
    update_settings(s_);
    retry_tokens_ = retry_cap;
    for (auto& l : load_) l.memory = rate_seconds, l.most = load_samples;
    probe_time_ = shortest_aim_ / 32;
    per_queued_ = typical() / 3;
  }

  /// Open requests keep their classes, which keep their numbers: what was learnt of them stays.
  void update_settings(Settings settings) {
    check(settings);
    s_ = std::move(settings);
    for (auto& c : s_.classes) c.max_attempts = c.max_attempts > 0 ? c.max_attempts : s_.max_attempts;
    std::tie(longest_aim_, mean_aim_, shortest_aim_, tightest_) = aims(s_.classes);
    for (auto* d : {&wanted_[0], &wanted_[1], &arrived_, &served_})
      d->by.resize(s_.classes.size()), d->memory = d == &served_ ? group_seconds : rate_seconds;
    for (auto i = class_latency_.size(); i < s_.classes.size(); ++i)
      class_latency_.push_back(scale(s_.classes[i].latency_target, default_latency));
    beat_ = std::max(scale(s_.quantum, 4), Duration(10'000));
  }

  void handle(Time now, const Event& event, std::vector<Action>& out) {
    now_ = std::max(now_, now);
    if (started_ == never) started_ = now_;
    out_ = &out;
    std::visit([this](const auto& e) { on(e); }, event);
    arm();
    out_ = nullptr;
  }

  void group_views(Time now, std::vector<GroupView>& out) {
    now_ = std::max(now_, now);
    for (auto& [id, g] : groups_) {
      GroupView v;
      v.group = id, v.waiting = static_cast<int>(g.waiting.size());
      const Host* top = primary(id);
      v.has_primary = top && usable(*top);
      if (top) v.primary_in_flight = top->in_flight(), v.primary_concurrency_limit = top->window;
      for (const auto w : g.waiting) v.primary_waiting += only_primary(requests_.at(w).cls.value) ? 1 : 0;
      for (const Host* m : g.members) {
        if (!open(*m)) continue;
        ++v.hosts, v.unavailable += healthy(*m) ? 0 : 1, v.in_flight += m->in_flight(),
            v.concurrency_limit += m->window;
        v.avoided += !healthy(*m) && now_ - m->last_sent > longest_aim_ * 2 ? 1 : 0;
        if (m == top) continue;
        ++v.replicas;
        if (tightest_ != forever && now_ - m->position > tightest_) ++v.lagging;
      }
      out.push_back(v);
    }
  }
  void set_tuning(const Tuning& t) { tuning_ = t; }
  void set_max_in_flight(int places) { places_ = places; }
  RouterSnapshot snapshot(Time now, SnapshotScope what) {
    return handover::known(*this, s_, now_ = std::max(now_, now), what);
  }
  void merge_snapshot(Time now, const RouterSnapshot& k) {
    handover::learn(*this, s_, k, now_ = std::max(now_, now));
  }
  void suspend_spending() { retry_tokens_ = 0, probes_.set_balance(0), cold_part_.set(0, 0); }
  void set_slow_start_share(Time now, double part) {
    cold_part_.schedule_increase(now + s_.overload_window, part);
  }
  bool tracks(HostId id) const { return hosts_.count(id) > 0; }
  std::size_t entry_count() const {
    std::size_t n = hosts_.size() + requests_.size();
    for (const auto& [id, g] : groups_) n += g.sessions.size() + g.waiting.size();
    return n;
  }

 private:
  // ---- membership ----
  void on(const Started&) {
    if (s_.discovery_mode == DiscoveryMode::poll) {
      // Spread over the routers: all may start together.
      const auto slot = scale(s_.max_poll_interval, 0.1) / s_.instance_count;
      ask_at_ = now_ + slot * static_cast<std::int64_t>(s_.instance_index);
      ask_wait_ = scale(s_.max_poll_interval, 0.05);
    }
  }

  void on(const MembersListed& list) {
    if (list.kind == ListKind::failed) {
      // Ask again after growing, jittered waits, always well inside the time within which we must have asked.
      ask_at_ = now_ + scale(ask_wait_, 0.5 + draw01());
      ask_wait_ = std::min(ask_wait_ * 2, scale(s_.max_poll_interval, 0.4));
      return;
    }
    if (list.kind != ListKind::cached) ask_wait_ = scale(s_.max_poll_interval, 0.05);
    if (list.kind != ListKind::delta)
      for (auto& [id, h] : hosts_) h.listed = false;
    for (const auto& e : list.entries) enlist(e);
    ready_ = 0, warm_at_.clear();
    for (auto it = hosts_.begin(); it != hosts_.end();) {
      Host& h = (it++)->second;
      if (!h.listed) take_state(h, HostState::gone);
      ready_ += open(h) ? 1 : 0;
      if (open(h) && warmth(h) < 1) warm_at_.insert(h.cold_since + s_.warm_up_duration);
      if (h.state != HostState::gone || h.in_flight() > 0) continue;
      groups_[h.group].remove(h);
      hosts_.erase(HostId(h.id));
    }
    for (auto& [id, g] : groups_) pump(id);
  }

  void enlist(const HostEntry& e) {
    auto [it, fresh] = hosts_.try_emplace(e.host);
    Host& h = it->second;
    if (!fresh && h.group != e.group) groups_[h.group].remove(h);
    if (fresh || h.group != e.group) {
      h.id = e.host;
      h.group = e.group;
      if (fresh) h.outlier = fleet::OutlierDetector({fail_gain, rate_seconds, eject_at});
      h.window = window_start / s_.instance_count;
      Group& g = groups_[e.group];
      for (auto& l : g.load) l.memory = group_seconds, l.most = load_samples;
      auto& m = g.members;
      m.insert(std::find_if(m.begin(), m.end(), [&](const Host* o) { return h.id < o->id; }), &h);
      h.last_probe = now_ - scale(shortest_aim_, draw01());
    }
    h.listed = true;
    h.zone = e.zone;
    h.named = e.listed_primary && s_.listed_role != ListedRole::none;
    take_state(h, e.state);
    // A listed role may be old, so it counts as the weakest evidence: anything heard from a host beats it.
    if (e.listed_primary && s_.listed_role != ListedRole::none && h.role == Role::unknown) {
      h.role = Role::primary;
      h.role_at = never + Duration(1);
    }
    const Time born = e.started_at.value_or(never);
    if (born > h.cold_since && now_ - born < s_.warm_up_duration) {
      h.cold_since = born;
      h.outlier.reset();
      h.lost_probes = 0;
      h.slowness = 1;
    }
  }

  /// Where only a listed drain binds, a host that merely left the list stays in use: outcomes tell of it.
  void take_state(Host& h, HostState state) const {
    if (state == HostState::gone && s_.removed_hosts_stay_usable && h.state == HostState::ready) return;
    h.state = state;
  }

  // ---- positions ----
  void learn_position(Host& h, Time position) {
    if (position > now_) return;  // a lower bound cannot lie ahead: a report that claims so is broken
    if (position > h.position) h.moved = now_;
    h.position = std::max(h.position, position);
    h.position_at = now_;
  }

  /// The design's step weight of a replica for a request: 0 is down.
  double step_weight(const Host& h, const Request& r) const {
    const auto& c = s_.classes[r.cls.value];
    if (behind(h, r))
      return h.position == never || s_.stale_read_policy == StaleReadPolicy::none
                 ? 0
                 : fleet::StaleReadSuccessRate::weight(groups_.at(h.group).past, past_);
    return c.freshness == Freshness::bounded ? fleet::lag_weight(now_ - h.position, c.staleness_bound) : 1;
  }
  /// Whether the replica is believed too far behind for the request; its host judges by what is true.
  bool behind(const Host& h, const Request& r) const {
    const auto& c = s_.classes[r.cls.value];
    if (c.freshness == Freshness::session) return h.position < r.needs;
    return c.freshness == Freshness::bounded && now_ - h.position > c.staleness_bound;
  }

  // ---- primary ----
  /// Newest evidence wins, by when it was true.
  void learn_role(Host& h, Role role, Time when) {
    if (role == Role::unknown || when < h.role_at) return;
    h.role = role;
    h.role_at = when;
  }

  Host* primary(GroupId id) {
    Host* best = nullptr;
    for (Host* m : groups_[id].members)
      if (m->role == Role::primary && open(*m) && (!best || m->role_at > best->role_at)) best = m;
    return best;
  }

  // ---- health ----
  Duration expected(const Host& h, ClassId cls) const {
    // Cores shared among many requests slow them all before a queue shows.
    const double u = queue_known(h) ? h.util : 0;
    return scale(class_latency_[cls.value], h.slowness * (1 + u * u * u / (1.2 - u))) + queue_delay(h);
  }

  /// A report of the queue is news for about as long as a position.
  bool queue_known(const Host& h) const { return now_ - h.queued_at <= scale(useful_period(), queue_news); }
  Duration queue_delay(const Host& h) const {
    return queue_known(h) ? scale(per_queued_, h.queued) : Duration::zero();
  }
  /// Where reports tell the queue: too long for the answer to be worth its work.
  bool jammed(const Host& h, const Request& r) const {
    return h.queued > 0 && queue_known(h) && now_ + queue_delay(h) > last_send(r);
  }

  /// How long a host may owe any answer before it is suspect.
  Duration patience(const Host& h) const {
    return std::max(shortest_aim_ / 2, scale(typical(), silence_latencies * std::min(h.slowness, 2.0)));
  }
  Duration typical() const {
    return std::accumulate(class_latency_.begin(), class_latency_.end(), Duration{}) /
           static_cast<std::int64_t>(class_latency_.size());
  }

  /// Silence: hangs, cuts, lost processes, frozen claims. Only a trial goes there: soon where the position
  /// still moves (i358951), else seldom. Harm: a host that holds only long queries is spared until it
  /// answers.
  bool silent(const Host& h) const {
    const auto wait = patience(h);
    const bool stale_claim = h.role == Role::primary &&
                             h.report_age > std::max(wait, scale(usual_age_, age_multiple)) &&
                             now_ - h.heard > wait;
    if ((h.lost_probes < silent_probes || probe_doubt_ > doubt_at) && !stale_claim) {
      if (h.quiet(now_) <= wait) return false;
      if (now_ - h.moved <= wait) return now_ - *h.out.rbegin() <= wait;
    }
    // A stale claim that moves now and then is tried as well: else it would keep the host out for good.
    const auto sign = std::max({h.last_sent, h.heard, stale_claim ? never : h.moved});
    return !h.out.empty() || now_ - sign <= scale(wait, trial_patiences);
  }

  bool healthy(const Host& h) const {
    if (silent(h)) return false;
    return !h.outlier.ejected() || (h.outlier.ready_for_trial(now_) && h.in_flight() == 0);  // a single trial
  }

  /// What has nowhere else to go uses a primary in spite of its errors (iae7ffd), not of silence or refusals.
  bool usable(const Host& h) const { return healthy(h) || (h.refusals == 0 && !silent(h)); }

  void failed(Host& h, double weight) {
    if (!h.outlier.record_failure(now_, started_, weight)) return;
    // What only the primary can take has nowhere else to go meanwhile.
    const auto gap = std::min(groups_[h.group].send_gap(), longest_aim_ * 8);
    const auto first = std::max(shortest_aim_ / 2, h.role == Role::primary ? Duration{} : gap);
    h.outlier.eject(now_, first, longest_aim_ * 16, 0.75 + draw01() / 2);
  }

  void answered(Host& h) {
    h.heard = now_;
    // A process that could not be reached and now answers has started again: cold (ib4e6e7).
    if (h.refusals > 1 && warmth(h) >= 1) h.cold_since = now_;
    h.refusals = 0;
    if (h.lost_probes > 0) probe_doubt_ += (1 - probe_doubt_) * fail_gain;
    h.lost_probes = 0;
    h.outlier.record_success(now_, started_);
  }

  void learn_latency(Host& h, const Request& r, Duration elapsed) {
    auto& mean = class_latency_[r.cls.value];
    if (h.queued >= 1 && queue_known(h) && h.queued_at <= now_ - elapsed)
      per_queued_ += scale(scale(elapsed - mean, 1 / h.queued) - per_queued_, class_gain);
    per_queued_ = std::max(per_queued_, typical() / 20);
    mean += scale(elapsed - mean, class_gain);
    h.slowness += latency_gain * (ms(elapsed) / std::max(0.1, ms(mean)) - h.slowness);
    h.slowness = std::clamp(h.slowness, 0.1, 50.0);
    congested(h, r, elapsed, true);
  }

  /// The in-flight window: AIMD on latency over aim. A time-out beside quick answers counts in their
  /// proportion: it was lost, not queued (i358951).
  void congested(Host& h, const Request& r, Duration elapsed, bool answer) {
    h.load += latency_gain * (ms(elapsed) / ms(s_.classes[r.cls.value].latency_target) - h.load);
    if (h.load > window_high && now_ - h.window_cut_at > class_latency_[r.cls.value]) {
      h.window = std::max(window_least, h.window * window_cut);
      h.window_cut_at = now_;
    } else if (answer && h.load < window_low && h.in_flight() + 1 >= h.window * 0.7) {
      h.window += 1 / std::max(1.0, h.window);
    }
  }

  // ---- selection ----
  /// What a started host can do now as a share of the full; 1 when warm.
  double warmth(const Host& h, Duration ago = {}) const {
    if (h.cold_since == never || now_ - h.cold_since >= s_.warm_up_duration) return 1;
    const auto up = std::max(Duration::zero(), now_ - ago - h.cold_since);
    return s_.cold_capacity_share + (1 - s_.cold_capacity_share) * ms(up) / ms(s_.warm_up_duration);
  }

  /// The budget of rule 4: multiple x present capacity x tip_after, in every window, from all routers. None
  /// knows what the others send, so each keeps to a part, and the parts add up to a share of it:
  /// - Capacity: the work that warm hosts answered, a host. No fleet answers more than it can do, so parts
  ///   add up to a warm host at most, in overload and retry storms too; after a restart a router's is 0. The
  ///   present share is what is promised at the start of the window. Harm: spares a host that is warmer.
  /// - Chance: a part of hundreds is far less than one send, and sends saved up would meet when a handover or
  ///   held work calls for all. So nothing is saved: a request goes with the chance that makes the part of
  ///   all that may come, repeats too. Where no warm host can serve it, what may be held counts as well; on a
  ///   primary, what needs it and reads that fall back share. Whole sends of a part need no chance.
  /// - Share: late news excuses unless two thirds come from those told, so these may use two thirds. A third
  ///   is left to handshakes, probes, slow hosts, chance; warm hosts are not always full, so parts are less.
  bool cold_turn(const Request& r, Host& h, double pick, bool alone) {
    if (warmth(h) >= 1) return true;
    const double window = ms(s_.overload_window) / 1000, warm = warmth(h, s_.overload_window);
    const double part = cold_share * s_.overload_multiple * warm * window * host_rate();
    const Time from = now_ - s_.overload_window;
    const double left = cold_part_.remaining(now_, part, h.spent.own(from), h.spent.others(from));
    if (left >= work(r.cls.value)) return true;
    const double all = std::max(1.0, arrived_.sum(now_)), seconds = arrived_.seconds(now_ - started_);
    const double of_group =
        std::max(1.0 / groups_.size(), std::min(1.0, groups_[r.group].rate * seconds / all));
    const bool must = only_primary(r.cls.value);
    double asked = 0;  // of this group, by requests like this one
    for (std::size_t i = 0; i < s_.classes.size(); ++i)
      if (only_primary(i) == must)
        asked += arrived_.by[i] / seconds * work(i) * (window + (alone ? ms(worthwhile(i)) / 1000 : 0));
    const double share = h.role != Role::primary ? 1 : must ? 1 - read_share : read_share;
    const bool turn = r.luck * asked * of_group * pick < left * share;
    drew_ = drew_ || !turn;
    return turn;
  }
  /// The work a second that warm hosts answered, a host; one that crashed counts until the list tells.
  double host_rate() {
    warm_at_.erase(warm_at_.begin(), warm_at_.upper_bound(now_));
    const auto warm = std::max(1, ready_ - static_cast<int>(warm_at_.size()));
    return served_.sum(now_) / served_.seconds(now_ - started_) / warm;
  }
  double work(std::size_t i) const { return ms(class_latency_[i]) / std::max(0.1, ms(typical())); }
  double worth(std::size_t i) const { return s_.classes[i].value / std::max(0.1, ms(class_latency_[i])); }
  std::size_t cap(const Request& r) const { return s_.classes[r.cls.value].max_attempts; }
  bool only_primary(std::size_t i) const { return s_.classes[i].freshness >= Freshness::fresh; }

  bool open(const Host& h) const { return h.state == HostState::ready; }
  /// Attempts that a host owes for long while it answers others do not fill its window: they are lost.
  bool room(const Host& h, double share = 1) const {
    const auto since = now_ - patience(h) * 2;
    const auto lost = h.heard > since ? std::distance(h.out.begin(), h.out.lower_bound(since)) : 0;
    return h.in_flight() - static_cast<int>(lost) < std::max(1.0, h.window * share);
  }

  /// The replicas' windows, pooled: one attempt from each of many routers would jam a host (i7ba6cd). Harm: a
  /// slow host's window counts for the others.
  bool pool_open(const Group& g, const Host* top) const {
    double windows = 0;
    int out = 0;
    for (const Host* m : g.members)
      if (m != top && open(*m)) windows += m->window, out += m->in_flight();
    return out < std::max(1.0, windows);
  }

  /// What a replica whose queue is not known is taken to have: what the others of its group do. Those heard
  /// last alone would have all reads until others are heard. Harm: a full host is taken for a usual one.
  Duration usual_queue(const Group& g, const Host* top) const {
    Duration all{};
    std::int64_t known = 0;
    for (const Host* m : g.members)
      if (m != top && open(*m) && queue_known(*m)) all += queue_delay(*m), ++known;
    return known > 0 ? all / known : Duration::zero();
  }

  /// The draw; a cold host that it falls on must have its turn, else it falls again among the warm.
  Host* warm_draw(const Request& r, std::vector<std::pair<Host*, double>>& from) {
    Host* h = fleet::weighted_choice(from, draw01());
    if (!h || warmth(*h) >= 1) return h;
    double total = 0, mine = 0;
    for (const auto& [m, w] : from) total += w, mine += m == h ? w : 0;
    const auto cold = [this](const auto& f) { return warmth(*f.first) < 1; };
    const bool alone = std::all_of(from.begin(), from.end(), cold);
    if (cold_turn(r, *h, mine / std::max(mine, total), alone)) return h;
    from.erase(std::remove_if(from.begin(), from.end(), cold), from.end());
    return fleet::weighted_choice(from, draw01());
  }

  /// Asks replicas (one where answers tell positions too), or the primary, when too little is known. Guards
  /// the primary where traffic is too thin to keep positions fresh. Harm: a read waits one probe longer.
  bool seek(Group& g, Host* top, bool primary) {
    if (!s_.probes_allowed || !probes_.available(probe_kept)) return false;
    auto& asked = g.asked[primary ? 1 : 0];
    const auto pending = [&](const Host* m) { return m->probing && (m == top) == primary; };
    if (now_ < asked.until) return std::any_of(g.members.begin(), g.members.end(), pending);
    std::vector<std::pair<Host*, double>> from;
    for (Host* m : g.members)
      if ((m == top) == primary && open(*m) && !m->probing && healthy(*m) &&
          now_ - m->last_probe >= std::max(useful_period(), cold_gap(*m)))
        from.emplace_back(m, warmth(*m));
    if (from.empty()) return false;
    asked.until = now_ + std::clamp(probe_time_ * 4, beat_, shortest_aim_ / 4);
    const int most = s_.answers_carry_position ? 1 : asked_at_once;
    for (int i = 0; i < most && !from.empty() && probes_.available(probe_kept); ++i) {
      Host* h = fleet::weighted_choice(from, draw01());
      probe(*h);
      from.erase(std::remove_if(from.begin(), from.end(), [&](const auto& f) { return f.first == h; }),
                 from.end());
    }
    return true;
  }

  void probe(Host& h) {
    probes_.spend();
    h.probing = true;
    h.last_probe = now_;
    out_->push_back(Probe{h.id});
  }

  /// Where no primary is known that can be used and probes cost too much, a write itself asks: any host that
  /// is none turns it away at once and nothing ran. Each is asked once in a while, the one the list names
  /// first, then those longest not known as replicas. Harm: a write that finds none has spent attempts.
  Host* guess(const Request& r, Group& g, const Host* top) {
    const bool cheap =
        s_.probes_allowed && s_.probe_cost * static_cast<double>(g.members.size()) <= probe_points;
    if (cheap || r.attempts.size() + 1 >= cap(r)) return nullptr;
    Host* best = nullptr;
    for (Host* m : g.members) {
      if (m == top || !open(*m) || !healthy(*m) || !room(*m)) continue;
      if (now_ - std::max(m->role_at, m->last_sent) < shortest_aim_) continue;
      if (!best || std::pair(m->named, best->role_at) > std::pair(best->named, m->role_at)) best = m;
    }
    return best && cold_turn(r, *best, 1, true) ? best : nullptr;
  }

  /// The ordinary path: the draw among replicas, then the primary. Null: nobody can take it now.
  Host* choose(const Request& r) {
    if (attempts_out_ >= places_) return nullptr;
    const auto& c = s_.classes[r.cls.value];
    Group& g = groups_[r.group];
    Host* top = primary(r.group);
    if (only_primary(r.cls.value)) {
      if (!top || !usable(*top)) return c.freshness == Freshness::write ? guess(r, g, top) : nullptr;
      if (!room(*top)) return nullptr;
      if (reports_queue_ && !queue_known(*top) && seek(g, top, true)) return nullptr;
      return jammed(*top, r) || !cold_turn(r, *top, 1, true) ? nullptr : top;
    }
    const bool pool = pool_open(g, top);
    const auto usual = usual_queue(g, top);
    bool nowhere = true;  // no replica may answer it, now or soon
    if (!(r.missed && top)) {
      // Health narrows, then gives way; only a refused connection is certain and waits for its trial.
      for (const bool careful : {true, false}) {
        std::vector<std::pair<Host*, double>> eligible;
        bool within = false;
        bool busy = false;
        for (Host* m : g.members) {
          auto& h = *m;
          if (&h == top || !open(h)) continue;
          const double step = step_weight(h, r);
          if (step <= 0 || (careful ? !healthy(h) || r.tried(h.id) : h.refusals > 0 && !healthy(h))) continue;
          if (!pool || !room(h) || jammed(h, r)) {
            busy = busy || healthy(h);
            continue;
          }
          within = within || !behind(h, r);
          const auto queue = queue_known(h) ? Duration::zero() : usual;  // the rest is in expected()
          const double latency = std::max(0.1, ms(expected(h, r.cls) + queue));
          const double well = step * warmth(h) * std::pow(1 - h.outlier.failure_score(now_), 2);
          const double w = well / (latency * (h.in_flight() + 1));
          eligible.emplace_back(&h, w);
        }
        nowhere = nowhere && !within && !busy;
        if (within) {
          if (Host* h = warm_draw(r, eligible)) return h;
          break;
        }
        if (!eligible.empty() && !busy) {  // only where replicas check reads: the most advanced first
          const bool trust = fleet::StaleReadSuccessRate::assume_current(g.past, past_);
          const auto level = trust ? c.staleness_bound / 4 : Duration::zero();
          fleet::retain_most_current(eligible, level, [&](const Host& h) { return h.lag(now_, trust); });
          if (Host* h = warm_draw(r, eligible)) return h;
        }
        if (careful && (busy || (top && healthy(*top))))
          break;  // full is no reason to try the sick (ib4e6e7)
      }
      if (c.freshness != Freshness::any && seek(g, top, false)) return nullptr;
    }
    // The primary as backup: a share of its window, or all for reads worth more than any write (iea4f33).
    // Like writes, a read that has nowhere else to go uses it in spite of its errors.
    const double spill = nowhere ? 1 : tuning_.read_spillover;
    if (top && (nowhere ? usable(*top) : healthy(*top)) && !jammed(*top, r) && spill > 0 &&
        room(*top, spill * (value(r) > write_value_ ? 1 : read_share)) && cold_turn(r, *top, 1, true))
      return top;
    return nullptr;
  }

  // ---- admission ----
  /// Rule 2 in one place: may this request be sent to `to`, or be refused (null)?
  bool permitted(const Request& r, const Host* to) const {
    const auto& c = s_.classes[r.cls.value];
    if (to && r.out > 0 && !s_.hedging_allowed) return false;
    if (to && r.attempts.size() >= c.max_attempts) return false;
    if (c.idempotency == Idempotency::safe) return true;
    if (r.maybe_ran == forever && r.out == 0) return true;
    if (c.idempotency == Idempotency::unsafe) return false;
    if (!to) return c.dedup_scope == DedupScope::all;
    Time first = r.maybe_ran;
    HostId where = r.maybe_host;
    for (const auto& a : r.attempts)
      if (a.out && a.sent < first) first = a.sent, where = a.host;
    if (now_ - first >= c.dedup_window - s_.quantum) return false;
    const auto it = hosts_.find(where);
    if (c.dedup_scope == DedupScope::all) return true;
    if (it == hosts_.end()) return false;
    return c.dedup_scope == DedupScope::zone ? it->second.zone == to->zone : it->second.group == to->group;
  }

  void note_load(const Host& h, double sample) {
    const int role = h.role == Role::primary ? 1 : 0;
    load_[role].add(now_, sample);
    groups_[h.group].load[role].add(now_, sample);
  }

  /// The share of the work that a group's replicas or primary can bear: one of hundreds of routers holds less
  /// than one request a host, so its few answers say it, borrowed from all groups where this one's are few.
  /// Guards against queues of work given up (i29ba67). Harm: an overloaded group sheds a little elsewhere.
  double bearable(const Group& g, int role, double weight) const {
    const double all = load_[role].weight(now_), own = g.load[role].weight(now_);
    const double usual = load_[role].mean * all / (all + load_prior);
    const double load = (g.load[role].mean * own + usual * load_prior) / (own + load_prior);
    const double eased =
        weight * load / (1 + std::min(1.0, window_start / 4 / s_.instance_count));  // few: windows bind
    return std::clamp((load_shut - eased) / (load_shut - load_open), admit_least, 1.0);
  }

  /// Admission: the work worth most for its cost first, down to the share that hosts can bear. A loaded
  /// primary sheds reads that fall back first: writes have nowhere else (hd66b5a). Harm: early refusals.
  bool admitted(const Request& r, const Host& h) {
    const int role = h.role == Role::primary ? 1 : 0;
    auto& wanted = wanted_[role];
    const std::size_t cls = r.cls.value;
    wanted.add(now_, cls, ms(class_latency_[cls]));
    const double share = bearable(groups_[r.group], role, role == 1 && !only_primary(cls) ? backup_load : 1);
    if (share >= 1) return true;
    double above = 0;
    for (std::size_t i = 0; i < wanted.by.size(); ++i)
      if (worth(i) > worth(cls)) above += wanted.by[i];
    return r.luck * wanted.by[cls] < share * wanted.sum(now_) - above;
  }

  double value(const Request& r) const {
    const auto& c = s_.classes[r.cls.value];
    const bool late = now_ + class_latency_[r.cls.value] > r.arrived + c.latency_target;
    return worth(r.cls.value) * (late ? c.late_value : 1.0);
  }

  /// The last moment at which a send still earns something; how long a request of a class may wait for it.
  Time last_send(const Request& r) const {
    return std::min(r.deadline, r.arrived + worthwhile(r.cls.value)) - class_latency_[r.cls.value];
  }
  Duration worthwhile(std::size_t i) const {
    return s_.classes[i].late_value > 0 ? s_.classes[i].deadline : s_.classes[i].latency_target;
  }

  void on(const RequestArrived& e) {
    const auto group = groups_.find(e.group);
    const bool known =
        e.class_id.value >= 0 && e.class_id.value < static_cast<std::int32_t>(s_.classes.size());
    if (!known || group == groups_.end() || group->second.members.empty()) {
      out_->push_back(Refuse{e.request, pause(longest_aim_)});
      return;
    }
    if (requests_.count(e.request) > 0) return;
    Request& r = requests_[e.request];
    r.id = e.request;
    r.cls = e.class_id;
    r.group = e.group;
    r.arrived = now_;
    r.deadline = now_ + e.time_left;
    r.luck = draw01();
    Group& g = group->second;
    g.count(now_, rate_seconds);
    if (now_ >= g.next_sweep) {
      g.next_sweep = now_ + longest_aim_;
      g.forget(now_ - scale(longest_aim_, forget_aims));
    }
    ++g.held;
    retry_tokens_ = std::min(retry_cap, retry_tokens_ + retry_ratio * tuning_.retry_budget);
    probes_.earn();
    arrived_.add(now_, r.cls.value, 1);
    const auto& c = s_.classes[e.class_id.value];
    if (c.freshness == Freshness::session) {
      r.needs = g.floor;
      if (e.session) {
        if (const auto it = g.sessions.find(*e.session); it != g.sessions.end()) r.needs = it->second;
      }
      if (e.token_age && *e.token_age > Duration::zero()) r.needs = std::max(r.needs, now_ - *e.token_age);
    }
    r.session = e.session;
    wait(r);
    pump(r.group);
  }

  Duration pause(Duration d) const {
    return s_.retry_after_allowed ? std::min(d, s_.max_retry_after) : Duration::zero();
  }

  void wait(Request& r) {
    if (r.waiting) return;
    r.waiting = true;
    groups_[r.group].waiting.push_back(r.id);
  }

  /// Sends what can be sent, worth most for its cost first; writes by arrival, reads the newest first: the
  /// oldest would all be just too late. Harm: an unlucky read is refused.
  void pump(GroupId id) {
    Group& g = groups_[id];
    if (g.waiting.empty()) return;
    write_value_ = 0;
    for (std::size_t i = 0; i < s_.classes.size(); ++i)
      if (s_.classes[i].freshness == Freshness::write) write_value_ = std::max(write_value_, worth(i));
    // By class before age: equal worths must not be ordered both ways (i7ba6cd's twin).
    std::vector<std::tuple<double, std::int32_t, std::uint64_t, RequestId>> order;
    for (const auto w : g.waiting) {
      const auto cls = requests_.at(w).cls.value;
      const bool write = s_.classes[cls].freshness == Freshness::write;
      order.emplace_back(-value(requests_.at(w)), cls, write ? w.value : ~w.value, w);
    }
    std::sort(order.begin(), order.end());
    std::vector<RequestId> left;
    std::vector<bool> stuck(s_.classes.size(), false);
    for (const auto& [v, cls, age, w] : order) {
      Request& r = requests_.at(w);
      const bool late = now_ > last_send(r) || now_ >= r.deadline || held_long(r);
      const bool session = s_.classes[r.cls.value].freshness == Freshness::session;
      drew_ = false;
      Host* to = late || stuck[r.cls.value] ? nullptr : choose(r);
      if (!late && !to && still_possible(r)) {
        if (!session && !drew_ && r.attempts.empty()) stuck[r.cls.value] = true;
        left.push_back(w);
        continue;
      }
      r.waiting = false;
      if (to && permitted(r, to) && admitted(r, *to))
        dispatch(r, *to);
      else
        give_up(r);
    }
    g.waiting = std::move(left);
  }

  /// The groups in turn, from behind the one that sent last: places that all of them share may be short.
  void pump_all() {
    std::vector<GroupId> order;
    for (const auto& [id, g] : groups_)
      if (!g.waiting.empty()) order.push_back(id);
    std::rotate(order.begin(), std::upper_bound(order.begin(), order.end(), turn_), order.end());
    for (const auto id : order) pump(id);
  }

  /// Where holding costs, what found no host by then is refused while its client can still try elsewhere.
  /// Harm: a request that a host would have taken in the rest of its time is refused.
  bool held_long(const Request& r) const {
    return s_.late_refusal_costs && !r.reached &&
           now_ - r.arrived >= scale(r.deadline - r.arrived, hold_share);
  }

  bool still_possible(const Request& r) const {
    const auto& c = s_.classes[r.cls.value];
    return c.idempotency != Idempotency::keyed || r.maybe_ran == forever ||
           now_ - r.maybe_ran < c.dedup_window;
  }

  /// The final answer for a request that nothing is out for: refused if that is allowed, else failed.
  void give_up(Request& r) {
    if (r.ended) return;
    r.ended = true;
    if (permitted(r, nullptr))
      out_->push_back(Refuse{r.id, pause(scale(class_latency_[r.cls.value], 2))});
    else
      out_->push_back(Fail{r.id});
    forget(r.id);
  }

  void forget(RequestId id) {
    const auto it = requests_.find(id);
    if (it == requests_.end() || it->second.out > 0) return;
    auto& w = groups_[it->second.group].waiting;
    if (it->second.waiting) w.erase(std::remove(w.begin(), w.end(), id), w.end());
    --groups_[it->second.group].held;
    requests_.erase(it);
  }

  // ---- attempts ----
  void dispatch(Request& r, Host& h) {
    Attempt a;
    a.host = h.id;
    a.sent = now_;
    a.behind = &h != primary(r.group) && behind(h, r);
    r.attempts.push_back(a);
    ++r.out;
    if (++attempts_out_ >= places_) turn_ = r.group;
    h.out.insert(now_);
    if (warmth(h) < 1) h.spent.add(now_, work(r.cls.value));
    h.last_sent = now_;
    out_->push_back(Send{r.id, h.id, Time::zero(), only_primary(r.cls.value) || r.attempts.size() > 1});
  }

  void on(const AttemptEnded& e) {
    const auto found = requests_.find(e.request);
    if (found == requests_.end() || e.attempt >= found->second.attempts.size()) return;
    Request& r = found->second;
    Attempt& a = r.attempts[e.attempt];
    if (!a.out || a.host != e.host) return;
    a.out = false;
    --r.out;
    const bool full = attempts_out_-- >= places_;
    const auto group = r.group;
    if (const auto it = hosts_.find(e.host); it != hosts_.end()) settle(it->second, r, a, e);
    const bool ran = e.outcome == Outcome::ok || e.outcome == Outcome::error ||
                     e.outcome == Outcome::timeout || e.outcome == Outcome::reset ||
                     e.outcome == Outcome::cancelled;
    if (ran && a.sent < r.maybe_ran) r.maybe_ran = a.sent, r.maybe_host = a.host;
    if (e.outcome == Outcome::too_stale) r.missed = true;
    if (a.behind && (e.outcome == Outcome::ok || e.outcome == Outcome::too_stale))
      for (auto* past : {&groups_[group].past, &past_}) past->record(e.outcome == Outcome::ok);
    r.reached = r.reached || (e.outcome != Outcome::connect_failed && e.outcome != Outcome::not_sent);
    if (e.outcome == Outcome::ok && s_.classes[r.cls.value].freshness == Freshness::write) {
      // Without a commit in the answer the present is the only safe bound.
      if (r.session) {
        auto& last = groups_[group].sessions[*r.session];
        last = std::max(last, e.metadata.position.value_or(now_));
      }
    }
    if (e.request_ended || e.outcome == Outcome::ok) r.ended = true;
    if (r.ended) {
      drop_copies(r);
      forget(e.request);
    } else if (r.out == 0) {
      again(r, e.outcome, now_ - a.sent);
    }
    if (full)
      pump_all();
    else
      pump(group);
  }

  /// Whatever an outcome tells of its host.
  void settle(Host& h, const Request& r, const Attempt& a, const AttemptEnded& e) {
    if (!r.started) h.settled(a.sent);
    const bool write = s_.classes[r.cls.value].freshness == Freshness::write;
    const auto aim = s_.classes[r.cls.value].latency_target;
    if (e.metadata.position && !(write && e.metadata.role != Role::replica))
      learn_position(h, *e.metadata.position);
    learn_role(h, e.metadata.role, std::max(a.sent, now_ - e.elapsed / 4));
    if (e.outcome == Outcome::too_stale && write) learn_role(h, Role::replica, std::max(a.sent, h.role_at));
    take(h, e.report);
    switch (e.outcome) {
      case Outcome::ok:
        if (!r.started) took(h, r, a);
        break;
      case Outcome::too_stale:
        h.heard = now_;
        break;
      case Outcome::error:
        h.heard = now_, failed(h, 1);
        break;
      case Outcome::full:
        h.heard = now_;
        note_load(h, load_full);
        h.window = std::max(window_least, h.window * window_cut);
        break;
      case Outcome::connect_failed:
        // Refused at once: no process. Not set up in time: a slow or crowded one (handshake), one failure.
        if (const bool refused = !e.connect_timed_out && e.elapsed < s_.connect_timeout / 2; refused)
          ++h.refusals, failed(h, refused_weight);
        else
          failed(h, 1);
        break;
      case Outcome::reset:
        failed(h, 1);
        break;
      case Outcome::timeout:
        if (h.heard <= a.sent) failed(h, 1);
        congested(h, r, std::min(now_ - a.sent, scale(aim, timeout_loads * h.load)), false);
        break;
      case Outcome::cancelled:
        if (a.cancelled && !r.ended && h.heard <= a.sent) failed(h, 1);
        break;
      default:
        break;
    }
  }

  /// It has answered, whole or with the first bytes of a long value: what follows them waits for the client.
  void took(Host& h, const Request& r, const Attempt& a) {
    answered(h);
    learn_latency(h, r, now_ - a.sent);
    if (warmth(h) >= 1) served_.add(now_, r.cls.value, work(r.cls.value));
    const auto aim = std::min(s_.classes[r.cls.value].latency_target, mean_aim_);
    if (!a.noted) note_load(h, ms(now_ - a.sent) / ms(aim));
  }

  void take(Host& h, const LoadReport& report) {
    // A primary stands at the present, so its position dates the report.
    h.report_age =
        report.position && report.role == Role::primary ? now_ - *report.position : Duration::zero();
    // One that moved the position is no frozen claim, so its age is usual, however long beside our aims.
    if (h.report_age > Duration::zero() && *report.position > h.position)
      usual_age_ += (h.report_age - usual_age_) / (usual_age_ == Duration::zero() ? 1 : 16);
    if (report.position) learn_position(h, *report.position);
    if (report.queue_length) {
      reports_queue_ = true;
      h.queued = *report.queue_length;
      h.queued_at = now_;
      h.util = report.utilization.value_or(0);
      note_load(h, *report.queue_length >= 1 ? load_full / 2
                   : h.util > busy_util      ? load_shut
                                             : load_open * h.util);
    }
    if (report.role && report.position)
      learn_role(h, *report.role, *report.position);
    else if (report.role)
      learn_role(h, *report.role, now_ - shortest_aim_);
  }

  /// A further attempt, under a budget that counts the work behind it: guards against retry storms, leaves
  /// fast failures to be repeated elsewhere (ib4e6e7).
  void again(Request& r, Outcome why, Duration elapsed) {
    const bool unseen =
        why == Outcome::too_stale || why == Outcome::not_sent || why == Outcome::connect_failed;
    const double work = std::min(1.0, ms(elapsed) / std::max(0.1, ms(class_latency_[r.cls.value])));
    const double cost = unseen ? 0 : why == Outcome::error ? work : 1;
    const bool spent = retry_tokens_ < cost || r.attempts.size() >= cap(r);
    if (r.started || spent || now_ >= r.deadline) return give_up(r);
    if (s_.classes[r.cls.value].idempotency == Idempotency::unsafe && r.maybe_ran != forever)
      return give_up(r);
    retry_tokens_ -= cost;
    arrived_.add(now_, r.cls.value, 1);
    r.luck = draw01();  // a further attempt is a further send: a cold host is drawn for anew
    wait(r);
  }

  void drop_copies(Request& r) {
    if (!s_.cancel_allowed) return;
    for (std::size_t i = 0; i < r.attempts.size(); ++i) {
      if (r.attempts[i].out && !r.attempts[i].cancelled) {
        r.attempts[i].cancelled = true;
        out_->push_back(Cancel{r.id, static_cast<std::uint32_t>(i)});
      }
    }
  }

  /// Takes back what may be repeated from silent hosts, and attempts lost by hosts that answered others
  /// since. Harm: doubles the work of a long query; the retry budget bounds it.
  void rescue() {
    for (auto& [id, r] : requests_) {
      note_overdue(r);
      if (!s_.cancel_allowed || r.ended || r.started || r.out != 1 || retry_tokens_ < 1 ||
          now_ > last_send(r))
        continue;
      Attempt& a = r.attempts.back();
      const auto& c = s_.classes[r.cls.value];
      if (!a.out || a.cancelled || c.idempotency == Idempotency::unsafe) continue;
      if (c.idempotency == Idempotency::keyed && now_ - std::min(r.maybe_ran, a.sent) > c.dedup_window / 2)
        continue;
      const auto h = hosts_.find(a.host);
      // Nowhere else to go: the host would do it anew, behind what it still holds, for each of the routers.
      const bool same = h != hosts_.end() && only_primary(r.cls.value) && primary(r.group) == &h->second;
      if (h != hosts_.end() && (same || !silent(h->second)) &&
          (h->second.heard <= a.sent || now_ - a.sent <= scale(expected(h->second, r.cls), lost_latencies)))
        continue;
      a.cancelled = true;
      out_->push_back(Cancel{r.id, static_cast<std::uint32_t>(r.attempts.size() - 1)});
    }
  }

  /// An attempt past its aim at a host that loses no probes tells of a queue now, not when it ends.
  void note_overdue(Request& r) {
    for (auto& a : r.attempts) {
      if (!a.out || a.noted || now_ - a.sent < s_.classes[r.cls.value].latency_target) continue;
      const auto h = hosts_.find(a.host);
      if (h == hosts_.end() || (h->second.lost_probes > 0 && probe_doubt_ <= doubt_at)) continue;
      a.noted = true;
      note_load(h->second, load_shut);
    }
  }

  void on(const AnswerStarted& e) {
    const auto it = requests_.find(e.request);
    if (it == requests_.end() || it->second.started || e.attempt >= it->second.attempts.size()) return;
    Request& r = it->second;
    Attempt& a = r.attempts[e.attempt];
    const auto h = hosts_.find(a.host);
    if (h != hosts_.end()) h->second.settled(a.sent), took(h->second, r, a);
    r.started = a.noted = true;
  }

  void on(const ClientLeft& e) {
    const auto it = requests_.find(e.request);
    if (it == requests_.end()) return;
    it->second.ended = true;
    drop_copies(it->second);
    forget(e.request);
  }

  void on(const ProbeEnded& e) {
    const auto it = hosts_.find(e.host);
    if (it == hosts_.end()) return;
    Host& h = it->second;
    h.probing = false;
    if (e.outcome == Outcome::ok) {
      h.lost_probes = 0;
      probe_doubt_ -= probe_doubt_ * fail_gain / 4;
      h.seen = now_;
      probe_time_ += (e.elapsed - probe_time_) / 8;
      // One that could not be read changes no belief but that the host lives.
      if (e.report.position || e.report.role || e.report.queue_length) take(h, e.report);
    } else if (e.outcome != Outcome::not_sent) {  // that one found no place here: no fault of the host's
      ++h.lost_probes;
    }
    pump(h.group);
  }

  // ---- timers ----
  void on(const TimerFired&) {
    if (beat_due_ == never || now_ < beat_due_) return;
    beat_due_ = never;
    if (now_ >= ask_at_) {
      out_->push_back(OpenWatch{});
      ask_at_ = forever;
    }
    const auto usual = probe_round();
    rescue();
    pump_all();
    idle_due_ = usual == forever ? forever : now_ + std::max(beat_, usual / 4);
    arm();
  }

  /// The beat runs while requests are held; an idle router sleeps until a probe or a call is next due.
  void arm() {
    const auto due = std::min(requests_.empty() ? idle_due_ : now_ + beat_, ask_at_);
    if (due == forever || (beat_due_ != never && beat_due_ <= due)) return;
    beat_due_ = std::max(due, now_);
    out_->push_back(SetTimer{1, beat_due_});
  }

  Duration useful_period() const {
    const auto period = tightest_ == forever ? shortest_aim_ : scale(tightest_, probe_bound_share);
    return std::clamp(period, shortest_aim_ / 3, shortest_aim_ * 2);
  }
  /// In doubt all routers may be probing one host: their sum stays small beside its work.
  Duration urgent_period() const {
    return std::max(std::min(useful_period(), shortest_aim_ / 2),
                    scale(typical(), probe_load * s_.instance_count));
  }

  /// Probes of a cold host grow as seldom as it is weak: held reads of hundreds would ask it all the time.
  Duration cold_gap(const Host& h) const {
    return warmth(h) >= 1 ? Duration::zero() : scale(urgent_period(), 1 / std::max(0.01, warmth(h)));
  }

  /// Probe period: a share of the tightest bound, stretched to what traffic pays for; past the bound reads
  /// ask.
  Duration probe_period(const Group& g) const {
    const auto period = useful_period();
    if (s_.probe_cost <= 0) return period;
    const double rate = g.rate * std::exp(-std::max(0.0, ms(now_ - g.counted) / 1000 - 1) / rate_seconds);
    const double each = static_cast<double>(g.members.size()) * s_.probe_cost / probe_points / rate;
    if (!(each < ms(longest_aim_ * 3) / 1000)) return forever;
    const auto paid = Duration(static_cast<std::int64_t>(each * 1e6));
    return paid > std::max(period, tightest_) ? forever : std::max(paid, period);
  }

  /// Sends the probes that are due and tells the shortest period in use.
  Duration probe_round() {
    Duration shortest = forever;
    if (!s_.probes_allowed) return shortest;
    for (auto& [gid, g] : groups_) {
      if (g.held == 0 && g.period == forever) continue;
      g.period = probe_period(g);
      if (g.period != forever) g.period = scale(g.period, 1 / tuning_.probe_rate);
      const Host* top = primary(gid);
      const bool urgent = !g.waiting.empty() && (!top || !usable(*top));
      shortest = std::min(shortest, g.period);
      for (Host* m : g.members) {
        auto& h = *m;
        if (h.probing || !open(h) || !probes_.available(urgent ? 0 : probe_kept)) continue;
        const bool doubt = urgent || h.quiet(now_) > patience(h) / 2;
        const auto period = std::max(doubt ? urgent_period() : g.period, cold_gap(h));
        if (period == forever || (h.last_probe != never && now_ - h.last_probe < scale(period, h.phase)))
          continue;
        if (!doubt && s_.answers_carry_position && h.position_at != never &&
            now_ - h.position_at < period / 2)
          continue;
        h.phase = 0.8 + 0.4 * draw01();
        probe(h);
      }
    }
    return shortest;
  }

  double draw01() { return static_cast<double>(random_() >> 11U) * 0x1.0p-53; }

  Settings s_;
  std::mt19937_64 random_;
  Time now_ = Time::zero();
  std::vector<Action>* out_ = nullptr;
  std::map<RequestId, Request> requests_;
  Duration longest_aim_{}, mean_aim_{}, shortest_aim_ = forever, tightest_ = forever, beat_{};
  Duration probe_time_{}, usual_age_{};  // EWMA of a probe's round trip, of the age of primaries' reports
  Time beat_due_ = never, idle_due_ = forever, ask_at_ = forever;
  Duration ask_wait_{}, per_queued_{};  // between calls; wait for each request queued, as seen from answers
  bool reports_queue_ = false;          // some report told how many requests wait
  bool drew_ = false;                   // the last choice met a cold host out of turn: others may have theirs
  double probe_doubt_ = 0;              // EWMA: hosts answer requests although their probes were lost
  std::multiset<Time> warm_at_;         // when the cold ones of them will be warm
  int ready_ = 0;                       // hosts listed as ready
  Tuning tuning_;                       // while service is reduced
  int places_ = 1 << 30, attempts_out_ = 0;  // attempts that may be out at once; that are
  GroupId turn_{INT64_MIN};                  // which sent last where places are short
  double write_value_ = 0;                   // worth over cost of the dearest write class
};

Router::Router(Settings settings) : impl_(std::make_unique<Impl>(std::move(settings))) {}
Router::~Router() = default;
Router::Router(Router&&) noexcept = default;
Router& Router::operator=(Router&&) noexcept = default;
void Router::handle(Time now, const Event& event, std::vector<Action>& out) {
  impl_->handle(now, event, out);
}
bool Router::tracks(HostId host) const { return impl_->tracks(host); }
void Router::group_views(Time now, std::vector<GroupView>& out) { impl_->group_views(now, out); }
void Router::set_tuning(const Tuning& tuning) { impl_->set_tuning(tuning); }
void Router::set_max_in_flight(int places) { impl_->set_max_in_flight(places); }
RouterSnapshot Router::snapshot(Time now, SnapshotScope what) { return impl_->snapshot(now, what); }
void Router::merge_snapshot(Time now, const RouterSnapshot& knowledge) {
  impl_->merge_snapshot(now, knowledge);
}
void Router::suspend_spending() { impl_->suspend_spending(); }
void Router::set_slow_start_share(Time now, double part) { impl_->set_slow_start_share(now, part); }
void Router::update_settings(Settings settings) { impl_->update_settings(std::move(settings)); }
std::size_t Router::entry_count() const { return impl_->entry_count(); }

}  // namespace cedarring

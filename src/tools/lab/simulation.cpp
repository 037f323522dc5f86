#include "tools/lab/simulation.h"

#include <algorithm>
#include <boost/random/exponential_distribution.hpp>
#include <boost/random/uniform_01.hpp>
#include <cmath>
#include <unordered_map>

namespace cedarring::lab {
namespace {

constexpr double beyond_budget_value_factor = 0.05;  // on the value of a request beyond its tenant's budget
constexpr double full_load_utilization = 0.92;       // of the hosts' cores at load 1
constexpr int session_key_count = 5000;
constexpr int zone_count = 3;
constexpr std::uint32_t max_attempts = 6;      // of one try of a request
constexpr int max_client_tries = 2;            // of a request, by its client
constexpr double cold_capacity_share = 0.17;   // of a restarted host's capacity, at its start
constexpr std::uint64_t seeds_per_run = 1000;  // a run with seed s uses the seeds from s * seeds_per_run
constexpr double microseconds_per_second = 1e6;
constexpr Time simulation_start{1'000'000'000'000};  // microseconds since the epoch

// Durations in microseconds.
constexpr Duration network_delay{100};            // one way between a gateway and a host
constexpr Duration probe_work{300};               // time that a host takes to answer a probe
constexpr Duration warm_up_duration{14'000'000};  // of a host
constexpr Duration step_interval{100'000};        // of contracts and levels
constexpr Duration queue_sample_interval{20'000};
constexpr Duration discovery_delay{3'000'000};     // until a member list shows a failure or a promotion
constexpr Duration restart_delay{2'000'000};       // of a failed primary, after the takeover
constexpr Duration drain_time{10'000'000};         // at the end of a run, for answers to open requests
constexpr Duration late_answer_tolerance{50'000};  // after the deadline
constexpr Duration default_retry_pause{200'000};   // of a client, after a refusal without a retry-after time

/// The payload of a request: what the host model and the checks need of it.
struct SimulatedPayload : broker::RequestPayload {
  Duration work{};
  std::size_t class_index = 0;
  std::optional<Time> min_position;
};

class Simulation;

/// Takes the place of the sockets of a real gateway: carries attempts to the modelled hosts.
class SimulatedUpstream : public broker::Upstream {
 public:
  SimulatedUpstream(Simulation& simulation, std::size_t gateway)
      : simulation_(simulation), gateway_(gateway) {}
  void start(broker::AttemptKey key, HostId host, const std::string& address,
             const std::shared_ptr<const broker::RequestPayload>& payload,
             const broker::AttemptLimits& limits) override;
  void cancel(broker::AttemptKey key) override;
  void give_up(broker::AttemptKey key, Time confirm_by) override;
  void probe(HostId host, const std::string& address) override;
  void open_watch() override;
  void set_timer(Time due) override;
  void close_idle(HostId) override {}

 private:
  /// Request and attempt number, as in broker::AttemptKey.
  using AttemptId = std::pair<std::uint64_t, std::uint32_t>;
  struct InFlightAttempt {
    std::uint64_t serial = 0;  // tells it from an earlier attempt with the same id
    HostModel* host = nullptr;
    std::uint64_t job_number = 0;  // 0 until the host has accepted the job
  };
  static AttemptId id_of(broker::AttemptKey key) { return {key.request.value, key.number}; }
  /// Ends an attempt, unless it has been cancelled or has ended before.
  void end(broker::AttemptKey key, std::uint64_t serial, broker::AttemptResult result);
  Simulation& simulation_;
  std::size_t gateway_;
  std::map<AttemptId, InFlightAttempt> in_flight_;
  std::uint64_t last_serial_ = 0;
  std::uint64_t last_timer_ = 0;  // earlier timers are void
};

/// Notes whether the last request that reached it was beyond its tenant's budget. A request that the
/// contracts refuse does not reach it, so the simulation then sees the value of an earlier request.
class BudgetObserver : public gates::Gate {
 public:
  gates::Verdict admit(const gates::GateRequest& request, Time) override {
    last_beyond_budget = request.beyond_budget;
    return {};
  }
  bool last_beyond_budget = false;
};

/// A gateway: the real broker and gates over a simulated upstream. Passes final answers to the simulation.
struct SimulatedGateway : broker::AnswerSink {
  SimulatedGateway(Simulation& owner, std::size_t number);
  void finish(RequestId request, broker::FinalAnswer answer) override;
  Simulation& simulation;
  std::size_t index;
  BudgetObserver observer;
  SimulatedUpstream upstream;
  std::unique_ptr<broker::Broker> broker;
  std::unique_ptr<levels::Levels> levels;
  std::unique_ptr<contracts::Contracts> contracts;
};

/// A request as its client sees it. The client may try it several times; each try is a request to a broker.
struct SimulatedRequest {
  std::size_t class_index = 0;
  std::size_t tenant_index = 0;
  std::string tenant;
  std::string session_key;
  GroupId group;
  Time arrived_at{};
  Time deadline{};
  Duration work{};
  bool beyond_budget = false;  // at the first try
  bool counted = false;        // its arrival has been counted, or left out as part of the warm-up
  int tries = 0;               // sent so far
};

/// One run: hosts, gateways and clients on one timeline.
class Simulation {
 public:
  explicit Simulation(const SimulationConfig& run_config)
      : config(run_config), timeline(simulation_start), random(run_config.seed), start(timeline.now()) {
    std::uint32_t id = 1;
    for (int g = 0; g < config.groups; ++g) {
      groups.push_back(std::make_unique<ReplicaGroup>(timeline, GroupId{g + 1}));
      for (int h = 0; h < config.hosts_per_group; ++h, ++id)
        groups.back()->add(HostId{id}, config.host, std::string(1, static_cast<char>('a' + h % zone_count)));
    }
    for (const auto& spec : config.classes) settings.classes.push_back(spec.request_class);
    settings.stale_read_policy = StaleReadPolicy::refuse;
    settings.listed_role = ListedRole::late;
    settings.token_mode = TokenMode::carried;
    settings.answers_carry_position = true;
    settings.cancel_allowed = true;
    settings.retry_after_allowed = true;
    settings.late_refusal_costs = true;
    settings.max_attempts = max_attempts;
    settings.max_retry_after = std::chrono::milliseconds(500);
    settings.warm_up_duration = warm_up_duration;
    settings.cold_capacity_share = cold_capacity_share;
    settings.overload_multiple = 2;
    settings.overload_window = std::chrono::seconds(2);
    settings.probe_cost = config.probe_cost;
    settings.instance_count = static_cast<std::uint32_t>(config.gateways);
    double mean_work = 0;
    double shares = 0;
    for (const auto& spec : config.classes) {
      mean_work += spec.share * seconds(spec.min_work + spec.max_work) / 2;
      shares += spec.share;
    }
    full_load_rate = full_load_utilization * config.groups * config.hosts_per_group * config.host.cores *
                     config.host.speed / (mean_work / shares);
    for (int g = 0; g < config.gateways; ++g)
      gateways.push_back(std::make_unique<SimulatedGateway>(*this, static_cast<std::size_t>(g)));
    result.within.resize(config.classes.size());
    result.beyond.resize(config.classes.size());
    result.by_tenant_class.resize(config.classes.size() * config.tenants.size());
    reads.resize(static_cast<std::size_t>(config.groups * config.hosts_per_group));
    double sum = 0;
    for (int g = 0; g < config.gateways; ++g) {
      // 0 for the first gateway, 1 for the last.
      const double rank = config.gateways > 1 ? static_cast<double>(g) / (config.gateways - 1) : 0;
      traffic_shares.push_back(std::pow(config.traffic_skew, 1 - 2 * rank));
      sum += traffic_shares.back();
    }
    for (auto& share : traffic_shares) share /= sum;
  }

  static double seconds(Duration duration) {
    return static_cast<double>(duration.count()) / microseconds_per_second;
  }
  /// The time to the next arrival of a Poisson process, `rate` in arrivals a second.
  Duration draw_gap(double rate) {
    const auto gap_seconds = boost::random::exponential_distribution<double>(rate)(random);
    return Duration(static_cast<std::int64_t>(gap_seconds * microseconds_per_second));
  }
  /// A uniform draw from [0, 1).
  double draw() { return boost::random::uniform_01<double>()(random); }

  /// The present list of the hosts that are alive, under the next version.
  broker::MemberList member_list() const {
    broker::MemberList list;
    list.version = ++list_version;
    list.full = true;
    for (const auto& group : groups)
      for (const auto& host : group->hosts()) {
        broker::Member member;
        member.id = "h" + std::to_string(host->id().value);
        member.address = std::to_string(host->id().value);
        member.zone = host->zone();
        member.group = group->id();
        member.state = host->alive() ? HostState::ready : HostState::gone;
        member.primary = group->primary() == host.get();
        if (host->started_at() > Time{}) member.started_at = host->started_at();
        if (host->alive()) list.members.push_back(member);
      }
    return list;
  }

  /// The host at an address of the member list, which is its id; null if there is none.
  HostModel* find_host(const std::string& address) const {
    const HostId id{static_cast<std::uint32_t>(std::stoul(address))};
    for (const auto& group : groups)
      if (auto* host = group->find(id)) return host;
    return nullptr;
  }

  /// Schedules the next arrival of a class, as a Poisson process.
  void schedule_arrival(std::size_t class_index) {
    const auto& spec = config.classes[class_index];
    double rate = full_load_rate * config.load * spec.share;
    if (!config.load_factors.empty()) rate *= config.load_factors[class_index];
    if (rate <= 0) return;
    timeline.after(draw_gap(rate), [this, class_index] {
      if (timeline.now() >= start + config.duration) return;
      schedule_arrival(class_index);
      // Draws the tenant by the tenants' shares.
      double remainder = draw();
      std::size_t tenant = 0;
      for (; tenant + 1 < config.tenants.size() && (remainder -= config.tenants[tenant].share) >= 0;
           ++tenant) {
      }
      create_request(class_index, tenant);
    });
  }

  /// Creates a request of a tenant. Draws its session key, group, work and gateway, in this order.
  void create_request(std::size_t class_index, std::size_t tenant) {
    auto request = std::make_shared<SimulatedRequest>();
    const auto& spec = config.classes[class_index];
    request->class_index = class_index;
    request->tenant_index = tenant;
    request->tenant = config.tenants[tenant].name;
    request->session_key = std::to_string(static_cast<int>(draw() * session_key_count));
    request->group = GroupId{1 + static_cast<int>(draw() * config.groups)};
    request->arrived_at = timeline.now();
    request->deadline = request->arrived_at + spec.request_class.deadline;
    request->work =
        spec.min_work + Duration(static_cast<std::int64_t>(
                            static_cast<double>((spec.max_work - spec.min_work).count()) * draw()));
    ++result.requests;
    // Draws the gateway by the gateways' shares of the traffic.
    std::size_t gateway = 0;
    for (double remainder = draw();
         gateway + 1 < traffic_shares.size() && (remainder -= traffic_shares[gateway]) >= 0; ++gateway) {
    }
    send(request, gateway);
  }

  /// The replica that a read goes to: the router's choice unless the configuration places reads otherwise.
  /// Counts the read.
  HostModel* place_read(HostModel* chosen) {
    // Host ids are assigned group by group, from 1.
    auto& group = *groups[(chosen->id().value - 1) / static_cast<std::uint32_t>(config.hosts_per_group)];
    if (config.read_placement != ReadPlacement::router) {
      std::vector<HostModel*> replicas;
      for (const auto& host : group.hosts())
        if (host.get() != group.primary() && host->alive()) replicas.push_back(host.get());
      const auto first = static_cast<std::size_t>(draw() * static_cast<double>(replicas.size()));
      std::rotate(replicas.begin(), replicas.begin() + static_cast<std::ptrdiff_t>(first), replicas.end());
      chosen = replicas.front();
      const auto load = [this](HostModel* host) {
        return host->queue_length() + static_cast<std::size_t>(host->running()) + on_the_way[host];
      };
      if (config.read_placement == ReadPlacement::oracle)
        chosen = *std::min_element(replicas.begin(), replicas.end(),
                                   [&](HostModel* a, HostModel* b) { return load(a) < load(b); });
    }
    if (timeline.now() >= start + config.warm_up && timeline.now() < start + config.duration) {
      auto& host_reads = reads[chosen->id().value - 1];
      const auto window =
          static_cast<std::size_t>((timeline.now() - start - config.warm_up) / ReadDistribution::windows[0]);
      if (host_reads.size() <= window) host_reads.resize(window + 1);
      ++host_reads[window];
    }
    return chosen;
  }

  /// Samples whether a replica has a free core while another of its group has queued requests.
  void sample_queues() {
    for (const auto& group : groups) {
      bool any_queue = false;
      bool any_idle = false;
      for (const auto& host : group->hosts()) {
        if (host.get() == group->primary() || !host->alive()) continue;
        any_queue = any_queue || host->queue_length() > 0;
        any_idle = any_idle || host->running() < config.host.cores;
      }
      ++queue_samples;
      unbalanced_samples += any_queue && any_idle;
    }
    timeline.after(queue_sample_interval, [this] { sample_queues(); });
  }

  /// Computes the distribution of reads from the counts by replica and window.
  void summarize_reads() {
    auto& distribution = result.read_distribution;
    distribution.idle_beside_queue =
        queue_samples > 0 ? static_cast<double>(unbalanced_samples) / static_cast<double>(queue_samples) : 0;
    const auto window_count =
        static_cast<std::size_t>((config.duration - config.warm_up) / ReadDistribution::windows[0]);
    std::vector<double> dispersion_sums(std::size(ReadDistribution::windows));
    std::vector<double> autocorrelation(ReadDistribution::lag_count);
    double replicas = 0;
    double min_share_sum = 0;
    double varying_replicas = 0;
    for (const auto& group : groups) {
      double group_total = 0;
      double smallest = 1e18;  // above any number of reads
      double group_replicas = 0;
      for (const auto& host : group->hosts()) {
        if (host.get() == group->primary()) continue;
        auto& host_reads = reads[host->id().value - 1];
        host_reads.resize(window_count);
        double total = 0;
        for (const auto count : host_reads) total += count;
        group_total += total;
        smallest = std::min(smallest, total);
        ++group_replicas;
        ++replicas;
        for (std::size_t w = 0; w < std::size(ReadDistribution::windows); ++w) {
          const auto width =
              static_cast<std::size_t>(ReadDistribution::windows[w] / ReadDistribution::windows[0]);
          // Welford's algorithm for mean and variance.
          double n = 0;
          double mean = 0;
          double squares = 0;
          for (std::size_t from = 0; from + width <= window_count; from += width) {
            double value = 0;
            for (std::size_t i = from; i < from + width; ++i) value += host_reads[i];
            const double previous_mean = mean;
            ++n;
            mean += (value - mean) / n;
            squares += (value - previous_mean) * (value - mean);
          }
          if (n > 1 && mean > 0) dispersion_sums[w] += squares / (n - 1) / mean;
        }
        const double mean = window_count > 0 ? total / static_cast<double>(window_count) : 0;
        double variance = 0;
        for (const auto count : host_reads) variance += (count - mean) * (count - mean);
        if (variance <= 0) continue;
        ++varying_replicas;
        for (std::size_t lag = 1; lag <= autocorrelation.size() && lag < window_count; ++lag)
          for (std::size_t i = lag; i < window_count; ++i)
            autocorrelation[lag - 1] += (host_reads[i] - mean) * (host_reads[i - lag] - mean) / variance;
      }
      if (group_total > 0) min_share_sum += smallest / (group_total / group_replicas);
    }
    for (std::size_t w = 0; w < dispersion_sums.size(); ++w)
      distribution.dispersion[w] = replicas > 0 ? dispersion_sums[w] / replicas : 0;
    distribution.min_share = min_share_sum / static_cast<double>(groups.size());
    for (auto& value : autocorrelation) value /= std::max(1.0, varying_replicas);
    distribution.autocorrelation = autocorrelation;
  }

  /// Schedules the next additional request of a surge.
  void schedule_surge_arrival(const SimulationConfig::Surge& surge) {
    timeline.after(
        draw_gap(surge.per_second),
        [this, surge] {
          if (timeline.now() >= start + surge.to) return;
          schedule_surge_arrival(surge);
          create_request(surge.class_index, surge.tenant);
        });
  }

  /// Sends a try of a request to a gateway. The broker may answer before it returns from accept().
  void send(const std::shared_ptr<SimulatedRequest>& request, std::size_t gateway_index) {
    auto& gateway = *gateways[gateway_index];
    auto payload = std::make_shared<SimulatedPayload>();
    payload->work = request->work;
    payload->class_index = request->class_index;
    broker::ClientRequest client_request;
    client_request.name = std::to_string(++request_names);
    client_request.class_name = config.classes[request->class_index].request_class.name;
    client_request.tenant = request->tenant;
    client_request.group = request->group;
    client_request.time_left = request->deadline - timeline.now();
    client_request.session = SessionId{std::hash<std::string>()(request->session_key)};
    client_request.retry = request->tries > 0;
    client_request.payload = std::move(payload);
    ++request->tries;
    RequestId id;
    pending = &id;  // accept() sets the id before any answer
    const auto rejection = gateway.broker->accept(client_request, gateway, id);
    if (!request->counted) {
      request->counted = true;
      request->beyond_budget = gateway.observer.last_beyond_budget;
      if (is_measured(*request))
        for (auto* tally : {&class_tally(*request), &tenant_tally(*request)}) {
          ++tally->requests;
          tally->offered_value += value_of(*request);
        }
    }
    pending = nullptr;
    if (rejection != broker::Rejection::none)
      return on_answer(request, gateway_index, {broker::AnswerStatus::refused, {}, {}, {}, {}, {}});
    if (early_answer) return on_answer(request, gateway_index, *std::exchange(early_answer, std::nullopt));
    open[gateway_index][id.value] = request;
  }

  /// Receives the final answer of a broker to one try.
  void finish(std::size_t gateway_index, RequestId id, broker::FinalAnswer answer) {
    if (pending && *pending == id) {  // before accept() has returned
      early_answer = std::move(answer);
      return;
    }
    const auto it = open[gateway_index].find(id.value);
    if (it == open[gateway_index].end()) return;
    const auto request = it->second;
    open[gateway_index].erase(it);
    on_answer(request, gateway_index, answer);
  }

  /// What the client does with an answer: retries a refused request once, or counts the result.
  void on_answer(const std::shared_ptr<SimulatedRequest>& request, std::size_t gateway_index,
                 const broker::FinalAnswer& answer) {
    const auto now = timeline.now();
    if (now > request->deadline + late_answer_tolerance) ++result.late_answers;
    if (answer.status == broker::AnswerStatus::refused && config.client_retries &&
        request->tries < max_client_tries) {
      const auto pause = answer.retry_after > Duration::zero() ? answer.retry_after : default_retry_pause;
      if (now + pause < request->deadline) {
        if (!answer.verdict.admitted && is_measured(*request)) ++class_tally(*request).shed;
        timeline.after(pause, [this, request, gateway_index] { send(request, gateway_index); });
        return;
      }
    }
    if (!is_measured(*request)) return;
    const auto& request_class = config.classes[request->class_index].request_class;
    for (auto* tally : {&class_tally(*request), &tenant_tally(*request)})
      if (answer.status == broker::AnswerStatus::served) {
        const bool in_time = now - request->arrived_at <= request_class.latency_target;
        ++(in_time ? tally->in_time : tally->late);
        tally->earned_value += value_of(*request) * (in_time ? 1 : request_class.late_value);
      } else {
        ++(answer.status == broker::AnswerStatus::refused ? tally->refused : tally->failed);
        if (!answer.verdict.admitted) ++tally->shed;
      }
  }

  /// Whether the request arrived after the warm-up.
  [[nodiscard]] bool is_measured(const SimulatedRequest& request) const {
    return request.arrived_at >= start + config.warm_up;
  }
  Tally& tenant_tally(const SimulatedRequest& request) {
    return result.by_tenant_class[request.tenant_index * config.classes.size() + request.class_index];
  }
  Tally& class_tally(const SimulatedRequest& request) {
    return (request.beyond_budget ? result.beyond : result.within)[request.class_index];
  }
  /// The value that an answer within the latency target earns.
  [[nodiscard]] double value_of(const SimulatedRequest& request) const {
    return config.classes[request.class_index].request_class.value *
           (request.beyond_budget ? beyond_budget_value_factor : 1);
  }

  /// Steps the contracts and the levels of all gateways, and schedules the next step.
  void step_gates() {
    for (auto& gateway : gateways) {
      levels::GatewayState state;
      std::vector<GroupView> views;
      gateway->broker->group_views(views);
      if (gateway->contracts) {
        std::vector<contracts::Breach> breaches;
        gateway->contracts->step(timeline.now(), contracts::resource_loads(views), breaches);
      }
      if (!gateway->levels) continue;
      levels::add_group_views(views, timeline.now(), state);
      std::vector<levels::AxisChange> axis_changes;
      gateway->levels->step(timeline.now(), state, axis_changes);
      const auto adjustments = gateway->levels->adjustments();
      gateway->broker->set_tuning(
          {adjustments.probe_rate, adjustments.retry_budget, adjustments.read_spillover});
      if (gateway->index == 0)
        result.level_changes.insert(result.level_changes.end(), axis_changes.begin(), axis_changes.end());
    }
    timeline.after(step_interval, [this] { step_gates(); });
  }

  /// Runs the simulation. To be called once.
  SimulationResult run() {
    open.resize(gateways.size());
    for (auto& gateway : gateways) gateway->broker->start(member_list());
    for (std::size_t i = 0; i < config.classes.size(); ++i) schedule_arrival(i);
    for (const auto& surge : config.surges)
      timeline.after(surge.from, [this, surge] { schedule_surge_arrival(surge); });
    step_gates();
    timeline.after(config.warm_up, [this] { sample_queues(); });
    for (const auto& failure : config.primary_failures)
      timeline.after(failure.at, [this, failure] {
        auto& group = *groups[static_cast<std::size_t>(failure.group)];
        auto* failed = group.primary();
        group.fail_primary(failure.takeover, [](HostModel&) {});
        // Discovery reports the failure and the promotion with a delay. The failed host restarts with reduced
        // capacity, as a replica.
        timeline.after(discovery_delay, [this] { publish_members(); });
        timeline.after(failure.takeover + discovery_delay, [this] { publish_members(); });
        timeline.after(failure.takeover + restart_delay, [this, failed] {
          failed->start(config.host.cores > 0 ? warm_up_duration : Duration{}, cold_capacity_share);
        });
      });
    timeline.run_until(start + config.duration + drain_time);
    for (const auto& requests : open) result.unanswered += requests.size();
    for (auto& gateway : gateways)
      if (gateway->contracts) {
        result.ledger.resize(gateway->contracts->config().teams.size() * config.classes.size());
        for (std::size_t t = 0; t < gateway->contracts->config().teams.size(); ++t)
          for (std::size_t c = 0; c < config.classes.size(); ++c)
            result.ledger[t * config.classes.size() + c] += gateway->contracts->total(t, c);
      }
    result.events = timeline.events_run();
    summarize_reads();
    return std::move(result);
  }
  /// Sends the present member list to all gateways.
  void publish_members() {
    for (auto& gateway : gateways) gateway->broker->on_member_list(member_list());
  }

  const SimulationConfig& config;
  Timeline timeline;
  Random random;
  Time start;
  Settings settings;
  double full_load_rate = 0;  // requests a second at load 1
  std::vector<std::unique_ptr<ReplicaGroup>> groups;
  std::vector<std::unique_ptr<SimulatedGateway>> gateways;
  std::vector<std::unordered_map<std::uint64_t, std::shared_ptr<SimulatedRequest>>>
      open;                                         // tries without an answer, by gateway and request id
  const RequestId* pending = nullptr;               // id of the try that a broker is accepting, if any
  std::optional<broker::FinalAnswer> early_answer;  // to the pending try, received during accept()
  std::uint64_t request_names = 0;                  // number of names given to tries
  mutable std::uint64_t list_version = 0;
  std::vector<double> traffic_shares;                      // by gateway
  std::vector<std::vector<std::uint32_t>> reads;           // by host and window of 100 ms
  std::unordered_map<HostModel*, std::size_t> on_the_way;  // attempts sent that have not reached the host
  std::uint64_t queue_samples = 0;                         // one for each group and sampling
  std::uint64_t unbalanced_samples = 0;  // with a free core at one replica and a queue at another
  SimulationResult result;
};

SimulatedGateway::SimulatedGateway(Simulation& owner, std::size_t number)
    : simulation(owner), index(number), upstream(owner, number) {
  const auto& config = simulation.config;
  auto settings = simulation.settings;
  settings.seed = config.seed * seeds_per_run + index;
  settings.instance_index = static_cast<std::uint32_t>(index);
  std::vector<broker::TenantBudget> budgets;
  for (const auto& tenant : config.tenants) {
    broker::TenantBudget budget;
    budget.tenant = tenant.name;
    budget.per_second = simulation.full_load_rate * tenant.share / config.gateways;
    budgets.push_back(budget);
  }
  levels::ServiceInfo levels_service;
  levels_service.classes = settings.classes;
  levels_service.tenants = budgets.size();
  levels_service.seed = settings.seed;
  broker = std::make_unique<broker::Broker>(
      settings, std::move(budgets), std::vector<std::string>{"a", "b", "c"},
      [&owner] { return owner.timeline.now(); }, upstream);
  if (config.contracts) {
    contracts::ServiceInfo contracts_service;
    contracts_service.classes = settings.classes;
    contracts_service.tenants = levels_service.tenants;
    contracts_service.seed = settings.seed ^ 1;  // not the seed of the levels
    contracts = std::make_unique<contracts::Contracts>(*config.contracts, contracts_service);
    broker->add_gate(*contracts);
  }
  broker->add_gate(observer);
  if (!config.levels) return;
  levels = std::make_unique<levels::Levels>(*config.levels, levels_service);
  broker->add_gate(*levels);
}

void SimulatedGateway::finish(RequestId request, broker::FinalAnswer answer) {
  simulation.finish(index, request, std::move(answer));
}

void SimulatedUpstream::start(broker::AttemptKey key, HostId, const std::string& address,
                              const std::shared_ptr<const broker::RequestPayload>& payload,
                              const broker::AttemptLimits& limits) {
  auto& timeline = simulation_.timeline;
  ++simulation_.result.attempts;
  if (key.number >= max_attempts) ++simulation_.result.excess_attempts;
  const auto earlier_attempt = in_flight_.lower_bound({key.request.value, 0});
  if (earlier_attempt != in_flight_.end() && earlier_attempt->first.first == key.request.value)
    ++simulation_.result.overlapping_attempts;
  const auto serial = ++last_serial_;
  auto* host = simulation_.find_host(address);
  in_flight_[id_of(key)] = {serial, host, 0};
  const auto& simulated_payload = static_cast<const SimulatedPayload&>(*payload);
  const auto& request_class = simulation_.config.classes[simulated_payload.class_index].request_class;
  if (request_class.freshness <= Freshness::bounded) {
    const bool replica = host && host->metadata().role == Role::replica;
    ++(replica ? simulation_.result.replica_reads : simulation_.result.primary_reads);
    if (replica) {
      host = simulation_.place_read(host);
      in_flight_[id_of(key)].host = host;
    }
  }
  if (host) ++simulation_.on_the_way[host];
  Job job;
  job.work = simulated_payload.work;
  job.write = request_class.freshness == Freshness::write;
  job.freshness = request_class.freshness;
  job.staleness_bound = request_class.staleness_bound;
  job.on_done = [this, key, serial, &timeline](Outcome outcome, AnswerMetadata metadata) {
    timeline.after(network_delay, [this, key, serial, outcome, metadata] {
      broker::AttemptResult result;
      result.outcome = outcome;
      result.metadata = metadata;
      end(key, serial, std::move(result));
    });
  };
  timeline.after(network_delay, [this, key, serial, host, job = std::move(job)]() mutable {
    if (host) --simulation_.on_the_way[host];
    const auto it = in_flight_.find(id_of(key));
    if (it == in_flight_.end() || it->second.serial != serial) return;  // cancelled before it arrived
    const auto job_number = host->submit(std::move(job));
    // submit() may have ended the attempt.
    const auto submitted = in_flight_.find(id_of(key));
    if (submitted != in_flight_.end() && submitted->second.serial == serial)
      submitted->second.job_number = job_number;
  });
  timeline.at(limits.give_up_at, [this, key, serial] {
    const auto it = in_flight_.find(id_of(key));
    if (it == in_flight_.end() || it->second.serial != serial) return;
    const auto& overdue = it->second;
    if (overdue.job_number) overdue.host->cancel(overdue.job_number);
    broker::AttemptResult result;
    result.outcome = Outcome::timeout;
    end(key, serial, std::move(result));
  });
}

void SimulatedUpstream::end(broker::AttemptKey key, std::uint64_t serial, broker::AttemptResult result) {
  const auto it = in_flight_.find(id_of(key));
  if (it == in_flight_.end() || it->second.serial != serial) return;
  in_flight_.erase(it);
  simulation_.gateways[gateway_]->broker->attempt_ended(key, std::move(result));
}

void SimulatedUpstream::cancel(broker::AttemptKey key) {
  const auto it = in_flight_.find(id_of(key));
  if (it == in_flight_.end()) return;
  const auto& cancelled = it->second;
  if (cancelled.job_number) cancelled.host->cancel(cancelled.job_number);
  in_flight_.erase(it);
}

/// The modelled hosts drop what they have not read of a cancelled attempt, so nothing has to be awaited.
void SimulatedUpstream::give_up(broker::AttemptKey key, Time) {
  cancel(key);
  broker::AttemptResult result;
  result.outcome = Outcome::cancelled;
  simulation_.gateways[gateway_]->broker->attempt_ended(key, std::move(result));
}

void SimulatedUpstream::probe(HostId id, const std::string& address) {
  auto& timeline = simulation_.timeline;
  const auto sent_at = timeline.now();
  ++simulation_.result.probes;
  auto* host = simulation_.find_host(address);
  timeline.after(network_delay * 2 + probe_work, [this, id, host, sent_at, &timeline] {
    const bool ok = host->alive() && !host->unresponsive();
    simulation_.gateways[gateway_]->broker->probe_ended(id, ok ? Outcome::ok : Outcome::connect_failed,
                                                        timeline.now() - sent_at,
                                                        ok ? host->load_report() : LoadReport{});
  });
}

void SimulatedUpstream::open_watch() {
  simulation_.timeline.after(
      std::chrono::milliseconds(1),
      [this] { simulation_.gateways[gateway_]->broker->on_member_list(simulation_.member_list()); });
}

void SimulatedUpstream::set_timer(Time due) {
  const auto timer = ++last_timer_;
  simulation_.timeline.at(due, [this, timer] {
    if (timer == last_timer_) simulation_.gateways[gateway_]->broker->timer_fired();
  });
}

}  // namespace

double SimulationResult::value_share() const {
  double earned = 0;
  double offered = 0;
  for (const auto* tallies : {&within, &beyond})
    for (const auto& tally : *tallies) {
      earned += tally.earned_value;
      offered += tally.offered_value;
    }
  return offered > 0 ? earned / offered : 0;
}

double SimulationResult::in_time_share(std::size_t class_index) const {
  const auto& tally = within[class_index];
  return tally.requests > 0 ? static_cast<double>(tally.in_time) / static_cast<double>(tally.requests) : 0;
}

SimulationConfig reference_deployment() {
  SimulationConfig config;
  const auto add = [&](const char* name, double share, Duration min_work, Duration max_work,
                       Freshness freshness, Duration latency_target, Duration deadline, double value,
                       double late_value) {
    ClassSpec spec;
    spec.request_class.name = name;
    spec.request_class.latency_target = latency_target;
    spec.request_class.deadline = deadline;
    spec.request_class.value = value;
    spec.request_class.late_value = late_value;
    spec.request_class.freshness = freshness;
    spec.request_class.staleness_bound = std::chrono::milliseconds(200);
    spec.request_class.idempotency = freshness == Freshness::write ? Idempotency::keyed : Idempotency::safe;
    spec.request_class.dedup_scope = DedupScope::group;
    spec.request_class.dedup_window = std::chrono::milliseconds(1200);
    spec.share = share;
    spec.min_work = min_work;
    spec.max_work = max_work;
    config.classes.push_back(spec);
  };
  add("desk-view", 0.48, std::chrono::milliseconds(44), std::chrono::milliseconds(77), Freshness::bounded,
      std::chrono::milliseconds(300), std::chrono::milliseconds(750), 2, 0.2);
  add("history", 0.40, std::chrono::milliseconds(44), std::chrono::milliseconds(77), Freshness::any,
      std::chrono::milliseconds(300), std::chrono::seconds(1), 1, 0);
  add("gate-check", 0.038, std::chrono::milliseconds(27), std::chrono::milliseconds(46), Freshness::fresh,
      std::chrono::milliseconds(200), std::chrono::milliseconds(800), 1, 0);
  add("bid-submit", 0.077, std::chrono::milliseconds(67), std::chrono::milliseconds(120), Freshness::write,
      std::chrono::milliseconds(750), std::chrono::seconds(2), 3, 0.7);
  config.tenants = {{"ishikari-gen", 0.66}, {"tokachi-denryoku", 0.18}, {"rumoi-wind", 0.16}};
  return config;
}

SimulationResult simulate(const SimulationConfig& config) { return Simulation(config).run(); }

}  // namespace cedarring::lab

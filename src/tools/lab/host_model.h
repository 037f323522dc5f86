// A model of database hosts: cores, a request queue, service times, log replication from the primary to its
// replicas, and the metadata and load reports that a host sends. Uses simulated time only. Its results do
// not depend on random numbers.
#pragma once

#include <algorithm>
#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <pcg_random.hpp>
#include <string>
#include <vector>

#include "cedarring/router.h"
#include "tools/lab/timeline.h"

namespace cedarring::lab {

/// The random number generator of the simulation and the rig, which both include this file. The host model
/// itself does not use it.
using Random = pcg64;

/// The capacity and behaviour of a host. Durations are in microseconds.
struct HostSpec {
  int cores = 3;
  int max_requests = 24;              // running and queued; further requests are refused
  double speed = 1;                   // of each core: a job runs for its work divided by the speed
  Duration replication_delay{5'000};  // from a write on the primary until a replica receives it
  Duration apply_time{4'000};         // for one write on a replica, which applies writes one by one
  bool checks_staleness = true;  // a replica refuses reads that it is too stale for; false: it answers them
  int max_connections = 0;       // 0: no limit
  Duration handshake_work{};     // that each new connection costs on a core of speed 1
};

/// A request to a host.
struct Job {
  Duration work{};  // time that it takes on a core of speed 1
  bool write = false;
  Freshness freshness = Freshness::any;
  Duration staleness_bound{};        // of a bounded read
  std::optional<Time> min_position;  // of a session read: the position that the host must have reached
  /// Called once with the answer; never if the job is cancelled, running when the host crashes, or
  /// dropped by an unresponsive host.
  std::function<void(Outcome, AnswerMetadata)> on_done;
};

class ReplicaGroup;

/// One host. Owned by its group.
class HostModel {
 public:
  HostModel(Timeline& timeline, ReplicaGroup& group, HostId id, const HostSpec& spec, std::string zone);
  /// Queues the job, or ends it before returning. Returns a number for `cancel`, 0 for a job that has ended.
  std::uint64_t submit(Job job);
  /// Opens a connection. Calls `on_connected` after the handshake, before returning if it needs no work.
  /// Returns false if the host holds its maximum of connections.
  bool connect(std::function<void()> on_connected);
  void disconnect() { connections_ = std::max(0, connections_ - 1); }
  /// Drops a queued job. A running job continues, but its result is discarded.
  void cancel(std::uint64_t number);
  /// The process ends: queued jobs end with a reset, running jobs never answer, and new ones are refused.
  void crash();
  /// Starts a new process with `initial_capacity` (0 to 1), which grows evenly to 1 over `warm_up`.
  void start(Duration warm_up, double initial_capacity);
  /// A draining host refuses new requests with Outcome::full and completes the requests that it has.
  void set_draining(bool draining) { draining_ = draining; }
  /// Multiplies the time that a replica takes to apply a write.
  void set_apply_slowdown(double factor) { apply_slowdown_ = factor; }
  /// An unresponsive host drops new requests unanswered, finishes running ones and starts no queued ones.
  /// When it responds again, it sends the answers of the finished ones and runs the queued ones.
  void set_unresponsive(bool unresponsive);
  [[nodiscard]] bool alive() const { return alive_; }
  [[nodiscard]] bool unresponsive() const { return unresponsive_; }
  /// What the host reports with each answer: its role and position.
  [[nodiscard]] AnswerMetadata metadata() const;
  /// The answer to a probe: role, position and the number of queued requests.
  [[nodiscard]] LoadReport load_report() const;
  /// The replication position, as the commit time up to which the host has the log applied.
  [[nodiscard]] Time position() const;
  /// Receives a write of the primary by replication: it is applied after the replication delay and all
  /// earlier writes.
  void receive_write(Time commit);
  [[nodiscard]] HostId id() const { return id_; }
  [[nodiscard]] const std::string& zone() const { return zone_; }
  [[nodiscard]] const HostSpec& spec() const { return spec_; }
  /// The time of the last call to start(); Time{} if the host has never been restarted.
  [[nodiscard]] Time started_at() const { return started_at_; }
  [[nodiscard]] std::size_t queue_length() const { return queue_.size(); }
  /// The number of jobs that are running on cores.
  [[nodiscard]] int running() const { return running_; }
  /// The time that cores have been assigned to jobs, summed over cores.
  [[nodiscard]] Duration busy_time() const { return busy_time_; }

 private:
  struct QueuedJob {
    std::uint64_t number;
    Job job;
  };
  /// A write received by replication.
  struct LoggedWrite {
    Time commit;
    Time applied_at;  // here
  };
  /// Starts queued jobs while cores are free.
  void run_queued();
  void finish(std::uint64_t process_number, std::uint64_t number, const Job& job);
  [[nodiscard]] double capacity() const;
  Timeline& timeline_;
  ReplicaGroup& group_;
  HostId id_;
  HostSpec spec_;
  std::string zone_;
  std::deque<QueuedJob> queue_;
  std::vector<std::uint64_t> cancelled_;            // running jobs whose result is discarded
  std::deque<std::function<void()>> held_answers_;  // of jobs finished while unresponsive
  std::uint64_t next_number_ = 1;
  std::uint64_t process_number_ = 0;  // counts crashes: results of an earlier process are dropped
  int running_ = 0;
  int connections_ = 0;
  bool alive_ = true;
  bool draining_ = false;
  bool unresponsive_ = false;
  double apply_slowdown_ = 1;
  Time started_at_{};
  Time warm_at_{};  // end of the warm-up
  Duration warm_up_{};
  double initial_capacity_ = 1;
  Duration busy_time_{};
  std::deque<LoggedWrite> log_;
  Time applier_free_at_{};  // when all received writes are applied
};

/// One primary and its replicas.
class ReplicaGroup {
 public:
  ReplicaGroup(Timeline& timeline, GroupId id) : timeline_(timeline), id_(id) {}
  /// Adds a host. The first one is the primary.
  HostModel& add(HostId id, const HostSpec& spec, std::string zone);
  [[nodiscard]] GroupId id() const { return id_; }
  /// Null while the group has no primary.
  [[nodiscard]] HostModel* primary() const { return primary_; }
  /// The time at which the last primary failed; Time{} if none has.
  [[nodiscard]] Time primary_failed_at() const { return primary_failed_at_; }
  /// Crashes the primary. After `takeover` the replica with the most advanced position is promoted and passed
  /// to `on_promoted`.
  void fail_primary(Duration takeover, const std::function<void(HostModel& promoted)>& on_promoted);
  /// Sends a write of the primary to all replicas that are alive.
  void replicate_to_replicas(Time commit);
  [[nodiscard]] const std::vector<std::unique_ptr<HostModel>>& hosts() const { return hosts_; }
  /// Null if the group has no such host.
  [[nodiscard]] HostModel* find(HostId id) const;

 private:
  Timeline& timeline_;
  GroupId id_;
  std::vector<std::unique_ptr<HostModel>> hosts_;
  HostModel* primary_ = nullptr;
  Time primary_failed_at_{};
};

}  // namespace cedarring::lab

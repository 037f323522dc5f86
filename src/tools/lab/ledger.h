// A model of ledger hosts: cores, a waiting room, service times, the log shipped from a primary to its
// replicas, and what a host says of itself. Simulated time only; all randomness comes from the generator
// handed in.
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

using Random = pcg64;

struct HostSpec {
  int cores = 3;
  int room = 24;                // requests in work and waiting; more are turned away
  double speed = 1;             // of a core
  Duration ship{5'000};         // until the log has come
  Duration apply_write{4'000};  // of one write, on the one thread that applies
  bool checks = true;    // turns away a read that it holds too little for; else answers it all the same
  int connections = 0;   // that it holds at most; 0: any number
  Duration handshake{};  // a core's work for each new connection
};

/// What a host is asked to do.
struct Job {
  Duration work{};  // on a standard core
  bool write = false;
  Freshness freshness = Freshness::any;
  Duration bound{};           // of a bounded read
  std::optional<Time> needs;  // of a session read
  std::function<void(Outcome, AnswerMetadata)> done;
};

class Ledger;

class HostModel {
 public:
  HostModel(Timeline& timeline, Ledger& group, HostId id, const HostSpec& spec, std::string zone);
  /// Takes the job, or answers at once. Returns a number for `cancel`, 0 where it is over already.
  std::uint64_t offer(Job job);
  /// A new connection: `up` is called once its handshake is done, at once where that costs nothing. False: it
  /// holds as many as it can.
  bool connect(std::function<void()> up);
  void disconnect() { connections_ = std::max(0, connections_ - 1); }
  /// Drops the job if it still waits; what runs goes on, and its answer goes nowhere.
  void cancel(std::uint64_t number);
  /// The process ends: nothing answers any more, and nothing is accepted.
  void die();
  /// A new process, cold for `cold` from `share` of its capacity on.
  void start(Duration cold, double share);
  void set_draining(bool draining) { draining_ = draining; }
  void set_slow_apply(double factor) { slow_apply_ = factor; }
  void set_silent(bool silent);
  [[nodiscard]] bool alive() const { return alive_; }
  [[nodiscard]] bool silent() const { return silent_; }
  [[nodiscard]] AnswerMetadata note() const;
  [[nodiscard]] LoadReport report() const;
  [[nodiscard]] Time position() const;
  /// A write of the primary that its log brings here.
  void ship(Time commit);
  [[nodiscard]] HostId id() const { return id_; }
  [[nodiscard]] const std::string& zone() const { return zone_; }
  [[nodiscard]] const HostSpec& spec() const { return spec_; }
  [[nodiscard]] Time started() const { return started_; }
  [[nodiscard]] std::size_t waiting() const { return waiting_.size(); }
  [[nodiscard]] int running() const { return running_; }
  [[nodiscard]] Duration busy() const { return busy_; }

 private:
  struct Entry {
    std::uint64_t number;
    Job job;
  };
  void next();
  void finished(std::uint64_t life, std::uint64_t number, const Job& job);
  [[nodiscard]] double capacity() const;
  Timeline& timeline_;
  Ledger& group_;
  HostId id_;
  HostSpec spec_;
  std::string zone_;
  std::deque<Entry> waiting_;
  std::vector<std::uint64_t> gone_;           // running, cancelled: nobody takes their answer
  std::deque<std::function<void()>> unsaid_;  // answers that a silent host owes
  std::uint64_t next_ = 1, life_ = 0;
  int running_ = 0, connections_ = 0;
  bool alive_ = true, draining_ = false, silent_ = false;
  double slow_apply_ = 1;
  Time started_{}, cold_until_{};
  Duration cold_for_{};
  double cold_from_ = 1;
  Duration busy_{};
  std::deque<std::pair<Time, Time>> log_;  // commit of a write, when it will be applied
  Time apply_free_{};
};

/// A group: one primary and its replicas.
class Ledger {
 public:
  Ledger(Timeline& timeline, GroupId id) : timeline_(timeline), id_(id) {}
  HostModel& add(HostId id, const HostSpec& spec, std::string zone);
  [[nodiscard]] GroupId id() const { return id_; }
  [[nodiscard]] HostModel* primary() const { return primary_; }
  /// When the last primary was lost.
  [[nodiscard]] Time lost_at() const { return lost_at_; }
  /// The primary dies; after `takeover` the replica with most of the log takes over, and `told` is called.
  void lose_primary(Duration takeover, const std::function<void(HostModel& next)>& told);
  void committed(Time commit);
  [[nodiscard]] const std::vector<std::unique_ptr<HostModel>>& hosts() const { return hosts_; }
  [[nodiscard]] HostModel* find(HostId id) const;

 private:
  Timeline& timeline_;
  GroupId id_;
  std::vector<std::unique_ptr<HostModel>> hosts_;
  HostModel* primary_ = nullptr;
  Time lost_at_{};
};

}  // namespace cedarring::lab

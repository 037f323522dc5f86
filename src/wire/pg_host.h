// Connections to PostgreSQL hosts: attempts and probes, one at a time on each connection.
#pragma once

#include <memory>
#include <string>
#include <unordered_map>

#include "memory/broker.h"
#include "memory/pool.h"
#include "wire/connection.h"
#include "wire/pg_work.h"

namespace cedarring::wire {

class PgUpstream;

/// What a host connection is doing: an attempt, or a probe.
struct Job {
  std::optional<memory::AttemptKey> attempt;  // absent: a probe
  std::shared_ptr<const PgWork> work;
  Time started{}, stop_at{};
};

class PgHost : public Connection {
 public:
  PgHost(ev::loop_ref loop, Fd fd, HostId host, PgUpstream& owner);
  void run(Job job);
  [[nodiscard]] HostId host() const { return host_; }
  void give_up();

 private:
  void on_open() override;
  void on_input() override;
  void on_end(int error) override;
  void expired(ev::timer&, int);
  void submit();
  void arm();
  bool take(char type, std::string_view body, std::string_view whole);
  void finish(memory::AttemptResult result, bool keep);
  void completed();

  PgUpstream& owner_;
  HostId host_;
  ev::timer timer_;
  std::optional<Job> job_;
  bool welcomed_ = false, submitted_ = false;
  std::string rows_;                  // the messages that make up the answer
  int row_count_ = 0;
  bool complete_ = false;
  std::string error_code_, error_text_, health_;
  Note note_;
};

class PgUpstream : public memory::Upstream {
 public:
  struct Options {
    Duration connect_timeout{250'000};
    Duration idle_close{30'000'000};
    std::size_t most = 300;  // connections
    bool probes_allowed = true;
  };
  using Clock = memory::Broker::Clock;
  PgUpstream(ev::loop_ref loop, Reaper& reaper, Clock clock, Options options,
             std::function<void()> watch);
  void attach(memory::Broker& broker) { broker_ = &broker; }

  void start(memory::AttemptKey key, HostId host, const std::string& address,
             const std::shared_ptr<const memory::Work>& work, Time stop_at) override;
  void abandon(memory::AttemptKey key) override;
  void probe(HostId host, const std::string& address) override;
  void watch() override { watch_(); }
  void wake_at(Time due) override;
  void closed(HostId host) override;

  // for the connections
  [[nodiscard]] Time now() const { return clock_(); }
  [[nodiscard]] const Options& options() const { return options_; }
  void done(PgHost* connection, const Job& job, memory::AttemptResult result, bool keep);
  void gone(PgHost* connection);

 private:
  void run(HostId host, const std::string& address, Job job);
  void tell(const Job& job, HostId host, memory::AttemptResult result);
  void wake(ev::timer&, int);
  void sweep(ev::timer&, int);
  void arm_wake();

  ev::loop_ref loop_;
  Reaper& reaper_;
  Clock clock_;
  Options options_;
  std::function<void()> watch_;
  memory::Broker* broker_ = nullptr;
  std::unordered_map<PgHost*, std::unique_ptr<PgHost>> connections_;
  std::map<std::pair<std::uint64_t, std::uint32_t>, PgHost*> attempts_;
  memory::Pool<PgHost> pool_;
  ev::timer wake_, sweep_;
  Time wake_at_{};
};

}  // namespace cedarring::wire

// Host connections of any protocol: attempts and probes, one at a time on each, and the pool of idle ones.
#pragma once

#include <algorithm>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>

#include "broker/broker.h"
#include "broker/idle_pool.h"
#include "fleet/connect_timeout.h"
#include "wire/connection.h"

namespace cedarring::wire {

class SocketUpstream;

/// What a host connection is doing: an attempt, or a probe.
struct Job {
  std::optional<broker::AttemptKey> attempt;  // absent: a probe
  std::shared_ptr<const broker::RequestPayload> work;
  Time started{}, stop_at{};
  bool patient = true;  // a connection is waited for as long as may be
};

/// One connection to a host. It carries a job from the connect to the whole answer and never resends.
class HostConnection : public Connection {
 public:
  HostConnection(ev::loop_ref loop, Fd fd, HostId host, SocketUpstream& owner, std::size_t message_most);
  void run(Job job);
  /// Closes without a word to the owner.
  void give_up();
  /// Its host has been told draining or gone, or is elsewhere now: a job whose request has not been written
  /// yet ends; another is finished, but the connection serves no more after it.
  void withdraw();
  /// Its answer's taker has room again.
  void more();
  [[nodiscard]] HostId host() const { return host_; }

 protected:
  /// Forgets the last job's answer.
  virtual void reset() = 0;
  /// Works on the job: the connection is up and welcomed.
  virtual void submit() = 0;
  /// What the host had said when the connection ended; nothing if it had not.
  virtual std::optional<broker::AttemptResult> said() { return std::nullopt; }

  [[nodiscard]] bool owes() const final { return job_.has_value(); }
  void on_end(int error) final;
  void on_sent() final;
  void end(std::optional<broker::AttemptResult> result);
  /// The host has welcomed us.
  void welcome();
  /// The request itself is being written: from its last byte on it may run.
  bool write_request(std::string_view bytes);
  /// Keeps the connection only if nothing is left over on it: that would be taken for the next answer.
  void finish(broker::AttemptResult result, bool keep);
  /// Passes a part of a long answer on. From the first on only silence ends the attempt. False if it is to
  /// wait: then nothing is read until on_more.
  bool pass(std::string_view bytes);
  /// What had to wait may go on.
  virtual void on_more() {}
  /// What has been written of a job that is not submitted yet has left.
  virtual void on_room() {}
  /// Ends a connection that has broken the protocol: whatever it had said of the job counts for nothing.
  void broken();
  [[nodiscard]] std::int64_t ms_left() const;

  std::optional<Job> job_;
  bool welcomed_ = false, submitted_ = false, last_ = false;

 private:
  void expired(ev::timer&, int);
  void arm();
  bool streaming_ = false;
  bool counted_ = false;  // the attempt's last byte has left, and the broker knows
  SocketUpstream& owner_;
  HostId host_;
  ev::timer timer_;
};

class SocketUpstream : public broker::Upstream {
 public:
  struct Options {
    Duration connect_timeout{250'000};
    Duration idle_close{30'000'000};
    std::size_t most = 300;  // connections
  };
  using Clock = broker::Broker::Clock;
  using Make = std::function<std::unique_ptr<HostConnection>(Fd fd, HostId host, SocketUpstream& owner)>;
  SocketUpstream(ev::loop_ref loop, Reaper& reaper, Clock clock, Options options, Make make,
                 std::function<void()> watch);
  void attach(broker::Broker& broker) { broker_ = &broker, apply_most(); }
  /// A factor on the most connections; those beyond it go as they fall idle or make room.
  void scale_most(double factor) { factor_ = factor, apply_most(); }

  /// Another process follows this one: while that is so connections that fall idle are closed.
  void wind_down(bool on);
  /// From the next connection or sweep on.
  void set_times(Duration connect_timeout, Duration idle_close) {
    options_.connect_timeout = connect_timeout;
    options_.idle_close = idle_close;
  }
  [[nodiscard]] std::size_t most() const { return options_.most; }
  void set_most(std::size_t most) { options_.most = most, apply_most(); }
  [[nodiscard]] std::size_t connections() const { return connections_.size(); }
  /// Closes idle connections, the longest idle first, until there are `most` at most or none is idle.
  void trim(std::size_t most);
  /// Called when a connection is wanted and there is no place: may raise the most.
  void on_full(std::function<void()> call) { full_ = std::move(call); }

  void start(broker::AttemptKey key, HostId host, const std::string& address,
             const std::shared_ptr<const broker::RequestPayload>& work, Time stop_at,
             bool only_there) override;
  void cancel(broker::AttemptKey key) override;
  void resume(broker::AttemptKey key) override;
  void probe(HostId host, const std::string& address) override;
  void open_watch() override { watch_(); }
  void set_timer(Time due) override;
  void close_idle(HostId host) override;

  // for the connections
  [[nodiscard]] Time now() const { return clock_(); }
  [[nodiscard]] const Options& options() const { return options_; }
  fleet::AdaptiveConnectTimeout& patience() { return patience_; }
  void done(HostConnection* connection, const Job& job, broker::AttemptResult result, bool keep);
  void gone(HostConnection* connection);
  void written(const Job& job);
  bool part(const Job& job, std::string_view bytes);

 private:
  void run(HostId host, const std::string& address, Job job);
  void tell(const Job& job, HostId host, broker::AttemptResult result);
  void drop(HostConnection* connection);
  void wake(ev::timer&, int);
  void sweep(ev::timer&, int);
  void arm_wake();

  ev::loop_ref loop_;
  Reaper& reaper_;
  Clock clock_;
  Options options_;
  fleet::AdaptiveConnectTimeout patience_;
  void apply_most();
  std::size_t most_;
  double factor_ = 1;
  std::function<void()> full_;
  bool winding_down_ = false;
  Make make_;
  std::function<void()> watch_;
  broker::Broker* broker_ = nullptr;
  std::unordered_map<HostConnection*, std::unique_ptr<HostConnection>> connections_;
  std::map<std::pair<std::uint64_t, std::uint32_t>, HostConnection*> attempts_;
  broker::IdlePool<HostConnection> pool_;
  ev::timer wake_, sweep_;
  Time wake_at_{};
};

}  // namespace cedarring::wire

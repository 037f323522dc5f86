// Connections to database hosts, of any protocol: each executes one attempt or probe at a time; idle
// connections are pooled.
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

/// The task of a host connection: an attempt of a request, or a probe.
struct Job {
  std::optional<broker::AttemptKey> attempt;              // absent: a probe
  std::shared_ptr<const broker::RequestPayload> payload;  // null for a probe
  std::string address;                                    // of the host
  Time started_at{};
  broker::AttemptLimits limits;
};

/// One connection to a host. It executes one job at a time, up to the complete answer, and never resends a
/// request. The first job begins with the connect and the handshake. Subclasses implement the protocol.
///
/// Hosts may send more than belongs to an answer, a second copy of it for example, and it may arrive after
/// the connection has become idle. So after each answer a validation query is sent, which has no effect and
/// whose answer cannot be taken for another one. Only once that answer has arrived, and nothing else, the
/// next request is written; what arrives in its place ends the connection.
class HostConnection : public Connection {
 public:
  /// `max_message`: bytes of the longest message that fits the input buffer.
  HostConnection(ev::loop_ref loop, Fd fd, HostId host, SocketUpstream& owner, std::size_t max_message);
  /// Starts a job on a new or idle connection. Its request is sent once the handshake is complete and the
  /// connection is validated.
  void run(Job job);
  /// Closes the connection and drops its job without reporting a result; the owner removes it.
  void abandon();
  /// Gives up the job, see broker::Upstream::give_up.
  void give_up(Time confirm_by);
  /// To be called when the host is draining, gone or has another address: a job whose request has not been
  /// submitted yet ends as not sent; any other job is completed. The connection is not reused.
  void retire();
  /// To be called when the client has read enough of a streamed answer: reads on.
  void resume();
  [[nodiscard]] HostId host() const { return host_; }
  /// Whether the answer to the validation query has not arrived yet.
  [[nodiscard]] bool validating() const { return validating_; }
  /// When the probe that it executes was started; nullopt if it executes none.
  [[nodiscard]] std::optional<Time> probe_started_at() const {
    return job_ && !job_->attempt ? std::optional(job_->started_at) : std::nullopt;
  }

 protected:
  /// Clears the state of the previous job's answer.
  virtual void reset() = 0;
  /// Starts sending the job's request; the handshake is complete and the connection is validated.
  virtual void submit() = 0;
  /// Sends the validation query.
  virtual void send_validation() = 0;
  /// The result that the host had sent when the connection ended; nothing if it had sent none.
  virtual std::optional<broker::AttemptResult> received_result() { return std::nullopt; }

  [[nodiscard]] bool has_pending_work() const final { return job_.has_value(); }
  void on_end(int error) final;
  void on_sent() final;
  /// To be called when the host has completed the handshake.
  void on_handshake_done();
  /// To be called when the validation query has been answered.
  void on_validated();
  /// Writes the last or only part of the request: once its last byte is sent the request may run. False if
  /// the connection has ended: it is broken, or the time for writing the request is over.
  bool write_request(std::string_view bytes);
  /// Reports the job's result to the owner, which keeps or destroys the connection. The connection is kept
  /// only if `keep` is set and no unexpected bytes are left on it, which would be taken for part of the next
  /// answer.
  void finish(broker::AttemptResult result, bool keep);
  /// Passes a part of a long answer to the client. From the first part on only a stalled host ends the
  /// attempt. Returns false if the connection has ended or has to wait: nothing is read until on_resume().
  bool forward_answer_part(std::string_view bytes);
  /// Called when reading goes on after forward_answer_part() has returned false.
  virtual void on_resume() {}
  /// Called when the output buffer has been sent while the job's request has not been submitted completely.
  virtual void on_writable() {}
  /// Ends a connection that has violated the protocol; what it had sent of the job's answer is discarded.
  void protocol_error();
  /// Milliseconds until the job is given up, at least 1.
  [[nodiscard]] std::int64_t remaining_ms() const;

  /// To be called with the bytes of the job's answer that have been kept beside the buffers.
  void count_answer_memory(std::size_t bytes) { answer_memory_.set(bytes); }
  [[nodiscard]] std::size_t kept_bytes() const final { return answer_memory_.bytes(); }

  std::optional<Job> job_;
  bool handshake_done_ = false;
  bool submitted_ = false;  // the last part of the request has been passed to write()

 private:
  /// Ends the job: the connect, the answer or the next part of a streamed answer has taken too long.
  void on_timeout(ev::timer&, int);
  /// When the job ends unless its answer begins: the first of the limits that apply in its present state.
  [[nodiscard]] Time due() const;
  /// Starts the timer of the job's connect, request or answer.
  void start_timer();
  /// Starts the validation after a job, unless the connection was closed or not kept.
  void start_validation();
  /// Whether a job waits for the validation, so that nothing of it has been sent.
  [[nodiscard]] bool job_waits_for_validation() const { return job_ && validating_; }
  /// Ends a connection that has failed before its job could be sent on it; another one takes the job.
  void hand_job_back();
  /// Whether the time for writing the request is over and its last byte has not been written.
  [[nodiscard]] bool too_late_to_write() const;
  /// Ends a job whose request has not been written whole, so that it has not run.
  void finish_not_sent();
  /// Ends a job that was given up: its host has read the request, or will never get all of it.
  void finish_given_up();
  /// How a connection was lost.
  enum class Loss {
    by_host,      // the host closed or reset it, or has answered what is not the protocol
    closed_here,  // it failed on this side, for lack of memory for example
    timeout
  };
  /// The result of an attempt whose connection was lost; results that hosts report are mapped by each
  /// protocol's codec.
  [[nodiscard]] broker::AttemptResult result_of_loss(Loss loss) const;
  /// Whether the last byte of the request has been passed to the kernel, so that the request may run.
  [[nodiscard]] bool request_sent() const { return submitted_ && out_.empty(); }
  bool validating_ = false;     // see validating()
  bool retired_ = false;        // not to be reused after the current job
  bool given_up_ = false;       // the sending has ended; the host's answer or close is awaited
  bool streaming_ = false;      // a part of the job's answer has been forwarded
  bool sent_reported_ = false;  // the broker knows that the request has been sent completely
  SocketUpstream& owner_;
  HostId host_;
  broker::MessageMemory::Charge answer_memory_;
  Time connect_by_{};  // of a job that begins with the connect or waits for the validation
  ev::timer timer_;
};

/// The broker's upstream: opens, reuses and closes host connections.
class SocketUpstream : public broker::Upstream {
 public:
  /// Limits on the connections to all hosts; Duration counts microseconds.
  struct Options {
    Duration connect_timeout{250'000};  // from the start of a connect to the end of the handshake
    // Hosts close a connection that has been idle for this time; the gateway closes it after half of that.
    Duration idle_timeout{30'000'000};
    std::size_t max_connections = 300;
  };
  using Clock = broker::Broker::Clock;
  /// Creates a connection to a host for a socket whose connect has been started.
  using Factory = std::function<std::unique_ptr<HostConnection>(Fd fd, HostId host, SocketUpstream& owner)>;
  /// `open_watch` is called when the broker wants a watch on discovery's list.
  SocketUpstream(ev::loop_ref loop, Reaper& reaper, Clock clock, Options options, Factory factory,
                 std::function<void()> open_watch);
  /// To be called once, before any other call of the broker.
  void attach(broker::Broker& broker) {
    broker_ = &broker;
    apply_limit();
  }
  /// Sets the connection limit to max_connections times `factor`, regardless of earlier factors. Connections
  /// above the new limit are closed when they become idle, or when an idle one must make room for a new one.
  void scale_limit(double factor) {
    limit_factor_ = factor;
    apply_limit();
  }

  /// Set while another process takes over: idle connections are closed at once, others as they become idle.
  /// When it is no longer set, connections are pooled again.
  void set_draining(bool draining);
  /// Sets the timeouts that apply from the next connection or sweep on.
  void set_timeouts(Duration connect_timeout, Duration idle_timeout) {
    options_.connect_timeout = connect_timeout;
    options_.idle_timeout = idle_timeout;
  }
  [[nodiscard]] std::size_t max_connections() const { return options_.max_connections; }
  void set_max_connections(std::size_t max_connections) {
    options_.max_connections = max_connections;
    apply_limit();
  }
  [[nodiscard]] std::size_t connections() const { return connections_.size(); }
  /// Closes idle connections, the longest idle first, until at most `max_connections` remain or none is idle.
  void trim(std::size_t max_connections);
  /// Sets the callback that runs when a connection is needed and the limit is reached; it may raise the
  /// limit.
  void set_limit_callback(std::function<void()> callback) { limit_reached_ = std::move(callback); }

  void start(broker::AttemptKey key, HostId host, const std::string& address,
             const std::shared_ptr<const broker::RequestPayload>& payload,
             const broker::AttemptLimits& limits) override;
  void cancel(broker::AttemptKey key) override;
  void give_up(broker::AttemptKey key, Time confirm_by) override;
  void resume(broker::AttemptKey key) override;
  void probe(HostId host, const std::string& address) override;
  void open_watch() override { open_watch_(); }
  void set_timer(Time due) override;
  void close_idle(HostId host) override;

  // Called by host connections.
  [[nodiscard]] Time now() const { return clock_(); }
  [[nodiscard]] const Options& options() const { return options_; }
  fleet::AdaptiveConnectTimeout& adaptive_connect_timeout() { return adaptive_connect_timeout_; }
  /// Reports the result of a finished job to the broker. The connection becomes idle if `keep` is set and it
  /// is within the limit; otherwise it is removed.
  void on_job_done(HostConnection* connection, const Job& job, broker::AttemptResult result, bool keep);
  /// Starts a job on another connection to its host, since nothing of it could be sent on this one, which is
  /// closed and is removed.
  void start_elsewhere(HostConnection* connection, Job job);
  /// Removes a connection that is closed already; the reaper destroys it later.
  void remove(HostConnection* connection);
  /// The last byte of the job's request has been sent.
  void on_request_sent(const Job& job);
  /// Passes a part of an answer on; false if the client does not take more now.
  bool on_answer_part(const Job& job, std::string_view bytes);

 private:
  void run(HostId host, Job job);
  /// Takes an idle connection to the host out of the pool, a validated one if there is one; null if there is
  /// none.
  HostConnection* take_idle(HostId host);
  /// Closes the connection of the newest probe, if any, to make room for an attempt.
  void abandon_newest_probe();
  void report(const Job& job, HostId host, broker::AttemptResult result);
  /// Abandons the connection's job, if any, and removes the connection.
  void close(HostConnection* connection);
  void on_timer(ev::timer&, int);
  /// Closes connections that have been idle for half the idle timeout.
  void sweep(ev::timer&, int);
  void start_timer();
  /// Computes the connection limit and tells the broker how many attempts may be in flight within it.
  void apply_limit();

  ev::loop_ref loop_;
  Reaper& reaper_;
  Clock clock_;
  Options options_;
  fleet::AdaptiveConnectTimeout adaptive_connect_timeout_;
  std::size_t limit_;  // options_.max_connections times limit_factor_, at least 1
  double limit_factor_ = 1;
  std::function<void()> limit_reached_;
  bool draining_ = false;
  Factory factory_;
  std::function<void()> open_watch_;
  broker::Broker* broker_ = nullptr;
  std::unordered_map<HostConnection*, std::unique_ptr<HostConnection>> connections_;
  // The connections that execute attempts, by request and attempt number.
  std::map<std::pair<std::uint64_t, std::uint32_t>, HostConnection*> attempts_;
  broker::IdlePool<HostConnection> pool_;
  ev::timer timer_;  // of the broker, see set_timer()
  ev::timer sweep_;
  Time timer_due_{};
};

}  // namespace cedarring::wire

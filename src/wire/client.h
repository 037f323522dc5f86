// Client connections of any protocol, and the listener that accepts them. The commands of a client may be
// executed concurrently; their answers are sent in the order of the commands.
#pragma once

#include <algorithm>
#include <deque>
#include <memory>
#include <string>
#include <unordered_map>

#include "broker/broker.h"
#include "broker/connection_limits.h"
#include "broker/memory_budget.h"
#include "wire/connection.h"
#include "wire/statement.h"

namespace cedarring::wire {

class ClientSet;

/// A time limit on a client connection. `linger`: after the final reply; `first_command_at_drain`: until the
/// first command of a client that connected just before a shutdown; `unread_answer`: without reading any of
/// an answer; `command`: until a command is complete.
enum class TimeLimit { none, linger, first_command_at_drain, unread_answer, command };
/// The name of a time limit in the log.
const char* name_of(TimeLimit limit);

/// The error message of a refusal: which component refused the request and why, named as in records and
/// reports.
std::string refusal_text(const gates::Verdict& verdict);

/// The gateway's end of one connection from a database client. Subclasses parse the commands of a protocol
/// and encode its answers.
class Client : public Connection, public broker::AnswerSink {
 public:
  /// `max_message`: bytes of the longest command that is read into the input buffer. A subclass reads a
  /// longer command into memory from reserve_memory(), or rejects it.
  Client(ev::loop_ref loop, Fd fd, ClientSet& owner, std::size_t max_message);
  bool on_answer_part(RequestId request, std::string_view bytes) final;
  void finish(RequestId request, broker::FinalAnswer answer) final;
  [[nodiscard]] bool client_gone() const final { return closed() || peer_closed(); }
  /// Whether the client has closed the connection while requests are pending, or a long command waits for
  /// memory, and input is not being read, so that no event reports the close; the owner has to poll for this.
  [[nodiscard]] bool closed_unnoticed() const {
    return (pending_requests_ > 0 || reading_paused()) && !reading() && peer_closed();
  }
  /// Closes the connection once all its commands are answered, at once if none is pending. A client that has
  /// just connected is given a short time for its first command.
  void drain();
  /// To be called when memory for the long command being read may have become available: reads on, or leaves
  /// the queue for memory.
  void on_memory_available();
  /// Processes further commands that have been received; to be called by the owner after defer_commands().
  void process_deferred_commands() { process_received_commands(); }
  /// Closes the connection at once, cancels its pending requests and removes it from its owner.
  void close_and_cancel();
  /// The time limit that the client has exceeded, or TimeLimit::none.
  [[nodiscard]] TimeLimit exceeded_limit(ev::tstamp now);
  /// Whether the client waits between two commands: it has sent one before, nothing is pending, and no part
  /// of a next one has been processed. A client that has just connected is not idle.
  [[nodiscard]] bool idle() const { return command_received_ && !partial_command_ && nothing_pending(); }
  /// Whether nothing is pending and no byte of a next command has been read, so that the connection can be
  /// transferred. Unlike idle(), also true before the first command, and false if in_ holds any input.
  [[nodiscard]] bool between_commands() const {
    return nothing_pending() && in_.empty() && !partial_command_;
  }
  /// Whether this client may be closed in favour of a new one when the connection limit is reached.
  [[nodiscard]] bool evictable(ev::tstamp now) const;
  /// Whether the final reply has been written and the connection only waits for the client's close.
  [[nodiscard]] bool lingering() const { return lingering_; }
  [[nodiscard]] bool has_sent_command() const { return command_received_; }
  /// When the wait that the time limits apply to began, in loop time: at the connect, or at the last event
  /// that restarted it (a command or a part of one, an answer or a part of one, the final reply).
  [[nodiscard]] ev::tstamp waiting_since() const { return waiting_since_; }
  /// Replies with the protocol's error for too many connections, and closes.
  virtual void reject_too_many_clients() = 0;
  /// Whether the connection can be passed to another process, which needs nothing but transfer_state() to
  /// continue it.
  [[nodiscard]] virtual bool transferable() const { return false; }
  /// Continues a connection that another process has set up; `state` is its transfer_state().
  virtual void continue_transferred(const std::string& /*state*/) {}
  /// The protocol state that another process needs to continue the connection.
  [[nodiscard]] virtual std::string transfer_state() const { return {}; }
  /// Sends the greeting, in protocols where the server speaks first.
  virtual void greet() {}

 protected:
  /// Processes one command from in_; false if there is no complete one or the connection is to be closed.
  virtual bool process_command() = 0;
  /// Encodes the answer, or the rest of a streamed one, into `out`, which is empty.
  virtual void put_answer(broker::FinalAnswer answer, std::string& out) = 0;
  /// How many bytes a streamed answer still lacks of its last message after the part `bytes`, if it lacked
  /// `missing` before. 0 in protocols whose answers are not streamed.
  [[nodiscard]] virtual std::size_t missing_bytes_after(std::size_t /*missing*/,
                                                        std::string_view /*bytes*/) const {
    return 0;
  }
  /// How many requests may be pending at once, in protocols with pipelining. Finished answers that wait for
  /// an earlier one do not count; they are limited separately, by number and by bytes.
  [[nodiscard]] virtual std::size_t pipeline_depth() const { return 1; }
  /// Whether no command is being executed and nothing remains to be sent. Unlike idle() and
  /// between_commands(), this ignores input.
  [[nodiscard]] bool nothing_pending() const {
    return slots_.empty() && !lingering_ && !final_reply_ && out_.empty();
  }

  /// Whether a command that exceeds the input buffer is being read into separate memory.
  [[nodiscard]] virtual bool reading_long_command() const { return false; }
  /// Reserves memory for a long command of `bytes`. Returns false if there is none: reading pauses until a
  /// later call succeeds. Such a call comes from process_command(), which runs again when memory is
  /// available, and also after each answer to an earlier command.
  bool reserve_memory(std::size_t bytes, broker::MemoryBudget::Reservation& out);
  /// To be called when a part of a long command has been taken from in_: its time limit restarts.
  void on_command_progress();

  /// Answers the command just processed. The answer is sent after those of earlier commands.
  void reply(std::string bytes);
  /// Sends `bytes`, closes the sending direction and discards further input for a while before closing:
  /// closing with unread input would reset the connection and lose the reply in transit.
  void reply_and_close(std::string bytes);
  /// Whether no byte has been received yet.
  [[nodiscard]] virtual bool nothing_received() const = 0;
  /// To be called when a complete command has been received.
  void on_command_received() {
    command_received_ = true;
    waiting_since_ = loop_.now();
  }
  /// Submits a request to the broker; returns why the request was rejected, or Rejection::none.
  /// `unreserved_bytes`: what the payload takes and is not reserved from the budget for long statements.
  broker::Rejection submit_request(const StatementInfo& info, std::shared_ptr<broker::RequestPayload> payload,
                                   std::size_t unreserved_bytes);
  [[nodiscard]] std::size_t kept_bytes() const override { return answer_memory_.bytes(); }

 private:
  /// The answer to one command.
  struct Slot {
    RequestId request{};     // not set for commands that the gateway answers itself
    bool pending = false;    // the answer is not complete
    std::string output;      // the encoded answer, or the part of it that has not been passed to write()
    bool streaming = false;  // part of the answer has been received; in the first slot it is sent at once
    std::size_t missing_bytes = 0;  // of the last message of a streamed answer
    // A value that breaks off: zero bytes that complete its message are due behind `output`, then this error.
    std::size_t filler_bytes = 0;
    std::string error;
  };
  void on_input() final;
  [[nodiscard]] bool has_pending_work() const final { return !slots_.empty() || !out_.empty(); }
  [[nodiscard]] bool can_pause_reading() const final { return true; }
  [[nodiscard]] bool drained() const;
  void flush_answers();
  void write_answers();
  void count_answer_memory();
  bool write_complete(Slot& slot);
  bool write_output(Slot& slot);
  void end_truncated(Slot& slot, broker::FinalAnswer answer);
  [[nodiscard]] bool has_other_commands() const;
  void start_lingering();
  void on_end(int error) final;
  void on_sent() final;
  void process_commands();
  void process_received_commands();
  void record_arrival();
  [[nodiscard]] bool can_process_command() const;
  [[nodiscard]] Time arrival_time();
  ClientSet& owner_;
  /// The slot of a pending request; the end of slots_ if there is none.
  [[nodiscard]] std::deque<Slot>::iterator find_slot(RequestId request);
  std::deque<Slot> slots_;                       // in the order of commands
  std::size_t pending_requests_ = 0;             // pending slots
  std::size_t queued_answer_bytes_ = 0;          // of answers that wait for an earlier one
  broker::MessageMemory::Charge answer_memory_;  // for the slots and their bytes
  /// Offsets into the received bytes, each with the time at which the bytes before it had been received: a
  /// command's deadline counts from the arrival of its last byte, not from its processing. At most
  /// max_arrivals entries; bytes beyond them count as received with the last entry.
  std::deque<std::pair<std::uint64_t, Time>> arrivals_;
  std::uint64_t bytes_received_ = 0;  // since the connection was opened
  std::size_t seen_input_ = 0;        // bytes in in_ when it was last processed
  bool final_reply_ = false;          // the last slot holds the final reply
  bool lingering_ = false;            // the final reply has been written; input is discarded
  bool draining_ = false;             // drain() has been called
  bool processing_ = false;           // process_commands() is running
  bool command_received_ = false;     // at least one command has been received
  bool partial_command_ = false;      // nothing is pending and a part of a command has been received
  ev::tstamp waiting_since_;
  std::size_t discarded_bytes_ = 0;  // while lingering
  // bytes_received_by_peer() when an answer was last checked for progress
  std::uint64_t last_bytes_received_by_peer_ = 0;
};

/// A listener and the clients that it has accepted.
class ClientSet {
 public:
  /// Creates the client of an accepted connection.
  using Factory = std::function<std::unique_ptr<Client>(Fd fd, ClientSet& owner)>;
  /// Passes a client's descriptor and transfer state to another process; returns whether they have been sent.
  using Transfer = std::function<bool(int fd, const std::string& state)>;
  /// Uses `listener` if it is valid, otherwise listens at `address`. Clients are accepted from
  /// start_accepting() on; until then they wait in the listener's queue. Throws std::system_error.
  ClientSet(ev::loop_ref loop, Reaper& reaper, broker::Broker& broker, const std::string& address,
            std::size_t max_clients, Factory factory, Fd listener = Fd());
  ~ClientSet();
  /// Stops listening; clients are closed as they become idle.
  void drain();
  [[nodiscard]] bool empty() const { return clients_.empty(); }
  [[nodiscard]] bool listening() const { return listener_.get() >= 0; }
  /// Clients as a share of the connection limit.
  [[nodiscard]] double utilization() const {
    return static_cast<double>(active_count()) / static_cast<double>(std::max<std::size_t>(max_clients_, 1));
  }
  [[nodiscard]] std::string address() const { return bound_address(listener_); }
  [[nodiscard]] const Fd& listener() const { return listener_; }
  void start_accepting() {
    if (listening()) accept_watcher_.start(listener_.get(), ev::READ);
  }
  /// Stops accepting, keeps the listener open, and transfers each client as it becomes idle. Clients that are
  /// not transferable are closed once idle.
  void start_handover(Transfer transfer);
  /// To be called when the other process has ended during the handover: accepts and serves clients again.
  void cancel_handover();
  /// Continues a client that another process has transferred.
  void adopt(Fd fd, const std::string& state);
  /// Sets the limit on active_count(). The idle timeout of clients shrinks as their number approaches
  /// `idle_timeout_limit` or `max_clients`, whichever is greater (see broker::IdleConnectionLimits).
  void set_max_clients(std::size_t max_clients, std::size_t idle_timeout_limit = 0) {
    max_clients_ = max_clients;
    idle_timeout_limit_ = std::max(max_clients, idle_timeout_limit);
  }
  /// Sets the callback that runs when a client has connected, before the client is counted; it may change the
  /// limit.
  void set_new_client_callback(std::function<void()> callback) { on_new_client_ = std::move(callback); }
  /// Clients that count towards the limit: all but lingering ones.
  [[nodiscard]] std::size_t active_count() const { return clients_.size() - lingering_count_; }
  [[nodiscard]] std::size_t max_clients() const { return max_clients_; }
  /// All clients, with lingering ones.
  [[nodiscard]] std::size_t size() const { return clients_.size(); }
  /// Called for each client that is closed for a time limit, with the time that it has taken, in seconds.
  using TimeLimitCallback = std::function<void(TimeLimit limit, double waited_s)>;
  void set_time_limit_callback(TimeLimitCallback callback) { on_time_limit_ = std::move(callback); }
  /// To be called by a client that has more commands to process than it may in one turn of the event loop:
  /// Client::process_deferred_commands() is called in the next turn.
  void defer_commands(Client* client);
  /// To be called by a client that has closed.
  void remove(Client* client);
  /// To be called by a client that starts lingering. If too many linger, the one that has lingered longest is
  /// closed.
  void on_lingering(Client* client);
  /// The memory for long commands.
  broker::MemoryBudget& memory_budget() { return *memory_budget_; }
  [[nodiscard]] const broker::MemoryBudget& memory_budget() const { return *memory_budget_; }
  void set_memory_budget(std::size_t bytes) { memory_budget_->set_total(bytes); }
  broker::Broker& broker() { return broker_; }

 private:
  void on_connection(ev::io&, int) { (void)accept_pending(); }
  bool accept_pending();
  void transfer_idle();
  void on_memory_freed(ev::timer&, int);
  void process_deferred_commands(ev::timer&, int);
  void resume_accepting(ev::timer&, int) { accept_watcher_.start(); }
  void sweep(ev::timer&, int);
  bool make_room();
  bool evict();
  void retire_idle();
  [[nodiscard]] Duration idle_time(const Client& client) const;
  ev::loop_ref loop_;
  Reaper& reaper_;
  broker::Broker& broker_;
  std::size_t max_clients_, idle_timeout_limit_;
  std::function<void()> on_new_client_;
  TimeLimitCallback on_time_limit_;
  Factory factory_;
  Fd listener_;
  ev::io accept_watcher_;
  ev::timer accept_pause_timer_;  // runs while accepting is paused
  ev::timer sweep_timer_;
  broker::IdleConnectionLimits idle_limits_;
  std::shared_ptr<broker::MemoryBudget> memory_budget_;  // reservations may outlive this object
  ev::timer memory_freed_timer_;                         // runs on_memory_freed() from the event loop
  std::vector<Client*> deferred_;                        // see defer_commands(); some may have closed
  ev::timer deferred_timer_;                             // runs process_deferred_commands() in the next turn
  std::size_t lingering_count_ = 0;
  Transfer transfer_;  // set during a handover
  std::unordered_map<Client*, std::unique_ptr<Client>> clients_;
};

}  // namespace cedarring::wire

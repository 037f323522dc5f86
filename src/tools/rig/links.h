// The connections of the rig: from a gateway to an emulated host or to discovery, and from a client to a
// gateway.
#pragma once

#include <optional>
#include <string>

#include "tools/rig/rig.h"
#include "wire/connection.h"

namespace cedarring::rig {

/// A connection that can be reset instead of closed in an orderly way.
class Link : public wire::Connection {
 public:
  using wire::Connection::Connection;
  /// Closes the connection with a TCP reset.
  void reset();
  /// Whether the other side has closed the connection, even if input is still unread.
  [[nodiscard]] bool peer_closed() const;
};

/// A gateway's connection to a host. Speaks the PostgreSQL protocol and passes work to the host model.
class HostLink : public Link {
 public:
  /// `number`: the key in Rig::host_links_; `gateway` and `host`: indexes.
  HostLink(Rig& rig, wire::Fd fd, std::uint64_t number, int gateway, int host);
  [[nodiscard]] int gateway() const { return gateway_; }
  [[nodiscard]] int host() const { return host_; }
  /// Pauses or resumes input and output after the fault on the link has changed.
  void on_link_change();
  /// Closes the connection and releases it. An attempt in progress counts as closed.
  void shut_down(bool with_reset);

 private:
  void on_input() override;
  void on_end(int error) override;
  /// Answers a probe of the gateway, or submits a statement to the host model.
  void on_query(std::string_view sql);
  /// Sends the host model's answer, or that of a fault, unless the connection has gone on to a later request.
  void send_answer(std::uint64_t request_number, Outcome outcome, AnswerMetadata metadata);
  /// Sends bytes subject to the fault on the link: later, or once the direction is no longer cut.
  void send(const std::string& bytes);
  /// Reports the end of the present attempt to the rule checker; the connection is idle afterwards.
  void end_attempt(AttemptEnd end, std::optional<Time> position);
  /// Whether the host reads nothing: the direction is cut, or the host is unresponsive.
  [[nodiscard]] bool requests_cut() const;
  /// Draws when the present request is aborted: within its answer, or at a time around its work.
  void schedule_abort(Duration work);
  /// Closes the connection if it is still idle after the idle timeout of the fault.
  void on_idle();
  /// Sends a malformed or incomplete answer in place of this answer.
  void send_bad_answer(const std::string& answer);
  /// Sends parameter messages periodically, without ever completing the answer.
  void send_endlessly();
  void complete_handshake();
  /// Called by the host model when it has accepted the connection: completes the handshake, late if the host
  /// is to delay it.
  void on_host_connected();
  /// Runs the action after a delay, if the connection is still open then.
  template <class Action>
  void after(Duration delay, Action action) {
    rig_.timeline_.after(
        delay,
        [&rig = rig_, number = number_, action] {
          const auto it = rig.host_links_.find(number);
          if (it != rig.host_links_.end() && !it->second->closed()) action(*it->second);
        });
  }
  Rig& rig_;
  std::uint64_t number_;
  int gateway_;
  int host_;
  bool startup_received_ = false;
  bool handshake_done_ = false;
  bool counted_ = false;             // counts toward the host's connection limit
  bool aborts_at_answer_ = false;    // reset the connection within the next answer
  std::string request_;              // id of the request being executed; empty: idle
  std::size_t attempt_index_ = 0;    // of its attempt, at the rule checker
  std::uint64_t model_job_ = 0;      // number of its job at the host model; 0: none
  std::uint64_t request_count_ = 0;  // requests received, with the present one
  std::string unsent_;               // output held back while the direction to the gateway is cut
};

/// A gateway's connection to discovery: a single poll, or a watch that stays open.
class DiscoveryLink : public Link {
 public:
  DiscoveryLink(Rig& rig, wire::Fd fd, int gateway);
  [[nodiscard]] int gateway() const { return gateway_; }
  [[nodiscard]] bool watching() const { return watching_; }
  /// Sends a list to the watch. Returns whether the gateway counts as having the list from now on; false for
  /// a connection that is no watch.
  bool send_list(const std::string& list);
  void send_heartbeat();
  /// Closes the connection and releases it.
  void shut_down(bool with_reset);
  /// Pauses or resumes input, and sends the present list, after the fault on the link has changed.
  void on_link_change();
  /// Sends nothing more, but stays open. A list missed this way counts as delivered after 6 s, when the
  /// gateway must have noticed the silence.
  void stall();
  /// Closes the connection in the middle of a list.
  void truncate_list();

 private:
  void on_input() override;
  void on_end(int error) override;
  Rig& rig_;
  int gateway_;
  bool watching_ = false;
  std::optional<Time> stalled_at_;  // time of stall(), if it was called
};

/// A client's connection to a gateway, with one request at a time. A probe sends an empty query, takes the
/// gateway into rotation when it is answered, then closes.
class ClientLink : public Link {
 public:
  ClientLink(Rig& rig, const std::string& address, int gateway, bool probe);
  /// Sends the statement of an attempt, as soon as the connection is open.
  void send_request(const Rig::ClientAttempt& attempt, const std::string& sql);
  [[nodiscard]] int gateway() const { return gateway_; }
  /// Whether the answer to this attempt is outstanding.
  [[nodiscard]] bool waits_for(const std::string& id) const { return attempt_ && attempt_->id == id; }
  /// Closes the connection and releases it. A request without an answer counts as lost, or as not accepted.
  void shut_down();
  /// How a client leaves while it waits for an answer.
  enum class ClientExit {
    close,
    reset,
    half_close,  // closes the sending direction and reads on
    terminate    // sends a Terminate message, then closes
  };
  static constexpr unsigned client_exit_count = 4;
  /// The client leaves; its request needs no answer.
  void leave(ClientExit how);

 private:
  void on_open() override;
  void on_input() override;
  void on_end(int error) override;
  Rig& rig_;
  int gateway_;
  bool probe_;
  bool open_ = false;
  bool handshake_done_ = false;
  bool reused_ = false;       // the present request is not the first on this connection
  bool client_left_ = false;  // input is discarded
  std::optional<Rig::ClientAttempt> attempt_;
  /// Maps the SQLSTATE received to an answer; `without_sqlstate` applies if there was none.
  [[nodiscard]] Answer answer_received(Answer without_sqlstate) const;
  // Of the present request: its statement, and what has been received so far.
  std::string sql_;
  std::string sqlstate_;
  std::string error_detail_;
  bool row_received_ = false;
};

}  // namespace cedarring::rig

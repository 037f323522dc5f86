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
  void on_query(std::string_view sql);
  void send_answer(std::uint64_t job, Outcome outcome, AnswerMetadata metadata);
  void send(const std::string& bytes);
  void end_attempt(AttemptEnd end, std::optional<Time> position);
  [[nodiscard]] bool requests_cut() const;
  void schedule_abort(Duration work);
  /// Closes the connection if it is still idle after the idle timeout of the fault.
  void on_idle();
  /// Sends a malformed or incomplete answer in place of this one.
  void send_bad_answer(const std::string& answer);
  /// Sends parameter messages periodically, without ever completing the answer.
  void send_endlessly();
  void complete_handshake();
  void on_host_connected();
  /// Runs the action after a delay, if the connection is still open then.
  template <class Action>
  void after(Duration wait, Action action) {
    rig_.timeline_.after(
        wait,
        [&rig = rig_, number = number_, action] {
          const auto it = rig.host_links_.find(number);
          if (it != rig.host_links_.end() && !it->second->closed()) action(*it->second);
        });
  }
  Rig& rig_;
  std::uint64_t number_;
  int gateway_, host_;
  bool startup_received_ = false, handshake_done_ = false;
  bool counted_ = false;           // counts toward the host's connection limit
  bool aborts_at_answer_ = false;  // reset the connection within the next answer
  std::string request_;            // id of the request being executed; empty: idle

  std::size_t attempt_ = 0;
  std::uint64_t job_ = 0, job_count_ = 0;
  std::string unsent_;  // output held back while the direction to the gateway is cut
};

/// A gateway's connection to discovery: a single poll, or a watch that stays open.
class DiscoveryLink : public Link {
 public:
  DiscoveryLink(Rig& rig, wire::Fd fd, int gateway);
  [[nodiscard]] int gateway() const { return gateway_; }
  [[nodiscard]] bool watching() const { return watching_; }
  /// Sends a list to the watch. Returns whether the gateway counts as informed from now on.
  bool send_list(const std::string& list);
  void send_heartbeat();
  void shut_down(bool with_reset);
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

/// A client's connection to a gateway, with one request at a time. A probe sends an empty query, then closes.
class ClientLink : public Link {
 public:
  ClientLink(Rig& rig, const std::string& address, int gateway, bool probe);
  void send_request(const Rig::ClientAttempt& attempt, const std::string& sql);
  [[nodiscard]] int gateway() const { return gateway_; }
  [[nodiscard]] bool waits_for(const std::string& id) const { return attempt_ && attempt_->id == id; }
  void shut_down();
  /// How a client leaves while it waits for an answer.
  enum class ClientExit { close, reset, half_close, terminate };
  void leave(ClientExit how);

 private:
  void on_open() override;
  void on_input() override;
  void on_end(int error) override;
  Rig& rig_;
  int gateway_;
  bool probe_, handshake_done_ = false, reused_ = false, open_ = false, left_ = false;
  std::optional<Rig::ClientAttempt> attempt_;
  /// Maps the SQLSTATE received to an answer; `without_code` applies if there was none.
  [[nodiscard]] Answer outcome(Answer without_code) const;
  std::string sql_, code_, detail_;
  bool row_received_ = false;
};

}  // namespace cedarring::rig

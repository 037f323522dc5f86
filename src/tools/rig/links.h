// The connections that the rig holds: a gateway's to a host, a gateway's to discovery, a client's to a
// gateway.
#pragma once

#include <optional>
#include <string>

#include "tools/rig/rig.h"
#include "wire/connection.h"

namespace cedarring::rig {

/// A connection that can be reset instead of ended.
class Link : public wire::Connection {
 public:
  using wire::Connection::Connection;
  void reset();
  /// Whether the other side has ended it, whatever is still to be read.
  [[nodiscard]] bool peer_closed() const;
};

/// A gateway's connection to a host: PostgreSQL in front of the model.
class HostLink : public Link {
 public:
  HostLink(Rig& rig, wire::Fd fd, std::uint64_t number, int gateway, int host);
  [[nodiscard]] int gateway() const { return gateway_; }
  [[nodiscard]] int host() const { return host_; }
  /// The link is whole again, or is cut: what was held goes on, or waits.
  void on_link_change();
  /// Over: the attempt that is in work, if any, counts as closed.
  void shut_down(bool with_reset);

 private:
  void on_input() override;
  void on_end(int error) override;
  void on_query(std::string_view sql);
  void send_answer(std::uint64_t job, Outcome outcome, AnswerMetadata note);
  void send(const std::string& bytes);
  void end_attempt(AttemptEnd end, std::optional<Time> position);
  [[nodiscard]] bool requests_cut() const;
  void schedule_abort(Duration work);
  /// Ends if it still rests after as long as the fault says.
  void on_idle();
  /// Says something else in place of this answer.
  void send_bad_answer(const std::string& answer);
  void send_endlessly();
  void complete_handshake();
  void on_host_connected();
  /// Later, if this link is still there.
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
  bool startup_received_ = false, handshake_done_ = false,
       counted_ = false;           // counts: among the host's connections
  bool aborts_at_answer_ = false;  // at its answer, behind a part of it
  std::string request_;            // in work
  std::size_t attempt_ = 0;
  std::uint64_t job_ = 0, job_count_ = 0;
  std::string unsent_;  // while the way back is cut
};

/// A gateway's connection to discovery.
class DiscoveryLink : public Link {
 public:
  DiscoveryLink(Rig& rig, wire::Fd fd, int gateway);
  [[nodiscard]] int gateway() const { return gateway_; }
  [[nodiscard]] bool watching() const { return watching_; }
  /// Whether what it is told counts as told.
  bool send_list(const std::string& list);
  void send_heartbeat();
  void shut_down(bool with_reset);
  void on_link_change();
  /// From now on it says nothing, and stays open. What it misses counts as told 6 s after.
  void stall();
  /// Ends in the middle of a list.
  void truncate_list();

 private:
  void on_input() override;
  void on_end(int error) override;
  Rig& rig_;
  int gateway_;
  bool watching_ = false;
  std::optional<Time> stalled_at_;  // since when
};

/// A client's connection to a gateway; one request at a time. A probe asks an empty query and ends.
class ClientLink : public Link {
 public:
  ClientLink(Rig& rig, const std::string& address, int gateway, bool probe);
  void send_request(const Rig::ClientAttempt& attempt, const std::string& sql);
  [[nodiscard]] int gateway() const { return gateway_; }
  [[nodiscard]] bool waits_for(const std::string& id) const { return attempt_ && attempt_->id == id; }
  void shut_down();
  /// Leaves while it waits for an answer.
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
  /// What an answer with the present code is; a row or nothing came where there is none.
  [[nodiscard]] Answer outcome(Answer without_code) const;
  std::string sql_, code_, detail_;
  bool row_received_ = false;
};

}  // namespace cedarring::rig

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
  [[nodiscard]] bool ended_there() const;
};

/// A gateway's connection to a host: PostgreSQL in front of the model.
class HostLink : public Link {
 public:
  HostLink(Rig& rig, wire::Fd fd, std::uint64_t number, int gateway, int host);
  [[nodiscard]] int gateway() const { return gateway_; }
  [[nodiscard]] int host() const { return host_; }
  /// The link is whole again, or is cut: what was held goes on, or waits.
  void troubled();
  /// Over: the attempt that is in work, if any, counts as closed.
  void drop(bool with_reset);

 private:
  void on_input() override;
  void on_end(int error) override;
  void take(std::string_view sql);
  void answer(std::uint64_t job, Outcome outcome, AnswerMetadata note);
  void say(const std::string& bytes);
  void over(Over how, std::optional<Time> position);
  [[nodiscard]] bool stopped() const;
  void break_later(Duration work);
  /// Ends if it still rests after as long as the fault says.
  void rests();
  /// Says something else in place of this answer.
  void spoil(const std::string& answer);
  void drip();
  void welcome();
  void connected();
  /// Later, if this link is still there.
  template <class What>
  void after(Duration wait, What what) {
    rig_.timeline_.after(
        wait,
        [&rig = rig_, number = number_, what] {
          const auto it = rig.host_links_.find(number);
          if (it != rig.host_links_.end() && !it->second->closed()) what(*it->second);
        });
  }
  Rig& rig_;
  std::uint64_t number_;
  int gateway_, host_;
  bool started_ = false, welcomed_ = false, counts_ = false;  // counts: among the host's connections
  bool breaks_ = false;                                       // at its answer, behind a part of it
  std::string request_;                                       // in work
  std::size_t attempt_ = 0;
  std::uint64_t job_ = 0, jobs_ = 0;
  std::string unsaid_;  // while the way back is cut
};

/// A gateway's connection to discovery.
class DiscoveryLink : public Link {
 public:
  DiscoveryLink(Rig& rig, wire::Fd fd, int gateway);
  [[nodiscard]] int gateway() const { return gateway_; }
  [[nodiscard]] bool watching() const { return watching_; }
  /// Whether what it is told counts as told.
  bool tell(const std::string& list);
  void beat();
  void drop(bool with_reset);
  void troubled();
  /// From now on it says nothing, and stays open. What it misses counts as told 6 s after.
  void mute();
  /// Ends in the middle of a list.
  void tear();

 private:
  void on_input() override;
  void on_end(int error) override;
  Rig& rig_;
  int gateway_;
  bool watching_ = false;
  std::optional<Time> mute_;  // since when
};

/// A client's connection to a gateway; one request at a time. A probe asks an empty query and ends.
class ClientLink : public Link {
 public:
  ClientLink(Rig& rig, const std::string& address, int gateway, bool probe);
  void ask(const Rig::Try& t, const std::string& sql);
  [[nodiscard]] int gateway() const { return gateway_; }
  [[nodiscard]] bool asks(const std::string& id) const { return try_ && try_->id == id; }
  void drop();
  /// Leaves while it waits for an answer.
  enum class Way { close, reset, half_close, terminate };
  void go(Way way);

 private:
  void on_open() override;
  void on_input() override;
  void on_end(int error) override;
  Rig& rig_;
  int gateway_;
  bool probe_, welcomed_ = false, used_ = false, open_ = false, gone_ = false;
  std::optional<Rig::Try> try_;
  /// What an answer with the present code is; a row or nothing came where there is none.
  [[nodiscard]] Answer outcome(Answer without_code) const;
  std::string sql_, code_, detail_;
  bool row_ = false;
};

}  // namespace cedarring::rig

// Connections to MySQL hosts: each has its own map of prepared statements and prepares on demand.
#pragma once

#include <list>
#include <string>

#include "wire/mysql_work.h"
#include "wire/upstream.h"

namespace cedarring::wire {

class MysqlHost : public HostConnection {
 public:
  MysqlHost(ev::loop_ref loop, Fd fd, HostId host, SocketUpstream& owner)
      : HostConnection(loop, std::move(fd), host, owner, mysql_message_most) {}

 private:
  enum class State { greeting, login, idle, preparing, prepare_rest, first, columns, rows };
  struct Prepared {
    std::string sql;
    std::uint32_t id = 0;
  };
  void on_input() override;
  void reset() override;
  void submit() override;
  std::optional<broker::AttemptResult> received_result() override;
  /// False if the host has broken the protocol.
  bool take(const mysql::Packet& packet);
  bool take_greeting(std::string_view payload);
  bool take_login(std::string_view payload);
  bool take_prepared(std::string_view payload);
  bool take_first(const mysql::Packet& packet);
  bool take_row(std::string_view payload);
  bool ended(std::string_view ok);
  void failed(std::string_view error);
  void prepared(std::uint32_t id);
  void command(std::string_view payload, bool request);
  [[nodiscard]] const MysqlWork& work() const { return static_cast<const MysqlWork&>(*job_->work); }

  State state_ = State::greeting;
  std::list<Prepared> statements_;  // used last first
  std::uint8_t sequence_ = 0;       // of the next packet that is due
  std::uint64_t left_ = 0;          // definitions still to come
  std::uint32_t preparing_ = 0;
  std::string answer_;  // its packets, whole
  std::string health_;
  std::string error_;  // the payload of an ERR packet
  AnswerMetadata note_;
};

}  // namespace cedarring::wire

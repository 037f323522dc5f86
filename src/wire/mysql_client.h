// The MySQL front: clients with plain and prepared statements.
#pragma once

#include <map>
#include <string>
#include <vector>

#include "wire/client.h"
#include "wire/mysql_work.h"

namespace cedarring::wire {

class MysqlClient : public Client {
 public:
  MysqlClient(ev::loop_ref loop, Fd fd, ClientSet& owner)
      : Client(loop, std::move(fd), owner, mysql_message_most) {}
  void turn_away() override;
  void greet() override;
  /// Prepared statements stay with the process that holds them.
  [[nodiscard]] bool transferable() const override { return welcomed_ && statements_.empty(); }
  [[nodiscard]] std::string transfer_state() const override { return std::to_string(capabilities_); }
  void resume(const std::string& state) override;

 private:
  struct Statement {
    std::string sql;
    std::size_t placeholders = 0;
    std::vector<mysql::Parameter> types;                // as last bound
    std::vector<std::optional<std::string>> long_data;  // by parameter
    std::size_t long_bytes = 0;
    bool overlong = false;
    [[nodiscard]] std::size_t bytes() const { return sql.size() + long_bytes; }
    void drop_long_data();
  };
  [[nodiscard]] bool silent() const override { return !welcomed_ && in_.empty(); }
  bool process_command() override;
  void put_answer(broker::FinalAnswer answer, std::string& out) override;
  void shake_hands(std::string_view payload);
  void command(std::string_view payload);
  void query(std::string_view payload);
  void prepare(std::string_view sql);
  void execute(std::string_view payload);
  void long_data(std::string_view payload);
  void submit(std::shared_ptr<MysqlWork> work);
  bool supported(std::string_view sql);
  Statement* statement(std::uint32_t id);
  [[nodiscard]] std::size_t held_bytes() const;
  void ok();
  void error(std::uint16_t code, std::string_view state, const std::string& message);
  void fatal(std::uint16_t code, std::string_view state, const std::string& message);
  [[nodiscard]] bool can(mysql::Capability c) const { return (capabilities_ & c) != 0; }

  std::uint32_t capabilities_ = 0;
  bool welcomed_ = false;
  std::uint8_t sequence_ = 0;  // of the next packet that we write
  std::map<std::uint32_t, Statement> statements_;
  std::uint32_t next_statement_ = 1;
};

}  // namespace cedarring::wire

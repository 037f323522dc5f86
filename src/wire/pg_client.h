// The platform's front: PostgreSQL clients, simple queries.
#pragma once

#include <string>

#include "wire/client.h"
#include "wire/pg_work.h"

namespace cedarring::wire {

class PgClient : public Client {
 public:
  PgClient(ev::loop_ref loop, Fd fd, ClientSet& owner)
      : Client(loop, std::move(fd), owner, pg_message_most) {}
  void turn_away() override;
  [[nodiscard]] bool transferable() const override { return welcomed_; }
  void resume(const std::string& /*state*/) override { welcomed_ = true, on_command_received(); }

 private:
  [[nodiscard]] bool silent() const override { return !welcomed_ && in_.empty(); }
  [[nodiscard]] std::size_t pipeline_depth() const override { return 16; }
  bool process_command() override { return welcomed_ ? take_message() : take_startup(); }
  void put_answer(broker::FinalAnswer answer, std::string& out) override;
  bool take_startup();
  bool take_message();
  [[nodiscard]] bool reading_long_command() const override { return long_size_ > 0; }
  bool take_long();
  void query(std::string sql, broker::MemoryBudget::Reservation room = {});
  void refuse(std::string_view code, const std::string& why);
  bool fatal(std::string_view code, std::string_view message);
  bool welcomed_ = false;
  std::size_t long_size_ = 0;  // of a long statement that is being read, its zero byte included
  std::string long_;           // of it what has come, once there is room
  broker::MemoryBudget::Reservation long_room_;
};

}  // namespace cedarring::wire

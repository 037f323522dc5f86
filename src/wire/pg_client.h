// The platform's front: PostgreSQL clients, simple queries.
#pragma once

#include <memory>
#include <string>
#include <unordered_map>

#include "memory/broker.h"
#include "wire/connection.h"
#include "wire/listener.h"

namespace cedarring::wire {

class PgFront;

class PgClient : public Connection, public memory::Front {
 public:
  PgClient(ev::loop_ref loop, Fd fd, PgFront& owner);
  void finish(RequestId request, memory::FinalAnswer answer) override;
  /// Closes now if idle, else once idle.
  void drain();
  /// Turns the client away: there are too many.
  void turn_away();

 private:
  void on_input() override { take(); }
  void on_end(int error) override;
  void on_sent() override;
  void take();
  bool take_startup();
  bool take_message();
  void query(std::string_view sql);
  void reply(std::string_view bytes);
  void fatal(std::string_view code, std::string_view message);
  void leave();

  PgFront& owner_;
  RequestId request_{};  // the one in work, if busy
  bool busy_ = false, welcomed_ = false, closing_ = false, draining_ = false, taking_ = false;
};

class PgFront : public ClientSet<PgFront, PgClient> {
 public:
  PgFront(ev::loop_ref loop, Reaper& reaper, memory::Broker& broker, const std::string& address,
          std::size_t most)
      : ClientSet(loop, reaper, address, most), broker_(broker) {}
  memory::Broker& broker() { return broker_; }

 private:
  memory::Broker& broker_;
};

}  // namespace cedarring::wire

// A client of any front: one command at a time, answers in the order of commands.
#pragma once

#include <memory>
#include <string>
#include <unordered_map>

#include "memory/broker.h"
#include "wire/connection.h"
#include "wire/statement.h"

namespace cedarring::wire {

class ClientSet;

class Client : public Connection, public memory::Front {
 public:
  Client(ev::loop_ref loop, Fd fd, ClientSet& owner, std::size_t message_most);
  void finish(RequestId request, memory::FinalAnswer answer) final;
  /// Closes now if idle, else once idle.
  void drain();
  /// Turns the client away: there are too many.
  virtual void turn_away() = 0;
  /// The first thing said, where the server speaks first.
  virtual void greet() {}

 protected:
  /// Takes one command off in_; false if there is none whole or the connection is done with.
  virtual bool take_one() = 0;
  virtual void put_answer(memory::FinalAnswer answer, std::string& out) = 0;

  void reply(std::string_view bytes);
  /// Says `bytes`, then closes.
  void say_last(std::string_view bytes);
  void leave();
  /// Hands a request in; what is wrong with it is told by the broker's word.
  memory::Rejection ask(const StatementInfo& info, std::shared_ptr<const memory::Work> work);

 private:
  void on_input() final { take(); }
  void on_end(int error) final;
  void on_sent() final;
  void take();
  ClientSet& owner_;
  RequestId request_{};  // the one in work, if busy
  bool busy_ = false, closing_ = false, draining_ = false, taking_ = false;
};

/// A listener and the clients it has accepted.
class ClientSet {
 public:
  using Make = std::function<std::unique_ptr<Client>(Fd fd, ClientSet& owner)>;
  ClientSet(ev::loop_ref loop, Reaper& reaper, memory::Broker& broker, const std::string& address,
            std::size_t most, Make make);
  /// No new clients; those there are leave as they fall idle.
  void drain();
  [[nodiscard]] bool empty() const { return clients_.empty(); }
  [[nodiscard]] std::string address() const { return bound_address(listener_); }
  void gone(Client* client);
  memory::Broker& broker() { return broker_; }

 private:
  void incoming(ev::io&, int);
  void rested(ev::timer&, int) { io_.start(); }
  Reaper& reaper_;
  memory::Broker& broker_;
  std::size_t most_;
  Make make_;
  Fd listener_;
  ev::io io_;
  ev::timer rest_;
  std::unordered_map<Client*, std::unique_ptr<Client>> clients_;
};

}  // namespace cedarring::wire

// A client of any front: commands are carried out beside one another, answers come in their order.
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

/// What a client is told of a refusal: who has decided it and why, in the words of records and reports.
std::string refusal_text(const gates::Verdict& verdict);

class Client : public Connection, public broker::FrontEnd {
 public:
  Client(ev::loop_ref loop, Fd fd, ClientSet& owner, std::size_t message_most);
  bool on_answer_part(RequestId request, std::string_view bytes) final;
  void finish(RequestId request, broker::FinalAnswer answer) final;
  [[nodiscard]] bool client_gone() const final { return closed() || peer_gone(); }
  /// Has left while what it asked for waits, where its end is not read.
  [[nodiscard]] bool left_unseen() const { return open_ > 0 && !reading() && peer_gone(); }
  /// Closes now if idle, else once idle.
  void drain();
  /// Goes on reading: there may be room for its long command.
  void room_made();
  /// Closes at once; a request in work is given up.
  void leave();
  /// Whether it has kept us waiting for longer than anyone may: without a command, with half of one, with an
  /// answer that it does not read, or for the end after our last word.
  [[nodiscard]] bool overdue(ev::tstamp now);
  /// Has spoken, and has neither a request nor half a command with us.
  [[nodiscard]] bool idle() const { return spoke_ && !half_ && at_rest(); }
  /// Owes and is owed nothing, and not a byte of a command has been read.
  [[nodiscard]] bool quiet() const { return at_rest() && in_.empty() && !half_; }
  /// Whether it may make room for another when there is none; an idle one, once it has stayed long enough.
  [[nodiscard]] bool evictable(ev::tstamp now) const;
  [[nodiscard]] bool closing() const { return closing_; }
  [[nodiscard]] bool has_spoken() const { return spoke_; }
  [[nodiscard]] ev::tstamp since() const { return since_; }
  /// Turns the client away: there are too many.
  virtual void turn_away() = 0;
  /// Whether all that is known of it is that it has been welcomed: another process can go on with its
  /// connection.
  [[nodiscard]] virtual bool movable() const { return false; }
  /// It comes from another process, which has welcomed it.
  virtual void resume(const std::string& /*known*/) {}
  /// What that process has to know of it beside its connection.
  [[nodiscard]] virtual std::string known() const { return {}; }
  /// The first thing said, where the server speaks first.
  virtual void greet() {}

 protected:
  /// Takes one command off in_; false if there is none whole or the connection is done with.
  virtual bool take_one() = 0;
  virtual void put_answer(broker::FinalAnswer answer, std::string& out) = 0;
  /// How many commands may be in work at once, where the protocol lets clients send on. Answers that wait
  /// behind an earlier one are no longer in work: they are bounded apart, by number and by bytes.
  [[nodiscard]] virtual std::size_t depth() const { return 1; }
  /// No command is in work.
  [[nodiscard]] bool at_rest() const { return slots_.empty() && !closing_ && !last_ && out_.empty(); }

  /// Whether a command too long for the buffer is being read apart from it.
  [[nodiscard]] virtual bool reading_long() const { return false; }
  /// Room for such a command of `bytes`; without it nothing is read until there is, and then take_one() comes
  /// again.
  bool reserve(std::size_t bytes, broker::MemoryBudget::Reservation& out);
  /// A part of it has been taken off the buffer.
  void took_part();

  /// Answers the command just taken.
  void reply(std::string bytes);
  /// Says `bytes` and the end, then discards what the client still sends before it closes: closing with
  /// input unread would reset the connection and destroy our last word on its way.
  void say_last(std::string bytes);
  /// Whether not a byte has come from it yet.
  [[nodiscard]] virtual bool silent() const = 0;
  /// A whole command has come.
  void spoke() { spoke_ = true, since_ = loop_.now(); }
  /// Hands a request in; what is wrong with it is told by the broker's word.
  broker::Rejection ask(const StatementInfo& info, std::shared_ptr<const broker::RequestPayload> work);

 private:
  void on_input() final;
  [[nodiscard]] bool owes() const final { return !slots_.empty() || !out_.empty(); }
  [[nodiscard]] bool can_wait() const final { return true; }
  [[nodiscard]] bool drained() const;
  void flush_answers();
  void linger();
  void on_end(int error) final;
  void on_sent() final;
  void take();
  void stamp();
  [[nodiscard]] bool room_for_one() const;
  [[nodiscard]] Time arrival();
  ClientSet& owner_;
  /// A command's answer, once it is there.
  struct Slot {
    RequestId request{};
    bool open = false;
    std::string out;
    bool streaming = false;  // parts have come; those of the first slot are written at once
  };
  [[nodiscard]] std::deque<Slot>::iterator slot_of(RequestId request);
  std::deque<Slot> slots_;  // in the order of commands; the first is open
  std::size_t open_ = 0;    // of them, those that wait for their answer
  std::size_t held_ = 0;    // bytes of the answers that wait behind an earlier one
  /// When the bytes of the input came, up to which offset: a command's time counts from its last byte, not
  /// from when it is taken off the buffer. Bounded; past that later bytes count as come with the last mark.
  std::deque<std::pair<std::uint64_t, Time>> marks_;
  std::uint64_t received_ = 0;  // bytes ever
  std::size_t left_ = 0;        // in the buffer when it was last looked at
  bool last_ = false;           // the last slot holds our last word
  bool closing_ = false, draining_ = false, taking_ = false;
  bool spoke_ = false, half_ = false;  // half: a part of a command has come
  ev::tstamp since_;                   // when it began to wait for what it waits for now
  std::size_t discarded_ = 0;
  std::uint64_t taken_ = 0;  // bytes that it had taken when a long answer was last looked at
};

/// A listener and the clients it has accepted.
class ClientSet {
 public:
  using Make = std::function<std::unique_ptr<Client>(Fd fd, ClientSet& owner)>;
  /// Listens at `address`, or on `listener` if that is one. Clients are taken from begin() on; those that
  /// come before wait in the listener's queue.
  ClientSet(ev::loop_ref loop, Reaper& reaper, broker::Broker& broker, const std::string& address,
            std::size_t most, Make make, Fd listener = Fd());
  ~ClientSet();
  /// No new clients; those there are leave as they fall idle.
  void drain();
  [[nodiscard]] bool empty() const { return clients_.empty(); }
  [[nodiscard]] bool listening() const { return listener_.get() >= 0; }
  /// The share of the places for clients that are taken.
  [[nodiscard]] double fullness() const {
    return static_cast<double>(taken()) / static_cast<double>(std::max<std::size_t>(most_, 1));
  }
  [[nodiscard]] std::string address() const { return bound_address(listener_); }
  [[nodiscard]] const Fd& listener() const { return listener_; }
  void begin() {
    if (listening()) io_.start(listener_.get(), ev::READ);
  }
  /// Stops taking clients, whose listener stays, and hands on each one there is as it falls idle: `give` says
  /// whether the other process has got the descriptor. Those that cannot move are closed once idle.
  void hand_over(std::function<bool(int fd, const std::string& known)> give);
  /// There is nobody to hand over to any more: goes on as before.
  void take_back();
  /// A client that the other process has handed on.
  void adopt(Fd fd, const std::string& known);
  /// `idle_of`: the places that idle clients' time is reckoned by, if more than `most`.
  void set_most(std::size_t most, std::size_t idle_of = 0) {
    most_ = most, idle_of_ = std::max(most, idle_of);
  }
  /// Called when a client has come, before it takes its place: may change the most.
  void on_change(std::function<void()> call) { changed_ = std::move(call); }
  /// Places that are taken.
  [[nodiscard]] std::size_t taken() const { return clients_.size() - lingering_; }
  [[nodiscard]] std::size_t most() const { return most_; }
  [[nodiscard]] std::size_t size() const { return clients_.size(); }
  void gone(Client* client);
  /// Has said its last word; too many that linger cost the longest of them its place.
  void lingers(Client* client);
  broker::MemoryBudget& room() { return *room_; }
  void set_room(std::size_t bytes) { room_->set_total(bytes); }
  broker::Broker& broker() { return broker_; }

 private:
  void incoming(ev::io&, int) { (void)take_waiting(); }
  bool take_waiting();
  void give_idle();
  void room_freed(ev::timer&, int);
  void rested(ev::timer&, int) { io_.start(); }
  void sweep(ev::timer&, int);
  bool make_room();
  bool evict();
  void retire_idle();
  [[nodiscard]] Duration idle_time(const Client& client) const;
  ev::loop_ref loop_;
  Reaper& reaper_;
  broker::Broker& broker_;
  std::size_t most_, idle_of_;
  std::function<void()> changed_;
  Make make_;
  Fd listener_;
  ev::io io_;
  ev::timer rest_, sweep_;
  broker::IdleConnectionLimits places_;
  std::shared_ptr<broker::MemoryBudget> room_;  // for long commands; what holds it may outlive this
  ev::timer wake_;                              // of who waits for it
  std::size_t lingering_ = 0;
  std::function<bool(int, const std::string&)> give_;  // set while there is somebody to hand clients to
  std::unordered_map<Client*, std::unique_ptr<Client>> clients_;
};

}  // namespace cedarring::wire

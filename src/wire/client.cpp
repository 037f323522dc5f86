#include "wire/client.h"

#include <algorithm>
#include <cerrno>
#include <system_error>

namespace cedarring::wire {
namespace {

// Seconds. Clients are owed a close within 3 s of connecting where they say nothing whole.
constexpr double command_most = 2.5, unread_most = 10, linger_most = 1;
// A usual client's startup comes with its connection, its first command soon after.
constexpr double mute_least = 0.05, slow_least = 1;
constexpr double first_word_most = 0.25;  // for one that came just before the listener closed
constexpr double give_every = 0.005;      // of clients to the process that follows: not felt beside a request
constexpr double sweep_every = 0.05;      // well under the shortest time that an idle client may stay
constexpr std::size_t room_least = std::size_t{8} << 20U;  // until the memory's limit is told
constexpr std::size_t window = 64 * 1024;  // of a long answer that its client has not taken yet
constexpr std::size_t answered_most = 256, marks_most = 64;
constexpr std::size_t discard_most = 256 * 1024, lingering_most = 24;

}  // namespace

std::string refusal_text(const gates::Verdict& verdict) {
  if (verdict.admitted) return "refused, nothing has run: try again later";
  return std::string("refused by ") + gates::name_of(verdict.decided_by) + " (" +
         gates::name_of(verdict.reason) + "), nothing has run: try again later";
}

Client::Client(ev::loop_ref loop, Fd fd, ClientSet& owner, std::size_t message_most)
    : Connection(loop, std::move(fd), false, message_most + 16, 2 * message_most),
      owner_(owner),
      since_(loop.now()) {}

void Client::reply(std::string bytes) {
  held_ += bytes.size();
  slots_.push_back({{}, false, std::move(bytes)});
  flush_answers();
}

/// Writes the answers that no earlier command keeps waiting. One that finds no room waits until the client
/// has taken what is before it.
void Client::flush_answers() {
  while (!slots_.empty() && !slots_.front().open) {
    auto& out = slots_.front().out;
    if (!out.empty() && !write(out)) {
      if (out_.empty()) leave();
      return;
    }
    held_ -= out.size();
    slots_.pop_front();
  }
  if (last_ && slots_.empty() && !closing_) linger();
  // A long answer whose turn has come: what had come of it, then the rest as there is room.
  if (slots_.empty() || !slots_.front().streaming || slots_.front().out.empty()) return;
  auto& out = slots_.front().out;
  if (!write(out)) {
    if (out_.empty()) leave();
    return;
  }
  held_ -= out.size();
  out.clear();
  if (out_.empty()) owner_.broker().resume_answer(slots_.front().request);
}

bool Client::on_answer_part(RequestId request, std::string_view bytes) {
  const auto slot = slot_of(request);
  if (slot == slots_.end()) return true;
  if (!std::exchange(slot->streaming, true)) since_ = loop_.now();
  if (slot != slots_.begin() || !slot->out.empty()) {
    slot->out += bytes;
    held_ += bytes.size();
    return false;
  }
  // Full at worst by one part beyond the window: the host connection waits for more().
  if (!write(bytes)) {
    slot->out += bytes;
    held_ += bytes.size();
    return false;
  }
  return out_.size() < window;
}

void Client::say_last(std::string bytes) {
  last_ = true;
  reply(std::move(bytes));
}

void Client::linger() {
  closing_ = true;
  since_ = loop_.now();
  in_.clear();
  if (out_.empty()) shut_down_writing();
  owner_.lingers(this);
}

void Client::on_input() {
  if (!closing_) {
    stamp();
    return take();
  }
  discarded_ += in_.size();
  in_.clear();
  if (discarded_ > discard_most) leave();
}

bool Client::overdue(ev::tstamp now) {
  const auto waited = now - since_;
  if (closing_) return waited > linger_most;
  if (draining_ && !spoke_) return waited > first_word_most;
  // Of long answers it may take its time, as long as it takes anything.
  if (!slots_.empty() && (slots_.front().streaming || !slots_.front().open) && !out_.empty()) {
    if (std::exchange(taken_, sent()) != sent()) since_ = now;
    return now - since_ > unread_most;
  }
  if (!slots_.empty() || held()) return false;
  if (!out_.empty()) return waited > unread_most;
  return (!spoke_ || half_) && waited > command_most;
}

bool Client::evictable(ev::tstamp now) const {
  if (spoke_) return idle();
  return at_rest() && now - since_ > (silent() ? mute_least : slow_least);
}

bool Client::reserve(std::size_t bytes, broker::MemoryBudget::Reservation& out) {
  if (owner_.room().try_reserve(this, bytes, out)) return true;
  hold(true);
  return false;
}

/// While it gives something, its time for the rest begins anew; a wait for room is not its doing either.
void Client::took_part() {
  since_ = loop_.now();
  (void)arrival();  // forgets when bytes came that are taken
}

void Client::room_made() {
  since_ = loop_.now();
  hold(false);
  take();
}

void Client::leave() {
  owner_.room().stop_waiting(this);
  if (!closed()) close();
  for (const auto& slot : std::exchange(slots_, {}))
    if (slot.open) owner_.broker().client_left(slot.request);
  owner_.gone(this);
}

void Client::on_end(int) { leave(); }

void Client::on_sent() {
  if (closing_) return shut_down_writing();
  if (!slots_.empty() && (!slots_.front().open || !slots_.front().out.empty())) {
    flush_answers();
    if (!closed()) take();
    return;
  }
  if (!slots_.empty() && slots_.front().streaming && slots_.front().open) {
    since_ = loop_.now();
    return owner_.broker().resume_answer(slots_.front().request);
  }
  if (drained()) leave();
}

void Client::drain() {
  draining_ = true;
  if (drained()) leave();
}

/// Nothing is owed, nothing waits to be read, and one that has just come has had the time for its first word.
/// What still waits in the socket is read first: closing over it would reset the connection.
bool Client::drained() const {
  if (!draining_ || !at_rest() || !in_.empty()) return false;
  return (spoke_ || loop_.now() - since_ > first_word_most) && !pending();
}

/// Notes when what has just been read came. Full, the last mark takes it in: its older time only makes a
/// deadline earlier.
void Client::stamp() {
  received_ += in_.size() - left_;
  left_ = in_.size();
  if (marks_.size() < marks_most)
    marks_.emplace_back(received_, owner_.broker().now());
  else
    marks_.back().first = received_;
}

/// When the last byte of the command just taken off the buffer came.
Time Client::arrival() {
  const auto end = received_ - in_.size();
  while (!marks_.empty() && marks_.front().first < end) marks_.pop_front();
  return marks_.empty() ? owner_.broker().now() : marks_.front().second;
}

/// One silent host must not hold up the commands behind: of those only what is out at hosts counts as in
/// work.
bool Client::room_for_one() const {
  return open_ < depth() && (depth() == 1 || (slots_.size() < answered_most && held_ < in_most()));
}

/// A command that waits for the one before it would have its time run out behind it. The guard keeps an
/// answer that comes at once from taking the next command inside this one.
void Client::take() {
  if (taking_) return;
  taking_ = true;
  while (!closed() && !last_ && room_for_one() && take_one()) {
  }
  taking_ = false;
  left_ = in_.size();
  if (in_.empty()) marks_.clear();
  if (closed() || closing_) return;
  if (drained()) return leave();
  const bool half = slots_.empty() && (!in_.empty() || reading_long());
  if (half && !std::exchange(half_, half) && spoke_) since_ = loop_.now();
  half_ = half;
  input_taken();
}

broker::Rejection Client::ask(const StatementInfo& info, std::shared_ptr<const broker::RequestPayload> work) {
  broker::ClientRequest ask;
  ask.name = info.id;
  ask.contract = info.contract;
  ask.tenant = info.tenant;
  ask.group = GroupId{*info.cluster};
  ask.time_left = std::chrono::milliseconds(*info.deadline_ms);
  ask.arrived = arrival();
  if (!info.session.empty()) ask.session = session_id_of(info.session);
  ask.retry = info.retry;
  if (info.after_ms) ask.after = std::chrono::milliseconds(*info.after_ms);
  ask.payload = std::move(work);
  slots_.push_back({{}, true, {}});
  ++open_;
  const auto rejection = owner_.broker().accept(ask, *this, slots_.back().request);
  if (rejection != broker::Rejection::none) slots_.pop_back(), --open_;
  return rejection;
}

std::deque<Client::Slot>::iterator Client::slot_of(RequestId request) {
  return std::find_if(
      slots_.begin(), slots_.end(), [&](const Slot& s) { return s.open && s.request == request; });
}

void Client::finish(RequestId request, broker::FinalAnswer answer) {
  const auto slot = slot_of(request);
  if (slot == slots_.end()) return;
  slot->open = false;
  --open_;
  since_ = loop_.now();
  // It has to see that the value is not whole: the connection ends inside the message.
  if (answer.truncated) return leave();
  std::string rest;
  put_answer(std::move(answer), rest);
  held_ += rest.size();
  slot->out += rest;
  flush_answers();
  if (!closed()) take();
}

ClientSet::ClientSet(ev::loop_ref loop, Reaper& reaper, broker::Broker& broker, const std::string& address,
                     std::size_t most, Make make, Fd listener)
    : loop_(loop),
      reaper_(reaper),
      broker_(broker),
      most_(most),
      idle_of_(most),
      make_(std::move(make)),
      listener_(listener.get() >= 0 ? std::move(listener) : listen_on(address, true)),
      io_(loop),
      rest_(loop),
      sweep_(loop),
      room_(std::make_shared<broker::MemoryBudget>(room_least,
                                                   [this] {
                                                     if (!wake_.is_active()) wake_.start(0);
                                                   })),
      wake_(loop) {
  wake_.set<ClientSet, &ClientSet::room_freed>(this);
  if (listener_.get() < 0) throw std::system_error(errno, std::generic_category(), "listen: " + address);
  io_.set<ClientSet, &ClientSet::incoming>(this);
  rest_.set<ClientSet, &ClientSet::rested>(this);
  sweep_.set<ClientSet, &ClientSet::sweep>(this);
  sweep_.start(sweep_every, sweep_every);
}

void ClientSet::drain() {
  io_.stop();
  // Whoever waits in the listener's queue believes to be connected: closing it would reset them.
  for (int i = 0; i < 16 && listening() && !give_ && take_waiting(); ++i) {
  }
  rest_.stop();
  listener_.reset();
  if (give_) return;  // those there are go over as they fall idle
  std::vector<Client*> all;
  for (const auto& [key, client] : clients_) all.push_back(client.get());
  for (auto* client : all) client->drain();
}

ClientSet::~ClientSet() { room_->close(); }

/// Those in line in turn, until one finds none.
void ClientSet::room_freed(ev::timer&, int) {
  for (const void* last = nullptr; room_->next_waiter() && room_->next_waiter() != last;) {
    last = room_->next_waiter();
    const auto it =
        std::find_if(clients_.begin(), clients_.end(), [&](const auto& c) { return c.first == last; });
    if (it == clients_.end())
      room_->stop_waiting(last);
    else
      it->second->room_made();
  }
}

void ClientSet::hand_over(std::function<bool(int, const std::string&)> give) {
  io_.stop();
  rest_.stop();
  give_ = std::move(give);
  sweep_.stop();
  sweep_.start(0, give_every);
  give_idle();
}

void ClientSet::take_back() {
  if (!give_) return;
  give_ = nullptr;
  sweep_.stop();
  sweep_.start(sweep_every, sweep_every);
  io_.start(listener_.get(), ev::READ);
}

void ClientSet::give_idle() {
  std::vector<Client*> all;
  for (const auto& [key, c] : clients_)
    if (c->quiet() && (c->movable() || c->has_spoken())) all.push_back(key);
  for (auto* c : all) {
    // What waits in the socket of one that cannot move is read first: closing over it would reset it.
    if (!c->movable() && c->pending()) continue;
    if (c->movable() && !give_(c->descriptor(), c->known())) return;
    c->leave();  // closes our descriptor alone where the other process has one
  }
}

void ClientSet::adopt(Fd fd, const std::string& known) {
  auto client = make_(std::move(fd), *this);
  auto* raw = client.get();
  clients_.emplace(raw, std::move(client));
  raw->resume(known);
}

void ClientSet::gone(Client* client) {
  const auto it = clients_.find(client);
  if (it == clients_.end()) return;
  if (client->closing()) --lingering_;
  reaper_.take(std::move(it->second));
  clients_.erase(it);
}

void ClientSet::lingers(Client*) {
  if (++lingering_ <= lingering_most) return;
  Client* longest = nullptr;
  for (const auto& [key, c] : clients_)
    if (c->closing() && (!longest || c->since() < longest->since())) longest = key;
  longest->leave();
}

void ClientSet::sweep(ev::timer&, int) {
  std::vector<Client*> late;
  for (const auto& [key, c] : clients_)
    if (c->overdue(loop_.now()) || c->left_unseen()) late.push_back(key);
  for (auto* client : late) client->leave();
  Connection::read_on();
  if (give_) return give_idle();
  retire_idle();
}

/// Closes idle clients, the longest idle first, for as long as their places are wanted: each one closed gives
/// the others more time.
void ClientSet::retire_idle() {
  if (!places_.should_close(Duration::max(), taken(), idle_of_)) return;
  std::vector<Client*> idle;
  for (const auto& [key, c] : clients_)
    if (c->idle()) idle.push_back(key);
  std::sort(idle.begin(), idle.end(),
            [](const Client* a, const Client* b) { return a->since() < b->since(); });
  for (auto* client : idle) {
    if (!places_.should_close(idle_time(*client), taken(), idle_of_)) return;
    if (!client->pending()) client->leave();  // its next request may be there already
  }
}

Duration ClientSet::idle_time(const Client& client) const {
  return Duration(static_cast<std::int64_t>((loop_.now() - client.since()) * 1e6));
}

/// Whether there is a place for one more.
bool ClientSet::make_room() { return taken() < most_ || evict(); }

/// Closes the client that has waited longest without a use for its place, those first that have never said a
/// command.
bool ClientSet::evict() {
  Client* first = nullptr;
  const auto before = [](const Client* a, const Client* b) {
    return a->has_spoken() != b->has_spoken() ? !a->has_spoken() : a->since() < b->since();
  };
  for (const auto& [key, c] : clients_)
    if (c->evictable(loop_.now()) && (!c->idle() || places_.should_close(idle_time(*c), taken(), idle_of_)) &&
        (!first || before(key, first)) && !c->pending())
      first = key;
  if (first) first->leave();
  return first != nullptr;
}

/// Takes some of those that wait; false once none does.
bool ClientSet::take_waiting() {
  for (int i = 0; i < 64; ++i) {
    Fd fd = accept_from(listener_.get());
    if (fd.get() < 0) {
      // Out of descriptors or memory: the loop must not spin on a listener that stays readable.
      if (errno == EMFILE || errno == ENFILE || errno == ENOBUFS || errno == ENOMEM) {
        io_.stop();
        rest_.start(0.05);
      }
      if (errno != EINTR && errno != ECONNABORTED) return false;
      continue;
    }
    if (changed_) changed_();
    const bool full = !make_room();
    auto client = make_(std::move(fd), *this);
    auto* raw = client.get();
    clients_.emplace(raw, std::move(client));
    if (full)
      raw->turn_away();
    else
      raw->greet();
  }
  return true;
}

}  // namespace cedarring::wire

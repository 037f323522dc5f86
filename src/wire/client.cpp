#include "wire/client.h"

#include <cerrno>
#include <system_error>

namespace cedarring::wire {

Client::Client(ev::loop_ref loop, Fd fd, ClientSet& owner, std::size_t message_most)
    : Connection(loop, std::move(fd), false, message_most + 16, 2 * message_most), owner_(owner) {}

void Client::reply(std::string_view bytes) {
  // A client that does not read its answers is not waited for.
  if (!write(bytes)) leave();
}

void Client::say_last(std::string_view bytes) {
  closing_ = true;
  reply(bytes);
  if (!closed() && out_.empty()) leave();
}

void Client::leave() {
  if (!closed()) close();
  if (std::exchange(busy_, false)) owner_.broker().client_left(request_);
  owner_.gone(this);
}

void Client::on_end(int) { leave(); }

void Client::on_sent() {
  if (closing_ || (draining_ && !busy_ && in_.empty())) leave();
}

void Client::drain() {
  draining_ = true;
  if (!busy_ && in_.empty() && out_.empty()) leave();
}

/// The guard keeps an answer that comes at once from taking the next command inside this one.
void Client::take() {
  if (taking_) return;
  taking_ = true;
  while (!closed() && !busy_ && !closing_ && take_one()) {}
  taking_ = false;
  if (closed()) return;
  if (draining_ && !busy_ && in_.empty() && out_.empty()) return leave();
  input_taken();
}

memory::Rejection Client::ask(const StatementInfo& info, std::shared_ptr<const memory::Work> work) {
  memory::Ask ask;
  ask.contract = info.contract;
  ask.tenant = info.tenant;
  ask.group = GroupId{*info.cluster};
  ask.time_left = std::chrono::milliseconds(*info.deadline_ms);
  if (!info.session.empty()) ask.session = session_of(info.session);
  if (info.after_ms) ask.after = std::chrono::milliseconds(*info.after_ms);
  ask.work = std::move(work);
  busy_ = true;
  const auto rejection = owner_.broker().accept(ask, *this, request_);
  if (rejection != memory::Rejection::none) busy_ = false;
  return rejection;
}

void Client::finish(RequestId, memory::FinalAnswer answer) {
  busy_ = false;
  std::string out;
  put_answer(std::move(answer), out);
  reply(out);
  if (!closed()) take();
}

ClientSet::ClientSet(ev::loop_ref loop, Reaper& reaper, memory::Broker& broker, const std::string& address,
                     std::size_t most, Make make)
    : reaper_(reaper),
      broker_(broker),
      most_(most),
      make_(std::move(make)),
      listener_(listen_on(address)),
      io_(loop),
      rest_(loop) {
  if (listener_.get() < 0) throw std::system_error(errno, std::generic_category(), "listen: " + address);
  io_.set<ClientSet, &ClientSet::incoming>(this);
  io_.start(listener_.get(), ev::READ);
  rest_.set<ClientSet, &ClientSet::rested>(this);
}

void ClientSet::drain() {
  io_.stop();
  rest_.stop();
  listener_.reset();
  std::vector<Client*> all;
  for (const auto& [key, client] : clients_) all.push_back(client.get());
  for (auto* client : all) client->drain();
}

void ClientSet::gone(Client* client) {
  const auto it = clients_.find(client);
  if (it == clients_.end()) return;
  reaper_.take(std::move(it->second));
  clients_.erase(it);
}

void ClientSet::incoming(ev::io&, int) {
  for (int i = 0; i < 64; ++i) {
    Fd fd = accept_from(listener_.get());
    if (fd.get() < 0) {
      // Out of descriptors or memory: the loop must not spin on a listener that stays readable.
      if (errno == EMFILE || errno == ENFILE || errno == ENOBUFS || errno == ENOMEM) {
        io_.stop();
        rest_.start(0.05);
      }
      if (errno != EINTR && errno != ECONNABORTED) return;
      continue;
    }
    const bool full = clients_.size() >= most_;
    auto client = make_(std::move(fd), *this);
    auto* raw = client.get();
    clients_.emplace(raw, std::move(client));
    if (full) raw->turn_away();
    else raw->greet();
  }
}

}  // namespace cedarring::wire

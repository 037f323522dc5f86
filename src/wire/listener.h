// A listener and the clients it has accepted, for any front.
#pragma once

#include <cerrno>
#include <memory>
#include <string>
#include <system_error>
#include <unordered_map>

#include "wire/connection.h"

namespace cedarring::wire {

template <class Front, class Client>
class ClientSet {
 public:
  ClientSet(ev::loop_ref loop, Reaper& reaper, const std::string& address, std::size_t most)
      : loop_(loop), reaper_(reaper), most_(most), listener_(listen_on(address)), io_(loop), rest_(loop) {
    if (listener_.get() < 0) throw std::system_error(errno, std::generic_category(), "listen " + address);
    io_.set<ClientSet, &ClientSet::incoming>(this);
    io_.start(listener_.get(), ev::READ);
    rest_.set<ClientSet, &ClientSet::rested>(this);
  }
  /// No new clients; those there are leave as they fall idle.
  void drain() {
    io_.stop();
    rest_.stop();
    listener_.reset();
    std::vector<Client*> all;
    for (const auto& [key, client] : clients_) all.push_back(client.get());
    for (auto* client : all) client->drain();
  }
  [[nodiscard]] bool empty() const { return clients_.empty(); }
  void gone(Client* client) {
    const auto it = clients_.find(client);
    if (it == clients_.end()) return;
    reaper_.take(std::move(it->second));
    clients_.erase(it);
  }

 private:
  void incoming(ev::io&, int) {
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
      auto client = std::make_unique<Client>(loop_, std::move(fd), static_cast<Front&>(*this));
      auto* raw = client.get();
      clients_.emplace(raw, std::move(client));
      if (full) raw->turn_away();
    }
  }
  void rested(ev::timer&, int) { io_.start(); }

  ev::loop_ref loop_;
  Reaper& reaper_;
  std::size_t most_;
  Fd listener_;
  ev::io io_;
  ev::timer rest_;
  std::unordered_map<Client*, std::unique_ptr<Client>> clients_;
};

}  // namespace cedarring::wire

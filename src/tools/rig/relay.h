// What lies between gateways that talk: each is shown to the others at an address of the rig's, through which
// datagrams and connections pass, so that a link of two can be cut, slow or lossy, each way for itself. One
// socket a gateway, however many links there are.
#pragma once

#include <ev++.h>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "tools/lab/host_model.h"
#include "tools/lab/timeline.h"
#include "wire/connection.h"

namespace cedarring::rig {

/// One way from a gateway to another.
struct Way {
  bool cut = false;
  double loss = 0, twice = 0, late = 0;  // shares of the datagrams; late: some come behind later ones
  Duration delay{};
  [[nodiscard]] bool clear() const {
    return !cut && loss <= 0 && twice <= 0 && late <= 0 && delay <= Duration::zero();
  }
};

class Relay {
 public:
  /// Where a gateway talks from and to, "address:port" of loopback, and where the others believe it to be.
  /// The addresses, without ports, are all different: they tell who speaks.
  struct Peer {
    std::string real, shown;
  };
  /// `way` tells what the way from one peer to another is like now; it is asked for each datagram.
  Relay(ev::loop_ref loop, lab::Timeline& timeline, std::uint64_t seed, std::vector<Peer> peers,
        std::function<Way(int from, int to)> way);
  ~Relay();
  /// Empty, or why it cannot work.
  [[nodiscard]] const std::string& error() const { return error_; }
  /// Ways have changed: connections go on, or stand still.
  void changed();
  /// Resets the connections from one to another, either way.
  void reset(int one, int other);
  struct Counts {
    std::uint64_t passed = 0, lost = 0, doubled = 0, late = 0, foreign = 0, bytes = 0;
  };
  [[nodiscard]] const Counts& counts() const { return counts_; }

 private:
  class End;
  struct Stream;
  struct Door {
    wire::Fd datagrams, listener;
    std::unique_ptr<ev::io> in, accepts;
  };
  void datagram(ev::io& watcher, int);
  void incoming(ev::io& watcher, int);
  void pass(int from, int to, const std::string& bytes);
  [[nodiscard]] int peer_at(std::uint32_t address) const;
  void over(Stream* stream, bool with_reset);
  ev::loop_ref loop_;
  lab::Timeline& timeline_;
  lab::Random draws_;
  std::vector<Peer> peers_;
  std::function<Way(int, int)> way_;
  std::vector<Door> doors_;
  std::map<std::uint32_t, int> by_address_;
  std::map<const ev::io*, int> watching_;
  wire::Reaper reaper_;
  std::vector<std::unique_ptr<Stream>> streams_;
  std::shared_ptr<bool> there_ = std::make_shared<bool>(true);  // for what is late
  Counts counts_;
  std::string error_;
};

}  // namespace cedarring::rig

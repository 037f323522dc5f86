// The watch on discovery's list: HTTP/1.1, one JSON object a line.
#pragma once

#include <http_parser.h>

#include <chrono>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "broker/host_table.h"
#include "fleet/watch_timing.h"
#include "wire/connection.h"

namespace cedarring::wire {

/// One list in discovery's form; nothing if it is not one. A single entry that cannot be read is left out,
/// but for one that is to get nothing more: of that the id and the state are enough.
std::optional<broker::MemberList> parse_members(std::string_view json);

/// Cuts a stream of JSON objects into whole ones, however they are spread over lines.
class ObjectSplitter {
 public:
  enum class Found { nothing, heartbeat, object, bad };
  /// Takes bytes off the front of `bytes` up to the next find; `object` is set where that is one. A heartbeat
  /// is an empty line between objects.
  Found next(std::string_view& bytes, std::string& object);

 private:
  std::string begun_;
  int depth_ = 0;
  bool quoted_ = false, escaped_ = false;
};

/// The same form, written.
std::string members_json(const broker::MemberList& list);

class DiscoveryWatch {
 public:
  struct Events {
    std::function<void(const broker::MemberList&)> listed;
    std::function<void()> failed;
  };
  DiscoveryWatch(ev::loop_ref loop, Reaper& reaper, std::string address, std::uint64_t version,
                 fleet::WatchTiming terms, Events events);
  ~DiscoveryWatch();
  /// Starts a watch if none is open; one event follows in any case.
  void start();
  /// Keeps a watch open from now on without being asked, and never tells that it failed.
  void keep();
  /// Whether a list has come.
  [[nodiscard]] bool told() const { return told_; }
  /// Leaves the watch that is open, if any, for one at another address, which is asked at once for all it
  /// has: its versions may not be those of the address before.
  void move(std::string address);
  /// Seconds since a byte came from it, or since it was set up.
  [[nodiscard]] double silence() const {
    return std::chrono::duration<double>(std::chrono::steady_clock::now() - heard_).count();
  }

 private:
  class Stream;
  void listed(const broker::MemberList& list);
  void open();
  void ended(bool at_once);
  void silent(ev::timer&, int);
  void again(ev::timer&, int) { start(); }
  void heard();
  void wait_for_word();
  void failed();
  ev::loop_ref loop_;
  Reaper& reaper_;
  std::string address_;
  std::uint64_t version_;
  Events events_;
  std::unique_ptr<Stream> stream_;
  fleet::WatchTiming terms_;
  bool kept_ = false, told_ = false, answered_ = false;  // answered: the one that is open
  ev::timer silence_, again_;
  std::chrono::steady_clock::time_point heard_ = std::chrono::steady_clock::now();
};

}  // namespace cedarring::wire

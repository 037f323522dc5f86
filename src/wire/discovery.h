// The watch on discovery's list of hosts: a long-lived HTTP/1.1 response whose body is a sequence of JSON
// objects, each a full list or the changes of one.
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

/// Parses one list in discovery's JSON form; nothing if it is malformed. Entries that cannot be parsed are
/// skipped; the entry of a host that is draining or deleted needs no more than the id and the state.
std::optional<broker::MemberList> parse_members(std::string_view json);

/// Splits a stream into complete JSON objects, independent of line breaks inside them.
class ObjectSplitter {
 public:
  /// What next() has found; incomplete: all bytes have been consumed before the end of an object.
  enum class Result { incomplete, heartbeat, object, malformed };
  /// Removes bytes from the front of `bytes` up to and including the next object or heartbeat. If it is an
  /// object, sets `object` to its text. A heartbeat is a line end outside of objects.
  Result next(std::string_view& bytes, std::string& object);

 private:
  std::string partial_;   // the object so far, from earlier calls
  int depth_ = 0;         // of braces and brackets; 0 between objects
  bool quoted_ = false;   // inside a string
  bool escaped_ = false;  // behind a backslash in a string
};

/// Writes a list in discovery's JSON form.
std::string members_json(const broker::MemberList& list);

/// Keeps a watch on discovery and reports the lists it sends.
class DiscoveryWatch {
 public:
  struct Callbacks {
    std::function<void(const broker::MemberList&)> on_list;
    /// The watch could not be opened or has ended.
    std::function<void()> on_failure;
  };
  /// `version`: of the list that is already known; discovery sends the changes since then.
  DiscoveryWatch(ev::loop_ref loop, Reaper& reaper, std::string address, std::uint64_t version,
                 fleet::WatchTiming timing, Callbacks callbacks);
  ~DiscoveryWatch();
  /// Opens a watch if none is open; at least one callback follows. A watch that ends is reopened only if
  /// keep_open() has been called.
  void open_once();
  /// Opens a watch if none is open and reopens it whenever it ends; on_failure is no longer called.
  void keep_open();
  /// Whether a list has been received.
  [[nodiscard]] bool has_list() const { return has_list_; }
  /// Closes the current watch, if any, and opens one at another address. The full list is requested, since
  /// versions of the previous address may not apply there.
  void change_address(std::string address);
  /// Seconds since data was last received, or since construction.
  [[nodiscard]] double seconds_since_data() const {
    return std::chrono::duration<double>(std::chrono::steady_clock::now() - last_activity_).count();
  }

 private:
  /// The connection of the open watch.
  class Stream;
  void on_list(const broker::MemberList& list);
  void open();
  void on_stream_end(bool reopen_at_once);
  void on_silence(ev::timer&, int);
  void retry(ev::timer&, int) { open_once(); }
  /// The open watch has delivered a list or a heartbeat.
  void on_activity();
  void restart_silence_timer();
  /// The watch could not be opened or has ended: reopens it after a delay, or reports the failure.
  void on_failure();
  ev::loop_ref loop_;
  Reaper& reaper_;
  std::string address_;
  std::uint64_t version_;
  Callbacks callbacks_;
  std::unique_ptr<Stream> stream_;  // null if no watch is open
  fleet::WatchTiming timing_;
  bool keep_open_ = false;
  bool has_list_ = false;
  bool answered_ = false;  // the open watch has delivered a list or a heartbeat
  ev::timer silence_timer_, retry_timer_;
  std::chrono::steady_clock::time_point last_activity_ = std::chrono::steady_clock::now();
};

}  // namespace cedarring::wire

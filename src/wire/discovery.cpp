#include "wire/discovery.h"

#include <rapidjson/document.h>
#include <rapidjson/stringbuffer.h>
#include <rapidjson/writer.h>

#include <algorithm>
#include <cerrno>

namespace cedarring::wire {
namespace {

constexpr std::size_t max_object_size = std::size_t{1} << 20U;  // bytes
/// Start times from late 2286 on (milliseconds since 1970) are taken for invalid; the bound keeps sums
/// with durations, in microseconds, within 64 bits.
constexpr double max_started_ms = 1e13;
constexpr std::size_t input_buffer_size = 65536;  // bytes
constexpr std::size_t output_buffer_size = 4096;  // bytes
constexpr double us_per_s = 1e6;
constexpr double us_per_ms = 1000;

double seconds(Duration duration) { return static_cast<double>(duration.count()) / us_per_s; }

/// The string of that name in a JSON object; empty if there is none.
std::string string_member(const rapidjson::Value& entry, const char* name) {
  const auto it = entry.FindMember(name);
  return it != entry.MemberEnd() && it->value.IsString()
             ? std::string(it->value.GetString(), it->value.GetStringLength())
             : std::string();
}
/// The number of that name in a JSON object; `fallback` if there is none.
double number_member(const rapidjson::Value& entry, const char* name, double fallback) {
  const auto it = entry.FindMember(name);
  return it != entry.MemberEnd() && it->value.IsNumber() ? it->value.GetDouble() : fallback;
}

/// Parses one entry of a list; false if it cannot be used.
bool parse_member(const rapidjson::Value& entry, broker::Member& member) {
  if (!entry.IsObject()) return false;
  member.id = string_member(entry, "id");
  member.address = string_member(entry, "addr");
  member.zone = string_member(entry, "zone");
  const auto cell = entry.FindMember("cell");  // discovery's word for the replica group
  member.group = GroupId{cell != entry.MemberEnd() && cell->value.IsInt64() ? cell->value.GetInt64() : 0};
  const auto state = string_member(entry, "state");
  if (state == "SERVING")
    member.state = HostState::ready;
  else if (state == "DRAINING")
    member.state = HostState::draining;
  else if (state == "DELETED")
    member.state = HostState::gone;
  else
    return false;
  member.weight = number_member(entry, "weight", 1);
  member.primary = string_member(entry, "recovery") == "off";
  const double started_ms = number_member(entry, "started_ms", 0);
  if (started_ms > 0 && started_ms < max_started_ms)
    member.started_at = Time(static_cast<std::int64_t>(started_ms * us_per_ms));
  // A host that gets no new requests needs no address.
  if (member.state != HostState::ready && !valid_address(member.address)) member.address.clear();
  return !member.id.empty() && (member.state != HostState::ready || valid_address(member.address));
}

}  // namespace

std::optional<broker::MemberList> parse_members(std::string_view json) {
  rapidjson::Document document;
  document.Parse<rapidjson::kParseIterativeFlag>(json.data(), json.size());
  if (document.HasParseError() || !document.IsObject()) return std::nullopt;
  const auto servers = document.FindMember("servers");
  if (servers == document.MemberEnd() || !servers->value.IsArray()) return std::nullopt;
  broker::MemberList list;
  const auto version = document.FindMember("version");
  if (version != document.MemberEnd() && version->value.IsUint64()) list.version = version->value.GetUint64();
  const auto full = document.FindMember("full");
  list.full = full != document.MemberEnd() && full->value.IsBool() && full->value.GetBool();
  for (const auto& entry : servers->value.GetArray())
    if (broker::Member member; parse_member(entry, member)) list.members.push_back(std::move(member));
  return list;
}

std::string members_json(const broker::MemberList& list) {
  rapidjson::StringBuffer buffer;
  rapidjson::Writer<rapidjson::StringBuffer> writer(buffer);
  const auto text = [&](const char* key, const std::string& value) {
    writer.Key(key);
    writer.String(value.data(), static_cast<rapidjson::SizeType>(value.size()));
  };
  writer.StartObject();
  writer.Key("version");
  writer.Uint64(list.version);
  writer.Key("full");
  writer.Bool(list.full);
  writer.Key("servers");
  writer.StartArray();
  for (const auto& member : list.members) {
    writer.StartObject();
    text("id", member.id);
    text("addr", member.address);
    text("zone", member.zone);
    writer.Key("cell");
    writer.Int64(member.group.value);
    text("state", member.state == HostState::ready      ? "SERVING"
                  : member.state == HostState::draining ? "DRAINING"
                                                        : "DELETED");
    writer.Key("weight");
    writer.Double(member.weight);
    text("recovery", member.primary ? "off" : "on");
    // Rounded up to milliseconds: a later start only prolongs the slow start.
    writer.Key("started_ms");
    writer.Int64(member.started_at ? std::chrono::ceil<std::chrono::milliseconds>(*member.started_at).count()
                                   : 0);
    writer.EndObject();
  }
  writer.EndArray();
  writer.EndObject();
  return buffer.GetString();
}

ObjectSplitter::Result ObjectSplitter::next(std::string_view& bytes, std::string& object) {
  for (std::size_t i = 0; i < bytes.size(); ++i) {
    const char c = bytes[i];
    const auto consume_current = [&] {
      partial_ += bytes.substr(0, i + 1);
      bytes.remove_prefix(i + 1);
    };
    if (quoted_) {
      if (escaped_)
        escaped_ = false;
      else if (c == '\\')
        escaped_ = true;
      else if (c == '"')
        quoted_ = false;
    } else if (depth_ > 0) {
      quoted_ = c == '"';
      depth_ += (c == '{' || c == '[') ? 1 : (c == '}' || c == ']') ? -1 : 0;
      if (depth_ > 0) continue;
      consume_current();
      object.clear();
      object.swap(partial_);
      return Result::object;
    } else if (c == '\n') {
      bytes.remove_prefix(i + 1);
      return Result::heartbeat;
    } else if (c == '{') {
      depth_ = 1;
    } else if (c != ' ' && c != '\r' && c != '\t') {
      return Result::malformed;
    }
  }
  if (depth_ > 0) partial_ += bytes;
  bytes = {};
  return partial_.size() > max_object_size ? Result::malformed : Result::incomplete;
}

/// Sends the request, decodes the response and reports its lists and heartbeats to the watch.
class DiscoveryWatch::Stream : public Connection {
 public:
  Stream(ev::loop_ref loop, Fd fd, std::string request, DiscoveryWatch& owner)
      : Connection(loop, std::move(fd), true, input_buffer_size, output_buffer_size),
        request_(std::move(request)),
        owner_(owner) {
    http_parser_init(&parser_, HTTP_RESPONSE);
    parser_.data = this;
  }
  void stop() {
    if (!closed()) close();
  }

 private:
  /// After a stall of the process, changes of the list are read before clients' requests, so that no new
  /// request goes to a host that the list has withdrawn.
  void on_open() override {
    raise_priority();
    write(request_);
  }
  void on_input() override {
    static const http_parser_settings settings = [] {
      // Callbacks return 0 to go on and -1 to stop the parser.
      http_parser_settings callbacks;
      http_parser_settings_init(&callbacks);
      callbacks.on_headers_complete = [](http_parser* p) { return p->status_code == 200 ? 0 : -1; };
      callbacks.on_body = [](http_parser* p, const char* at, std::size_t n) {
        return static_cast<Stream*>(p->data)->read_body({at, n}) ? 0 : -1;
      };
      callbacks.on_message_complete = [](http_parser* p) {
        static_cast<Stream*>(p->data)->complete_ = true;
        return 0;
      };
      return callbacks;
    }();
    const auto in = in_.view();
    const auto used = http_parser_execute(&parser_, &settings, in.data(), in.size());
    const bool malformed = used != in.size() || HTTP_PARSER_ERRNO(&parser_) != HPE_OK;
    if (closed()) return;
    in_.consume(in.size());
    if (malformed || complete_) owner_.on_stream_end(false);
  }
  void on_end(int) override { owner_.on_stream_end(false); }
  /// Reports the lists and heartbeats in a part of the body; false if the watch has to end. Only complete
  /// objects and heartbeats count as activity: an endless object would otherwise keep a useless watch open.
  bool read_body(std::string_view bytes) {
    std::string object;
    for (;;) {
      switch (splitter_.next(bytes, object)) {
        case ObjectSplitter::Result::incomplete:
          return true;
        case ObjectSplitter::Result::malformed:
          return false;
        case ObjectSplitter::Result::heartbeat:
          owner_.on_activity();
          continue;
        case ObjectSplitter::Result::object:
          break;
      }
      const auto list = parse_members(object);
      if (!list) return false;
      owner_.on_activity();
      owner_.on_list(*list);
      if (closed()) return false;
    }
  }

  std::string request_;
  DiscoveryWatch& owner_;
  http_parser parser_{};
  ObjectSplitter splitter_;
  bool complete_ = false;  // the response has ended
};

DiscoveryWatch::DiscoveryWatch(ev::loop_ref loop, Reaper& reaper, std::string address, std::uint64_t version,
                               fleet::WatchTiming timing, Callbacks callbacks)
    : loop_(loop),
      reaper_(reaper),
      address_(std::move(address)),
      version_(version),
      callbacks_(std::move(callbacks)),
      timing_(timing),
      silence_timer_(loop),
      retry_timer_(loop) {
  silence_timer_.set<DiscoveryWatch, &DiscoveryWatch::on_silence>(this);
  retry_timer_.set<DiscoveryWatch, &DiscoveryWatch::retry>(this);
}

DiscoveryWatch::~DiscoveryWatch() = default;

/// After change_address() a watch may be open already when the router requests one after a failure.
void DiscoveryWatch::open_once() {
  if (!stream_) open();
}

void DiscoveryWatch::keep_open() {
  keep_open_ = true;
  open_once();
}

void DiscoveryWatch::change_address(std::string address) {
  if (stream_) {
    stream_->stop();
    reaper_.add(std::move(stream_));
  }
  address_ = std::move(address);
  version_ = 0;
  timing_.on_message();
  open();
}

void DiscoveryWatch::open() {
  retry_timer_.stop();
  answered_ = false;
  Fd fd = connect_to(address_);
  if (fd.get() < 0) return on_failure();
  std::string request = "GET /catalog/members?follow=1&since=" + std::to_string(version_) +
                        " HTTP/1.1\r\nHost: " + address_ + "\r\nAccept: application/json\r\n\r\n";
  stream_ = std::make_unique<Stream>(loop_, std::move(fd), std::move(request), *this);
  restart_silence_timer();
}

void DiscoveryWatch::restart_silence_timer() {
  silence_timer_.stop();
  silence_timer_.start(seconds(fleet::WatchTiming::silence_timeout(answered_)));
}

void DiscoveryWatch::on_activity() {
  answered_ = true;
  timing_.on_message();
  last_activity_ = std::chrono::steady_clock::now();
  restart_silence_timer();
}

/// A change older than the known version would undo later ones: discovery has restarted, or another instance
/// answers, so the full list is requested. Until it arrives, hosts that the change lists as draining or gone
/// count as such.
void DiscoveryWatch::on_list(const broker::MemberList& list) {
  if (list.full || list.version >= version_) {
    version_ = list.version;
    has_list_ = true;
    return callbacks_.on_list(list);
  }
  auto restrictions = list;
  restrictions.version = version_;
  auto& members = restrictions.members;
  members.erase(std::remove_if(members.begin(), members.end(),
                               [](const auto& member) { return member.state == HostState::ready; }),
                members.end());
  callbacks_.on_list(restrictions);
  version_ = 0;
  on_stream_end(true);
}

/// The open stream has ended. `reopen_at_once`: it was ended by this side and is replaced immediately.
void DiscoveryWatch::on_stream_end(bool reopen_at_once) {
  silence_timer_.stop();
  if (!stream_) return;
  stream_->stop();
  reaper_.add(std::move(stream_));
  if (reopen_at_once) return open();
  on_failure();
}

void DiscoveryWatch::on_failure() {
  if (keep_open_)
    retry_timer_.start(seconds(timing_.next_reopen_delay()));
  else
    callbacks_.on_failure();
}

/// The watch has been silent for too long; to a machine that was cut off from the network it would stay
/// silent for ever. A watch that has delivered something before is reopened at once, since the gateway is
/// expected to know all changes after a few seconds; for any other watch the attempt to open it counts as
/// failed.
void DiscoveryWatch::on_silence(ev::timer&, int) { on_stream_end(answered_); }

}  // namespace cedarring::wire

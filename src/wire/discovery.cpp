#include "wire/discovery.h"

#include <rapidjson/document.h>
#include <rapidjson/stringbuffer.h>
#include <rapidjson/writer.h>

#include <algorithm>
#include <cerrno>

namespace cedarring::wire {
namespace {

constexpr std::size_t line_most = std::size_t{1} << 20U;

double seconds(Duration d) { return static_cast<double>(d.count()) / 1e6; }

std::string text_of(const rapidjson::Value& v, const char* name) {
  const auto it = v.FindMember(name);
  return it != v.MemberEnd() && it->value.IsString()
             ? std::string(it->value.GetString(), it->value.GetStringLength())
             : std::string();
}
double number_of(const rapidjson::Value& v, const char* name, double fallback) {
  const auto it = v.FindMember(name);
  return it != v.MemberEnd() && it->value.IsNumber() ? it->value.GetDouble() : fallback;
}

bool parse_member(const rapidjson::Value& v, broker::Member& m) {
  if (!v.IsObject()) return false;
  m.id = text_of(v, "id");
  m.address = text_of(v, "addr");
  m.zone = text_of(v, "zone");
  const auto cell = v.FindMember("cell");
  m.group = GroupId{cell != v.MemberEnd() && cell->value.IsInt64() ? cell->value.GetInt64() : 0};
  const auto state = text_of(v, "state");
  if (state == "SERVING")
    m.state = HostState::ready;
  else if (state == "DRAINING")
    m.state = HostState::draining;
  else if (state == "DELETED")
    m.state = HostState::gone;
  else
    return false;
  m.weight = number_of(v, "weight", 1);
  m.primary = text_of(v, "recovery") == "off";
  const double started = number_of(v, "started_ms", 0);
  if (started > 0 && started < 1e13) m.started_at = Time(static_cast<std::int64_t>(started * 1000));
  // Where nothing more goes, where it is does not matter.
  if (m.state != HostState::ready && !valid_address(m.address)) m.address.clear();
  return !m.id.empty() && (m.state != HostState::ready || valid_address(m.address));
}

}  // namespace

std::optional<broker::MemberList> parse_members(std::string_view json) {
  rapidjson::Document d;
  d.Parse<rapidjson::kParseIterativeFlag>(json.data(), json.size());
  if (d.HasParseError() || !d.IsObject()) return std::nullopt;
  const auto servers = d.FindMember("servers");
  if (servers == d.MemberEnd() || !servers->value.IsArray()) return std::nullopt;
  broker::MemberList list;
  const auto version = d.FindMember("version");
  if (version != d.MemberEnd() && version->value.IsUint64()) list.version = version->value.GetUint64();
  const auto full = d.FindMember("full");
  list.full = full != d.MemberEnd() && full->value.IsBool() && full->value.GetBool();
  for (const auto& v : servers->value.GetArray())
    if (broker::Member m; parse_member(v, m)) list.members.push_back(std::move(m));
  return list;
}

std::string members_json(const broker::MemberList& list) {
  rapidjson::StringBuffer buffer;
  rapidjson::Writer<rapidjson::StringBuffer> w(buffer);
  const auto text = [&](const char* key, const std::string& value) {
    w.Key(key), w.String(value.data(), static_cast<rapidjson::SizeType>(value.size()));
  };
  w.StartObject();
  w.Key("version"), w.Uint64(list.version);
  w.Key("full"), w.Bool(list.full);
  w.Key("servers"), w.StartArray();
  for (const auto& m : list.members) {
    w.StartObject();
    text("id", m.id), text("addr", m.address), text("zone", m.zone);
    w.Key("cell"), w.Int64(m.group.value);
    text("state", m.state == HostState::ready      ? "SERVING"
                  : m.state == HostState::draining ? "DRAINING"
                                                   : "DELETED");
    w.Key("weight"), w.Double(m.weight);
    text("recovery", m.primary ? "off" : "on");
    // Whole milliseconds, rounded up: later is colder.
    w.Key("started_ms"),
        w.Int64(m.started_at ? std::chrono::ceil<std::chrono::milliseconds>(*m.started_at).count() : 0);
    w.EndObject();
  }
  w.EndArray();
  w.EndObject();
  return buffer.GetString();
}

ObjectSplitter::Found ObjectSplitter::next(std::string_view& bytes, std::string& object) {
  for (std::size_t i = 0; i < bytes.size(); ++i) {
    const char c = bytes[i];
    const auto take = [&] {
      begun_ += bytes.substr(0, i + 1);
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
      take();
      object.clear();
      object.swap(begun_);
      return Found::object;
    } else if (c == '\n') {
      bytes.remove_prefix(i + 1);
      return Found::heartbeat;
    } else if (c == '{') {
      depth_ = 1;
    } else if (c != ' ' && c != '\r' && c != '\t') {
      return Found::bad;
    }
  }
  if (depth_ > 0) begun_ += bytes;
  bytes = {};
  return begun_.size() > line_most ? Found::bad : Found::nothing;
}

class DiscoveryWatch::Stream : public Connection {
 public:
  Stream(ev::loop_ref loop, Fd fd, std::string request, DiscoveryWatch& owner)
      : Connection(loop, std::move(fd), true, 65536, 4096), request_(std::move(request)), owner_(owner) {
    http_parser_init(&parser_, HTTP_RESPONSE);
    parser_.data = this;
  }
  void stop() {
    if (!closed()) close();
  }

 private:
  /// After a standstill what has changed is heard before what clients ask: nothing new goes where the list
  /// says no.
  void on_open() override { hurry(), write(request_); }
  void on_input() override {
    static const http_parser_settings settings = [] {
      http_parser_settings s;
      http_parser_settings_init(&s);
      s.on_headers_complete = [](http_parser* p) { return p->status_code == 200 ? 0 : -1; };
      s.on_body = [](http_parser* p, const char* at, std::size_t n) {
        return static_cast<Stream*>(p->data)->body({at, n}) ? 0 : -1;
      };
      s.on_message_complete = [](http_parser* p) {
        static_cast<Stream*>(p->data)->whole_ = true;
        return 0;
      };
      return s;
    }();
    const auto in = in_.view();
    const auto used = http_parser_execute(&parser_, &settings, in.data(), in.size());
    const bool bad = used != in.size() || HTTP_PARSER_ERRNO(&parser_) != HPE_OK;
    if (closed()) return;
    in_.consume(in.size());
    if (bad || whole_) owner_.ended(false);
  }
  void on_end(int) override { owner_.ended(false); }
  /// Only what is whole is a sign of life: bytes that never end would keep a watch that tells nothing.
  bool body(std::string_view bytes) {
    std::string object;
    for (;;) {
      switch (splitter_.next(bytes, object)) {
        case ObjectSplitter::Found::nothing:
          return true;
        case ObjectSplitter::Found::bad:
          return false;
        case ObjectSplitter::Found::heartbeat:
          owner_.heard();
          continue;
        case ObjectSplitter::Found::object:
          break;
      }
      const auto list = parse_members(object);
      if (!list) return false;
      owner_.heard();
      owner_.listed(*list);
      if (closed()) return false;
    }
  }

  std::string request_;
  DiscoveryWatch& owner_;
  http_parser parser_{};
  ObjectSplitter splitter_;
  bool whole_ = false;
};

DiscoveryWatch::DiscoveryWatch(ev::loop_ref loop, Reaper& reaper, std::string address, std::uint64_t version,
                               fleet::WatchTiming terms, Events events)
    : loop_(loop),
      reaper_(reaper),
      address_(std::move(address)),
      version_(version),
      events_(std::move(events)),
      terms_(terms),
      silence_(loop),
      again_(loop) {
  silence_.set<DiscoveryWatch, &DiscoveryWatch::silent>(this);
  again_.set<DiscoveryWatch, &DiscoveryWatch::again>(this);
}

DiscoveryWatch::~DiscoveryWatch() = default;

/// A watch that was moved may be open already when the router asks for one after the last that failed.
void DiscoveryWatch::start() {
  if (!stream_) open();
}

void DiscoveryWatch::keep() {
  kept_ = true;
  start();
}

void DiscoveryWatch::move(std::string address) {
  if (stream_) stream_->stop(), reaper_.take(std::move(stream_));
  address_ = std::move(address);
  version_ = 0;
  terms_.on_message();
  open();
}

void DiscoveryWatch::open() {
  again_.stop();
  answered_ = false;
  Fd fd = connect_to(address_);
  if (fd.get() < 0) return failed();
  std::string request = "GET /catalog/members?follow=1&since=" + std::to_string(version_) +
                        " HTTP/1.1\r\nHost: " + address_ + "\r\nAccept: application/json\r\n\r\n";
  stream_ = std::make_unique<Stream>(loop_, std::move(fd), std::move(request), *this);
  wait_for_word();
}

void DiscoveryWatch::wait_for_word() {
  silence_.stop();
  silence_.start(seconds(fleet::WatchTiming::silence_timeout(answered_)));
}

void DiscoveryWatch::heard() {
  answered_ = true;
  terms_.on_message();
  heard_ = std::chrono::steady_clock::now();
  wait_for_word();
}

/// Changes that are older than what is held would undo what was told since: discovery has begun anew, or
/// another one answers, and is asked for all it has. What they say is to get nothing more binds meanwhile.
void DiscoveryWatch::listed(const broker::MemberList& list) {
  if (list.full || list.version >= version_) {
    version_ = list.version;
    told_ = true;
    return events_.listed(list);
  }
  auto binding = list;
  binding.version = version_;
  auto& m = binding.members;
  m.erase(std::remove_if(m.begin(), m.end(), [](const auto& x) { return x.state == HostState::ready; }),
          m.end());
  events_.listed(binding);
  version_ = 0;
  ended(true);
}

/// The end of what is open; `at_once`: it had to be ended here, and another follows without anybody's word.
void DiscoveryWatch::ended(bool at_once) {
  silence_.stop();
  if (!stream_) return;
  stream_->stop();
  reaper_.take(std::move(stream_));
  if (at_once) return open();
  failed();
}

void DiscoveryWatch::failed() {
  if (kept_)
    again_.start(seconds(terms_.next_reopen_delay()));
  else
    events_.failed();
}

/// A machine that was cut off says nothing: its watch would look calm for ever. One that was heard before is
/// opened anew at once, for what it misses counts as told soon; one that never said a word is a call that has
/// failed.
void DiscoveryWatch::silent(ev::timer&, int) { ended(answered_); }

}  // namespace cedarring::wire

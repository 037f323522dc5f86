#include "wire/door.h"

#include <http_parser.h>

#include <cerrno>
#include <system_error>

namespace cedarring::wire {
namespace {

const char* reason_of(int status) {
  switch (status) {
    case 200:
      return "OK";
    case 400:
      return "Bad Request";
    case 404:
      return "Not Found";
    case 405:
      return "Method Not Allowed";
    case 413:
      return "Content Too Large";
    case 431:
      return "Request Header Fields Too Large";
    default:
      return "Service Unavailable";
  }
}

int hex_of(char c) {
  if (c >= '0' && c <= '9') return c - '0';
  if (c >= 'a' && c <= 'f') return c - 'a' + 10;
  if (c >= 'A' && c <= 'F') return c - 'A' + 10;
  return -1;
}

}  // namespace

std::optional<std::vector<std::string>> path_parts(std::string_view path) {
  std::vector<std::string> parts;
  if (path.empty() || path[0] != '/') return std::nullopt;
  for (std::size_t i = 0; i < path.size(); ++i) {
    char c = path[i];
    if (c == '/') {
      parts.emplace_back();
      continue;
    }
    if (c == '%') {
      if (i + 2 >= path.size()) return std::nullopt;
      const int high = hex_of(path[i + 1]), low = hex_of(path[i + 2]);
      if (high < 0 || low < 0 || high + low == 0) return std::nullopt;
      c = static_cast<char>(high * 16 + low);
      i += 2;
    }
    parts.back() += c;
  }
  return parts;
}

class ControlDoor::Caller : public Connection {
 public:
  Caller(ev::loop_ref loop, Fd fd, ControlDoor& owner)
      : Connection(loop, std::move(fd), false, head_most, answer_most), owner_(owner), timer_(loop) {
    timer_.set<Caller, &Caller::expired>(this);
    timer_.start(time_most);
    http_parser_init(&parser_, HTTP_REQUEST);
    parser_.data = this;
    hurry();
  }
  [[nodiscard]] bool answered() const { return answered_; }
  void leave() {
    timer_.stop();
    if (!closed()) close();
    owner_.gone(this);
  }

 private:
  void on_input() override {
    const auto in = in_.view();
    read_ += in.size();
    if (answered_) {  // what comes behind the one call is not read
      in_.clear();
      if (read_ > body_most * 2) leave();
      return;
    }
    const auto used = http_parser_execute(&parser_, &settings(), in.data(), in.size());
    const auto error = HTTP_PARSER_ERRNO(&parser_);
    if (closed()) return;
    in_.consume(used == in.size() || error != HPE_OK ? in.size() : used);
    if (whole_) return say(call());
    if (error == HPE_HEADER_OVERFLOW || head_ > head_most || (!headed_ && read_ > head_most))
      return say({431, "the head is too long\n", {}});
    if (big_) return say({413, "the body is too long\n", {}});
    if (error != HPE_OK || parser_.upgrade) say({400, "not an HTTP call\n", {}});
  }
  static const http_parser_settings& settings() {
    static const http_parser_settings s = [] {
      http_parser_settings t;
      http_parser_settings_init(&t);
      const auto self = [](http_parser* p) { return static_cast<Caller*>(p->data); };
      static constexpr auto me = self;
      static constexpr auto head = [](http_parser* p, const char*, std::size_t n) {
        me(p)->head_ += n;
        return me(p)->head_ > head_most ? -1 : 0;
      };
      t.on_url = [](http_parser* p, const char* at, std::size_t n) {
        me(p)->target_.append(at, n);
        return head(p, at, n);
      };
      t.on_header_field = t.on_header_value = head;
      t.on_headers_complete = [](http_parser* p) { return me(p)->headed_ = true, 0; };
      t.on_body = [](http_parser* p, const char*, std::size_t n) {
        me(p)->body_ += n;
        me(p)->big_ = me(p)->body_ > body_most;
        return me(p)->big_ ? -1 : 0;
      };
      t.on_message_complete = [](http_parser* p) {
        me(p)->whole_ = true;
        http_parser_pause(p, 1);  // one call a connection
        return 0;
      };
      return t;
    }();
    return s;
  }
  DoorAnswer call() {
    DoorCall c{http_method_str(static_cast<http_method>(parser_.method)),
               target_.substr(0, target_.find('?'))};
    // RFC 9112: a server takes the absolute form, too.
    if (const auto host = c.path.find("://"); host != std::string::npos && c.path[0] != '/') {
      const auto slash = c.path.find('/', host + 3);
      c.path = slash == std::string::npos ? "/" : c.path.substr(slash);
    }
    return owner_.answer_(c);
  }
  void say(const DoorAnswer& a) {
    answered_ = true;
    std::string out = "HTTP/1.1 " + std::to_string(a.status) + ' ' + reason_of(a.status) +
                      "\r\nContent-Type: text/plain; version=0.0.4; charset=utf-8\r\nContent-Length: " +
                      std::to_string(a.body.size()) + "\r\nConnection: close\r\n";
    if (!a.allow.empty()) out += "Allow: " + a.allow + "\r\n";
    if (!write(out + "\r\n" + a.body)) return leave();
    if (out_.empty()) shut_down_writing();
  }
  // The end goes out behind the answer; the connection goes once the caller has ended it, too, or its time is
  // up: closed with input unread it would be reset, and the answer lost on its way.
  void on_sent() override { shut_down_writing(); }
  void on_end(int) override { leave(); }
  void expired(ev::timer&, int) { leave(); }

  ControlDoor& owner_;
  ev::timer timer_;
  http_parser parser_{};
  std::string target_;
  std::size_t read_ = 0, head_ = 0, body_ = 0;
  bool answered_ = false, headed_ = false, whole_ = false, big_ = false;
};

ControlDoor::ControlDoor(ev::loop_ref loop, Reaper& reaper, const std::string& address, Answer answer)
    : loop_(loop),
      reaper_(reaper),
      answer_(std::move(answer)),
      listener_(listen_on(address)),
      io_(loop),
      rest_(loop) {
  if (listener_.get() < 0) throw std::system_error(errno, std::generic_category(), "control: " + address);
  io_.set<ControlDoor, &ControlDoor::incoming>(this);
  io_.priority = EV_MAXPRI;
  io_.start(listener_.get(), ev::READ);
  rest_.set<ControlDoor, &ControlDoor::rested>(this);
}

ControlDoor::~ControlDoor() = default;

void ControlDoor::incoming(ev::io&, int) {
  for (std::size_t i = 0; i < callers_most; ++i) {
    Fd fd = accept_from(listener_.get());
    if (fd.get() < 0) {
      if (errno == EMFILE || errno == ENFILE || errno == ENOBUFS || errno == ENOMEM) {
        io_.stop();
        rest_.start(0.02);
      }
      return;
    }
    // Full: the newcomer wins over who has had its answer, then over who has stalled longest.
    if (callers_.size() >= callers_most) {
      auto* first = callers_.front().get();
      for (const auto& c : callers_)
        if (c->answered()) {
          first = c.get();
          break;
        }
      first->leave();
    }
    callers_.push_back(std::make_unique<Caller>(loop_, std::move(fd), *this));
  }
}

void ControlDoor::gone(Caller* caller) {
  for (auto it = callers_.begin(); it != callers_.end(); ++it) {
    if (it->get() != caller) continue;
    reaper_.take(std::move(*it));
    callers_.erase(it);
    return;
  }
}

}  // namespace cedarring::wire

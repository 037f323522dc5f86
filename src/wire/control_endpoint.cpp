#include "wire/control_endpoint.h"

#include <http_parser.h>

#include <cerrno>
#include <system_error>

namespace cedarring::wire {
namespace {

constexpr double accept_pause_s = 0.02;  // while out of descriptors or memory

const char* reason_phrase(int status) {
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

/// The value of a hexadecimal digit; -1 for any other character.
int hex_digit(char c) {
  if (c >= '0' && c <= '9') return c - '0';
  if (c >= 'a' && c <= 'f') return c - 'a' + 10;
  if (c >= 'A' && c <= 'F') return c - 'A' + 10;
  return -1;
}

}  // namespace

std::optional<std::vector<std::string>> split_path(std::string_view path) {
  std::vector<std::string> segments;
  if (path.empty() || path[0] != '/') return std::nullopt;
  for (std::size_t i = 0; i < path.size(); ++i) {
    char c = path[i];
    if (c == '/') {
      segments.emplace_back();
      continue;
    }
    if (c == '%') {
      if (i + 2 >= path.size()) return std::nullopt;
      const int high = hex_digit(path[i + 1]);
      const int low = hex_digit(path[i + 2]);
      if (high < 0 || low < 0 || high + low == 0) return std::nullopt;
      c = static_cast<char>(high * 16 + low);
      i += 2;
    }
    segments.back() += c;
  }
  return segments;
}

/// Reads one request, lets the owner handle it and sends the response.
class ControlServer::Exchange : public Connection {
 public:
  Exchange(ev::loop_ref loop, Fd fd, ControlServer& owner)
      : Connection(loop, std::move(fd), false, max_head_size, max_response_size),
        owner_(owner),
        timer_(loop) {
    timer_.set<Exchange, &Exchange::on_timeout>(this);
    timer_.start(timeout_s);
    http_parser_init(&parser_, HTTP_REQUEST);
    parser_.data = this;
    raise_priority();
  }
  [[nodiscard]] bool responded() const { return responded_; }
  void close_and_remove() {
    timer_.stop();
    if (!closed()) close();
    owner_.remove(this);
  }

 private:
  void on_input() override {
    const auto in = in_.view();
    bytes_read_ += in.size();
    if (responded_) {  // input after the one request is discarded
      in_.clear();
      if (bytes_read_ > max_body_size * 2) close_and_remove();
      return;
    }
    const auto used = http_parser_execute(&parser_, &parser_callbacks(), in.data(), in.size());
    const auto error = HTTP_PARSER_ERRNO(&parser_);
    if (closed()) return;
    in_.consume(used == in.size() || error != HPE_OK ? in.size() : used);
    if (complete_) return respond(handle_request());
    if (error == HPE_HEADER_OVERFLOW || head_size_ > max_head_size ||
        (!head_complete_ && bytes_read_ > max_head_size))
      return respond({431, "the head is too long\n", {}});
    if (body_too_large_) return respond({413, "the body is too long\n", {}});
    if (error != HPE_OK || parser_.upgrade) respond({400, "not an HTTP call\n", {}});
  }
  static const http_parser_settings& parser_callbacks() {
    static const http_parser_settings callbacks = [] {
      http_parser_settings settings;
      http_parser_settings_init(&settings);
      static constexpr auto exchange_of = [](http_parser* p) { return static_cast<Exchange*>(p->data); };
      // Callbacks return 0 to go on and -1 to stop the parser.
      static constexpr auto count_head = [](http_parser* p, const char*, std::size_t n) {
        exchange_of(p)->head_size_ += n;
        return exchange_of(p)->head_size_ > max_head_size ? -1 : 0;
      };
      settings.on_url = [](http_parser* p, const char* at, std::size_t n) {
        exchange_of(p)->target_.append(at, n);
        return count_head(p, at, n);
      };
      settings.on_header_field = settings.on_header_value = count_head;
      settings.on_headers_complete = [](http_parser* p) {
        exchange_of(p)->head_complete_ = true;
        return 0;
      };
      settings.on_body = [](http_parser* p, const char*, std::size_t n) {
        exchange_of(p)->body_size_ += n;
        exchange_of(p)->body_too_large_ = exchange_of(p)->body_size_ > max_body_size;
        return exchange_of(p)->body_too_large_ ? -1 : 0;
      };
      settings.on_message_complete = [](http_parser* p) {
        exchange_of(p)->complete_ = true;
        http_parser_pause(p, 1);  // one request per connection
        return 0;
      };
      return settings;
    }();
    return callbacks;
  }
  ControlResponse handle_request() {
    ControlRequest request{http_method_str(static_cast<http_method>(parser_.method)),
                           target_.substr(0, target_.find('?'))};
    // RFC 9112: a server accepts the absolute form, too; the path begins with the first slash behind "://".
    if (const auto separator = request.path.find("://");
        separator != std::string::npos && request.path[0] != '/') {
      const auto slash = request.path.find('/', separator + 3);
      request.path = slash == std::string::npos ? "/" : request.path.substr(slash);
    }
    return owner_.handler_(request);
  }
  void respond(const ControlResponse& response) {
    responded_ = true;
    std::string out = "HTTP/1.1 " + std::to_string(response.status) + ' ' + reason_phrase(response.status) +
                      "\r\nContent-Type: text/plain; version=0.0.4; charset=utf-8\r\nContent-Length: " +
                      std::to_string(response.body.size()) + "\r\nConnection: close\r\n";
    if (!response.allow.empty()) out += "Allow: " + response.allow + "\r\n";
    if (!write(out + "\r\n" + response.body)) return close_and_remove();
    if (out_.empty()) shut_down_writing();
  }
  // The sending direction is closed after the response; the connection is closed once the client has closed
  // it, too, or at the time-out. Closing with unread input would reset it and lose the response in transit.
  void on_sent() override { shut_down_writing(); }
  void on_end(int) override { close_and_remove(); }
  void on_timeout(ev::timer&, int) { close_and_remove(); }

  ControlServer& owner_;
  ev::timer timer_;
  http_parser parser_{};
  std::string target_;          // the path and the query, or the absolute form
  std::size_t bytes_read_ = 0;  // in total
  std::size_t head_size_ = 0;   // of the target and the header fields, in bytes
  std::size_t body_size_ = 0;   // bytes
  bool responded_ = false;
  bool head_complete_ = false;
  bool complete_ = false;  // the whole request has been read
  bool body_too_large_ = false;
};

ControlServer::ControlServer(ev::loop_ref loop, Reaper& reaper, const std::string& address, Handler handler)
    : loop_(loop),
      reaper_(reaper),
      handler_(std::move(handler)),
      listener_(listen_on(address)),
      io_(loop),
      accept_pause_(loop) {
  if (listener_.get() < 0) throw std::system_error(errno, std::generic_category(), "control: " + address);
  io_.set<ControlServer, &ControlServer::on_connection>(this);
  io_.priority = EV_MAXPRI;
  io_.start(listener_.get(), ev::READ);
  accept_pause_.set<ControlServer, &ControlServer::resume_accepting>(this);
}

ControlServer::~ControlServer() = default;

void ControlServer::on_connection(ev::io&, int) {
  for (std::size_t i = 0; i < max_connections; ++i) {  // the others are accepted at the next event
    Fd fd = accept_from(listener_.get());
    if (fd.get() < 0) {
      if (errno == EMFILE || errno == ENFILE || errno == ENOBUFS || errno == ENOMEM) {
        io_.stop();
        accept_pause_.start(accept_pause_s);
      }
      return;
    }
    // At the limit a new connection replaces one that has been answered, or else the oldest one.
    if (exchanges_.size() >= max_connections) {
      auto* replaced = exchanges_.front().get();
      for (const auto& exchange : exchanges_)
        if (exchange->responded()) {
          replaced = exchange.get();
          break;
        }
      replaced->close_and_remove();
    }
    exchanges_.push_back(std::make_unique<Exchange>(loop_, std::move(fd), *this));
  }
}

void ControlServer::remove(Exchange* exchange) {
  for (auto it = exchanges_.begin(); it != exchanges_.end(); ++it) {
    if (it->get() != exchange) continue;
    reaper_.add(std::move(*it));
    exchanges_.erase(it);
    return;
  }
}

}  // namespace cedarring::wire

// A second copy of an answer arrives a moment behind the answer. The gateway has put the connection back into
// its pool and written another request to it; it takes the copy for that request's answer.
#include <random>

#include "../standins-2/standins.h"

using namespace standins;

namespace {

constexpr int clients = 12;
constexpr int run_ms = 25'000;
constexpr int think_ms = 20;            // between an answer and the client's next request
constexpr int one_in_brings_more = 10;  // answers that bring a second copy
constexpr int max_pause_us = 800;       // between two pieces of what a host sends

/// Forwards connections to a database host. What the host sends arrives in pieces: one to three messages of
/// the protocol, or a part of one, with pauses between them. Nothing is lost, changed or reordered.
class PiecewiseNetwork {
 public:
  explicit PiecewiseNetwork(int host_port)
      : server_([this, host_port](const std::shared_ptr<Socket>& gateway) { forward(*gateway, host_port); }) {
  }
  [[nodiscard]] int port() const { return server_.port(); }

 private:
  void forward(const Socket& gateway, int host_port) {
    const Socket host = connect_loopback(host_port);
    if (!host.valid()) return;
    std::thread to_host([&] {
      for (;;) {
        const auto bytes = gateway.read_some();
        if (bytes.empty() || !host.send(bytes)) break;
      }
      host.shut_down();
    });
    std::mt19937 random(static_cast<unsigned>(++connections_));
    for (;;) {
      const auto bytes = host.read_some();
      std::size_t sent = 0;
      bool open = !bytes.empty();
      while (open && sent < bytes.size()) {
        const auto size = piece_size(std::string_view(bytes).substr(sent), random);
        open = gateway.send(std::string_view(bytes).substr(sent, size));
        sent += size;
        if (random() % 2 == 0)
          std::this_thread::sleep_for(std::chrono::microseconds(random() % max_pause_us));
      }
      if (!open) break;
    }
    gateway.shut_down();
    host.shut_down();
    to_host.join();
  }
  static std::size_t piece_size(std::string_view bytes, std::mt19937& random) {
    std::size_t size = 0;
    for (unsigned messages = 1 + random() % 3; messages > 0 && bytes.size() >= size + 5; --messages)
      size += read_u32(bytes.substr(size + 1)) + 1;
    if (random() % 4 == 0) size = 1 + random() % bytes.size();
    return size == 0 || size > bytes.size() ? bytes.size() : size;
  }
  std::atomic<int> connections_{0};
  Server server_;
};

bool rule_held(const Setup& setup, Record& record) {
  std::atomic<int> answers{0};
  std::atomic<int> copies{0};
  const auto handler = [&](const DatabaseHost::Session& session, const Query& query) {
    sleep_ms(session.host.work_ms);
    const auto answer = row_messages(DatabaseHost::value_of(query.key)) + session.tail();
    if (!session.send(answer)) return false;
    // A second copy directly behind the answer, where nothing else waits on the connection.
    if (!setup.trouble || ++answers % one_in_brings_more != 0 || session.socket->readable(0)) return true;
    ++copies;
    record.line(session.host.name(), " sent a second copy of the answer to ", query.id);
    return session.send(answer);
  };
  std::vector<std::unique_ptr<DatabaseHost>> hosts;
  std::vector<std::unique_ptr<PiecewiseNetwork>> networks;
  std::vector<std::string> entries;
  for (int i = 0; i < 4; ++i) {
    hosts.push_back(std::make_unique<DatabaseHost>("db-" + std::to_string(i), i == 0, record, handler));
    networks.push_back(std::make_unique<PiecewiseNetwork>(hosts.back()->port()));
    entries.push_back(hosts.back()->entry(networks.back()->port()));
  }
  const auto list = list_of(entries);
  Discovery discovery(list);
  Gateway gateway(setup, config_of(list, discovery.port(), ledger_classes()), record);
  std::atomic<int> served{0};
  std::atomic<int> other{0};
  std::atomic<int> foreign{0};
  Threads threads;
  for (int i = 0; i < clients; ++i)
    threads.run([&, i] {
      Client client(gateway.port());
      for (int n = 0; record.ms() < run_ms && foreign == 0; ++n) {
        const auto id = "c" + std::to_string(i) + "n" + std::to_string(n);
        if (!client.send(read_sql("key-" + id, id, "history", 1000))) return;
        const auto answer = client.read(1500);
        const bool right = answer.value == DatabaseHost::value_of("key-" + id);
        if (answer.kind == Answer::served && !right) {
          ++foreign;
          record.line("FOREIGN DATA: the client asked ", id, " for key-", id, " and was served ",
                      answer.value);
        } else {
          ++(answer.kind == Answer::served ? served : other);
          record.line("client: ", id, ' ', name_of(answer.kind), ' ', answer.code);
        }
        if (answer.kind == Answer::ended || answer.kind == Answer::silent) return;
        sleep_ms(think_ms);
      }
    });
  threads.join();
  record.line(served, " served right, ", other, " refused or failed, ", copies, " second copies, ", foreign,
              " answers with another request's data");
  if (served < 100) throw std::runtime_error("too few requests were served");
  return foreign == 0;
}

}  // namespace

int main(int argc, char** argv) { return run_case(argc, argv, rule_held); }

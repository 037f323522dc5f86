// Some clients send a hundred commands at once. The statements that wait for a host are kept in memory that
// no limit covers: the gateway goes over memory_mb and is killed, with the requests of all other clients.
#include "../standins-2/standins.h"

using namespace standins;

namespace {

constexpr int memory_mb = 32;
constexpr int sockets = 256;
constexpr int usual_clients = 8;
constexpr int greedy_clients = 25;     // with the usual ones well under a third of the sockets
constexpr int commands_at_once = 100;  // of a greedy client
constexpr int value_bytes = 64'000;    // under 64 KiB; two digits each in the statement
constexpr int bid_work_ms = 90;
constexpr int deadline_ms = 2000;
constexpr int run_ms = 6000;
constexpr int kb_per_mb = 1024;

bool rule_held(const Setup& setup, Record& record) {
  const auto handler = [&](const DatabaseHost::Session& session, const Query& query) {
    if (query.write && session.host.primary) sleep_ms(bid_work_ms);
    return session.host.serve_query(session, query);
  };
  std::vector<std::unique_ptr<DatabaseHost>> hosts;
  std::vector<std::string> entries;
  for (int i = 0; i < 5; ++i) {
    hosts.push_back(std::make_unique<DatabaseHost>("db-" + std::to_string(i), i == 0, record, handler));
    entries.push_back(hosts.back()->entry());
  }
  const auto list = list_of(entries);
  Discovery discovery(list);
  Gateway gateway(setup, config_of(list, discovery.port(), ledger_classes(), memory_mb, sockets), record);
  // The platform: over memory_mb the gateway is killed. Only memory of its own counts here, no shared pages.
  std::atomic<bool> done{false};
  std::atomic<bool> killed{false};
  std::atomic<long> peak_kb{0};
  std::thread platform([&] {
    for (; !done; sleep_ms(5)) {
      const long kb = gateway.status_kb("RssAnon");
      if (kb > peak_kb) peak_kb = kb;
      if (kb <= memory_mb * kb_per_mb || killed) continue;
      killed = true;
      record.line("the gateway has ", kb, " KiB of memory; its limit is ", memory_mb * kb_per_mb,
                  ": it is killed");
      gateway.signal(SIGKILL);
    }
  });
  Threads threads;
  std::atomic<int> served{0};
  std::atomic<int> refused_or_failed{0};
  std::atomic<int> unanswered{0};
  for (int i = 0; i < usual_clients; ++i)
    threads.run([&, i] {
      Client client(gateway.port());
      for (int n = 0; record.ms() < run_ms; ++n) {
        const auto id = "u" + std::to_string(i) + "n" + std::to_string(n);
        const bool sent = client.send(n % 8 == 0 ? write_sql(id, id, "bid-submit", deadline_ms, ",k=" + id)
                                                 : read_sql(id, id, "history", 1000));
        const auto answer = client.read(deadline_ms + 600);
        if (sent) record.line("usual client: ", id, ' ', name_of(answer.kind), ' ', answer.code);
        if (sent && (answer.kind == Answer::ended || answer.kind == Answer::silent)) ++unanswered;
        if (!sent || answer.kind == Answer::ended || answer.kind == Answer::silent) return;
        ++(answer.kind == Answer::served ? served : refused_or_failed);
        sleep_ms(30);
      }
    });
  sleep_ms(2000);
  record.line("memory before: ", gateway.status_kb("RssAnon"), " KiB");
  for (int i = 0; setup.trouble && i < greedy_clients; ++i)
    threads.run([&, i] {
      Client client(gateway.port());
      std::string commands;
      for (int n = 0; n < commands_at_once; ++n) {
        const auto id = "g" + std::to_string(i) + "n" + std::to_string(n);
        commands += query_message(
            write_sql(id, id, "bid-submit", deadline_ms, ",k=" + id, std::string(2 * value_bytes, 'a')));
      }
      record.line("greedy client ", i, " sends ", commands_at_once,
                  " bids at once and reads what it is sent");
      std::thread reading([&] {
        while (record.ms() < run_ms) {
          const auto kind = client.read(1000).kind;
          if (kind == Answer::ended) return;
        }
        client.socket().shut_down();
      });
      (void)client.send_raw(commands);
      reading.join();
    });
  std::string error;
  try {
    threads.join();
  } catch (const std::exception& thrown) {
    error = thrown.what();  // nobody is welcomed by a gateway that was killed
  }
  done = true;
  platform.join();
  record.line("peak ", peak_kb, " KiB; usual clients: ", served, " served, ", refused_or_failed,
              " refused or failed, ", unanswered, " never answered");
  if (!killed && !error.empty()) throw std::runtime_error(error);
  if (served < 100) throw std::runtime_error("too few requests were served");
  return !killed;
}

}  // namespace

int main(int argc, char** argv) { return run_case(argc, argv, rule_held); }

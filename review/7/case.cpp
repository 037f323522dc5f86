// A class is dropped by one configuration and comes back in the next, with a stricter effect. The gateway
// goes on with the dropped class until its two seconds are over, and sends what may not be repeated a second
// time.
#include "../standins-2/standins.h"

using namespace standins;

namespace {

constexpr int between_configurations_ms = 300;
constexpr int new_rules_ms = 1200;  // after SIGHUP the new settings bind
constexpr int requests = 4;
constexpr int first_request_ms = 1300;  // after the second SIGHUP
constexpr int gap_ms = 60;              // between two requests
constexpr int reset_after_ms = 30;      // of work, at a request's first attempt
constexpr int deadline_ms = 2000;

std::vector<ClassSettings> classes_with_pay(const std::string& effect) {
  auto classes = ledger_classes();
  classes.push_back({"pay", "mutate", effect, 750, deadline_ms, 1200});
  return classes;
}

bool rule_held(const Setup& setup, Record& record) {
  std::mutex mutex;
  std::map<std::string, int> runs;
  const auto handler = [&](const DatabaseHost::Session& session, const Query& query) {
    if (query.class_name != "pay" || !session.host.primary) return session.host.serve_query(session, query);
    int run = 0;
    {
      const std::lock_guard<std::mutex> lock(mutex);
      run = ++runs[query.id];
    }
    record.line(session.host.name(), " runs ", query.id, ", time ", run);
    sleep_ms(reset_after_ms);
    if (run > 1) return session.answer("paid");
    record.line(session.host.name(), " resets the connection under ", query.id);
    session.socket->reset();
    return false;
  };
  DatabaseHost primary("db-0", true, record, handler);
  DatabaseHost replica_1("db-1", false, record, handler);
  DatabaseHost replica_2("db-2", false, record, handler);
  const auto list = list_of({primary.entry(), replica_1.entry(), replica_2.entry()});
  Discovery discovery(list);
  const auto config = [&](const std::vector<ClassSettings>& classes) {
    return config_of(list, discovery.port(), classes);
  };
  Gateway gateway(setup, config(classes_with_pay("idempotency_key")), record);
  // Usual traffic, so that the gateway knows its hosts.
  Client desk(gateway.port());
  for (int i = 0; i < 30; ++i) {
    const auto id = "usual" + std::to_string(i);
    if (!desk.send(i % 3 == 0 ? write_sql(id, id, "bid-submit", 2000, ",k=" + id)
                              : read_sql(id, id, "history", 1000)))
      throw std::runtime_error("the gateway ended a connection");
    (void)desk.read(3000);
  }
  sleep_ms(1500);
  const auto reload = [&](const std::vector<ClassSettings>& classes, const std::string& what) {
    const auto before = gateway.log().size();
    gateway.configure(config(classes));
    record.line("SIGHUP: ", what);
    gateway.signal(SIGHUP);
    for (int i = 0; i < 100; ++i, sleep_ms(2))
      if (gateway.log().find("configuration reloaded", before) != std::string::npos) return;
    throw std::runtime_error("a new configuration was not taken");
  };
  if (setup.trouble) {
    reload(ledger_classes(), "pay is dropped");
    sleep_ms(between_configurations_ms);
  }
  const auto hangup_at = record.ms();
  reload(classes_with_pay("non_idempotent"), "pay is non_idempotent; it was idempotency_key");
  sleep_ms(first_request_ms);
  Threads threads;
  std::atomic<int> early{0};
  for (int i = 0; i < requests; ++i) {
    threads.run([&, i] {
      const auto id = "pay" + std::to_string(i);
      Client client(gateway.port());
      const auto after = record.ms() - hangup_at;
      if (after < new_rules_ms) ++early;
      record.line("client sends ", id, ", ", after, " ms after the signal; its class is non_idempotent");
      if (!client.send(write_sql(id, id, "pay", deadline_ms))) throw std::runtime_error("cannot send");
      const auto answer = client.read(deadline_ms + 500);
      record.line("client: ", id, ' ', name_of(answer.kind), ' ', answer.code);
    });
    sleep_ms(gap_ms);
  }
  threads.join();
  if (early > 0) throw std::runtime_error("a request came before the new rules bind");
  int twice = 0;
  for (const auto& [id, count] : runs) twice += count > 1 ? 1 : 0;
  record.line(runs.size(), " payments have run, ", twice, " of them more than once");
  if (runs.empty()) throw std::runtime_error("no payment reached the primary");
  return twice == 0;
}

}  // namespace

int main(int argc, char** argv) { return run_case(argc, argv, rule_held); }

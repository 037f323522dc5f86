// A database host's connection is reset in the middle of a long value. The gateway closes the client's
// connection, and with it every other command that the client has open there, bids that run among them.
#include "../standins-2/standins.h"

using namespace standins;

namespace {

constexpr std::size_t long_value_bytes = 1 << 20;  // under 4 MiB
constexpr int rounds = 3;
constexpr int bids = 4;  // behind the read of the long value, on the same connection
constexpr int bid_work_ms = 90;
constexpr int sent_before_reset_ms = 150;  // from the first half of the value to the reset
constexpr int deadline_ms = 2000;

bool rule_held(const Setup& setup, Record& record) {
  std::atomic<int> bids_run{0};
  const auto handler = [&](const DatabaseHost::Session& session, const Query& query) {
    if (query.key.rfind("long", 0) == 0) {
      const auto answer = row_messages(std::string(long_value_bytes, 'v')) + session.tail();
      if (!session.send(std::string_view(answer).substr(0, answer.size() / 2))) return false;
      sleep_ms(sent_before_reset_ms);
      if (!setup.trouble) return session.send(std::string_view(answer).substr(answer.size() / 2));
      record.line(session.host.name(), " resets the connection in the middle of the answer to ", query.id);
      session.socket->reset();
      return false;
    }
    if (query.write && session.host.primary) {
      sleep_ms(bid_work_ms);
      ++bids_run;
      record.line(session.host.name(), " has run ", query.id);
    }
    return session.host.serve_query(session, query);
  };
  std::vector<std::unique_ptr<DatabaseHost>> hosts;
  std::vector<std::string> entries;
  for (int i = 0; i < 4; ++i) {
    hosts.push_back(std::make_unique<DatabaseHost>("db-" + std::to_string(i), i == 0, record, handler));
    entries.push_back(hosts.back()->entry());
  }
  const auto list = list_of(entries);
  Discovery discovery(list);
  Gateway gateway(setup, config_of(list, discovery.port(), ledger_classes()), record);
  Client desk(gateway.port());
  for (int i = 0; i < 30; ++i) {
    const auto id = "usual" + std::to_string(i);
    if (!desk.send(i % 3 == 0 ? write_sql(id, id, "bid-submit", deadline_ms, ",k=" + id)
                              : read_sql(id, id, "history", 1000)))
      throw std::runtime_error("the gateway ended a connection");
    (void)desk.read(3000);
  }
  bids_run = 0;
  int lost = 0;
  int values_cut = 0;
  for (int round = 0; round < rounds; ++round) {
    Client client(gateway.port());
    const auto mark = std::to_string(round);
    std::string commands = query_message(read_sql("long" + mark, "read" + mark, "history", 1000));
    for (int i = 0; i < bids; ++i) {
      const auto id = "bid" + mark + "-" + std::to_string(i);
      commands += query_message(write_sql(id, id, "bid-submit", deadline_ms, ",k=" + id));
    }
    record.line("client sends read", mark, " and ", bids, " bids on one connection");
    if (!client.send_raw(commands)) throw std::runtime_error("cannot send");
    // The value has failed and is not lost if the client can tell that it is not whole.
    const auto value = client.read(5000);
    values_cut += value.kind == Answer::served && value.value.size() == long_value_bytes ? 0 : 1;
    record.line("client: read", mark, ' ', name_of(value.kind), ", ", value.value.size(),
                " bytes of a whole value");
    for (int i = 0; i < bids; ++i) {
      const auto answer = client.read(deadline_ms + 600);
      record.line("client: bid", mark, "-", i, ' ', name_of(answer.kind), ' ', answer.code);
      lost += answer.kind == Answer::ended || answer.kind == Answer::silent ? 1 : 0;
    }
  }
  sleep_ms(300);
  record.line(values_cut, " values not whole; of ", rounds * bids, " bids ", bids_run, " have run, ", lost,
              " were never answered");
  if (setup.trouble && values_cut == 0) throw std::runtime_error("no value was cut off");
  return lost == 0;
}

}  // namespace

int main(int argc, char** argv) { return run_case(argc, argv, rule_held); }

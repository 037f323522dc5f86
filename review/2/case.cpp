// Case 2: a keyed write is sent again after its host has ceased to drop repeats of it.
// Three gateways, three ledger sets of three boxes, the settings of `sapporo-east`. Some bids lose their
// connection 1.12 to 1.18 s after they have run; a third of the new connections to ledger boxes comes up
// late.
#include <cstdio>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "../support/lab.h"
#include "../support/settings.h"

namespace {

constexpr double window_ms = 1200;  // the ledger set drops a repeat for so long
constexpr double slack_ms = 50;     // every time limit on sockets is 50 ms longer
// Several figures, so that some come within the window and the connect timeout on a slower machine too.
constexpr double reset_after_ms[] = {1120, 1150, 1175};
constexpr double late_by_ms[] = {190, 212, 232};
constexpr int sets = 3;
constexpr int gateways = 3;
constexpr double run_ms = 60000;

struct Bid {
  double first_read_at = 0;
  int applied = 0;
  double applied_at = 0;  // last time
  std::string gateway_ids;
};

}  // namespace

int main(int argc, char** argv) {
  if (argc != 4) lab::cannot_run("usage: case RECORD FOLDER TROUBLE");
  const bool trouble = std::string(argv[3]) != "0";
  lab::Loop loop;
  lab::Record record(argv[1]);
  std::mt19937_64 random(47);
  std::map<std::string, Bid> bids;  // by key: the ledger set's memory of keys
  std::set<std::string> cut;        // keys of the bids whose first connection is reset
  int repeats_dropped = 0, late_connections = 0, resets = 0, broken = 0, refused_role = 0;
  double worst_ms = 0;

  const char* zones[] = {"chuo-3f", "kotoni", "shiroishi"};
  std::vector<std::unique_ptr<lab::DbHost>> hosts;
  for (int set = 0; set < sets; ++set)
    for (int member = 0; member < 3; ++member)
      hosts.push_back(std::make_unique<lab::DbHost>(
          loop, "box-" + std::to_string(set) + std::to_string(member), set + 1, zones[member], member == 0));
  bool late_on = false;
  for (const auto& owned : hosts) {
    auto* host = owned.get();
    // A third of the connections: every third one.
    host->late_ms = [&](int number) {
      if (!late_on || number % 3 != 0) return 0.0;
      ++late_connections;
      return late_by_ms[late_connections % 3];
    };
    host->on_query = [&, host](const lab::Query& query) {
      const auto answer = [&, host, query](double after_ms, const std::string& value) {
        ++host->queued;
        loop.after(after_ms, [host, query, value] {
          --host->queued;
          query.link->send(lab::row(value, query.write ? "INSERT 0 1" : "SELECT 1") +
                           host->variables(host->position()) + lab::ready_for_query());
        });
      };
      if (!query.write) return answer(query.class_name == "gate-check" ? 15 : 25, "value-of-" + query.id);
      if (!host->primary) {
        ++refused_role;
        return query.link->send(lab::error("25006", "this is no primary") +
                                host->variables(host->position()) + lab::ready_for_query());
      }
      auto& bid = bids[query.key];
      const double since = bid.applied > 0 ? query.arrived_from - bid.first_read_at : 0;
      if (bid.applied > 0 && since <= window_ms) {
        ++repeats_dropped;
        record.line("%s reads a repeat of key %s after %.1f ms and drops it", host->id.c_str(),
                    query.key.c_str(), since);
        return answer(5, "receipt-" + query.key);
      }
      ++bid.applied;
      bid.applied_at = query.read_at;
      if (bid.applied == 1) bid.first_read_at = query.read_at;
      record.line("%s runs bid %s key %s, time %d, connection %d, wait %.0f", host->id.c_str(),
                  query.id.c_str(), query.key.c_str(), bid.applied, query.connection, query.wait_ms);
      if (bid.applied > 1) {
        const bool counts = since > window_ms + slack_ms;
        record.line("  APPLIED TWICE: %.1f ms after the first one was read whole%s", since,
                    counts ? ": the rule is broken" : " (inside the slack)");
        if (counts) ++broken;
        worst_ms = std::max(worst_ms, since);
      }
      if (trouble && cut.count(query.key) > 0 && bid.applied == 1) {
        ++resets;
        loop.after(reset_after_ms[(resets - 1) / 4 % 3], [&record, host, query] {
          record.line("the connection of bid %s to %s is reset", query.id.c_str(), host->id.c_str());
          query.link->reset();
        });
        return;
      }
      answer(40, "receipt-" + query.key);
    };
  }
  const auto entries = [&] {
    std::string all;
    for (const auto& host : hosts) all += (all.empty() ? "" : ",") + host->entry();
    return all;
  };
  lab::Discovery discovery(loop, entries);
  std::vector<std::unique_ptr<lab::Gateway>> processes;
  std::vector<std::unique_ptr<lab::ClientPool>> clients;
  for (int i = 0; i < gateways; ++i) {
    const auto name = "g" + std::to_string(i);
    processes.push_back(std::make_unique<lab::Gateway>(name, argv[2]));
    auto& process = *processes.back();
    process.write_config(lab::gateway_config(name, process.address, discovery.address,
                                             discovery.list(true, entries()),
                                             lab::sapporo_settings(i, gateways)));
    process.start(discovery.address);
    clients.push_back(std::make_unique<lab::ClientPool>(loop, process.address));
  }
  for (const auto& process : processes) lab::await_ready(loop, process->address);

  std::map<std::string, int> ends;
  const auto ask = [&](int gateway, int set, const std::string& class_name, int wait_ms,
                       const std::string& key) {
    const auto id = lab::hex(random);
    const auto head = "id=" + id + ",c=" + class_name + ",t=ishikari-gen,d=" + std::to_string(wait_ms);
    const auto cell = ",cluster=" + std::to_string(set + 1);
    const auto sql =
        key.empty() ? "SELECT v FROM records WHERE k = '" + lab::hex(random) + "' /* " + head + cell + " */"
                    : "INSERT INTO records (k, v) VALUES ('" + lab::hex(random) +
                          "', '\\x9f03') RETURNING v /* " + head + ",k=" + key + cell + " */";
    if (!key.empty()) record.line("client sends bid %s key %s to g%d", id.c_str(), key.c_str(), gateway);
    clients[static_cast<std::size_t>(gateway)]->query(
        sql, [&record, &ends, id, class_name, key](const lab::Answer& answer) {
          ++ends[class_name + ' ' + lab::name_of(answer.end)];
          if (!key.empty()) record.line("client has bid %s: %s", id.c_str(), lab::name_of(answer.end));
        });
  };
  const double end = lab::now_ms() + run_ms;
  // Usual traffic: 30 requests a second at each gateway.
  std::function<void()> usual = [&] {
    for (int gateway = 0; gateway < gateways; ++gateway) {
      const auto draw = random() % 100;
      const int set = static_cast<int>(random() % sets);
      if (draw < 50)
        ask(gateway, set, "desk-view", 750, "");
      else if (draw < 90)
        ask(gateway, set, "history", 1000, "");
      else if (draw < 94)
        ask(gateway, set, "gate-check", 800, "");
      else
        ask(gateway, set, "bid-submit", 2000, lab::hex(random));
    }
    if (lab::now_ms() < end - 3000) loop.after(33, usual);
  };
  // Before a gate closure four bids come at once; these lose their connections.
  int turn = 0;
  std::function<void()> burst = [&] {
    const int gateway = turn % gateways;
    const int set = (turn / gateways) % sets;
    ++turn;
    for (int i = 0; i < 4; ++i) {
      const auto key = lab::hex(random);
      cut.insert(key);
      ask(gateway, set, "bid-submit", 2000, key);
    }
    if (lab::now_ms() < end - 4000) loop.after(1500, burst);
  };
  loop.after(0, usual);
  loop.after(5000, [&] { late_on = trouble; });
  loop.after(6000, burst);
  loop.run_until(end);
  bool crashed = false;
  for (const auto& process : processes) crashed = process->ended() || crashed;
  for (const auto& [what, count] : ends) record.line("%s: %d", what.c_str(), count);
  int twice = 0;
  for (const auto& [key, bid] : bids) twice += bid.applied > 1 ? 1 : 0;
  char summary[512];
  std::snprintf(
      summary, sizeof summary,
      "%zu bids, %d connections of bids reset, %d of %d connections late, %d repeats dropped, %d bids "
      "applied twice, %d of them over %.0f ms after the first (at most %.1f ms)%s",
      bids.size(), resets, late_connections, lab::DbHost::connections(), repeats_dropped, twice, broken,
      window_ms + slack_ms, worst_ms, crashed ? ", a gateway has ended" : "");
  record.line("%s", summary);
  std::puts(summary);
  if (ends["bid-submit served"] == 0) return 2;
  return broken > 0 ? 1 : 0;
}

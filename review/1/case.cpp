// Case 1: a long statement that has waited for memory is never read on, and holds its memory for good.
// Three gateways with 32 MB, nine ledger boxes, the settings of `sapporo-east`. Bulk clients send five bids
// with long values at once, without waiting for the answers. Later other clients send one such bid each.
#include <cmath>
#include <cstdio>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "../support/lab.h"
#include "../support/settings.h"

namespace {

constexpr int sets = 3;
constexpr int gateways = 3;
constexpr int bulk_clients = 6;                // of each gateway, one after the other
constexpr int at_once = 5;                     // bids of a bulk client
constexpr std::size_t bulk_value = 1000000;    // bytes; as text twice as long
constexpr std::size_t single_value = 1500000;  // of the clients that send one bid alone
constexpr int wait_ms = 2000;                  // the deadline of the class
constexpr double lost_after_ms =
    wait_ms + 500 + 50;  // up to half a second after its time it only earns nothing

struct Asked {
  std::string id, what;
  double sent_at = 0;     // when its client began to write it
  double written_at = 0;  // when its last byte was written to the connection; 0: not yet
  double answered_at = 0;
  lab::End end = lab::End::none;
};

}  // namespace

int main(int argc, char** argv) {
  if (argc != 4) lab::cannot_run("usage: case RECORD FOLDER TROUBLE");
  const bool trouble = std::string(argv[3]) != "0";
  lab::Loop loop;
  lab::Record record(argv[1]);
  std::mt19937_64 random(47);
  const char* zones[] = {"chuo-3f", "kotoni", "shiroishi"};
  std::vector<std::unique_ptr<lab::DbHost>> hosts;
  for (int set = 0; set < sets; ++set)
    for (int member = 0; member < 3; ++member)
      hosts.push_back(std::make_unique<lab::DbHost>(
          loop, "box-" + std::to_string(set) + std::to_string(member), set + 1, zones[member], member == 0));
  for (const auto& owned : hosts) {
    auto* host = owned.get();
    host->on_query = [&, host](const lab::Query& query) {
      if (query.write)
        record.line("%s reads bid %s, %zu bytes", host->id.c_str(), query.id.c_str(), query.sql.size());
      const auto link = query.link;
      const auto value = "value-of-" + query.id;
      const bool write = query.write;
      // Bids that were read within the same 50 ms are committed, and answered, together.
      const double commit_at = 50 * (1 + std::ceil(lab::now_ms() / 50));
      loop.at(write ? commit_at : lab::now_ms() + 25, [host, link, value, write] {
        if (write && !host->primary)
          return link->send(lab::error("25006", "this is no primary") + host->variables(host->position()) +
                            lab::ready_for_query());
        link->send(lab::row(value, write ? "INSERT 0 1" : "SELECT 1") + host->variables(host->position()) +
                   lab::ready_for_query());
      });
    };
  }
  const auto entries = [&] {
    std::string all;
    for (const auto& host : hosts) all += (all.empty() ? "" : ",") + host->entry();
    return all;
  };
  lab::Discovery discovery(loop, entries);
  std::vector<std::unique_ptr<lab::Gateway>> processes;
  std::vector<std::unique_ptr<lab::ClientPool>> pools;
  for (int i = 0; i < gateways; ++i) {
    const auto name = "g" + std::to_string(i);
    processes.push_back(std::make_unique<lab::Gateway>(name, argv[2]));
    auto& process = *processes.back();
    auto config = lab::gateway_config(name, process.address, discovery.address,
                                      discovery.list(true, entries()), lab::sapporo_settings(i, gateways));
    const std::string memory = "\"memory_mb\":192";
    config.replace(config.find(memory), memory.size(), "\"memory_mb\":32");
    process.write_config(config);
    process.start(discovery.address);
    pools.push_back(std::make_unique<lab::ClientPool>(loop, process.address));
  }
  for (const auto& process : processes) lab::await_ready(loop, process->address);

  std::vector<std::shared_ptr<Asked>> bids;
  std::vector<std::shared_ptr<lab::Client>> clients;
  std::map<std::string, int> ends;
  const auto send_bid = [&](const std::shared_ptr<lab::Client>& client, const std::string& what,
                            std::size_t size, const lab::Handler& then) {
    auto one = std::make_shared<Asked>();
    one->id = lab::hex(random);
    one->what = what;
    one->sent_at = lab::now_ms();
    bids.push_back(one);
    const auto tail = " /* id=" + one->id + ",c=bid-submit,t=ishikari-gen,d=" + std::to_string(wait_ms) +
                      ",k=" + lab::hex(random) + ",cluster=" + std::to_string(1 + clients.size() % sets) +
                      " */";
    client->query("INSERT INTO records (k, v) VALUES ('" + lab::hex(random) + "', '\\x" +
                      std::string(2 * size, 'a') + "') RETURNING v" + tail,
                  [one, then](const lab::Answer& answer) {
                    one->end = answer.end;
                    one->answered_at = lab::now_ms();
                    if (then) then();
                  });
    client->when_written([one] { one->written_at = lab::now_ms(); });
  };
  // Usual traffic: 30 short reads a second at each gateway.
  bool end_traffic = false;
  std::function<void()> usual = [&] {
    for (const auto& pool : pools)
      pool->query("SELECT v FROM records WHERE k = '" + lab::hex(random) + "' /* id=" + lab::hex(random) +
                      ",c=history,t=ishikari-gen,d=1000,cluster=" + std::to_string(1 + random() % sets) +
                      " */",
                  [&ends](const lab::Answer& answer) {
                    ++ends[std::string("short reads ") + lab::name_of(answer.end)];
                  });
    if (!end_traffic) loop.after(33, usual);
  };
  loop.after(0, usual);
  loop.run_until(lab::now_ms() + 3000);
  for (int turn = 0; turn < bulk_clients; ++turn) {
    for (const auto& process : processes) {
      clients.push_back(std::make_shared<lab::Client>(loop, process->address));
      const auto client = clients.back();
      const auto what = "bulk client " + std::to_string(clients.size());
      if (trouble) {
        for (int i = 0; i < at_once; ++i) send_bid(client, what, bulk_value, nullptr);
        continue;
      }
      // Without the disruption each bid waits for the answer to the one before.
      auto left = std::make_shared<int>(at_once - 1);
      auto next = std::make_shared<lab::Handler>();
      *next = [&send_bid, client, what, left, next] {
        if ((*left)-- > 0) send_bid(client, what, bulk_value, *next);
      };
      send_bid(client, what, bulk_value, *next);
    }
    loop.run_until(lab::now_ms() + 2000);
  }
  for (int i = 0; i < 5; ++i) {
    for (const auto& process : processes) {
      clients.push_back(std::make_shared<lab::Client>(loop, process->address));
      send_bid(clients.back(), "single client " + std::to_string(clients.size()), single_value, nullptr);
    }
    loop.run_until(lab::now_ms() + 1000);
  }
  loop.run_until(lab::now_ms() + 20000);
  end_traffic = true;
  int written = 0, lost = 0, lost_single = 0;
  bool crashed = false;
  for (const auto& process : processes) crashed = process->ended() || crashed;
  for (const auto& one : bids) {
    ++ends[one->what.substr(0, one->what.find(' ')) + " bids " + lab::name_of(one->end)];
    const bool whole = one->written_at > 0;
    written += whole ? 1 : 0;
    const bool is_lost =
        whole && one->end == lab::End::none && lab::now_ms() - one->written_at > lost_after_ms;
    if (is_lost) ++lost;
    if (is_lost && one->what[0] == 's') ++lost_single;
    record.line("%s, bid %s: last byte written after %.0f ms, %s%s", one->what.c_str(), one->id.c_str(),
                whole ? one->written_at - one->sent_at : -1.0, lab::name_of(one->end),
                is_lost ? (" for " + std::to_string(static_cast<int>(lab::now_ms() - one->written_at)) +
                           " ms: the rule is broken")
                              .c_str()
                        : "");
  }
  for (const auto& [what, count] : ends) record.line("%s: %d", what.c_str(), count);
  char summary[512];
  std::snprintf(
      summary, sizeof summary,
      "%zu long bids, %d written whole, %d of these without an answer over %.0f ms after their last byte "
      "(%d of them of clients that had sent one alone)%s",
      bids.size(), written, lost, lost_after_ms, lost_single, crashed ? ", a gateway has ended" : "");
  record.line("%s", summary);
  std::puts(summary);
  if (ends["short reads served"] == 0) return 2;
  return lost > 0 || crashed ? 1 : 0;
}

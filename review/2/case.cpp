// Case 2: a request that was taken before a new configuration is treated by the class of the new one.
// Three gateways, nine ledger boxes, the settings of `sapporo-east`, with `history` as non_idempotent.
// Clients send many commands at once; just then a new configuration makes the class read_like. Some
// connections to ledger boxes are reset under requests that have begun.
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
constexpr int clients_each = 3;
constexpr int commands = 40;    // of each client, at once
constexpr double lead_ms = 40;  // from the last byte of the commands to SIGHUP
constexpr int rounds = 6;
constexpr double work_ms = 60;
constexpr std::uint64_t reset_one_in = 8;

struct Asked {
  double sent_at = 0;
  double hup_at = 0;  // SIGHUP of its round; 0: none yet
  int runs = 0;
};

}  // namespace

int main(int argc, char** argv) {
  if (argc != 4) lab::cannot_run("usage: case RECORD FOLDER TROUBLE");
  const bool trouble = std::string(argv[3]) != "0";
  lab::Loop loop;
  lab::Record record(argv[1]);
  std::mt19937_64 random(47);
  std::map<std::string, Asked> asked;  // by id
  bool resets_on = false;
  int resets = 0, broken = 0, twice = 0;

  const char* zones[] = {"chuo-3f", "kotoni", "shiroishi"};
  std::vector<std::unique_ptr<lab::DbHost>> hosts;
  for (int set = 0; set < sets; ++set)
    for (int member = 0; member < 3; ++member)
      hosts.push_back(std::make_unique<lab::DbHost>(
          loop, "box-" + std::to_string(set) + std::to_string(member), set + 1, zones[member], member == 0));
  for (const auto& owned : hosts) {
    auto* host = owned.get();
    host->on_query = [&, host](const lab::Query& query) {
      auto& one = asked[query.id];
      ++one.runs;
      record.line("%s runs %s, time %d", host->id.c_str(), query.id.c_str(), one.runs);
      if (one.runs > 1) {
        ++twice;
        const bool counts = one.hup_at > 0 && one.sent_at < one.hup_at;
        record.line("  RUN TWICE: the client had sent it %.1f ms before SIGHUP%s", one.hup_at - one.sent_at,
                    counts ? ", as non_idempotent: the rule is broken" : "");
        if (counts) ++broken;
      }
      if (resets_on && one.runs == 1 && random() % reset_one_in == 0) {
        ++resets;
        loop.after(work_ms, [&record, host, query] {
          record.line("the connection of %s to %s is reset, it has run", query.id.c_str(), host->id.c_str());
          query.link->reset();
        });
        return;
      }
      loop.after(work_ms, [host, query] {
        query.link->send(lab::row("value-of-" + query.id, "SELECT 1") + host->variables(host->position()) +
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
  const auto write_config = [&](int i, bool safe) {
    auto& process = *processes[static_cast<std::size_t>(i)];
    auto settings = lab::sapporo_settings(i, gateways);
    if (!safe) {
      const std::string effect = "read_like";
      settings.replace(settings.find(effect, settings.find("\"history\"")), effect.size(), "non_idempotent");
    }
    process.write_config(lab::gateway_config("g" + std::to_string(i), process.address, discovery.address,
                                             discovery.list(true, entries()), settings));
  };
  for (int i = 0; i < gateways; ++i) {
    processes.push_back(std::make_unique<lab::Gateway>("g" + std::to_string(i), argv[2]));
    write_config(i, false);
    processes.back()->start(discovery.address);
  }
  for (const auto& process : processes) lab::await_ready(loop, process->address);

  std::map<std::string, int> ends;
  std::vector<std::string> this_round;
  const auto ask = [&](lab::Client& client) {
    const auto id = lab::hex(random);
    asked[id].sent_at = lab::now_ms();
    this_round.push_back(id);
    client.query(
        "SELECT v FROM records WHERE k = '" + lab::hex(random) + "' /* id=" + id +
            ",c=history,t=ishikari-gen,d=1000,cluster=" + std::to_string(1 + random() % sets) + " */",
        [&record, &ends, id](const lab::Answer& answer) {
          ++ends[lab::name_of(answer.end)];
          record.line("the client of %s: %s %s", id.c_str(), lab::name_of(answer.end), answer.code.c_str());
        });
  };
  const auto run_for = [&](double ms) { loop.run_until(lab::now_ms() + ms); };
  // Some usual requests first, so that the gateways know the hosts.
  for (int i = 0; i < 15; ++i) {
    for (const auto& process : processes) {
      lab::Client client(loop, process->address);
      ask(client);
      run_for(80);
    }
  }
  resets_on = true;
  for (int round = 0; round < rounds; ++round) {
    this_round.clear();
    std::vector<std::unique_ptr<lab::Client>> clients;
    for (const auto& process : processes)
      for (int i = 0; i < clients_each; ++i) {
        clients.push_back(std::make_unique<lab::Client>(loop, process->address));
        for (int command = 0; command < commands; ++command) ask(*clients.back());
      }
    run_for(lead_ms);
    for (int i = 0; i < gateways; ++i) {
      write_config(i, trouble);
      processes[static_cast<std::size_t>(i)]->signal(SIGHUP);
    }
    for (const auto& id : this_round) asked[id].hup_at = lab::now_ms();
    record.line("SIGHUP to all gateways: history is %s", trouble ? "read_like" : "non_idempotent as before");
    run_for(3000);
    // The configuration of the start again.
    for (int i = 0; i < gateways; ++i) {
      write_config(i, false);
      processes[static_cast<std::size_t>(i)]->signal(SIGHUP);
    }
    record.line("SIGHUP to all gateways: history is non_idempotent");
    run_for(3000);
  }
  bool crashed = false;
  for (const auto& process : processes) crashed = process->ended() || crashed;
  for (const auto& [what, count] : ends) record.line("%s: %d", what.c_str(), count);
  char summary[512];
  std::snprintf(summary, sizeof summary,
                "%zu requests, %d connections reset, %d requests run twice, %d of them sent before SIGHUP as "
                "non_idempotent%s",
                asked.size(), resets, twice, broken, crashed ? ", a gateway has ended" : "");
  record.line("%s", summary);
  std::puts(summary);
  if (ends["served"] == 0 || crashed) return 2;
  return broken > 0 ? 1 : 0;
}

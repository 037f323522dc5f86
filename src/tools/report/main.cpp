// cedarring report: reads the records of gateways and says what they come to.
#include <CLI/CLI.hpp>
#include <fstream>
#include <iostream>

#include "tools/report/contracts.h"
#include "tools/report/requests.h"

int main(int argc, char** argv) {
  using namespace cedarring::report;
  CLI::App app("Reports from gateways' records", "cedarring report");
  std::vector<std::string> files;
  bool json = false, csv = false;
  auto* contracts =
      app.add_subcommand("contracts", "Each team's use against its contract, over all gateways");
  contracts->add_option("RECORDS", files, "Files of records, of one gateway or several")
      ->required()
      ->check(CLI::ExistingFile);
  contracts->add_flag("--json", json, "As JSON");
  contracts->add_flag("--csv", csv, "As comma-separated values")->excludes("--json");
  std::size_t rows = 20;
  auto* requests = app.add_subcommand("requests", "What became of requests, from logs at the level debug");
  requests->add_option("LOGS", files, "Logs of one gateway or several")->required()->check(CLI::ExistingFile);
  requests->add_option("--rows", rows, "Rows of each list, at most");
  app.require_subcommand(1);
  CLI11_PARSE(app, argc, argv);
  if (requests->parsed()) {
    Requests all;
    for (const auto& file : files) {
      std::ifstream in(file);
      merge(in, all);
    }
    std::cout << print(all, rows);
    return 0;
  }
  Merged merged;
  for (const auto& file : files) {
    std::ifstream in(file);
    merge(in, merged);
  }
  std::cout << print(merged, json ? Form::json : csv ? Form::csv : Form::table);
  if (merged.unreadable > 0)
    std::cerr << "cedarring report: " << merged.unreadable << " of " << merged.lines
              << " lines could not be read\n";
  return 0;
}

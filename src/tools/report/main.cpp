// cedarring report: summarizes the decision records and the logs of gateways.
#include <CLI/CLI.hpp>
#include <fstream>
#include <iostream>

#include "tools/report/contracts.h"
#include "tools/report/requests.h"

int main(int argc, char** argv) {
  using namespace cedarring::report;
  CLI::App app("Reports from gateways' records and logs", "cedarring report");
  std::vector<std::string> files;
  bool json = false;
  bool csv = false;
  auto* contracts =
      app.add_subcommand("contracts", "Each team's usage against its contract, over all gateways");
  contracts->add_option("RECORDS", files, "Records files of one gateway or several")
      ->required()
      ->check(CLI::ExistingFile);
  contracts->add_flag("--json", json, "Print JSON");
  contracts->add_flag("--csv", csv, "Print comma-separated values")->excludes("--json");
  std::size_t max_rows = 20;
  auto* requests = app.add_subcommand("requests", "How requests ended, from logs written at the level debug");
  requests->add_option("LOGS", files, "Logs of one gateway or several")->required()->check(CLI::ExistingFile);
  requests->add_option("--rows", max_rows, "Maximum number of rows in each list");
  app.require_subcommand(1);
  CLI11_PARSE(app, argc, argv);
  if (requests->parsed()) {
    RequestReport report;
    for (const auto& file : files) {
      std::ifstream in(file);
      merge(in, report);
    }
    std::cout << print(report, max_rows);
    return 0;
  }
  UsageReport report;
  for (const auto& file : files) {
    std::ifstream in(file);
    merge(in, report);
  }
  std::cout << print(report, json ? OutputFormat::json : csv ? OutputFormat::csv : OutputFormat::table);
  if (report.unreadable > 0)
    std::cerr << "cedarring report: " << report.unreadable << " of " << report.lines
              << " lines could not be read\n";
  return 0;
}

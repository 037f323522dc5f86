// Output of a run: a table for the terminal, JSON for tools, and data with a script for gnuplot.
#pragma once

#include <string>
#include <vector>

#include "tools/rig/rig.h"

namespace cedarring::rig {

/// Returns the q-quantile (`q` from 0 to 1), 0 for an empty vector. Reorders the values.
double quantile(std::vector<float>& values, double q);
/// Returns the table that is printed after a run. Reorders the latencies in the result.
std::string table(const Scenario& scenario, RunResult& result);
/// Returns the contents of result.json. Reorders the latencies in the result.
std::string result_json(const Scenario& scenario, RunResult& result);
/// Writes load.dat, hosts.dat and plot.gp into the folder, and runs gnuplot if it is installed; a failure of
/// gnuplot is ignored.
void write_plots(const Scenario& scenario, const RunResult& result, const std::string& folder);

}  // namespace cedarring::rig

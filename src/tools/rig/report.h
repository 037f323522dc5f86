// What a run came to: a table for people, a JSON file for tools, data and a script for gnuplot.
#pragma once

#include <string>
#include <vector>

#include "tools/rig/rig.h"

namespace cedarring::rig {

/// 0 without any; the order of the values is changed.
double quantile(std::vector<float>& values, double q);
std::string table(const Scenario& s, RunResult& r);
std::string result_json(const Scenario& s, RunResult& r);
/// Writes load.dat, hosts.dat and plot.gp into the folder, and plots where gnuplot can be had.
void write_plots(const Scenario& s, const RunResult& r, const std::string& folder);

}  // namespace cedarring::rig

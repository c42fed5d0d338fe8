#ifndef GENTIAN_BENCH_REPORT_H_
#define GENTIAN_BENCH_REPORT_H_

#include <string>

namespace gentian::bench {

/** Runs all deployments, scenarios, policies and seeds, writes one JSON object
    a result and prints a table and the bounds as met or missed.

    @param only  a scenario to run alone, or empty for all
    @returns     false if the results can not be written
*/
bool RunBenchmark(const std::string& results_file,
                  int threads,
                  const std::string& only);

}  // namespace gentian::bench

#endif  // GENTIAN_BENCH_REPORT_H_

// Compares the scheduling policy with round robin and least loaded in virtual
// time. Usage: gentian_bench RESULTS_FILE [THREADS]
#include <cstdio>
#include <cstdlib>
#include <string>

#include "report.h"

int main(int argc, char** argv) {
  if (argc < 2) {
    std::fprintf(stderr,
                 "usage: gentian_bench RESULTS_FILE [THREADS] [SCENARIO]\n");
    return EXIT_FAILURE;
  }
  const int threads = argc > 2 ? std::atoi(argv[2]) : 4;
  const std::string only = argc > 3 ? argv[3] : "";
  return gentian::bench::RunBenchmark(argv[1], threads, only) ? EXIT_SUCCESS
                                                              : EXIT_FAILURE;
}

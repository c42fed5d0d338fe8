#include "control_traffic.h"

#include <unistd.h>

#include <cstdio>
#include <ctime>
#include <fstream>

#include "support/cluster_rig.h"

namespace gentian {

namespace {

constexpr milliseconds kWarmUp{5'000};
constexpr milliseconds kMeasured{10'000};

double ResidentBytes() {
  std::ifstream file("/proc/self/statm");
  double total = 0;
  double resident = 0;
  file >> total >> resident;
  return resident * static_cast<double>(sysconf(_SC_PAGESIZE));
}

void Measure(int daemons) {
  const double memory_before = ResidentBytes();
  cluster_rig rig(daemons);
  rig.Run(kWarmUp);
  const double memory = ResidentBytes() - memory_before;
  rig.count_traffic = true;
  rig.service_calls = 0;
  const std::clock_t begin = std::clock();
  rig.Run(kMeasured);
  const double cpu = static_cast<double>(std::clock() - begin) / CLOCKS_PER_SEC;
  const double daemon_seconds = daemons * ToSeconds(kMeasured);
  std::printf("%-8d %10.1f %10.0f %12.2f %10.2f %10.1f\n", daemons,
              static_cast<double>(rig.sent_messages) / daemon_seconds,
              static_cast<double>(rig.sent_bytes) / daemon_seconds,
              static_cast<double>(rig.service_calls) / daemon_seconds,
              100 * cpu / daemon_seconds, memory / daemons / 1024);
  std::fflush(stdout);
}

}  // namespace

void MeasureControlTraffic() {
  std::printf("\ncluster part in one process, each daemon:\n");
  std::printf("%-8s %10s %10s %12s %10s %10s\n", "daemons", "messages/s",
              "bytes/s", "kv calls/s", "core %", "KiB");
  for (const int daemons : {7, 20, 60, 180}) {
    Measure(daemons);
  }
}

}  // namespace gentian

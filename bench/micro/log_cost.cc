#include "log_cost.h"

#include <fcntl.h>
#include <unistd.h>

#include <cstdio>
#include <ctime>
#include <string>

#include "gentian_log/gentian_log.h"

namespace gentian {

namespace {

constexpr int kRequests = 50'000;

// As long as the lines of a turn that went well.
json EndFields(int number) {
  return {{"request", "f95ef9918ea0ce86"},
          {"program", "dd4b2b163e4e25" + std::to_string(number)},
          {"outcome", "answered"},
          {"target", "i-d2d8f56016"},
          {"chosen_by", "owner"},
          {"owner", "10.1.0.30:7260"},
          {"route", "r-jhwkguh"},
          {"service", "gora57a"},
          {"team", "kazi202"},
          {"retry_reason", ""},
          {"budget", 15'100},
          {"most", 589},
          {"sends", 1},
          {"runs", 1},
          {"status", 200},
          {"events", 31},
          {"first_event_ms", 30},
          {"members", 6},
          {"configuration", 20},
          {"configuration_age_ms", 482},
          {"load_age_ms", 279},
          {"target_running", 11},
          {"target_waiting", 0},
          {"time_left_ms", 2'548},
          {"duration_ms", 1'441}};
}

double Seconds() {
  return static_cast<double>(std::clock()) / CLOCKS_PER_SEC;
}

// The writer's thread counts too.
double MicrosecondsPerRequest(const char* level, bool sampled) {
  if (Failed(StartLog(level, "front-1", log_output::standard_output))) {
    return -1;
  }
  const double start = Seconds();
  for (int i = 0; i < kRequests; ++i) {
    const auto fields = [i] { return EndFields(i); };
    for (const char* message : {"turn decided", "request ended"}) {
      if (sampled) {
        LogRoutine("program-" + std::to_string(i), message, fields);
      } else {
        Log(log_level::info, message, fields());
      }
    }
  }
  StopLog();
  return (Seconds() - start) * 1e6 / kRequests;
}

}  // namespace

void MeasureLogCost() {
  std::fflush(stdout);
  const int output = ::dup(STDOUT_FILENO);
  const int nowhere = ::open("/dev/null", O_WRONLY);
  ::dup2(nowhere, STDOUT_FILENO);
  const double off = MicrosecondsPerRequest("error", false);
  const double whole = MicrosecondsPerRequest("info", false);
  const double sampled = MicrosecondsPerRequest("info", true);
  ::dup2(output, STDOUT_FILENO);
  ::close(output);
  ::close(nowhere);
  std::printf(
      "log, two lines a request: off %.1f us, whole %.1f us, sampled %.1f us\n",
      off, whole, sampled);
}

}  // namespace gentian

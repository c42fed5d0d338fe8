#include "gentian_app/startup_wait.h"

#include <thread>

#include "gentian_app/process_signals.h"
#include "gentian_log/gentian_log.h"

namespace gentian {

namespace {

constexpr milliseconds kRetryInterval{50};
constexpr milliseconds kReportInterval{1'000};

}  // namespace

result<success> RetryUntilReady(
    milliseconds limit,
    const std::function<result<success>()>& attempt) {
  const steady_time begin = BootTimeNow();
  steady_time next_report = begin;
  while (true) {
    result<success> outcome = attempt();
    const steady_time now = BootTimeNow();
    if (!Failed(outcome)) {
      if (next_report > begin) {
        Log(log_level::info, "start goes on",
            {{"waited_ms", ToMilliseconds(now - begin).count()}});
      }
      return outcome;
    }
    if (ErrorOf(outcome).kind != error_kind::unavailable || IsStopHeld() ||
        now - begin >= limit) {
      return outcome;
    }
    if (now >= next_report) {
      next_report = now + kReportInterval;
      Log(log_level::warning, "start waits",
          {{"reason", ErrorOf(outcome).message},
           {"remedy", ErrorOf(outcome).remedy},
           {"waited_ms", ToMilliseconds(now - begin).count()},
           {"limit_ms", limit.count()}});
    }
    std::this_thread::sleep_for(kRetryInterval);
  }
}

error NoResources(const std::exception& failure) {
  return error{error_kind::internal,
               std::string("the process could not start: ") + failure.what(),
               "give it more memory, threads or descriptors"};
}

}  // namespace gentian

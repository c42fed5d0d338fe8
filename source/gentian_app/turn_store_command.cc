#include <csignal>

#include "gentian_app/platform_process.h"
#include "gentian_app/subcommand.h"
#include "gentian_daemon/gentian_daemon.h"
#include "gentian_log/gentian_log.h"
#include "gentian_turn_daemon/gentian_turn_daemon.h"
#include "platform/platform.h"

namespace gentian {

namespace {

constexpr platform_command kTurnStore{
    "turn-store",
    "Keeps turns on the disk of a host of the users' platform, as its settings "
    "file says"};

int RunTurnStore(const turn_store_settings& settings) {
  std::signal(SIGPIPE, SIG_IGN);
  const result<success> logging =
      StartLog("info", settings.host, log_output::standard_output);
  if (Failed(logging)) {
    return FailToRun(kTurnStore, ErrorOf(logging));
  }
  const std::string incarnation =
      settings.host + "-" +
      std::to_string(BootTimeNow().time_since_epoch().count());
  io_pool pool(1, &LogException);
  metadata_store store(pool, settings.key_value_address);
  const platform_protocol protocol;
  turn_store_daemon daemon(pool, store, protocol, settings, incarnation);
  const result<success> started = daemon.Start();
  if (Failed(started)) {
    pool.Stop();
    return FailToRun(kTurnStore, ErrorOf(started));
  }
  Log(log_level::info, "started",
      {{"version", Version()},
       {"address", settings.address},
       {"failure_domain", settings.failure_domain},
       {"first_start", settings.first_start},
       {"tolerated_losses", settings.tolerated_losses}});
  RunUntilStopped(pool, [&daemon](std::function<void()> done) {
    daemon.Stop(std::move(done));
  });
  return 0;
}

}  // namespace

int RunTurnStoreCommand(int argc, char** argv) {
  return RunPlatformCommand<turn_store_settings>(
      kTurnStore, argc, argv, &ParseTurnStoreFile, &RunTurnStore);
}

}  // namespace gentian

#include <csignal>

#include "gentian_app/platform_process.h"
#include "gentian_app/subcommand.h"
#include "gentian_daemon/gentian_daemon.h"
#include "gentian_gateway_daemon/gentian_gateway_daemon.h"
#include "gentian_log/gentian_log.h"
#include "platform/platform.h"

namespace gentian {

namespace {

constexpr platform_command kGateway{
    "gateway",
    "Runs a daemon on the users' platform, as its settings file says"};

int RunGateway(const gateway_settings& settings) {
  std::signal(SIGPIPE, SIG_IGN);
  const result<success> logging =
      StartLog("info", settings.host, log_output::standard_output);
  if (Failed(logging)) {
    return FailToRun(kGateway, ErrorOf(logging));
  }
  const std::string incarnation =
      settings.host + "-" +
      std::to_string(BootTimeNow().time_since_epoch().count());
  io_pool pool(1, &LogException);
  metadata_store store(pool, settings.key_value_address);
  const platform_protocol protocol;
  gateway_daemon daemon(pool, store, protocol, settings, incarnation);
  const result<success> started = daemon.Start();
  if (Failed(started)) {
    pool.Stop();
    return FailToRun(kGateway, ErrorOf(started));
  }
  Log(log_level::info, "started",
      {{"version", Version()},
       {"caller_address", settings.caller_address},
       {"failure_domain", settings.failure_domain},
       {"incarnation", incarnation}});
  RunUntilStopped(pool, [&daemon](std::function<void()> done) {
    daemon.Stop(std::move(done));
  });
  return 0;
}

}  // namespace

int RunGatewayCommand(int argc, char** argv) {
  return RunPlatformCommand<gateway_settings>(kGateway, argc, argv,
                                              &ParseNodeFile, &RunGateway);
}

}  // namespace gentian

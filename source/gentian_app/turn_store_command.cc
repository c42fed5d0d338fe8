#include "gentian_app/platform_process.h"
#include "gentian_app/subcommand.h"
#include "gentian_daemon/gentian_daemon.h"
#include "gentian_turn_daemon/gentian_turn_daemon.h"
#include "platform/platform.h"

namespace gentian {

namespace {

constexpr platform_command kTurnStore{
    "turn-store",
    "Keeps turns on the disk of a host of the users' platform, as its settings "
    "file says"};

json DescribeStart(const turn_store_settings& settings, const std::string&) {
  return {{"version", Version()},
          {"address", settings.address},
          {"failure_domain", settings.failure_domain},
          {"first_start", settings.first_start},
          {"tolerated_losses", settings.tolerated_losses}};
}

int RunTurnStore(const turn_store_settings& settings) {
  return RunPlatformDaemon<turn_store_daemon>(kTurnStore, settings,
                                              &DescribeStart);
}

}  // namespace

int RunTurnStoreCommand(int argc, char** argv) {
  return RunPlatformCommand<turn_store_settings>(
      kTurnStore, argc, argv, &ParseTurnStoreFile, &RunTurnStore);
}

}  // namespace gentian

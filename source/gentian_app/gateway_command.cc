#include "gentian_app/platform_process.h"
#include "gentian_app/subcommand.h"
#include "gentian_daemon/gentian_daemon.h"
#include "gentian_gateway_daemon/gentian_gateway_daemon.h"
#include "platform/platform.h"

namespace gentian {

namespace {

constexpr platform_command kGateway{
    "gateway",
    "Runs a daemon on the users' platform, as its settings file says", true};

json DescribeStart(const gateway_settings& settings,
                   const std::string& incarnation) {
  return {{"version", Version()},
          {"caller_address", settings.caller_address},
          {"failure_domain", settings.failure_domain},
          {"incarnation", incarnation}};
}

int RunGateway(const gateway_settings& settings) {
  return RunPlatformDaemon<gateway_daemon>(kGateway, settings, &DescribeStart);
}

}  // namespace

int RunGatewayCommand(int argc, char** argv) {
  return RunPlatformCommand<gateway_settings>(kGateway, argc, argv,
                                              &ParseNodeFile, &RunGateway);
}

}  // namespace gentian

#include <cxxopts.hpp>
#include <iomanip>
#include <iostream>
#include <sstream>

#include "gentian_app/crash_report.h"
#include "gentian_app/dev_environment.h"
#include "gentian_app/process_signals.h"
#include "gentian_app/startup_wait.h"
#include "gentian_app/subcommand.h"
#include "gentian_daemon/gentian_daemon.h"
#include "gentian_log/gentian_log.h"

namespace gentian {

namespace {

constexpr unsigned kIoThreads = 2;
// Time for the end of a daemon that was just stopped.
constexpr milliseconds kAddressLimit{2'000};
constexpr const char* kUnusedPeerAddress = "127.0.0.1:1";
constexpr const char* kUnboundAddress = "127.0.0.1:2";

std::string NewKey() {
  system_random random;
  std::ostringstream text;
  text << std::hex << std::setfill('0');
  for (int i = 0; i < 4; ++i) {
    text << std::setw(16) << random.Next();
  }
  return text.str();
}

int Fail(const error& reason) {
  std::cerr << "gentianrun dev: " << reason.message << "; " << reason.remedy
            << "\n";
  return 1;
}

int Run(const std::string& address, const std::string& log_level) {
  const result<success> logging = StartLog(log_level, "dev");
  if (Failed(logging)) {
    return Fail(ErrorOf(logging));
  }
  io_pool pool(kIoThreads, &LogException);
  dev_environment environment(pool);
  const result<success> fakes = environment.Start();
  if (Failed(fakes)) {
    return Fail(ErrorOf(fakes));
  }
  const std::string key = NewKey();
  daemon_settings settings;
  settings.host = host_id("dev");
  settings.failure_domain = failure_domain_id("dev");
  // The daemon replaces it by the address that it is bound to.
  settings.caller_address = kUnboundAddress;
  // Required by the settings; the only daemon has no peers.
  settings.peer_address = kUnusedPeerAddress;
  http_target_gateway targets(pool);
  etcd_key_value_store key_values(pool,
                                  environment.AddressOf("key-value service"));
  http_host_list hosts(pool, environment.AddressOf("host list"));
  daemon_options options;
  options.host = settings.host;
  options.failure_domain = settings.failure_domain;
  options.caller_address = address;
  const settings_tree tree = environment.MakeSettings(key, settings);
  const auto built = BuildConfiguration(tree, 1);
  if (const auto* problems =
          std::get_if<std::vector<settings_problem>>(&built)) {
    for (const settings_problem& problem : *problems) {
      std::cerr << "gentianrun dev: " << ToString(problem) << "\n";
    }
    return 1;
  }
  daemon subject(options,
                 initial_settings(std::get<configuration>(built), tree,
                                  BuildConfiguration),
                 pool, daemon_platform{&key_values, &targets, &hosts});
  const io_pool_stop stop_first(pool);
  const result<success> started =
      RetryUntilReady(kAddressLimit, [&subject] { return subject.Start(); });
  if (Failed(started)) {
    pool.Stop();
    return IsStopHeld() ? 0 : Fail(ErrorOf(started));
  }
  // SIGHUP comes when the terminal closes.
  terminal_stop stop([&subject] { subject.RequestStop(); });
  const signal_watch signals(pool,
                             [&stop](int number) { stop.OnSignal(number); });
  std::cout << "address: http://" << subject.caller_address() << "\n"
            << "key: " << key << "\n"
            << "team: dev\nprogram: assistant\n";
  for (const auto& [name, served] : environment.Addresses()) {
    std::cout << name << ": http://" << served << "\n";
  }
  std::cout << "ready" << std::endl;
  const result<success> stopped = subject.WaitUntilStopped();
  // Handlers that still wait refer to the daemon.
  pool.Stop();
  if (Failed(stopped)) {
    return Fail(ErrorOf(stopped));
  }
  std::cout << "stopped" << std::endl;
  return 0;
}

}  // namespace

int RunDev(int argc, char** argv) {
  cxxopts::Options options("gentianrun dev",
                           "One daemon with fakes of all outside systems");
  options.add_options()(
      "address", "ip:port for callers",
      cxxopts::value<std::string>()->default_value("127.0.0.1:8080"))(
      "log-level", "debug, info, warning or error",
      cxxopts::value<std::string>()->default_value("warning"))(
      "h,help", "Show this help")("version", "Show the version");
  try {
    const auto parsed = options.parse(argc, argv);
    if (parsed.count("help") > 0) {
      std::cout << options.help();
      return 0;
    }
    if (parsed.count("version") > 0) {
      std::cout << "gentianrun " << Version() << "\n";
      return 0;
    }
    return Run(parsed["address"].as<std::string>(),
               parsed["log-level"].as<std::string>());
  } catch (const cxxopts::exceptions::exception& failure) {
    std::cerr << "gentianrun dev: " << failure.what()
              << "; see gentianrun dev --help\n";
    return 2;
  } catch (const std::exception& failure) {
    return Fail(NoResources(failure));
  }
}

}  // namespace gentian

#include <csignal>
#include <cxxopts.hpp>
#include <iostream>

#include "gentian_adapters/gentian_adapters.h"
#include "gentian_app/crash_report.h"
#include "gentian_app/platform_process.h"
#include "gentian_app/process_signals.h"
#include "gentian_app/startup_wait.h"
#include "gentian_app/subcommand.h"
#include "gentian_app/text_file.h"
#include "gentian_core/process_usage.h"
#include "gentian_daemon/daemon_file.h"
#include "gentian_daemon/gentian_daemon.h"
#include "gentian_log/gentian_log.h"

namespace gentian {

namespace {

constexpr unsigned kIoThreads = 2;
// Time for the end of a daemon that passed the deadline of its stop.
constexpr milliseconds kPredecessorMargin{10'000};

int Fail(const error& reason) {
  std::cerr << "gentianrun serve: " << reason.message << "; " << reason.remedy
            << "\n";
  return 1;
}

int RunDaemon(const daemon_options& options) {
  const result<success> logging =
      StartLog(options.log_level, options.host.text());
  if (Failed(logging)) {
    return Fail(ErrorOf(logging));
  }
  Log(log_level::info, "starting", {{"version", Version()}});
  io_pool pool(kIoThreads, &LogException);
  constexpr std::size_t kMegabyte = 1024 * 1024;
  BoundMemory(pool, options.memory_mb > 0 ? options.memory_mb * kMegabyte
                                          : HostMemory());
  etcd_key_value_store key_values(pool, options.key_value_address);
  http_target_gateway targets(pool);
  http_host_list hosts(pool, options.host_list_address);
  daemon_platform platform{&key_values, &targets, &hosts};
  if (options.host_list_address.empty()) {
    platform.hosts = nullptr;
  }
  daemon subject(options, initial_settings(configuration()), pool, platform);
  const io_pool_stop stop_first(pool);
  const result<success> started =
      RetryUntilReady(options.stop_deadline + kPredecessorMargin,
                      [&subject] { return subject.Start(); });
  if (Failed(started)) {
    pool.Stop();
    return IsStopHeld() ? 0 : Fail(ErrorOf(started));
  }
  terminal_stop stop([&subject] { subject.RequestStop(); });
  const signal_watch signals(pool, [&stop](int number) {
    if (number == SIGHUP) {
      Log(log_level::info, "settings kept",
          {{"remedy", "change them with gentianrun admin"}});
    } else {
      stop.OnSignal(number);
    }
  });
  Log(log_level::info, "daemon started",
      {{"caller_address", subject.caller_address()}});
  const result<success> stopped = subject.WaitUntilStopped();
  // Handlers that still wait refer to the daemon.
  pool.Stop();
  if (Failed(stopped)) {
    return Fail(ErrorOf(stopped));
  }
  Log(log_level::info, "daemon stopped");
  return 0;
}

int ReadAndRun(const std::string& file) {
  const result<std::string> text = ReadTextFile(file);
  if (Failed(text)) {
    return Fail(ErrorOf(text));
  }
  const auto parsed = ParseDaemonFile(ValueOf(text), file);
  if (const auto* problems =
          std::get_if<std::vector<settings_problem>>(&parsed)) {
    for (const settings_problem& problem : *problems) {
      std::cerr << problem.file << ":" << problem.line << ": ["
                << problem.section << "] " << problem.key << ": "
                << problem.reason << "; " << problem.remedy << "\n";
    }
    return 1;
  }
  return RunDaemon(std::get<daemon_options>(parsed));
}

}  // namespace

int RunServe(int argc, char** argv) {
  cxxopts::Options options("gentianrun serve",
                           "Runs a daemon as its settings file describes it");
  options.add_options()("settings", "the daemon's settings file",
                        cxxopts::value<std::string>())(
      "h,help", "Show this help")("version", "Show the version");
  options.parse_positional({"settings"});
  options.positional_help("FILE");
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
    if (parsed.count("settings") == 0) {
      std::cerr << "gentianrun serve: no settings file; "
                   "see gentianrun serve --help\n";
      return 2;
    }
    return ReadAndRun(parsed["settings"].as<std::string>());
  } catch (const cxxopts::exceptions::exception& failure) {
    std::cerr << "gentianrun serve: " << failure.what()
              << "; see gentianrun serve --help\n";
    return 2;
  } catch (const std::exception& failure) {
    return Fail(NoResources(failure));
  }
}

}  // namespace gentian

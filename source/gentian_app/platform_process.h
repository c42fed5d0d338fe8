#ifndef GENTIAN_APP_PLATFORM_PROCESS_H_
#define GENTIAN_APP_PLATFORM_PROCESS_H_

#include <cstddef>
#include <exception>
#include <functional>
#include <iostream>
#include <optional>
#include <string>
#include <type_traits>
#include <utility>

#include "gentian_app/crash_report.h"
#include "gentian_app/pool_call.h"
#include "gentian_app/process_signals.h"
#include "gentian_app/startup_wait.h"
#include "gentian_app/text_file.h"
#include "gentian_gateway_daemon/gentian_gateway_daemon.h"
#include "gentian_log/gentian_log.h"
#include "platform/platform.h"

namespace gentian {

/** A subcommand that runs as the platform's settings file says. */
struct platform_command {
  /** As in `gentianrun gateway`. */
  const char* name;
  const char* summary;
  /** It has the options for failure domains. */
  bool has_domain_options = false;
};

namespace detail {

/** The command line of a platform_command. */
struct platform_options {
  std::string settings_path;
  /** Only check the settings. */
  bool check = false;
  domain_options domains;
};

/** Adds what the command line says to settings that have a place for it. */
template <typename Settings>
void ApplyOptions(const platform_options& options, Settings& settings) {
  if constexpr (std::is_same_v<Settings, gateway_settings>) {
    settings.domains = options.domains;
  }
}

/** For a settings file that is being written. */
constexpr milliseconds kSettingsLimit{10'000};
/** For the end of a process that was killed at the end of its grace. */
constexpr milliseconds kPredecessorMargin{2'000};

/** Parses the command line, or answers it.

    @returns  the exit status if there is nothing more to do */
std::optional<int> ParsePlatformOptions(const platform_command& command,
                                        int argc,
                                        char** argv,
                                        platform_options& options);

/** Has the allocator use little address space, and give freed buffers back to
    the host. Precondition: there is one thread. */
void BoundAllocator();

}  // namespace detail

/** Reports an error that keeps the process from running, and waits, so that a
    supervisor doesn't start it again several times a second. If a signal to
    stop is held, it only reports that.

    @returns  the exit status */
int FailToRun(const platform_command& command, const error& reason);

/** Logs that the process starts, with the limits that the host sets for it. */
void LogStarting(const platform_command& command);

/** Leaves a share of the memory of the process for messages of its peers.

    @param memory  in bytes; 0 if it is not known */
void BoundMemory(io_pool& pool, std::size_t memory);

/** Runs until a signal to stop has been handled, then stops the pool.

    @param stop  stops the daemon and calls its argument once that is done */
void RunUntilStopped(io_pool& pool,
                     const std::function<void(std::function<void()>)>& stop);

/** Runs a daemon until it is stopped.

    @param describe  fields of the line that is logged after the start
    @returns         the exit status */
template <typename Daemon, typename Settings>
int RunPlatformDaemon(const platform_command& command,
                      const Settings& settings,
                      json (*describe)(const Settings& settings,
                                       const std::string& incarnation)) {
  const result<success> logging =
      StartLog("info", settings.host, log_output::standard_output);
  if (Failed(logging)) {
    return FailToRun(command, ErrorOf(logging));
  }
  LogStarting(command);
  const std::string incarnation =
      settings.host + "-" +
      std::to_string(BootTimeNow().time_since_epoch().count());
  io_pool pool(1, &LogException);
  BoundMemory(pool, settings.memory);
  metadata_store store(pool, settings.key_value_address);
  const platform_protocol protocol;
  Daemon daemon(pool, store, protocol, settings, incarnation);
  const io_pool_stop stop_first(pool);
  const result<success> started =
      RetryUntilReady(settings.stop_grace + detail::kPredecessorMargin, [&] {
        // As everything later runs.
        return RunOnPool(pool, [&daemon] { return daemon.Start(); });
      });
  if (Failed(started)) {
    pool.Stop();
    return FailToRun(command, ErrorOf(started));
  }
  Log(log_level::info, "started", describe(settings, incarnation));
  RunUntilStopped(pool, [&daemon](std::function<void()> done) {
    daemon.Stop(std::move(done));
  });
  return 0;
}

/** Reads the settings that the platform wrote, and runs with them.

    @param parse  parses the text of the file with the given path
    @param run    returns the exit status */
template <typename Settings>
int RunPlatformCommand(const platform_command& command,
                       int argc,
                       char** argv,
                       result<Settings> (*parse)(const std::string& text,
                                                 const std::string& path),
                       int (*run)(const Settings& settings)) {
  detail::platform_options options;
  if (const std::optional<int> status =
          detail::ParsePlatformOptions(command, argc, argv, options)) {
    return *status;
  }
  const auto read = [&]() -> result<Settings> {
    const result<std::string> text = ReadTextFile(options.settings_path);
    if (Failed(text)) {
      return ErrorOf(text);
    }
    result<Settings> parsed = parse(ValueOf(text), options.settings_path);
    if (!Failed(parsed)) {
      detail::ApplyOptions(options, ValueOf(parsed));
    }
    return parsed;
  };
  result<Settings> settings = read();
  if (options.check) {
    std::cout << (Failed(settings) ? ErrorOf(settings).message : "valid")
              << "\n";
    return Failed(settings) ? 1 : 0;
  }
  try {
    detail::BoundAllocator();
    if (Failed(settings)) {
      // The name of the host stands in the settings.
      StartLog("info", "", log_output::standard_output);
      RetryUntilReady(detail::kSettingsLimit, [&]() -> result<success> {
        settings = read();
        if (!Failed(settings)) {
          return success{};
        }
        error waiting = ErrorOf(settings);
        waiting.kind = error_kind::unavailable;
        return waiting;
      });
    }
    return Failed(settings) ? FailToRun(command, ErrorOf(settings))
                            : run(ValueOf(settings));
  } catch (const std::exception& failure) {
    return FailToRun(command, NoResources(failure));
  }
}

}  // namespace gentian

#endif  // GENTIAN_APP_PLATFORM_PROCESS_H_

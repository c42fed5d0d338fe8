#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <csignal>
#include <cxxopts.hpp>
#include <future>
#include <iostream>
#include <thread>

#include "gentian_app/subcommand.h"
#include "gentian_app/text_file.h"
#include "gentian_daemon/gentian_daemon.h"
#include "gentian_gateway_daemon/gentian_gateway_daemon.h"
#include "gentian_log/gentian_log.h"
#include "platform/platform.h"

namespace gentian {

namespace {

// Time before a process with unusable settings ends, so that a supervisor that
// starts it again does not do so several times a second.
constexpr std::chrono::seconds kPauseAfterError{2};

int Fail(const error& reason) {
  std::cerr << "gentianrun gateway: " << reason.message << "; " << reason.remedy
            << "\n";
  std::this_thread::sleep_for(kPauseAfterError);
  return 1;
}

result<gateway_settings> ReadSettings(const std::string& path) {
  const result<std::string> text = ReadTextFile(path);
  if (Failed(text)) {
    return ErrorOf(text);
  }
  return ParseNodeFile(ValueOf(text), path);
}

// Runs until a signal to stop has been handled. Settings do not change while a
// process runs, so a request to read them again is only logged.
void WaitForSignals(io_pool& pool,
                    const std::function<void(std::function<void()>)>& stop) {
  std::promise<void> stopped;
  boost::asio::signal_set signals(pool.context(), SIGTERM, SIGINT, SIGHUP);
  std::function<void(boost::system::error_code, int)> on_signal =
      [&](boost::system::error_code failure, int signal) {
        if (failure) {
          return;
        }
        if (signal == SIGHUP) {
          Log(log_level::info, "settings kept",
              {{"reason", "addresses are fixed while the process runs"}});
        } else {
          stop([&stopped] { stopped.set_value(); });
        }
        signals.async_wait(on_signal);
      };
  signals.async_wait(on_signal);
  stopped.get_future().wait();
  pool.Stop();
}

int RunGateway(const gateway_settings& settings) {
  std::signal(SIGPIPE, SIG_IGN);
  const result<success> logging =
      StartLog("info", settings.host, log_output::standard_output);
  if (Failed(logging)) {
    return Fail(ErrorOf(logging));
  }
  const std::string incarnation =
      settings.host + "-" +
      std::to_string(BootTimeNow().time_since_epoch().count());
  io_pool pool(1);
  metadata_store store(pool, settings.key_value_address);
  const platform_protocol protocol;
  gateway_daemon daemon(pool, store, protocol, settings, incarnation);
  const result<success> started = daemon.Start();
  if (Failed(started)) {
    pool.Stop();
    return Fail(ErrorOf(started));
  }
  Log(log_level::info, "started",
      {{"version", Version()},
       {"caller_address", settings.caller_address},
       {"failure_domain", settings.failure_domain},
       {"incarnation", incarnation}});
  WaitForSignals(pool, [&daemon](std::function<void()> done) {
    daemon.Stop(std::move(done));
  });
  return 0;
}

// Hosts with disks take part in nothing: what has to last lies in the
// platform's key-value service.
int RunIdle(const gateway_settings& settings) {
  const result<success> logging =
      StartLog("info", settings.host, log_output::standard_output);
  if (Failed(logging)) {
    return Fail(ErrorOf(logging));
  }
  Log(log_level::info, "started", {{"version", Version()}});
  io_pool pool(1);
  WaitForSignals(pool, [](const std::function<void()>& done) {
    Log(log_level::info, "stopped");
    done();
  });
  return 0;
}

}  // namespace

int RunGatewayCommand(int argc, char** argv) {
  cxxopts::Options options(
      "gentianrun gateway",
      "Runs a daemon on the users' platform, as its settings file says");
  options.add_options()("settings", "the settings file that the platform wrote",
                        cxxopts::value<std::string>())(
      "idle", "hold nothing and serve nothing, for a host with a disk")(
      "check", "check the settings file and end")("h,help", "Show this help");
  try {
    const auto parsed = options.parse(argc, argv);
    if (parsed.count("help") > 0) {
      std::cout << options.help();
      return 0;
    }
    const std::string path = parsed.count("settings") > 0
                                 ? parsed["settings"].as<std::string>()
                                 : NodeFilePath();
    const result<gateway_settings> settings = ReadSettings(path);
    if (parsed.count("check") > 0) {
      std::cout << (Failed(settings) ? ErrorOf(settings).message : "valid")
                << "\n";
      return Failed(settings) ? 1 : 0;
    }
    if (Failed(settings)) {
      return Fail(ErrorOf(settings));
    }
    return parsed.count("idle") > 0 ? RunIdle(ValueOf(settings))
                                    : RunGateway(ValueOf(settings));
  } catch (const cxxopts::exceptions::exception& failure) {
    std::cerr << "gentianrun gateway: " << failure.what()
              << "; see gentianrun gateway --help\n";
    return 2;
  }
}

}  // namespace gentian

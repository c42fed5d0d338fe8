#include "gentian_app/platform_process.h"

#include <malloc.h>
#include <sys/resource.h>
#include <unistd.h>

#include <array>
#include <csignal>
#include <cstdint>
#include <cxxopts.hpp>
#include <future>
#include <thread>

#include "gentian_daemon/version.h"

namespace gentian {

namespace {

// Time before a process with unusable settings ends.
constexpr std::chrono::seconds kPauseAfterError{2};
constexpr milliseconds kStopPollInterval{50};
// The rest is for the state of the process, for copies of messages on their
// way, for small messages and for what the kernel buffers.
constexpr std::size_t kMessageMemoryShare = 4;
// Buffers of this size in bytes, and larger ones, go back to the kernel when
// they are freed.
constexpr int kLargeBuffer = 128 * 1024;

// No request is worth waiting longer for.
constexpr milliseconds kMaxDistancePrice{600'000};

struct domain_mode_row {
  const char* name;
  own_domain_mode mode;
};

constexpr std::array<domain_mode_row, 3> kDomainModes = {
    {{"auto", own_domain_mode::automatic},
     {"on", own_domain_mode::on},
     {"off", own_domain_mode::off}}};

bool ReadDomainOptions(const std::string& mode,
                       std::int64_t price_ms,
                       domain_options& read) {
  for (const domain_mode_row& row : kDomainModes) {
    if (mode == row.name && price_ms >= 0 &&
        price_ms <= kMaxDistancePrice.count()) {
      read = {row.mode, milliseconds(price_ms)};
      return true;
    }
  }
  return false;
}

struct limit_row {
  decltype(RLIMIT_AS) resource;
  const char* field;
};

// In bytes, but for the descriptors.
constexpr std::array<limit_row, 4> kHostLimits = {
    {{RLIMIT_AS, "limit_address_space"},
     {RLIMIT_DATA, "limit_data"},
     {RLIMIT_FSIZE, "limit_file_size"},
     {RLIMIT_NOFILE, "limit_descriptors"}}};

}  // namespace

std::optional<int> detail::ParsePlatformOptions(const platform_command& command,
                                                int argc,
                                                char** argv,
                                                platform_options& parsed) {
  const std::string name = std::string("gentianrun ") + command.name;
  cxxopts::Options options(name, command.summary);
  options.add_options()("settings", "the settings file that the platform wrote",
                        cxxopts::value<std::string>())(
      "check", "check the settings file and end")("h,help", "Show this help");
  if (command.has_domain_options) {
    options.add_options()(
        "own-domain-first",
        "auto, on or off: keep requests in the own failure domain; auto does "
        "so for services whose targets report a pace",
        cxxopts::value<std::string>()->default_value("auto"))(
        "distance-price-ms",
        "time at which a request that leaves its failure domain is valued",
        cxxopts::value<std::int64_t>()->default_value(
            std::to_string(domain_options{}.price.count())));
  }
  try {
    const auto given = options.parse(argc, argv);
    if (given.count("help") > 0) {
      std::cout << options.help();
      return 0;
    }
    parsed.settings_path = given.count("settings") > 0
                               ? given["settings"].as<std::string>()
                               : NodeFilePath();
    parsed.check = given.count("check") > 0;
    if (command.has_domain_options &&
        !ReadDomainOptions(given["own-domain-first"].as<std::string>(),
                           given["distance-price-ms"].as<std::int64_t>(),
                           parsed.domains)) {
      std::cerr << name
                << ": --own-domain-first is auto, on or off, and "
                   "--distance-price-ms from 0 to "
                << kMaxDistancePrice.count() << "; see " << name << " --help\n";
      return 2;
    }
    return std::nullopt;
  } catch (const cxxopts::exceptions::exception& failure) {
    std::cerr << name << ": " << failure.what() << "; see " << name
              << " --help\n";
    return 2;
  }
}

void detail::BoundAllocator() {
  // By default, the allocator raises this threshold with each large buffer that
  // is freed. Later ones then come from the heap, and what is freed there goes
  // back to the kernel only from its end.
  ::mallopt(M_MMAP_THRESHOLD, kLargeBuffer);
  // By default, each thread reserves address space for a heap of its own.
  ::mallopt(M_ARENA_MAX, 1);
}

int FailToRun(const platform_command& command, const error& reason) {
  if (IsStopHeld()) {
    Log(log_level::info, "stopped before the start",
        {{"reason", reason.message}});
    return 0;
  }
  Log(log_level::error, "cannot run",
      {{"reason", reason.message}, {"remedy", reason.remedy}});
  std::cerr << "gentianrun " << command.name << ": " << reason.message << "; "
            << reason.remedy << "\n";
  const steady_time end = BootTimeNow() + kPauseAfterError;
  while (BootTimeNow() < end && !IsStopHeld()) {
    std::this_thread::sleep_for(kStopPollInterval);
  }
  return IsStopHeld() ? 0 : 1;
}

void LogStarting(const platform_command& command) {
  json line = {{"version", Version()},
               {"command", command.name},
               {"process", ::getpid()}};
  for (const limit_row& row : kHostLimits) {
    rlimit limit{};
    if (::getrlimit(row.resource, &limit) == 0 &&
        limit.rlim_cur != RLIM_INFINITY) {
      line[row.field] = limit.rlim_cur;
    }
  }
  Log(log_level::info, "starting", line);
}

void BoundMemory(io_pool& pool, std::size_t memory) {
  pool.message_memory().SetCapacity(memory / kMessageMemoryShare);
  pool.message_memory().SetObserver([](std::size_t bytes, std::size_t used) {
    Log(log_level::warning, "message given up for want of memory",
        {{"bytes", bytes},
         {"used_bytes", used},
         {"remedy",
          "look for a peer that sends without end, or give the "
          "host more memory"}});
  });
}

void RunUntilStopped(io_pool& pool,
                     const std::function<void(std::function<void()>)>& stop) {
  std::promise<void> stopped;
  const signal_watch signals(pool, [&stop, &stopped](int number) {
    if (number == SIGHUP) {
      // Settings don't change while a process runs.
      Log(log_level::info, "settings kept",
          {{"reason", "addresses are fixed while the process runs"}});
    } else {
      Log(log_level::info, "stop requested", {{"signal", number}});
      stop([&stopped] { stopped.set_value(); });
    }
  });
  stopped.get_future().wait();
  pool.Stop();
}

}  // namespace gentian

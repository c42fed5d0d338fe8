// Runs gateways and turn stores as real processes under load, disturbs them by
// a seed, and checks what callers got against what targets wrote. Ends with 1
// if a promise was broken, and with 2 if the run could not start.
#include <sys/resource.h>
#include <unistd.h>

#include <atomic>
#include <csignal>
#include <cxxopts.hpp>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <thread>

#include "caller.h"
#include "deployment.h"
#include "disturbances.h"

namespace {

using namespace gentian;
using namespace gentian::soak;

constexpr milliseconds kTick{25};
constexpr milliseconds kWarmUp{2'000};
constexpr int kCannotRun = 2;

struct soak_options {
  std::string binary;
  std::string upgrade;
  std::string folder;
  std::uint64_t seed = 1;
  std::chrono::seconds length{30};
  int callers = 40;
  deployment_size size;
  std::set<std::string> kinds;
};

soak_options ReadOptions(int argc, char** argv) {
  cxxopts::Options parser("gentian_soak", "Fault soak of real processes");
  parser.add_options()("binary", "the build that runs",
                       cxxopts::value<std::string>())(
      "upgrade", "the build that replaces it, host by host",
      cxxopts::value<std::string>()->default_value(""))(
      "seed", "seed of load and disturbances",
      cxxopts::value<std::uint64_t>()->default_value("1"))(
      "seconds", "length of the load",
      cxxopts::value<int>()->default_value("30"))(
      "callers", "callers at once", cxxopts::value<int>()->default_value("40"))(
      "gateways", "gateway processes",
      cxxopts::value<int>()->default_value("7"))(
      "memory-mb", "memory of each host, as on the smallest ones",
      cxxopts::value<std::size_t>()->default_value("88"))(
      "folder", "for settings, data and logs; kept",
      cxxopts::value<std::string>()->default_value(""))(
      "kind", "disturbances to use; all if there is none, `none` for none",
      cxxopts::value<std::vector<std::string>>()->default_value({}));
  const auto parsed = parser.parse(argc, argv);
  soak_options options;
  options.binary = parsed["binary"].as<std::string>();
  options.upgrade = parsed["upgrade"].as<std::string>();
  options.folder = parsed["folder"].as<std::string>();
  options.seed = parsed["seed"].as<std::uint64_t>();
  options.length = std::chrono::seconds(parsed["seconds"].as<int>());
  options.callers = parsed["callers"].as<int>();
  constexpr std::size_t kMegabyte = 1024 * 1024;
  options.size.memory = parsed["memory-mb"].as<std::size_t>() * kMegabyte;
  options.size.gateways = parsed["gateways"].as<int>();
  for (const auto& name : parsed["kind"].as<std::vector<std::string>>()) {
    if (!name.empty()) {
      options.kinds.insert(name);
    }
  }
  return options;
}

int Run(const soak_options& options, const std::string& folder) {
  judge seen;
  deployment subject(options.size, options.binary, folder, seen);
  if (!subject.AwaitReady()) {
    std::cerr << "the gateways did not become ready\n";
    return kCannotRun;
  }
  std::this_thread::sleep_for(kWarmUp);
  std::ofstream story(folder + "/story.txt");
  const steady_time begin = BootTimeNow();
  const auto log = [&](const std::string& what) {
    story << ToMilliseconds(BootTimeNow() - begin).count() << " " << what
          << std::endl;
  };
  disturbances trouble(subject, seen, options.seed, options.binary, log);
  trouble.Plan(options.length, options.kinds);
  if (!options.upgrade.empty()) {
    trouble.PlanUpgrade(milliseconds(options.length) / 5, options.upgrade);
  }
  std::atomic<bool> stop{false};
  const auto choose = [&subject](std::uint64_t random) {
    return subject.gateways()[random % subject.gateways().size()]
        ->caller_address();
  };
  std::vector<std::thread> threads;
  threads.reserve(static_cast<std::size_t>(options.callers));
  for (int i = 0; i < options.callers; ++i) {
    threads.emplace_back([&, i] {
      constexpr std::uint64_t kSeeds = 1'000;
      caller next("c" + std::to_string(i),
                  options.seed * kSeeds + static_cast<std::uint64_t>(i), choose,
                  seen);
      next.Run([&stop] { return stop.load(); });
    });
  }
  while (BootTimeNow() - begin < options.length) {
    trouble.Tick();
    subject.Tick();
    trouble.RestartEnded();
    for (product_process* next : subject.BeyondMemory()) {
      seen.Report("MEMORY", next->host() + " uses " +
                                std::to_string(next->ResidentMemory()) +
                                " bytes of " + std::to_string(next->memory()));
      seen.OnTrouble(next->caller_address(), milliseconds(0));
      trouble.Restart(*next);
    }
    std::this_thread::sleep_for(kTick);
  }
  trouble.EndAll();
  stop = true;
  for (std::thread& next : threads) {
    next.join();
  }
  for (product_process* next : subject.Hosts()) {
    next->CheckEnds();
  }
  const std::vector<std::string> broken = seen.Finish();
  for (const auto& [outcome, count] : seen.counts()) {
    std::cout << outcome << ": " << count << "\n";
  }
  for (const std::string& next : broken) {
    std::cout << "BROKEN " << next << "\n";
  }
  std::cout << "seed " << options.seed << ": " << broken.size()
            << " promises broken" << std::endl;
  return broken.empty() ? 0 : 1;
}

}  // namespace

int main(int argc, char** argv) {
  std::signal(SIGPIPE, SIG_IGN);
  rlimit files{};
  ::getrlimit(RLIMIT_NOFILE, &files);
  files.rlim_cur = files.rlim_max;
  ::setrlimit(RLIMIT_NOFILE, &files);
  try {
    const soak_options options = ReadOptions(argc, argv);
    if (!options.folder.empty()) {
      std::filesystem::create_directories(options.folder);
      return Run(options, options.folder);
    }
    std::string folder =
        (std::filesystem::temp_directory_path() / "soak-XXXXXX").string();
    if (::mkdtemp(folder.data()) == nullptr) {
      std::cerr << "no temporary folder could be made\n";
      return kCannotRun;
    }
    const int outcome = Run(options, folder);
    if (outcome == 0) {
      std::filesystem::remove_all(folder);
    } else {
      std::cout << "settings, data and logs: " << folder << "\n";
    }
    return outcome;
  } catch (const std::exception& failure) {
    std::cerr << failure.what() << "\n";
    return kCannotRun;
  }
}

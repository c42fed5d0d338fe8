// Runs each program as a process of its own and sends it what hosts and their
// supervisors do between its first instruction and its last.
#include <criterion/criterion.h>
#include <fcntl.h>
#include <sys/resource.h>
#include <sys/stat.h>
#include <unistd.h>

#include <array>
#include <chrono>
#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <memory>
#include <thread>

#include "gentian_core/gentian_core.h"
#include "support/child_process.h"
#include "support/synchronous_http.h"

using namespace gentian;
using namespace gentian::testing;

namespace {

// The two programs that a platform starts.
constexpr std::array<const char*, 2> kRoles = {"gateway", "turn-store"};
constexpr const char* kStarted = "\"message\":\"started\"";
constexpr const char* kWaits = "\"message\":\"start waits\"";
constexpr rlim_t kMegabyte = 1024 * 1024;

void SetLimit(decltype(RLIMIT_AS) resource, rlim_t value) {
  const rlimit limit{value, value};
  ::setrlimit(resource, &limit);
}

void JoinOutputs() {
  ::dup2(STDOUT_FILENO, STDERR_FILENO);
}

// A host on loopback with a settings file, without a key-value service.
class host_folder {
 public:
  explicit host_folder(const std::string& role,
                       std::chrono::seconds grace = std::chrono::seconds(8))
      : role_(role),
        grace_(grace),
        path_(std::filesystem::temp_directory_path() /
              ("gentian_life_" + std::to_string(::getpid()) + "_" + role)) {
    std::filesystem::create_directories(path_ / "data");
    Write(Settings());
    ::setenv("GENTIANRUN_NODE_FILE", file().c_str(), 1);
  }
  ~host_folder() { std::filesystem::remove_all(path_); }
  host_folder(const host_folder&) = delete;
  host_folder& operator=(const host_folder&) = delete;

  std::string file() const { return (path_ / "settings.json").string(); }

  void Write(const std::string& text) const {
    std::ofstream(file(), std::ios::trunc) << text;
  }

  std::string Settings() const {
    // Tests run beside each other.
    const int number = ::getpid();
    const std::string ip = "127.78." + std::to_string(number / 250 % 250) +
                           "." + std::to_string(1 + number % 250);
    const auto at = [&ip](int port) { return ip + ":" + std::to_string(port); };
    json listen = json::object();
    if (role_ == "gateway") {
      listen = {{"front", at(18'368)},
                {"ready", at(18'369)},
                {"directory", at(18'360)}};
    }
    return json{{"node_name", "h"},
                {"role", role_},
                {"ip", ip},
                {"zone", "z"},
                {"listen", listen},
                {"inner_ports", {17'780, 17'795}},
                {"first_start", true},
                {"data_dir", (path_ / "data").string()},
                {"limits", {{"memory_mb", 110}, {"max_fds", 4'100}}},
                {"bounds", {{"grace_s", grace_.count()}}},
                {"platform", {{"address", "127.0.0.1:1"}}}}
        .dump(1);
  }

  std::unique_ptr<child_process> Start(
      const std::function<void()>& prepare = &JoinOutputs) const {
    return std::make_unique<child_process>(std::vector<std::string>{role_},
                                           GENTIAN_BINARY, prepare);
  }

  std::unique_ptr<child_process> StartAndWait() const {
    auto process = Start();
    cr_assert(WaitForText(*process, kStarted), "%s", process->Output().c_str());
    return process;
  }

  static bool WaitForText(const child_process& process,
                          const std::string& text) {
    return WaitFor(
        [&] { return process.Output().find(text) != std::string::npos; });
  }

 private:
  std::string role_;
  std::chrono::seconds grace_;
  std::filesystem::path path_;
};

void ExpectStop(child_process& process, const char* what) {
  process.Signal(SIGTERM);
  const int status = process.Wait();
  cr_assert(status == 0, "%s: status %d, %s", what, status,
            process.Output().c_str());
}

// Replaces the settings file by a pipe, so that a process that starts is held
// where it reads it.
class held_start {
 public:
  explicit held_start(const host_folder& host)
      : settings_(host.Settings()), path_(host.file()) {
    std::filesystem::remove(path_);
    cr_assert(::mkfifo(path_.c_str(), 0600) == 0);
  }
  ~held_start() { std::filesystem::remove(path_); }
  held_start(const held_start&) = delete;
  held_start& operator=(const held_start&) = delete;

  /** True once the process reads. */
  bool Await() {
    return WaitFor([this] {
      writer_ = ::open(path_.c_str(), O_WRONLY | O_NONBLOCK);
      return writer_ >= 0;
    });
  }

  void GoOn() const {
    cr_assert(::write(writer_, settings_.data(), settings_.size()) ==
              static_cast<ssize_t>(settings_.size()));
    ::close(writer_);
  }

 private:
  const std::string settings_;
  const std::string path_;
  int writer_ = -1;
};

}  // namespace

// Guards against a signal that ends a process by its default action, since no
// handler is set before the settings are read.
Test(process_life, signals_during_the_start_are_kept, .timeout = 120) {
  for (const char* role : kRoles) {
    const host_folder host(role);
    held_start pause(host);
    const auto process = host.Start();
    cr_assert(pause.Await());
    process->Signal(SIGHUP);
    // Time for a default action.
    std::this_thread::sleep_for(std::chrono::milliseconds(100));
    const std::optional<int> status = process->Poll();
    cr_assert(!status, "%s: status %d", role, *status);
    pause.GoOn();
    cr_assert(host_folder::WaitForText(*process, "settings kept"), "%s: %s",
              role, process->Output().c_str());
    ExpectStop(*process, role);
  }
}

// Guards against a signal to stop that is lost during the start.
Test(process_life, a_stop_during_the_start_is_kept, .timeout = 120) {
  for (const char* role : kRoles) {
    const host_folder host(role);
    held_start pause(host);
    const auto process = host.Start();
    cr_assert(pause.Await());
    process->Signal(SIGTERM);
    pause.GoOn();
    const int status = process->Wait();
    cr_assert(status == 0, "%s: status %d, %s", role, status,
              process->Output().c_str());
  }
}

// Guards against a signal that ends a process after its planned stop, before
// its log is written.
Test(process_life, signals_in_series_leave_a_stop_in_order, .timeout = 120) {
  for (const char* role : kRoles) {
    const host_folder host(role);
    const auto process = host.StartAndWait();
    std::optional<int> status;
    while (!status) {
      process->Signal(SIGTERM);
      process->Signal(SIGHUP);
      std::this_thread::sleep_for(std::chrono::microseconds(200));
      status = process->Poll();
    }
    cr_assert(*status == 0, "%s: status %d, %s", role, *status,
              process->Output().c_str());
    cr_assert(process->Output().find("process ends") != std::string::npos);
  }
}

// Guards against a process that ends since the one before it on the host still
// holds its address or its database.
Test(process_life, a_successor_waits_for_its_predecessor, .timeout = 120) {
  for (const char* role : kRoles) {
    const host_folder host(role);
    const auto predecessor = host.StartAndWait();
    const auto successor = host.Start();
    cr_assert(host_folder::WaitForText(*successor, kWaits), "%s: status %d, %s",
              role, successor->Poll().value_or(0), successor->Output().c_str());
    ExpectStop(*predecessor, role);
    cr_assert(host_folder::WaitForText(*successor, kStarted), "%s",
              successor->Output().c_str());
    ExpectStop(*successor, role);
  }
}

// Guards against a start that can't be stopped while it waits.
Test(process_life, a_waiting_start_ends_at_a_signal, .timeout = 120) {
  for (const char* role : kRoles) {
    const host_folder host(role);
    const auto predecessor = host.StartAndWait();
    const auto successor = host.Start();
    cr_assert(host_folder::WaitForText(*successor, kWaits));
    successor->Signal(SIGHUP);
    ExpectStop(*successor, role);
    ExpectStop(*predecessor, role);
  }
}

// Guards against a process that ends since its settings file is being written.
Test(process_life, settings_in_part_are_awaited, .timeout = 120) {
  for (const char* role : kRoles) {
    const host_folder host(role);
    const std::string whole = host.Settings();
    for (const std::size_t size : {std::size_t{0}, whole.size() / 2}) {
      host.Write(whole.substr(0, size));
      const auto process = host.Start();
      cr_assert(host_folder::WaitForText(*process, kWaits), "%s: %s", role,
                process->Output().c_str());
      host.Write(whole);
      cr_assert(host_folder::WaitForText(*process, kStarted), "%s: %s", role,
                process->Output().c_str());
      ExpectStop(*process, role);
    }
  }
}

// Guards against a limit of the size of files that ends a gateway at a line of
// its log.
Test(process_life, a_limit_of_file_size_is_survived, .timeout = 120) {
  constexpr std::array<rlim_t, 3> kLimits = {0, 1'024, 4'096};
  for (const rlim_t limit : kLimits) {
    const host_folder host("gateway");
    const auto process = host.Start([limit] {
      JoinOutputs();
      SetLimit(RLIMIT_FSIZE, limit);
    });
    std::this_thread::sleep_for(std::chrono::seconds(1));
    const std::optional<int> status = process->Poll();
    cr_assert(!status, "at %lu bytes: status %d, %s", limit, *status,
              process->Output().c_str());
    ExpectStop(*process, "gateway");
  }
}

// Guards against a turn store that ends by a signal at a write of its database.
// Without room for the database it tells so, and ends with a status.
Test(process_life, a_database_without_room_is_named, .timeout = 120) {
  const host_folder host("turn-store", std::chrono::seconds(1));
  const auto process = host.Start([] {
    JoinOutputs();
    constexpr rlim_t kLessThanAPage = 4'096;
    SetLimit(RLIMIT_FSIZE, kLessThanAPage);
  });
  const int status = process->Wait();
  cr_assert(status == 1, "status %d", status);
  cr_assert(
      process->Output().find("the turn database failed") != std::string::npos,
      "%s", process->Output().c_str());
}

// Guards against commands of a person that a signal does not end.
Test(process_life, other_commands_end_by_a_signal, .timeout = 60) {
  child_process process({"check", "-"}, GENTIAN_BINARY, [] {
    std::array<int, 2> silent{};
    ::pipe(silent.data());
    ::dup2(silent[0], STDIN_FILENO);
  });
  std::this_thread::sleep_for(std::chrono::milliseconds(500));
  process.Signal(SIGTERM);
  cr_assert(process.Wait() == -SIGTERM);
}

// Guards against an abort that names no cause when the host gives too little
// memory for the threads and libraries of a process.
Test(process_life, too_little_address_space_is_named, .timeout = 240) {
  constexpr int kLoaderStatus = 127;
  constexpr rlim_t kLeast = 20;
  constexpr rlim_t kStep = 4;
  constexpr rlim_t kMost = 112;
  for (const char* role : kRoles) {
    int named = 0;
    for (rlim_t limit = kLeast; limit <= kMost; limit += kStep) {
      const host_folder host(role);
      const auto process = host.Start([limit] {
        JoinOutputs();
        SetLimit(RLIMIT_AS, limit * kMegabyte);
      });
      std::optional<int> status;
      WaitFor([&] {
        status = process->Poll();
        return status.has_value() ||
               process->Output().find(kStarted) != std::string::npos;
      });
      if (!status) {
        ExpectStop(*process, role);
        continue;
      }
      // Below some limit the loader itself can't load the program.
      const std::string output = process->Output();
      cr_assert(*status == kLoaderStatus ||
                    output.find("memory") != std::string::npos,
                "%s at %lu MB: status %d, %s", role, limit, *status,
                output.c_str());
      named += *status == kLoaderStatus ? 0 : 1;
    }
    cr_assert(named > 0, "%s", role);
  }
}

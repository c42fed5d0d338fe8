#include "product_process.h"

#include <fcntl.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <array>
#include <csignal>
#include <filesystem>
#include <fstream>
#include <thread>
#include <utility>

#include "sockets.h"

namespace gentian::soak {

namespace {

constexpr int kCallerPort = 18'368;
constexpr int kReadyPort = 18'369;
constexpr int kDirectoryPort = 18'360;
constexpr int kInnerPort = 17'780;
constexpr int kInnerPorts = 15;
constexpr std::size_t kMegabyte = 1024 * 1024;
constexpr milliseconds kPollInterval{20};
constexpr milliseconds kAnswerLimit{500};

}  // namespace

product_process::product_process(process_options options)
    : options_(std::move(options)) {}

product_process::~product_process() {
  Kill();
}

std::string product_process::caller_address() const {
  return options_.ip + ":" + std::to_string(kCallerPort);
}

std::string product_process::SettingsPath() const {
  return options_.folder + "/" + options_.host + ".json";
}

void product_process::WriteSettings() const {
  const bool is_store = options_.role == "turn-store";
  const std::string data = options_.folder + "/" + options_.host + ".data";
  std::filesystem::create_directories(data);
  const auto at = [this](int port) {
    return options_.ip + ":" + std::to_string(port);
  };
  json listen = json::object();
  if (!is_store) {
    listen = {{"front", at(kCallerPort)},
              {"ready", at(kReadyPort)},
              {"directory", at(kDirectoryPort)}};
  }
  const json settings = {
      {"node_name", options_.host},
      {"role", options_.role},
      {"ip", options_.ip},
      {"zone", options_.failure_domain},
      {"listen", listen},
      {"inner_ports", {kInnerPort, kInnerPort + kInnerPorts}},
      {"first_start", !has_started_},
      {"data_dir", is_store ? json(data) : json()},
      {"limits", {{"memory_mb", options_.memory / kMegabyte}}},
      {"tolerate", {{"machines", 1}}},
      {"bounds", {{"grace_s", 8}, {"revoke_ms", 5'000}}},
      {"platform", {{"address", options_.store_address}}}};
  std::ofstream(SettingsPath()) << settings.dump(1) << "\n";
}

void product_process::Start(const std::string& binary) {
  WriteSettings();
  has_started_ = true;
  std::string settings = "GENTIANRUN_NODE_FILE=" + SettingsPath();
  std::string role = options_.role;
  std::string program = binary;
  const std::string log = options_.folder + "/" + options_.host + ".log";
  const std::array<char*, 3> words = {program.data(), role.data(), nullptr};
  const std::array<char*, 2> variables = {settings.data(), nullptr};
  id_ = ::fork();
  // The other threads don't exist in the child, and may hold locks.
  if (id_ == 0) {
    ::prctl(PR_SET_PDEATHSIG, SIGKILL);
    const int out = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
    ::dup2(out, STDOUT_FILENO);
    ::dup2(out, STDERR_FILENO);
    ::execve(words[0], words.data(), variables.data());
    ::_exit(127);
  }
}

void product_process::Signal(int number) const {
  if (id_ > 0) {
    ::kill(id_, number);
  }
}

void product_process::Kill() {
  if (id_ > 0) {
    Signal(SIGKILL);
    ::waitpid(id_, nullptr, 0);
    id_ = 0;
  }
}

bool product_process::IsRunning() {
  if (id_ > 0 && ::waitpid(id_, nullptr, WNOHANG) == id_) {
    id_ = 0;
  }
  return id_ > 0;
}

std::size_t product_process::ResidentMemory() const {
  if (id_ <= 0) {
    return 0;
  }
  std::ifstream pages("/proc/" + std::to_string(id_) + "/statm");
  std::size_t whole = 0;
  std::size_t resident = 0;
  pages >> whole >> resident;
  return resident * static_cast<std::size_t>(::sysconf(_SC_PAGESIZE));
}

bool product_process::AwaitReady(milliseconds limit) const {
  const std::string address = options_.ip + ":" + std::to_string(kReadyPort);
  const steady_time end = BootTimeNow() + limit;
  while (BootTimeNow() < end) {
    const int socket = Connect(address, kAnswerLimit);
    if (socket >= 0) {
      std::string answer;
      SendAll(socket, "GET /readiness HTTP/1.1\r\nHost: h\r\n\r\n");
      Receive(socket, answer, kAnswerLimit);
      ::close(socket);
      if (answer.rfind("HTTP/1.1 200", 0) == 0) {
        return true;
      }
    }
    std::this_thread::sleep_for(kPollInterval);
  }
  return false;
}

}  // namespace gentian::soak

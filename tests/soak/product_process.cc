#include "product_process.h"

#include <unistd.h>

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <sstream>
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
constexpr std::size_t kLastBytes = 600;

}  // namespace

product_process::product_process(process_options options, judge& seen)
    : options_(std::move(options)), seen_(seen) {}

product_process::~product_process() {
  Kill();
}

std::string product_process::caller_address() const {
  return options_.ip + ":" + std::to_string(kCallerPort);
}

std::string product_process::SettingsPath() const {
  return options_.folder + "/" + options_.host + ".json";
}

std::string product_process::LogPath() const {
  return options_.folder + "/" + options_.host + ".log";
}

std::string product_process::SettingsText() const {
  const bool is_store = options_.role == "turn-store";
  const std::string data = options_.folder + "/" + options_.host + ".data";
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
  return settings.dump(1) + "\n";
}

void product_process::WriteSettings(double share) const {
  const std::string text = SettingsText();
  std::ofstream(SettingsPath()) << text.substr(
      0, static_cast<std::size_t>(share * static_cast<double>(text.size())));
}

void product_process::FillLog(std::size_t size) const {
  std::error_code ignored;
  const std::size_t used = std::filesystem::exists(LogPath())
                               ? std::filesystem::file_size(LogPath(), ignored)
                               : 0;
  if (used < size) {
    std::ofstream(LogPath(), std::ios::app) << std::string(size - used, '\n');
  }
}

void product_process::Start(const std::string& binary,
                            const process_limits& limits) {
  WriteSettings(1);
  Launch(binary, limits);
}

void product_process::StartWithoutSettings(const std::string& binary) {
  Launch(binary, {});
}

void product_process::StartSuccessor(const std::string& binary) {
  predecessor_ = std::move(current_);
  Start(binary);
}

void product_process::Launch(const std::string& binary,
                             const process_limits& limits) {
  std::filesystem::create_directories(options_.folder + "/" + options_.host +
                                      ".data");
  CheckEnds();
  has_started_ = true;
  current_ = std::make_shared<process_instance>(
      process_launch{binary, options_.role, SettingsPath(), LogPath(), limits});
}

void product_process::Signal(int number) const {
  if (current_) {
    current_->Signal(number);
  }
}

void product_process::Kill() {
  for (const auto& subject : {predecessor_, current_}) {
    if (subject) {
      subject->Kill();
    }
  }
  CheckEnds();
  predecessor_ = nullptr;
  current_ = nullptr;
}

bool product_process::IsRunning() {
  CheckEnds();
  return HasPredecessor() || (current_ && current_->IsRunning());
}

bool product_process::HasPredecessor() {
  return predecessor_ && predecessor_->IsRunning();
}

bool product_process::CheckEnds() {
  CheckEnd(predecessor_, "predecessor");
  return CheckEnd(current_, predecessor_ ? "successor" : "process");
}

bool product_process::CheckEnd(const std::shared_ptr<process_instance>& subject,
                               const char* part) {
  const auto failure = subject ? subject->TakeFailure() : std::nullopt;
  if (failure) {
    seen_.Report("FAULT", options_.host + ": its " + part + " " + *failure +
                              "; last lines:\n" + LastLines());
  }
  return failure.has_value();
}

std::string product_process::LastLines() const {
  std::ifstream log(LogPath());
  std::ostringstream text;
  text << log.rdbuf();
  std::string lines = text.str();
  lines.erase(std::min(lines.find_last_not_of('\n') + 1, lines.size()));
  const std::size_t filler = lines.rfind("\n\n");
  if (filler != std::string::npos) {
    lines.erase(0, filler + 2);
  }
  return lines.substr(lines.size() - std::min(lines.size(), kLastBytes));
}

std::size_t product_process::ResidentMemory() const {
  return std::max(current_ ? current_->ResidentMemory() : 0,
                  predecessor_ ? predecessor_->ResidentMemory() : 0);
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

// Gateways as real processes, whose callers open more connections than the host
// has room for.
#include <criterion/criterion.h>
#include <sys/resource.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <filesystem>
#include <fstream>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include "gentian_core/gentian_core.h"
#include "support/child_process.h"
#include "support/loopback_server.h"
#include "support/raw_connection.h"

using namespace gentian;
using namespace gentian::testing;

namespace {

constexpr std::size_t kMegabyte = 1024 * 1024;
constexpr milliseconds kPollInterval{20};
constexpr milliseconds kAnswerLimit{1'000};

// A loopback address of this process: tests run in parallel.
std::string ProcessIp() {
  constexpr int kByte = 256;
  return "127." + std::to_string(::getpid() / kByte % kByte) + "." +
         std::to_string(::getpid() % kByte) + ".1";
}

// Sets the soft limit of descriptors while it exists; processes inherit it.
class descriptor_limit {
 public:
  explicit descriptor_limit(rlim_t most) {
    ::getrlimit(RLIMIT_NOFILE, &before_);
    const rlimit lower{most, before_.rlim_max};
    cr_assert(::setrlimit(RLIMIT_NOFILE, &lower) == 0);
  }
  ~descriptor_limit() { ::setrlimit(RLIMIT_NOFILE, &before_); }
  descriptor_limit(const descriptor_limit&) = delete;
  descriptor_limit& operator=(const descriptor_limit&) = delete;

 private:
  rlimit before_{};
};

class gateway_process {
 public:
  gateway_process(const json& limits, const std::string& store_address)
      : folder_(std::filesystem::temp_directory_path() /
                ("gentian_bound_" + std::to_string(::getpid()))) {
    std::filesystem::create_directory(folder_);
    const std::string file = (folder_ / "settings.json").string();
    std::ofstream(file) << json{
        {"node_name", "host"},
        {"zone", "z"},
        {"ip", ProcessIp()},
        {"listen", {{"front", callers_}, {"ready", readiness_}}},
        {"inner_ports", {17'780, 17'795}},
        {"limits", limits},
        {"platform", {{"address", store_address}}}};
    process_ = std::make_unique<child_process>(
        std::vector<std::string>{"gateway", "--settings", file});
    while (!raw_connection(callers_).connected() ||
           !raw_connection(readiness_).connected()) {
      std::this_thread::sleep_for(kPollInterval);
    }
  }
  ~gateway_process() { std::filesystem::remove_all(folder_); }
  gateway_process(const gateway_process&) = delete;
  gateway_process& operator=(const gateway_process&) = delete;

  const std::string& callers() const { return callers_; }
  const std::string& readiness() const { return readiness_; }
  std::string Output() const { return process_->Output(); }

  std::size_t ResidentBytes() const {
    std::ifstream file("/proc/" + std::to_string(process_->id()) + "/statm");
    std::size_t total_pages = 0;
    std::size_t resident_pages = 0;
    file >> total_pages >> resident_pages;
    return resident_pages * static_cast<std::size_t>(::sysconf(_SC_PAGESIZE));
  }

 private:
  std::filesystem::path folder_;
  std::string callers_ = ProcessIp() + ":18368";
  std::string readiness_ = ProcessIp() + ":18369";
  std::unique_ptr<child_process> process_;
};

// The first line of the answer to a request on a new connection; empty if there
// is none in time.
std::string AskAnew(const std::string& address) {
  const raw_connection connection(address);
  connection.Write("GET /readiness HTTP/1.1\r\nHost: h\r\n\r\n");
  const std::string answer = connection.Read(kAnswerLimit);
  return answer.substr(0, answer.find('\r'));
}

bool IsAnswer(const std::string& line) {
  return line.rfind("HTTP/1.1 ", 0) == 0;
}

}  // namespace

// Guards against a gateway that is killed for want of memory because callers
// send requests in part on as many connections as it has descriptors for.
Test(connection_bound,
     unfinished_requests_stay_within_the_memory,
     .timeout = 60) {
  constexpr std::size_t kMemoryMegabytes = 110;
  constexpr int kConnections = 3'600;
  constexpr int kDescriptors = 4'100;
  constexpr rlim_t kOwnDescriptors = 4'000;
  std::size_t most = 0;
  std::string caller;
  std::string readiness;
  {
    const descriptor_limit own(kOwnDescriptors);
    const gateway_process gateway(
        {{"memory_mb", kMemoryMegabytes}, {"max_fds", kDescriptors}},
        "127.0.0.1:1");
    // Less than the account of large messages counts.
    const std::string part =
        "POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 100000\r\n\r\n" +
        std::string(8'000, 'x');
    std::vector<std::unique_ptr<raw_connection>> callers;
    callers.reserve(kConnections);
    for (int i = 0; i < kConnections; ++i) {
      callers.push_back(std::make_unique<raw_connection>(gateway.callers()));
      callers.back()->Write(part);
      most = std::max(most, gateway.ResidentBytes());
    }
    caller = AskAnew(gateway.callers());
    readiness = AskAnew(gateway.readiness());
    most = std::max(most, gateway.ResidentBytes());
  }
  cr_assert(most < kMemoryMegabytes * kMegabyte, "%zu bytes of memory", most);
  cr_assert(IsAnswer(caller), "a caller read '%s'", caller.c_str());
  cr_assert(IsAnswer(readiness), "readiness was '%s'", readiness.c_str());
}

// Guards against a gateway whose descriptors are used up by connections of
// callers, so that it reaches neither targets nor the key-value service, and
// callers wait without an answer.
Test(connection_bound,
     idle_callers_leave_descriptors_for_others,
     .timeout = 60) {
  constexpr rlim_t kDescriptors = 256;
  constexpr int kConnections = 400;
  constexpr milliseconds kPolling{2'000};
  std::atomic<int> store_calls{0};
  loopback_server store([&store_calls](int peer) {
    ++store_calls;
    ::shutdown(peer, SHUT_RDWR);
  });
  int calls_before = 0;
  std::string caller;
  std::string readiness;
  {
    std::unique_ptr<gateway_process> gateway;
    {
      const descriptor_limit lower(kDescriptors);
      gateway =
          std::make_unique<gateway_process>(json::object(), store.address());
    }
    std::vector<std::unique_ptr<raw_connection>> callers;
    callers.reserve(kConnections);
    for (int i = 0; i < kConnections; ++i) {
      callers.push_back(std::make_unique<raw_connection>(gateway->callers()));
    }
    caller = AskAnew(gateway->callers());
    readiness = AskAnew(gateway->readiness());
    calls_before = store_calls;
    std::this_thread::sleep_for(kPolling);
  }
  store.Stop();
  cr_assert(IsAnswer(caller), "a caller read '%s'", caller.c_str());
  cr_assert(IsAnswer(readiness), "readiness was '%s'", readiness.c_str());
  cr_assert(store_calls > calls_before + 1, "%d calls, %d before",
            store_calls.load(), calls_before);
}

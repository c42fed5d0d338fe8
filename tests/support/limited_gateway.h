#ifndef TESTS_SUPPORT_LIMITED_GATEWAY_H_
#define TESTS_SUPPORT_LIMITED_GATEWAY_H_

#include <criterion/criterion.h>
#include <unistd.h>

#include <filesystem>
#include <fstream>
#include <memory>
#include <optional>
#include <string>
#include <thread>
#include <vector>

#include "support/observed_process.h"
#include "support/raw_connection.h"
#include "support/synchronous_http.h"

namespace gentian::testing {

/** A loopback address of this process. */
inline std::string ProcessIp() {
  constexpr int kByte = 256;
  return "127." + std::to_string(::getpid() / kByte % kByte) + "." +
         std::to_string(::getpid() % kByte) + ".1";
}

/** A folder of this process, removed at the end. */
class process_folder {
 public:
  process_folder()
      : path_(std::filesystem::temp_directory_path() /
              ("gentian_limited_" + std::to_string(::getpid()))) {
    std::filesystem::create_directories(path_);
  }
  ~process_folder() { std::filesystem::remove_all(path_); }
  process_folder(const process_folder&) = delete;
  process_folder& operator=(const process_folder&) = delete;

  std::string Write(const std::string& name, const std::string& text) const {
    std::ofstream(path_ / name) << text;
    return (path_ / name).string();
  }

 private:
  std::filesystem::path path_;
};

/** The first line of the answer to a request on a new connection; empty if
    there is none in time.

    @param fields  lines of the header that end with CRLF */
inline std::string AskAnew(const std::string& address,
                           const std::string& path,
                           const std::string& fields = {}) {
  constexpr milliseconds kAnswerLimit{5'000};
  const raw_connection connection(address);
  connection.Write("GET " + path + " HTTP/1.1\r\nHost: h\r\n" + fields +
                   "\r\n");
  const std::string answer = connection.Read(kAnswerLimit);
  return answer.substr(0, answer.find('\r'));
}

/** Fails the test unless the process lives within its bounds and answers an
    ordinary request.

    @param memory  in megabytes */
inline void ExpectSound(observed_process& process,
                        const std::string& address,
                        const std::string& path,
                        std::size_t memory) {
  constexpr std::size_t kKilobyte = 1024;
  constexpr std::size_t kDescriptors = 1'024;
  // A process that is still busy with a crowd may refuse the first ones.
  const bool is_answered = WaitFor(
      [&] { return AskAnew(address, path).rfind("HTTP/1.1 ", 0) == 0; });
  const std::optional<int> status = process.Poll();
  cr_assert(!status, "status %d", *status);
  const std::size_t peak = process.PeakMemory() / kKilobyte;
  cr_log_info("%zu KB of memory, %zu descriptors", peak,
              process.most_descriptors());
  cr_expect(is_answered, "no answer afterwards");
  cr_expect(peak < memory * kKilobyte, "%zu KB of memory", peak);
  cr_expect(process.most_descriptors() < kDescriptors, "%zu descriptors",
            process.most_descriptors());
}

/** A gateway as a process of its own, with little memory. */
class limited_gateway {
 public:
  static constexpr std::size_t kMemoryMegabytes = 64;

  /** @param store_address  of the key-value service */
  explicit limited_gateway(const std::string& store_address) {
    // More than the memory has room for connections.
    constexpr std::size_t kDescriptorSetting = 4'100;
    constexpr std::chrono::milliseconds kPollInterval{20};
    const std::string settings = folder_.Write(
        "settings.json",
        json{{"node_name", "host"},
             {"zone", "z"},
             {"ip", ProcessIp()},
             {"listen",
              {{"front", callers_}, {"ready", ProcessIp() + ":18369"}}},
             {"inner_ports", {17'780, 17'795}},
             {"limits",
              {{"memory_mb", kMemoryMegabytes},
               {"max_fds", kDescriptorSetting}}},
             {"platform", {{"address", store_address}}}}
            .dump());
    process_ = std::make_unique<observed_process>(
        std::vector<std::string>{"gateway", "--settings", settings});
    while (!raw_connection(callers_).connected()) {
      std::this_thread::sleep_for(kPollInterval);
    }
  }

  observed_process& process() { return *process_; }
  const std::string& callers() const { return callers_; }

 private:
  process_folder folder_;
  std::string callers_ = ProcessIp() + ":18368";
  std::unique_ptr<observed_process> process_;
};

}  // namespace gentian::testing

#endif  // TESTS_SUPPORT_LIMITED_GATEWAY_H_

#include <criterion/criterion.h>
#include <fcntl.h>
#include <sys/prctl.h>
#include <sys/resource.h>
#include <unistd.h>

#include <array>
#include <chrono>
#include <csignal>
#include <cstdlib>
#include <functional>
#include <sstream>
#include <string>
#include <thread>

#include "gentian_log/gentian_log.h"

using namespace gentian;

namespace {

// Redirects the log of this process to a pipe that the test reads.
class piped_log {
 public:
  piped_log() {
    cr_assert(::pipe(ends_.data()) == 0);
    cr_assert(::dup2(ends_[1], STDOUT_FILENO) >= 0);
    ::close(ends_[1]);
    cr_assert(!Failed(StartLog("info", "h", log_output::standard_output)));
  }

  void CloseReader() { ::close(ends_[0]); }

  // Reads until a line contains the text.
  std::string ReadUntil(const std::string& text) {
    std::string read;
    std::array<char, 65536> part{};
    while (read.find(text) == std::string::npos) {
      const ssize_t count = ::read(ends_[0], part.data(), part.size());
      cr_assert(count > 0);
      read.append(part.data(), static_cast<std::size_t>(count));
    }
    return read;
  }

 private:
  std::array<int, 2> ends_{};
};

// Exceeds the capacity of the pipe and the queue together.
constexpr int kManyLines = 20'000;

void WriteLines(int count) {
  for (int i = 0; i < count; ++i) {
    Log(log_level::info, "line",
        {{"number", i}, {"pad", std::string(80, 'x')}});
  }
}

}  // namespace

// Guards against lines that aren't valid JSON, and against keys in the log.
Test(log, writes_one_object_a_line, .timeout = 20) {
  piped_log log;
  Log(log_level::warning, "a \"b\"\n", {{"n", 1}, {"api_key", "secret"}});
  const std::string line = log.ReadUntil("\n");
  const json fields = json::parse(line);
  cr_assert(fields["message"] == "a \"b\"\n");
  cr_assert(fields["host"] == "h");
  cr_assert(fields["level"] == "WARN");
  cr_assert(fields["n"] == 1);
  cr_assert(line.find("secret") == std::string::npos);
}

// Guards against interleaved lines when two processes write to the same pipe.
Test(log, lines_of_two_processes_stay_whole, .timeout = 60) {
  piped_log log;
  // Both processes together exceed the capacity of the pipe; each one stays
  // within its queue.
  constexpr int kLines = 1'500;
  const pid_t other = ::fork();
  if (other == 0) {
    // Ends the child with the test, also when an assertion fails.
    ::prctl(PR_SET_PDEATHSIG, SIGKILL);
    // fork doesn't copy the writer's thread, so the log is started again.
    StartLog("info", "other", log_output::standard_output);
    WriteLines(kLines);
    StopLog();
    ::_exit(0);
  }
  WriteLines(kLines);
  Log(log_level::info, "end of this process");
  std::istringstream text(log.ReadUntil("end of this process"));
  std::string line;
  int lines = 0;
  while (std::getline(text, line) && !text.eof()) {
    ++lines;
    cr_assert(json::accept(line), "%s", line.c_str());
  }
  cr_assert(lines >= kLines);
  ::kill(other, SIGKILL);
}

// Guards against a process that blocks because its log isn't read, and against
// dropped lines that aren't reported.
Test(log, a_reader_that_stops_holds_nothing_up, .timeout = 20) {
  piped_log log;
  WriteLines(kManyLines);
  const std::uint64_t dropped = GetLogLosses().dropped;
  cr_assert(dropped > 0);
  // Once the reader resumes, a later line reports the losses.
  std::thread writer([] {
    for (int i = 0; i < 300; ++i) {
      std::this_thread::sleep_for(milliseconds(10));
      Log(log_level::info, "later");
    }
  });
  const std::string text = log.ReadUntil("log lines left out");
  writer.join();
  cr_assert(text.find("\"number\":0,") != std::string::npos);
}

// Guards against a crash or a blocked process when the reader closes the pipe.
Test(log, a_reader_that_ends_holds_nothing_up, .timeout = 20) {
  std::signal(SIGPIPE, SIG_IGN);
  piped_log log;
  log.CloseReader();
  WriteLines(kManyLines);
  cr_assert(GetLogLosses().dropped > 0);
  StopLog();
}

// Guards against losing the last lines when the process ends.
Test(log, the_last_lines_are_written, .timeout = 20) {
  piped_log log;
  Log(log_level::info, "last");
  StopLog();
  cr_assert(log.ReadUntil("\n").find("last") != std::string::npos);
}

// Guards against a log that stays silent for good after a write has failed, as
// on a disk that is full for a while.
Test(log, writes_again_when_a_limit_has_passed, .timeout = 30) {
  std::signal(SIGXFSZ, SIG_IGN);
  std::string path = "/tmp/gentian-log-XXXXXX";
  const int file = ::mkstemp(path.data());
  cr_assert(file >= 0);
  ::unlink(path.c_str());
  cr_assert(::dup2(file, STDOUT_FILENO) >= 0);
  rlimit limit{};
  cr_assert(::getrlimit(RLIMIT_FSIZE, &limit) == 0);
  const rlim_t unlimited = limit.rlim_cur;
  // Ends within a line.
  limit.rlim_cur = 1'000;
  cr_assert(::setrlimit(RLIMIT_FSIZE, &limit) == 0);
  cr_assert(!Failed(StartLog("info", "h", log_output::standard_output)));
  WriteLines(20);
  const auto is_within = [](const std::function<bool()>& condition) {
    const auto end = std::chrono::steady_clock::now() + milliseconds(10'000);
    while (!condition() && std::chrono::steady_clock::now() < end) {
      std::this_thread::sleep_for(milliseconds(20));
    }
    return condition();
  };
  cr_assert(is_within([] { return GetLogLosses().dropped > 0; }));

  limit.rlim_cur = unlimited;
  cr_assert(::setrlimit(RLIMIT_FSIZE, &limit) == 0);
  const auto written = [file] {
    std::string text(64 * 1024, '\0');
    const ssize_t count = ::pread(file, text.data(), text.size(), 0);
    text.resize(count > 0 ? static_cast<std::size_t>(count) : 0);
    return text;
  };
  cr_assert(is_within([&] {
    Log(log_level::info, "written again");
    return written().find("written again") != std::string::npos;
  }));
  StopLog();
  // What was begun before the failure is no part of a later line.
  std::istringstream lines(written());
  int odd_lines = 0;
  for (std::string line; std::getline(lines, line);) {
    odd_lines += !line.empty() && !json::accept(line);
  }
  cr_assert(odd_lines == 1, "%d", odd_lines);
}

#include "process_instance.h"

#include <fcntl.h>
#include <sys/prctl.h>
#include <sys/resource.h>
#include <sys/wait.h>
#include <unistd.h>

#include <array>
#include <csignal>
#include <ctime>
#include <fstream>

namespace gentian::soak {

namespace {

constexpr int kCannotRun = 127;

void SetLimit(decltype(RLIMIT_AS) resource,
              const std::optional<std::size_t>& value) {
  if (value) {
    const rlimit limit{*value, *value};
    ::setrlimit(resource, &limit);
  }
}

}  // namespace

process_instance::process_instance(const process_launch& launch)
    : started_at_(BootTimeNow()) {
  std::string settings = "GENTIANRUN_NODE_FILE=" + launch.settings_path;
  std::string role = launch.role;
  std::string program = launch.binary;
  const std::array<char*, 3> words = {program.data(), role.data(), nullptr};
  const std::array<char*, 2> variables = {settings.data(), nullptr};
  // Closed when the program runs.
  std::array<int, 2> loading{};
  if (::pipe2(loading.data(), O_CLOEXEC) != 0) {
    return;
  }
  id_ = ::fork();
  // The other threads don't exist in the child, and may hold locks.
  if (id_ == 0) {
    ::prctl(PR_SET_PDEATHSIG, SIGKILL);
    // A soak that runs under nohup ignores it.
    ::signal(SIGHUP, SIG_DFL);
    const int out = ::open(launch.log_path.c_str(),
                           O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0600);
    ::dup2(out, STDOUT_FILENO);
    ::dup2(out, STDERR_FILENO);
    SetLimit(RLIMIT_FSIZE, launch.limits.file_size);
    SetLimit(RLIMIT_AS, launch.limits.address_space);
    SetLimit(RLIMIT_NOFILE, launch.limits.descriptors);
    ::execve(words[0], words.data(), variables.data());
    ::_exit(kCannotRun);
  }
  ::close(loading[1]);
  char byte = 0;
  [[maybe_unused]] const ssize_t size = ::read(loading[0], &byte, 1);
  ::close(loading[0]);
  loaded_at_ = ProcessorTime();
}

process_instance::~process_instance() {
  Kill();
}

void process_instance::Signal(int number) {
  const std::lock_guard<std::mutex> lock(mutex_);
  if (id_ > 0) {
    is_asked_to_stop_ = is_asked_to_stop_ || number == SIGTERM;
    ::kill(id_, number);
  }
}

void process_instance::Kill() {
  const std::lock_guard<std::mutex> lock(mutex_);
  Poll();
  if (id_ > 0) {
    ::kill(id_, SIGKILL);
    int state = 0;
    ::waitpid(id_, &state, 0);
    // It may have ended in another way just before.
    if (!WIFSIGNALED(state) || WTERMSIG(state) != SIGKILL) {
      OnEnd(state);
    }
    id_ = 0;
  }
}

bool process_instance::IsRunning() {
  const std::lock_guard<std::mutex> lock(mutex_);
  Poll();
  return id_ > 0;
}

bool process_instance::IsAskedToStop() {
  const std::lock_guard<std::mutex> lock(mutex_);
  return is_asked_to_stop_;
}

std::optional<std::string> process_instance::TakeFailure() {
  const std::lock_guard<std::mutex> lock(mutex_);
  Poll();
  std::optional<std::string> failure;
  failure.swap(failure_);
  return failure;
}

void process_instance::Poll() {
  int state = 0;
  if (id_ > 0 && ::waitpid(id_, &state, WNOHANG) == id_) {
    OnEnd(state);
    id_ = 0;
  }
}

void process_instance::OnEnd(int state) {
  if (is_asked_to_stop_ && WIFEXITED(state) && WEXITSTATUS(state) == 0) {
    return;
  }
  failure_ =
      (WIFSIGNALED(state)
           ? "ended by signal " + std::to_string(WTERMSIG(state))
           : "ended with status " + std::to_string(WEXITSTATUS(state))) +
      (is_asked_to_stop_ ? " after it was asked to stop, " : ", ") +
      std::to_string(ToMilliseconds(BootTimeNow() - started_at_).count()) +
      " ms after its start";
}

std::size_t process_instance::ResidentMemory() {
  const std::lock_guard<std::mutex> lock(mutex_);
  if (id_ <= 0) {
    return 0;
  }
  std::ifstream pages("/proc/" + std::to_string(id_) + "/statm");
  std::size_t whole = 0;
  std::size_t resident = 0;
  pages >> whole >> resident;
  return resident * static_cast<std::size_t>(::sysconf(_SC_PAGESIZE));
}

std::chrono::nanoseconds process_instance::RunTime() {
  const std::lock_guard<std::mutex> lock(mutex_);
  return ProcessorTime() - loaded_at_;
}

std::chrono::nanoseconds process_instance::ProcessorTime() const {
  clockid_t clock{};
  timespec time{};
  if (id_ <= 0 || ::clock_getcpuclockid(id_, &clock) != 0 ||
      ::clock_gettime(clock, &time) != 0) {
    return loaded_at_;
  }
  return std::chrono::seconds(time.tv_sec) +
         std::chrono::nanoseconds(time.tv_nsec);
}

}  // namespace gentian::soak

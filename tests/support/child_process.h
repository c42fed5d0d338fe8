#ifndef TESTS_SUPPORT_CHILD_PROCESS_H_
#define TESTS_SUPPORT_CHILD_PROCESS_H_

#include <fcntl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <csignal>
#include <cstdio>
#include <filesystem>
#include <fstream>
#include <functional>
#include <optional>
#include <sstream>
#include <string>
#include <vector>

namespace gentian::testing {

/** A process of the real binary, or of another one, with its standard output in
    a file. Killed when the object ends.
*/
class child_process {
 public:
  /** @param prepare  runs in the child before the binary does, with its output
                      open; for limits and file descriptors */
  explicit child_process(const std::vector<std::string>& arguments,
                         const std::string& binary = GENTIAN_BINARY,
                         const std::function<void()>& prepare = nullptr)
      : output_(std::filesystem::temp_directory_path() /
                ("gentian_child_" + std::to_string(::getpid()) + "_" +
                 std::to_string(++child_count))) {
    std::vector<std::string> words{binary};
    words.insert(words.end(), arguments.begin(), arguments.end());
    std::vector<char*> raw;
    raw.reserve(words.size() + 1);
    for (std::string& word : words) {
      raw.push_back(word.data());
    }
    raw.push_back(nullptr);
    const std::string file = output_.string();
    id_ = ::fork();
    if (id_ == 0) {
      const int out = ::open(file.c_str(), O_CREAT | O_WRONLY | O_TRUNC, 0600);
      ::dup2(out, STDOUT_FILENO);
      // Tests that run under nohup ignore it.
      ::signal(SIGHUP, SIG_DFL);
      if (prepare) {
        prepare();
      }
      ::execv(raw[0], raw.data());
      ::_exit(127);
    }
  }
  ~child_process() {
    if (id_ > 0) {
      ::kill(id_, SIGKILL);
      ::waitpid(id_, nullptr, 0);
    }
    std::filesystem::remove(output_);
  }
  child_process(const child_process&) = delete;
  child_process& operator=(const child_process&) = delete;

  void Signal(int number) const { ::kill(id_, number); }

  /** Waits for the end; the exit status, or minus the number of the signal that
      ended it. */
  int Wait() {
    int status = 0;
    ::waitpid(id_, &status, 0);
    id_ = 0;
    return WIFEXITED(status) ? WEXITSTATUS(status) : -WTERMSIG(status);
  }

  /** As Wait, if it has ended. */
  std::optional<int> Poll() {
    int status = 0;
    if (id_ == 0 || ::waitpid(id_, &status, WNOHANG) != id_) {
      return std::nullopt;
    }
    id_ = 0;
    return WIFEXITED(status) ? WEXITSTATUS(status) : -WTERMSIG(status);
  }

  pid_t id() const { return id_; }

  /** What it has written to standard output so far. */
  std::string Output() const {
    std::ifstream in(output_);
    std::ostringstream text;
    text << in.rdbuf();
    return text.str();
  }

  /** The rest of the output line that starts with `name: `. */
  std::string Field(const std::string& name) const {
    std::istringstream lines(Output());
    const std::string start = name + ": ";
    std::string line;
    while (std::getline(lines, line)) {
      if (line.rfind(start, 0) == 0) {
        return line.substr(start.size());
      }
    }
    return {};
  }

 private:
  static inline int child_count = 0;
  std::filesystem::path output_;
  pid_t id_ = 0;
};

}  // namespace gentian::testing

#endif  // TESTS_SUPPORT_CHILD_PROCESS_H_

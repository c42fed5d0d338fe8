#include "gentian_app/crash_report.h"

#include <poll.h>
#include <unistd.h>

#include <array>
#include <csignal>
#include <cstdlib>
#include <cstring>
#include <exception>
#include <string_view>

#include "gentian_log/gentian_log.h"

namespace gentian {

namespace {

struct fault_row {
  int number;
  const char* name;
};

constexpr std::array<fault_row, 5> kFaults = {{{SIGSEGV, "SIGSEGV"},
                                               {SIGBUS, "SIGBUS"},
                                               {SIGFPE, "SIGFPE"},
                                               {SIGILL, "SIGILL"},
                                               {SIGABRT, "SIGABRT"}}};

// Allocates nothing: the process may be out of memory, or in the middle of an
// allocation.
void WriteText(std::string_view text) {
  // A reader that doesn't read must not keep the process from ending.
  pollfd writable{STDERR_FILENO, POLLOUT, 0};
  while (!text.empty() && ::poll(&writable, 1, 0) == 1) {
    const ssize_t count = ::write(STDERR_FILENO, text.data(), text.size());
    if (count <= 0) {
      return;
    }
    text.remove_prefix(static_cast<std::size_t>(count));
  }
}

// Text inside a JSON string.
void WriteQuoted(std::string_view text) {
  constexpr char kFirstPrintable = ' ';
  for (const char next : text) {
    const bool is_plain = next != '"' && next != '\\' &&
                          static_cast<unsigned char>(next) >= kFirstPrintable;
    WriteText(is_plain ? std::string_view(&next, 1) : std::string_view("?"));
  }
}

void WriteReport(std::string_view reason, std::string_view remedy) {
  WriteText(R"({"level":"FATAL","message":"process ends","reason":")");
  WriteQuoted(reason);
  WriteText(R"(","remedy":")");
  WriteQuoted(remedy);
  WriteText("\"}\n");
}

extern "C" void OnFault(int number) {
  for (const fault_row& row : kFaults) {
    if (row.number == number) {
      WriteReport(row.name, "report it with the lines before this one");
    }
  }
  // The default action is back, and ends the process.
  ::raise(number);
}

[[noreturn]] void OnTerminate() {
  constexpr std::string_view kRemedy =
      "give the process more memory, threads or descriptors if it lacks them; "
      "otherwise report it with the lines before this one";
  if (const std::exception_ptr current = std::current_exception()) {
    try {
      std::rethrow_exception(current);
    } catch (const std::exception& failure) {
      WriteReport(failure.what(), kRemedy);
    } catch (...) {
      WriteReport("an exception of an unknown type", kRemedy);
    }
  } else {
    WriteReport("terminated without an exception", kRemedy);
  }
  std::signal(SIGABRT, SIG_DFL);
  std::abort();
}

// A constructor of a library may throw an exception.
__attribute__((section(".preinit_array"),
               used)) void (*const kReportCrashesEarly)() = &ReportCrashes;

}  // namespace

void LogException(const std::string& message) {
  Log(log_level::error, "unexpected exception",
      {{"reason", message},
       {"remedy", "report it with the lines around this one"}});
}

void ReportCrashes() {
  std::set_terminate(&OnTerminate);
#ifndef __SANITIZE_ADDRESS__
  for (const fault_row& row : kFaults) {
    struct sigaction action {};
    action.sa_handler = &OnFault;
    action.sa_flags = static_cast<int>(SA_RESETHAND);
    ::sigaction(row.number, &action, nullptr);
  }
#endif
}

}  // namespace gentian

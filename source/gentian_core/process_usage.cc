#include "gentian_core/process_usage.h"

#include <sys/resource.h>
#include <unistd.h>

#include <filesystem>
#include <fstream>
#include <system_error>

namespace gentian {

namespace {

std::optional<std::size_t> CountDescriptors() {
  std::error_code failure;
  std::filesystem::directory_iterator next("/proc/self/fd", failure);
  std::size_t count = 0;
  while (!failure && next != std::filesystem::directory_iterator()) {
    ++count;
    next.increment(failure);
  }
  if (failure || count == 0) {
    return std::nullopt;
  }
  // One of them is that of the directory.
  return count - 1;
}

std::optional<std::size_t> ReadResidentBytes() {
  std::ifstream file("/proc/self/statm");
  std::size_t total_pages = 0;
  std::size_t resident_pages = 0;
  if (!(file >> total_pages >> resident_pages)) {
    return std::nullopt;
  }
  return resident_pages * static_cast<std::size_t>(::sysconf(_SC_PAGESIZE));
}

}  // namespace

process_usage ReadProcessUsage() {
  return {CountDescriptors(), ReadResidentBytes()};
}

std::size_t HostMemory() {
  const long pages = ::sysconf(_SC_PHYS_PAGES);
  const long page = ::sysconf(_SC_PAGESIZE);
  return pages > 0 && page > 0
             ? static_cast<std::size_t>(pages) * static_cast<std::size_t>(page)
             : 0;
}

std::size_t DescriptorLimit() {
  rlimit limit{};
  if (::getrlimit(RLIMIT_NOFILE, &limit) != 0 ||
      limit.rlim_cur == RLIM_INFINITY) {
    return 0;
  }
  return static_cast<std::size_t>(limit.rlim_cur);
}

}  // namespace gentian

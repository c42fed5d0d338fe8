#ifndef GENTIAN_CORE_PROCESS_USAGE_H_
#define GENTIAN_CORE_PROCESS_USAGE_H_

#include <cstddef>
#include <optional>

namespace gentian {

/** What this process holds of its limits. A value that the host does not tell
    is absent. */
struct process_usage {
  std::optional<std::size_t> open_descriptors;
  std::optional<std::size_t> resident_bytes;
};

process_usage ReadProcessUsage();

/** Memory of the host in bytes; 0 if it does not tell. */
std::size_t HostMemory();

/** Descriptors that the host lets this process open (RLIMIT_NOFILE); 0 if it
    sets no limit. */
std::size_t DescriptorLimit();

}  // namespace gentian

#endif  // GENTIAN_CORE_PROCESS_USAGE_H_

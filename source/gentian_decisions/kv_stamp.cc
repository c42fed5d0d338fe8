#include "gentian_decisions/kv_stamp.h"

#include <cstddef>
#include <cstdlib>

namespace gentian {

namespace {

constexpr char kMark[] = "gentian1 ";
constexpr std::size_t kMarkLength = sizeof(kMark) - 1;

}  // namespace

std::string AddStamp(const kv_stamp& stamp, const std::string& value) {
  return kMark + stamp.writer + " " + std::to_string(stamp.number) + "\n" +
         value;
}

kv_stamp TakeStamp(std::string& value) {
  const std::size_t end = value.find('\n');
  const std::size_t gap = value.find(' ', kMarkLength);
  if (value.compare(0, kMarkLength, kMark) != 0 || end == std::string::npos ||
      gap == std::string::npos || gap > end) {
    return {};
  }
  kv_stamp stamp;
  stamp.writer = value.substr(kMarkLength, gap - kMarkLength);
  stamp.number = std::strtoull(value.c_str() + gap + 1, nullptr, 10);
  value.erase(0, end + 1);
  return stamp;
}

}  // namespace gentian

#include "gentian_app/text_file.h"

#include <cerrno>
#include <cstring>
#include <fstream>
#include <iostream>
#include <iterator>
#include <sstream>

namespace gentian {

result<std::string> ReadTextFile(const std::string& path) {
  std::ostringstream text;
  if (path == "-") {
    text << std::cin.rdbuf();
    return text.str();
  }
  errno = 0;
  std::ifstream file(path, std::ios::binary);
  // A folder opens without an error and fails at the first read.
  if (!file || file.peek() == std::ifstream::traits_type::eof()) {
    const int reason = errno;
    if (!file.is_open() || reason != 0) {
      return error{error_kind::unavailable,
                   "can not read " + path + ": " + std::strerror(reason),
                   "check the path and its permissions"};
    }
    return std::string();
  }
  text << file.rdbuf();
  return text.str();
}

}  // namespace gentian

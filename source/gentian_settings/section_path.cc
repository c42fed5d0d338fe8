#include "gentian_settings/section_path.h"

#include <algorithm>
#include <cassert>

namespace gentian {

namespace {

bool IsPartCharacter(char c) {
  return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') ||
         (c >= '0' && c <= '9') || c == '_' || c == '-' || c == '.';
}

}  // namespace

bool IsSectionPath(const std::string& path) {
  if (path == "/") {
    return true;
  }
  if (path.empty() || path.front() != '/' || path.back() == '/') {
    return false;
  }
  const std::vector<std::string> parts = SectionParts(path);
  return std::all_of(parts.begin(), parts.end(), [](const std::string& part) {
    return !part.empty() &&
           std::all_of(part.begin(), part.end(), IsPartCharacter);
  });
}

std::vector<std::string> SectionParts(const std::string& path) {
  std::vector<std::string> parts;
  std::size_t start = 1;
  while (start < path.size()) {
    const auto slash = std::min(path.find('/', start), path.size());
    parts.push_back(path.substr(start, slash - start));
    start = slash + 1;
  }
  return parts;
}

std::string SectionAbove(const std::string& path) {
  assert(path != "/");
  const auto slash = path.rfind('/');
  return slash == 0 || slash == std::string::npos ? "/" : path.substr(0, slash);
}

bool IsBelow(const std::string& path, const std::string& above) {
  if (above == "/") {
    return path != "/";
  }
  return path.size() > above.size() + 1 && path[above.size()] == '/' &&
         path.compare(0, above.size(), above) == 0;
}

}  // namespace gentian

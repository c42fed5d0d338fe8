#include "gentian_settings/settings_problem.h"

namespace gentian {

std::string ToString(const settings_problem& problem) {
  std::string text = problem.file.empty() ? "settings" : problem.file;
  if (problem.line > 0) {
    text += ":" + std::to_string(problem.line);
  }
  text += ": ";
  if (!problem.section.empty()) {
    text += "[" + problem.section + "] ";
  }
  if (!problem.key.empty()) {
    text += problem.key + ": ";
  }
  return text + problem.reason + "; " + problem.remedy;
}

}  // namespace gentian

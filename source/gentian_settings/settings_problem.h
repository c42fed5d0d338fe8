#ifndef GENTIAN_SETTINGS_SETTINGS_PROBLEM_H_
#define GENTIAN_SETTINGS_SETTINGS_PROBLEM_H_

#include <string>

#include "gentian_core/gentian_core.h"

namespace gentian {

/** One mistake in settings, with what an operator needs to mend it. */
struct settings_problem {
  /** File name, or empty for the configuration held by the fleet. */
  std::string file;
  /** Line in the file, 0 if unknown. */
  int line = 0;
  std::string section;
  std::string key;
  std::string reason;
  std::string remedy;
};

/** One line: `file:line: [section] key: reason; remedy`. */
std::string ToString(const settings_problem& problem);

NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(settings_problem,
                                                file,
                                                line,
                                                section,
                                                key,
                                                reason,
                                                remedy)

}  // namespace gentian

#endif  // GENTIAN_SETTINGS_SETTINGS_PROBLEM_H_

#ifndef GENTIAN_SETTINGS_INI_READER_H_
#define GENTIAN_SETTINGS_INI_READER_H_

#include <string>
#include <vector>

#include "gentian_settings/settings_problem.h"

namespace gentian {

/** One `key = value` line of an INI file. */
struct ini_entry {
  std::string section;
  std::string key;
  std::string value;
  int line = 0;
};

/** A `[section]` line of an INI file. */
struct ini_section {
  std::string name;
  int line = 0;
};

/** All that could be read of an INI file, and what could not. */
struct ini_reading {
  std::vector<ini_section> sections;
  std::vector<ini_entry> entries;
  std::vector<settings_problem> problems;
};

/** Reads INI text. Reading goes on after a mistake, so that one run reports
    all. Lines that begin with `#` or `;` are comments; a comment after a value
    is not supported, because values may contain both characters.
*/
ini_reading ReadIni(const std::string& text, const std::string& file);

}  // namespace gentian

#endif  // GENTIAN_SETTINGS_INI_READER_H_

#ifndef GENTIAN_APP_TEXT_FILE_H_
#define GENTIAN_APP_TEXT_FILE_H_

#include <string>

#include "gentian_core/gentian_core.h"

namespace gentian {

/** Reads a whole file; `-` reads standard input. */
result<std::string> ReadTextFile(const std::string& path);

}  // namespace gentian

#endif  // GENTIAN_APP_TEXT_FILE_H_

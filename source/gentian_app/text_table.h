#ifndef GENTIAN_APP_TEXT_TABLE_H_
#define GENTIAN_APP_TEXT_TABLE_H_

#include <string>
#include <vector>

#include "gentian_core/gentian_core.h"

namespace gentian {

/** Lines up rows in columns; the first row is the heading. */
std::string FormatTable(const std::vector<std::vector<std::string>>& rows);

/** A JSON value as one cell: text without quotes, lists separated by commas. */
std::string CellText(const json& value);

/** An array of objects, or an object of objects or values, as a table. */
std::string FormatRecords(const json& records);

}  // namespace gentian

#endif  // GENTIAN_APP_TEXT_TABLE_H_

#include "gentian_app/text_table.h"

#include <algorithm>
#include <set>

namespace gentian {

namespace {

constexpr std::size_t kGap = 2;

struct named_record {
  std::string name;
  const json* fields;
};

// Rows with a name come from an object of objects, the others from an array.
std::string FormatNamed(const std::vector<named_record>& records) {
  std::vector<std::string> columns;
  bool named = false;
  for (const named_record& record : records) {
    named = named || !record.name.empty();
    for (const auto& [key, value] : record.fields->items()) {
      if (std::find(columns.begin(), columns.end(), key) == columns.end()) {
        columns.push_back(key);
      }
    }
  }
  std::vector<std::vector<std::string>> rows(1);
  if (named) {
    rows[0].emplace_back("name");
  }
  rows[0].insert(rows[0].end(), columns.begin(), columns.end());
  for (const named_record& record : records) {
    std::vector<std::string>& row = rows.emplace_back();
    if (named) {
      row.push_back(record.name);
    }
    for (const std::string& column : columns) {
      const auto cell = record.fields->find(column);
      row.push_back(cell == record.fields->end() ? "" : CellText(*cell));
    }
  }
  return FormatTable(rows);
}

}  // namespace

std::string FormatTable(const std::vector<std::vector<std::string>>& rows) {
  std::vector<std::size_t> widths;
  for (const std::vector<std::string>& row : rows) {
    widths.resize(std::max(widths.size(), row.size()));
    for (std::size_t i = 0; i < row.size(); ++i) {
      widths[i] = std::max(widths[i], row[i].size());
    }
  }
  std::string text;
  for (const std::vector<std::string>& row : rows) {
    std::string line;
    for (std::size_t i = 0; i < row.size(); ++i) {
      line += row[i];
      line.append(widths[i] - row[i].size() + kGap, ' ');
    }
    line.erase(line.find_last_not_of(' ') + 1);
    text += line + "\n";
  }
  return text;
}

std::string CellText(const json& value) {
  if (value.is_string()) {
    return value.get<std::string>();
  }
  if (value.is_boolean()) {
    return value.get<bool>() ? "yes" : "no";
  }
  if (!value.is_array()) {
    return value.dump(-1, ' ', false, json::error_handler_t::replace);
  }
  std::string joined;
  for (const json& item : value) {
    joined += (joined.empty() ? "" : ", ") + CellText(item);
  }
  return joined;
}

std::string FormatRecords(const json& records) {
  std::vector<named_record> rows;
  if (records.is_array()) {
    for (const json& record : records) {
      if (!record.is_object()) {
        return CellText(records) + "\n";
      }
      rows.push_back({"", &record});
    }
    return FormatNamed(rows);
  }
  std::vector<std::vector<std::string>> pairs;
  for (const auto& [name, record] : records.items()) {
    if (record.is_object()) {
      rows.push_back({name, &record});
    } else {
      pairs.push_back({name, CellText(record)});
    }
  }
  return FormatTable(pairs) + (rows.empty() ? "" : FormatNamed(rows));
}

}  // namespace gentian

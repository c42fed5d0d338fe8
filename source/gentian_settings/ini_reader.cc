#include "gentian_settings/ini_reader.h"

#include <algorithm>
#include <map>
#include <utility>

namespace gentian {

namespace {

// Boost.PropertyTree's reader throws at the first mistake and keeps no line
// numbers, and Boost.ProgramOptions keeps neither lines nor duplicates; both
// are needed to report every mistake with its place.
class ini_parser {
 public:
  explicit ini_parser(const std::string& file) : file_(file) {}

  void ReadLine(const std::string& raw) {
    ++line_;
    const std::string text = Trim(raw);
    if (HasControlCharacter(text)) {
      Report("", "the line contains a control character",
             "save the file as plain UTF-8 text");
      return;
    }
    if (text.empty() || text.front() == '#' || text.front() == ';') {
      return;
    }
    if (text.front() == '[') {
      ReadSection(text);
    } else {
      ReadEntry(text);
    }
  }

  ini_reading Take() { return std::move(reading_); }

 private:
  static std::string Trim(const std::string& text) {
    constexpr const char* kBlank = " \t\r";
    const auto first = text.find_first_not_of(kBlank);
    if (first == std::string::npos) {
      return {};
    }
    return text.substr(first, text.find_last_not_of(kBlank) - first + 1);
  }

  static bool HasControlCharacter(const std::string& text) {
    return std::any_of(text.begin(), text.end(), [](char c) {
      const auto byte = static_cast<unsigned char>(c);
      return (byte < 0x20 && c != '\t') || byte == 0x7f;
    });
  }

  void ReadSection(const std::string& text) {
    const std::string name =
        text.back() == ']' ? Trim(text.substr(1, text.size() - 2)) : "";
    section_usable_ = !name.empty();
    if (!section_usable_) {
      Report("", "'" + text + "' is not a section header",
             "write a name in brackets, for example [/teams]");
      return;
    }
    section_ = name;
    const auto [earlier, added] = section_lines_.emplace(name, line_);
    if (!added) {
      Report("",
             "section [" + name + "] is already in line " +
                 std::to_string(earlier->second),
             "move its keys to the first one");
      return;
    }
    reading_.sections.push_back({name, line_});
  }

  void ReadEntry(const std::string& text) {
    const auto equals = text.find('=');
    const std::string key =
        equals == std::string::npos ? "" : Trim(text.substr(0, equals));
    if (key.empty()) {
      Report("", "'" + text + "' is neither a section nor a value",
             "write it as key = value");
      return;
    }
    if (!section_usable_) {
      Report(key, "the value belongs to no section",
             "write a section header above it, for example [/fleet]");
      return;
    }
    const auto [earlier, added] =
        key_lines_.emplace(std::make_pair(section_, key), line_);
    if (!added) {
      Report(
          key,
          "the key is already set in line " + std::to_string(earlier->second),
          "remove one of the two lines");
      return;
    }
    reading_.entries.push_back(
        {section_, key, Trim(text.substr(equals + 1)), line_});
  }

  void Report(std::string key, std::string reason, std::string remedy) {
    reading_.problems.push_back({file_, line_, section_, std::move(key),
                                 std::move(reason), std::move(remedy)});
  }

  std::string file_;
  int line_ = 0;
  std::string section_;
  bool section_usable_ = false;
  std::map<std::string, int> section_lines_;
  std::map<std::pair<std::string, std::string>, int> key_lines_;
  ini_reading reading_;
};

// A byte order mark at the start of a file is no content.
constexpr const char* kByteOrderMark = "\xEF\xBB\xBF";

}  // namespace

ini_reading ReadIni(const std::string& text, const std::string& file) {
  ini_parser parser(file);
  std::size_t start = text.compare(0, 3, kByteOrderMark) == 0 ? 3 : 0;
  while (start < text.size()) {
    const auto end = std::min(text.find('\n', start), text.size());
    parser.ReadLine(text.substr(start, end - start));
    start = end + 1;
  }
  return parser.Take();
}

}  // namespace gentian

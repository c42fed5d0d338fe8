#ifndef GENTIAN_SETTINGS_SECTION_PATH_H_
#define GENTIAN_SETTINGS_SECTION_PATH_H_

#include <string>
#include <vector>

namespace gentian {

/** True for `/` and for `/part/part…` with parts of letters, digits, `_`, `-`
    and `.`.
*/
bool IsSectionPath(const std::string& path);

/** The parts of a section path; none for `/`. */
std::vector<std::string> SectionParts(const std::string& path);

/** The section above, `/` for a section with one part.
    Precondition: the path is not `/`.
*/
std::string SectionAbove(const std::string& path);

/** True if a section is strictly below another one. */
bool IsBelow(const std::string& path, const std::string& above);

}  // namespace gentian

#endif  // GENTIAN_SETTINGS_SECTION_PATH_H_

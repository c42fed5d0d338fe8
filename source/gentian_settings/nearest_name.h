#ifndef GENTIAN_SETTINGS_NEAREST_NAME_H_
#define GENTIAN_SETTINGS_NEAREST_NAME_H_

#include <string>
#include <vector>

namespace gentian {

/** The known name with the fewest single-character edits from a wrong one,
    or an empty text if none is close enough to be a likely misspelling.
*/
std::string NearestName(const std::string& wrong,
                        const std::vector<std::string>& known);

}  // namespace gentian

#endif  // GENTIAN_SETTINGS_NEAREST_NAME_H_

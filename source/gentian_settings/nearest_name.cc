#include "gentian_settings/nearest_name.h"

#include <algorithm>
#include <cstddef>
#include <numeric>

namespace gentian {

namespace {

// Longer input comes from damaged files; its distance is not worth computing.
constexpr std::size_t kLongestName = 128;

std::size_t EditDistance(const std::string& a, const std::string& b) {
  std::vector<std::size_t> row(b.size() + 1);
  std::iota(row.begin(), row.end(), std::size_t{0});
  for (std::size_t i = 1; i <= a.size(); ++i) {
    std::size_t diagonal = row[0];
    row[0] = i;
    for (std::size_t j = 1; j <= b.size(); ++j) {
      const std::size_t substituted = diagonal + (a[i - 1] == b[j - 1] ? 0 : 1);
      diagonal = row[j];
      row[j] = std::min({row[j] + 1, row[j - 1] + 1, substituted});
    }
  }
  return row[b.size()];
}

}  // namespace

std::string NearestName(const std::string& wrong,
                        const std::vector<std::string>& known) {
  if (wrong.size() > kLongestName) {
    return {};
  }
  std::string best;
  // A name is a likely misspelling if at most half of it is wrong.
  std::size_t best_distance = wrong.size() / 2 + 1;
  for (const std::string& candidate : known) {
    const std::size_t distance = EditDistance(wrong, candidate);
    if (distance < best_distance) {
      best_distance = distance;
      best = candidate;
    }
  }
  return best;
}

}  // namespace gentian

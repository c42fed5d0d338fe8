#ifndef GENTIAN_SETTINGS_PROBLEM_LIST_H_
#define GENTIAN_SETTINGS_PROBLEM_LIST_H_

#include <string>
#include <utility>
#include <vector>

#include "gentian_settings/settings_tree.h"

namespace gentian::detail {

/** Collects mistakes in a tree, each with the place where it was read. */
class problem_list {
 public:
  /** The tree must outlive the list. */
  explicit problem_list(const settings_tree& tree) : tree_(tree) {}

  /** Adds a mistake. An empty key stands for the section as a whole. */
  void Add(const std::string& section,
           const std::string& key,
           std::string reason,
           std::string remedy);

  bool empty() const { return problems_.empty(); }
  std::vector<settings_problem> Take() { return std::move(problems_); }

 private:
  const settings_tree& tree_;
  std::vector<settings_problem> problems_;
};

/** Reports unknown sections and keys and values of the wrong type or range. */
void CheckValues(const settings_tree& tree, problem_list& problems);

/** Reports names that lead nowhere and values that contradict each other.
    Only sections that could be converted are looked at.
*/
void CheckReferences(const settings_tree& tree,
                     const configuration& settings,
                     problem_list& problems);

}  // namespace gentian::detail

#endif  // GENTIAN_SETTINGS_PROBLEM_LIST_H_

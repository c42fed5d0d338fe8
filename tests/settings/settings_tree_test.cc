#include <criterion/criterion.h>

#include "gentian_settings/gentian_settings.h"

using gentian::settings_change;
using gentian::settings_tree;

namespace {

settings_tree Tree(const std::string& text) {
  return std::get<settings_tree>(gentian::ParseSettings(text, "test.ini"));
}

}  // namespace

// Guards against an effective value that names the wrong section, also for
// sections that are not in the tree themselves.
Test(settings_tree, the_nearest_section_above_gives_the_value) {
  const settings_tree tree =
      Tree("[/]\nrate = 1/s\n[/teams/a]\nrate = 2/s\n[/teams/a/b/c]\nx = y\n");
  cr_assert_str_eq(tree.Find("/teams/a/b/c", "rate")->origin.c_str(),
                   "/teams/a");
  cr_assert_str_eq(tree.Find("/teams/ab", "rate")->origin.c_str(), "/");
  cr_assert_not(tree.Find("/teams/a", "burst").has_value());
}

// Guards against a change set or a rollback that does not lead to the tree
// that it was computed for.
Test(settings_tree, a_difference_leads_to_the_other_tree_and_back) {
  settings_tree from = Tree("[/]\nrate = 1/s\n[/teams/a]\nrate = 2/s\n");
  settings_tree to = Tree("[/]\nrate = 3/s\n[/teams/b]\nrate = 2/s\n");
  const auto forward = from.DifferenceTo(to);
  const auto back = to.DifferenceTo(from);
  cr_assert_eq(forward.size(), 3);
  const settings_tree original = from;
  from.Apply(forward);
  cr_assert(from.sections() == to.sections());
  from.Apply(back);
  cr_assert(from.sections() == original.sections());
}

// Guards against text and JSON forms that lose values.
Test(settings_tree, text_and_json_round_trips_keep_all_values) {
  const settings_tree tree = Tree(
      "# comment\n; another\n[/]\nrate = 1/s\n[/pools/p]\nmodel = a = b; c\n"
      "[/teams/a]\nprograms =\n");
  cr_assert(Tree(tree.ToIni()).sections() == tree.sections());
  const auto copy = gentian::json(tree).get<settings_tree>();
  cr_assert(copy.sections() == tree.sections());
}

// Guards against a value from the administration API or a file that can not be
// written to INI text or JSON and read back.
Test(settings_tree, values_without_a_text_form_are_mistakes) {
  settings_tree tree;
  tree.Apply({settings_change{"/pools/p", "model", "a\n[/teams/x]"},
              settings_change{"/pools/q", "model", "\xff"},
              settings_change{"/teams/a", "key.x]\ny", std::string(64, 'a')}});
  const auto built = BuildConfiguration(tree, 1);
  const auto& problems =
      std::get<std::vector<gentian::settings_problem>>(built);
  cr_assert_eq(problems.size(), 3);
}

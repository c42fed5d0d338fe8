#include <criterion/criterion.h>

#include "gentian_settings/gentian_settings.h"

// Guards against a rollback to a tree that never was in force.
Test(accepted_change, a_gap_in_the_history_is_refused) {
  const std::vector<gentian::accepted_change> history = {
      {3, {"ana", "", {{"/", "rate", "3/s"}}}},
      {1, {"ana", "", {{"/", "rate", "1/s"}, {"/teams/a", "team", "yes"}}}}};
  cr_assert(Failed(gentian::TreeOfVersion(history, 3)));
  gentian::settings_tree now;
  now.Apply({{"/", "rate", "3/s"}});
  const auto back = gentian::ChangesBackTo(now, history, 1);
  cr_assert_not(Failed(back));
  now.Apply(ValueOf(back));
  cr_assert(now.sections() ==
            ValueOf(gentian::TreeOfVersion(history, 1)).sections());
}

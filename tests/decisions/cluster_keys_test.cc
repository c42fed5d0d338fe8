#include <criterion/criterion.h>

#include "gentian_decisions/key_registry.h"

using namespace gentian;

namespace {

configuration WithKey(const std::string& key) {
  configuration settings;
  team_settings team;
  team.id = team_id("kiosk");
  team.key_hashes.insert(Sha256Hex(key));
  settings.teams[team.id] = team;
  return settings;
}

}  // namespace

// Guards against a withdrawn key that comes back with a later configuration.
Test(cluster_keys, a_withdrawn_key_stays_withdrawn) {
  key_registry subject;
  subject.SetGranted(WithKey("secret"));
  cr_assert(ValueOf(subject.Check("secret")).team == team_id("kiosk"));
  subject.Withdraw(Sha256Hex("secret"));
  subject.SetGranted(WithKey("secret"));
  cr_assert(ErrorOf(subject.Check("secret")).kind == error_kind::key_withdrawn);
}

// Guards against acceptance of a key that no team holds, or of no key.
Test(cluster_keys, an_unknown_key_is_refused) {
  key_registry subject;
  subject.SetGranted(WithKey("secret"));
  cr_assert(ErrorOf(subject.Check("other")).kind == error_kind::unauthorized);
  cr_assert(ErrorOf(subject.Check("")).kind == error_kind::unauthorized);
}

// Guards against streams that continue after a configuration dropped the key
// or gave it to another team.
Test(cluster_keys, removed_keys_are_reported) {
  key_registry subject;
  subject.SetGranted(WithKey("secret"));
  const auto removed = subject.SetGranted(WithKey("other"));
  cr_assert(removed.size() == 1);
  cr_assert(removed[0] == Sha256Hex("secret"));
}

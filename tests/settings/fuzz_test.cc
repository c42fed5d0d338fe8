#include <criterion/criterion.h>

#include "gentian_settings/gentian_settings.h"

using gentian::seeded_random;
using gentian::settings_tree;

namespace {

constexpr int kRounds = 3'000;
constexpr std::size_t kMostFragments = 40;

// Fragments of valid files give more deep hits than random bytes alone.
const std::vector<std::string>& Fragments() {
  static const std::vector<std::string> fragments = {"[/]\n",
                                                     "[/teams/a]\n",
                                                     "[/teams/a/b]\n",
                                                     "[/pools/p]\n",
                                                     "[/pools/p/t]",
                                                     "[/fleet]\n",
                                                     "[daemon]\n",
                                                     "[log]\n",
                                                     "rate = 5/s\n",
                                                     "burst = 1\n",
                                                     "team = yes\n",
                                                     "key.x = 00\n",
                                                     "address=1:1",
                                                     "model=m\n",
                                                     "\n",
                                                     "=",
                                                     "[",
                                                     "]",
                                                     "\r\n",
                                                     "\t",
                                                     "9e99",
                                                     "-1",
                                                     "99999999999999",
                                                     "\xff\xfe",
                                                     "/",
                                                     "//",
                                                     "..",
                                                     "#",
                                                     "rate = nan/s",
                                                     "level = info\n"};
  return fragments;
}

std::string RandomText(seeded_random& random) {
  std::string text;
  const std::uint64_t pieces = random.Below(kMostFragments);
  for (std::uint64_t i = 0; i < pieces; ++i) {
    if (random.Below(4) == 0) {
      text += static_cast<char>(random.Below(256));
    } else {
      text += Fragments()[random.Below(Fragments().size())];
    }
  }
  return text;
}

}  // namespace

// Guards against damaged files that crash the readers, and against a file with
// mistakes of which a part is put in force. Seed 1.
Test(fuzz, damaged_files_are_refused_as_a_whole) {
  seeded_random random(1);
  int accepted = 0;
  for (int round = 0; round < kRounds; ++round) {
    const std::string text = RandomText(random);
    const bool clean = gentian::CheckSettings(text, "f.ini").empty();
    const auto parsed = gentian::ParseSettings(text, "f.ini");
    const auto* tree = std::get_if<settings_tree>(&parsed);
    const bool built =
        tree != nullptr && std::holds_alternative<gentian::configuration>(
                               gentian::BuildConfiguration(*tree, 1));
    cr_assert_eq(clean, built, "round %d", round);
    if (built) {
      ++accepted;
      const auto copy = gentian::ParseSettings(tree->ToIni(), "f.ini");
      cr_assert(std::get<settings_tree>(copy).sections() == tree->sections());
    }
  }
  // Without accepted files the comparison above would hold trivially.
  cr_assert_gt(accepted, 0);
}

// Guards against values from the network that pass the check although the
// text form can not hold them. Seed 2.
Test(fuzz, accepted_changes_survive_the_text_form) {
  seeded_random random(2);
  int accepted = 0;
  for (int round = 0; round < kRounds; ++round) {
    settings_tree tree;
    tree.Apply({{"/teams/a", "team", "yes"}});
    std::string value = "m";
    value.insert(random.Below(2), 1, static_cast<char>(random.Below(256)));
    tree.Apply({{"/pools/p", "model", value}});
    if (!std::holds_alternative<gentian::configuration>(
            gentian::BuildConfiguration(tree, 1))) {
      continue;
    }
    ++accepted;
    const auto copy = gentian::ParseSettings(tree.ToIni(), "f.ini");
    cr_assert(std::get<settings_tree>(copy).sections() == tree.sections());
  }
  cr_assert_gt(accepted, 0);
}

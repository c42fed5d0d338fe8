#include <criterion/criterion.h>

#include <vector>

#include "gentian_core/gentian_core.h"

using gentian::host_id;
using gentian::RendezvousOrder;

// Guards against moving keys between surviving hosts when one host is lost.
Test(hash, rendezvous_moves_only_keys_of_the_lost_host) {
  const std::vector<host_id> all{host_id("a"), host_id("b"), host_id("c"),
                                 host_id("d")};
  const std::vector<host_id> rest{host_id("a"), host_id("b"), host_id("d")};
  int moved = 0;
  for (int i = 0; i < 200; ++i) {
    const auto key = "key" + std::to_string(i);
    const auto before = RendezvousOrder(key, all).front();
    const auto after = RendezvousOrder(key, rest).front();
    if (before == host_id("c")) {
      ++moved;
    } else {
      cr_assert(before == after);
    }
  }
  cr_assert(moved > 25 && moved < 75, "uneven placement: %d of 200", moved);
}

// Guards against a key hash that other tools can't reproduce.
Test(hash, sha256_matches_the_published_test_vector) {
  cr_assert(gentian::Sha256Hex("abc") ==
            "ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad");
}

// Short seeded runs of the fault soak: gateways and turn stores as real
// processes under load, with disturbances that overlap.
#include <criterion/criterion.h>

#include <string>

#include "support/child_process.h"

using gentian::testing::child_process;

// Guards against what single tests don't combine: streams with a piece missing
// or twice, or of two versions, or that end early and look complete; requests
// that run twice, or run and were reported as not run.
Test(gateway_soak, promises_hold_under_overlapping_faults, .timeout = 300) {
  for (const char* seed : {"1", "2"}) {
    child_process soak({"--binary", GENTIAN_BINARY, "--seed", seed, "--seconds",
                        "20", "--gateways", "4", "--callers", "24"},
                       GENTIAN_SOAK_BINARY);
    const int status = soak.Wait();
    cr_assert(status == 0, "seed %s: status %d, %s", seed, status,
              soak.Output().c_str());
  }
}

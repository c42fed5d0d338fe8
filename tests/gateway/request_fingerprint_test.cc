#include <criterion/criterion.h>

#include <set>

#include "gentian_gateway/gentian_gateway.h"

using namespace gentian;

// Guards against taking different requests for the same one, also if their
// parts join to the same text.
Test(request_fingerprint, differs_by_each_part) {
  const std::set<std::string> prints = {
      RequestFingerprint("GET", "/a", "t", "body"),
      RequestFingerprint("POST", "/a", "t", "body"),
      RequestFingerprint("GET", "/b", "t", "body"),
      RequestFingerprint("GET", "/a", "u", "body"),
      RequestFingerprint("GET", "/a", "t", "other"),
      RequestFingerprint("GET", "/at", "", "body"),
      RequestFingerprint("GET", "/a", "tb", "ody"),
      RequestFingerprint("GET", "/a", "", ""),
  };
  cr_assert(prints.size() == 8);
  for (const std::string& print : prints) {
    cr_assert(print.size() == 16);
  }
  cr_assert(RequestFingerprint("GET", "/a", "t", "body") ==
            RequestFingerprint("GET", "/a", "t", "body"));
}

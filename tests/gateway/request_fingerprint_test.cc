#include <criterion/criterion.h>

#include <set>
#include <string>

#include "gentian_gateway/gentian_gateway.h"

using namespace gentian;

// Guards against taking different requests for the same one, also if their
// parts join to the same text.
Test(request_fingerprint, differs_by_each_part) {
  const std::set<std::string> contents = {
      FingerprintOf("GET", "/a", "t", "body").content,
      FingerprintOf("POST", "/a", "t", "body").content,
      FingerprintOf("GET", "/b", "t", "body").content,
      FingerprintOf("GET", "/a", "u", "body").content,
      FingerprintOf("GET", "/a", "t", "other").content,
      FingerprintOf("GET", "/at", "", "body").content,
      FingerprintOf("GET", "/a", "tb", "ody").content,
      FingerprintOf("GET", "/a", "", "").content,
  };
  cr_assert(contents.size() == 8);
  for (const std::string& fingerprint : contents) {
    cr_assert(fingerprint.size() == 16);
  }
  cr_assert(FingerprintOf("GET", "/a", "t", "body").content ==
            FingerprintOf("GET", "/a", "t", "body").content);
}

// Guards against taking the turns of one program for unrelated requests: each
// repeats the prompt of the one before and adds to it.
Test(request_fingerprint, the_origin_is_the_same_for_all_bodies) {
  const request_fingerprint first = FingerprintOf("POST", "/a", "t", "one");
  const request_fingerprint next = FingerprintOf("POST", "/a", "t", "one two");
  cr_assert(first.origin == next.origin);
  cr_assert(first.content != next.content);
  const request_fingerprint other = FingerprintOf("POST", "/a", "u", "one");
  cr_assert(first.origin != other.origin);
  const request_fingerprint empty = FingerprintOf("GET", "/a", "t", "");
  cr_assert(empty.origin == empty.content);
  // Otherwise one caller could have the requests of all others blocked.
  const request_fingerprint open = FingerprintOf("POST", "/a", "", "one");
  cr_assert(open.origin == open.content);
}

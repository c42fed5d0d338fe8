#include "gentian_turns/stream_origin.h"

#include <criterion/criterion.h>

using namespace gentian;

namespace {

stored_origin Example() {
  return {{"team", "request"}, 2, {"service", "v2", "target", 17, 12'345}};
}

}  // namespace

// Guards against an origin that changes on the way to a store.
Test(stream_origin, arrives_as_it_was_sent) {
  const auto stored = DecodeStoredOrigin(EncodeStoredOrigin(Example()));
  cr_assert(!Failed(stored));
  cr_assert(ValueOf(stored).key == Example().key);
  cr_assert(ValueOf(stored).send == 2);
  const auto origin = DecodeOrigin(EncodeOrigin(Example().origin));
  cr_assert(!Failed(origin));
  cr_assert(IsSameSoftware(ValueOf(origin), Example().origin));
  cr_assert(ValueOf(origin).target == "target");
  cr_assert(ValueOf(origin).target_start == 17);
  cr_assert(ValueOf(origin).sent_at_ms == 12'345);
}

// Guards against a damaged message that ends a process.
Test(stream_origin, every_cut_of_a_message_is_refused) {
  const std::string stored = EncodeStoredOrigin(Example());
  for (std::size_t size = 0; size < stored.size(); ++size) {
    cr_assert(Failed(DecodeStoredOrigin(stored.substr(0, size))));
  }
  const std::string origin = EncodeOrigin(Example().origin);
  for (std::size_t size = 0; size < origin.size(); ++size) {
    cr_assert(Failed(DecodeOrigin(origin.substr(0, size))));
  }
}

// Guards against two targets of unknown versions that count as the same.
Test(stream_origin, unknown_versions_are_not_the_same) {
  stream_origin unknown;
  unknown.service = "s";
  cr_assert(!IsSameSoftware(unknown, unknown));
  cr_assert(Failed(DecodeOrigin(EncodeOrigin(unknown))));
}

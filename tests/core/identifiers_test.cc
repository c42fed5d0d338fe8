#include <criterion/criterion.h>

#include "gentian_core/gentian_core.h"

using gentian::session_id;
using gentian::ShardOf;

// Guards against losing part of the host name when it contains dots.
Test(identifiers, shard_of_session_keeps_dots_of_host_name) {
  const auto shard = ShardOf(session_id("entry.a-3-1.17.f00d"));
  cr_assert(shard.text() == "entry.a-3-1");
}

// Guards against treating arbitrary caller input as a session id.
Test(identifiers, text_without_two_dots_names_no_shard) {
  cr_assert(ShardOf(session_id("")).empty());
  cr_assert(ShardOf(session_id("abc")).empty());
  cr_assert(ShardOf(session_id(".x")).empty());
  cr_assert(ShardOf(session_id("a.b")).empty());
}

#include <criterion/criterion.h>

#include "gentian_daemon/gentian_daemon.h"

using gentian::admin_http_request;
using gentian::json;
using gentian::seeded_random;

namespace {

constexpr int kRounds = 5'000;

template <typename Bytes>
void Damage(Bytes& bytes, seeded_random& random) {
  const std::uint64_t edits = random.Below(4);
  for (std::uint64_t i = 0; i < edits && !bytes.empty(); ++i) {
    const auto at = random.Below(bytes.size());
    const auto position =
        bytes.begin() + static_cast<typename Bytes::difference_type>(at);
    switch (random.Below(3)) {
      case 0:
        *position = static_cast<typename Bytes::value_type>(random.Below(256));
        break;
      case 1:
        bytes.erase(position);
        break;
      default:
        bytes.resize(at);
    }
  }
}

}  // namespace

// Guards against request bodies that crash the administration API, and against
// a change set of which only a part is passed on. Seed 4.
Test(bad_input, damaged_admin_bodies_are_read_whole_or_refused) {
  const gentian::operator_keys keys = {{gentian::Sha256Hex("k"), "ana"}};
  const std::string valid =
      json{{"expected_version", 4},
           {"comment", "x"},
           {"changes",
            {{{"section", "/a"}, {"key", "b"}, {"value", "c"}},
             {{"section", "/d"}, {"key", "e"}, {"value", nullptr}}}}}
          .dump();
  seeded_random random(4);
  int accepted = 0;
  int refused = 0;
  for (int round = 0; round < kRounds; ++round) {
    std::string body = valid;
    Damage(body, random);
    const auto call = gentian::ReadAdminCall(
        {"POST", "/admin/v1/changes", "Bearer k", body}, keys);
    if (gentian::Failed(call)) {
      ++refused;
      json(gentian::ErrorOf(call)).dump();
      continue;
    }
    ++accepted;
    const auto& apply =
        std::get<gentian::apply_changes>(gentian::ValueOf(call).operation);
    cr_assert_eq(apply.changes.changes.size(), 2);
    AuditLine(gentian::ValueOf(call), json::object())->fields.dump();
  }
  cr_assert_gt(accepted, 0);
  cr_assert_gt(refused, 0);
}

// Guards against request lines and headers that crash the administration API.
// Seed 5.
Test(bad_input, damaged_targets_and_headers_are_refused) {
  const gentian::operator_keys keys = {{gentian::Sha256Hex("k"), "ana"}};
  seeded_random random(5);
  for (int round = 0; round < kRounds; ++round) {
    admin_http_request request{"GET", "/admin/v1/rollout?version=9", "Bearer k",
                               ""};
    Damage(request.target, random);
    Damage(request.authorization, random);
    const auto call = gentian::ReadAdminCall(request, keys);
    if (!gentian::Failed(call)) {
      cr_assert_str_eq(request.authorization.c_str(), "Bearer k");
    }
  }
}

// Guards against peer messages in damaged CBOR that crash a daemon. Seed 6.
Test(bad_input, damaged_peer_messages_are_refused) {
  const std::vector<std::uint8_t> valid =
      json::to_cbor(gentian::EncodePeerMessage(gentian::heartbeat{}));
  seeded_random random(6);
  int accepted = 0;
  int refused = 0;
  for (int round = 0; round < kRounds; ++round) {
    std::vector<std::uint8_t> bytes = valid;
    Damage(bytes, random);
    const auto decoded = gentian::ParseCbor(bytes);
    if (gentian::Failed(decoded)) {
      ++refused;
      continue;
    }
    const auto message = gentian::DecodePeerMessage(gentian::ValueOf(decoded));
    ++(gentian::Failed(message) ? refused : accepted);
  }
  cr_assert_gt(accepted, 0);
  cr_assert_gt(refused, 0);
}

#include <criterion/criterion.h>

#include "gentian_turns/gentian_turns.h"

using namespace gentian;

namespace {

kept_turn Sample() {
  return {{"team", std::string("id\xff\0", 4)},
          "previous",
          "conversation",
          milliseconds(60'000),
          std::string("h\0\xfe\n", 4)};
}

// Decodes with every decoder of the module; damaged input has to give an error,
// never an exception.
void DecodeAll(std::string_view bytes) {
  DecodeTurn(bytes);
  DecodeTurns(bytes);
  DecodeKeys(bytes);
  DecodePart(bytes);
  DecodeJournalRequest(bytes);
  DecodeJournalPage(bytes);
}

std::vector<std::string> Messages() {
  return {EncodeTurn(Sample()),
          EncodeTurns({Sample(), Sample()}),
          EncodeKeys({{"a", "b"}, {"c", "d"}}),
          EncodePart({"c", "history", "missing"}),
          EncodeJournalRequest({"host", 4, 5, true}),
          EncodeJournalPage({7, {{1, {"a", "b"}, "c", 9}}, 8})};
}

}  // namespace

// Guards against identifiers and histories that are changed or rejected because
// they are not UTF-8.
Test(kept_turn_codec, any_bytes_survive) {
  const auto read = DecodeTurn(EncodeTurn(Sample()));
  cr_assert(!Failed(read));
  cr_assert(ValueOf(read).key == Sample().key);
  cr_assert(ValueOf(read).previous == "previous");
  cr_assert(ValueOf(read).conversation == "conversation");
  cr_assert(ValueOf(read).retention == milliseconds(60'000));
  cr_assert(ValueOf(read).history == Sample().history);
  const auto page = DecodeJournalPage(EncodeJournalPage(
      {7, {{1, {"a", "b"}, "c", 9}, {2, {"a", "e"}, "c", 10}}, 8}));
  cr_assert(!Failed(page) && ValueOf(page).journal == 7 &&
            ValueOf(page).last == 8 && ValueOf(page).entries.size() == 2 &&
            ValueOf(page).entries[1].key.id == "e" &&
            ValueOf(page).entries[1].size == 10);
}

Test(kept_turn_codec, a_turn_without_an_id_or_conversation_is_refused) {
  kept_turn turn = Sample();
  turn.key.id.clear();
  cr_assert(Failed(DecodeTurn(EncodeTurn(turn))));
  turn = Sample();
  turn.conversation.clear();
  cr_assert(Failed(DecodeTurn(EncodeTurn(turn))));
  cr_assert(Failed(DecodeTurn("")));
}

// Guards against a malformed message that ends the process: every prefix, and
// random changes of every message.
Test(kept_turn_codec, damaged_messages_are_errors) {
  constexpr std::uint64_t kSeed = 20'261'204;
  constexpr int kChanges = 3'000;
  seeded_random random(kSeed);
  for (const std::string& message : Messages()) {
    for (std::size_t size = 0; size < message.size(); ++size) {
      DecodeAll(message.substr(0, size));
    }
    for (int i = 0; i < kChanges; ++i) {
      std::string damaged = message;
      const std::uint64_t count = 1 + random.Below(4);
      for (std::uint64_t change = 0; change < count; ++change) {
        damaged[random.Below(damaged.size())] =
            static_cast<char>(random.Below(256));
      }
      DecodeAll(damaged);
    }
  }
}

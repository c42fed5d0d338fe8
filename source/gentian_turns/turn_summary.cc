#include "gentian_turns/turn_summary.h"

#include "gentian_core/cbor_message.h"

namespace gentian {

using detail::BytesOf;
using detail::Decode;
using detail::Encode;
using detail::ToBytes;

std::string EncodeJournalRequest(const journal_request& request) {
  return Encode({{"reader", ToBytes(request.reader)},
                 {"journal", request.journal},
                 {"after", request.after},
                 {"excludes_store", request.excludes_store}});
}

result<journal_request> DecodeJournalRequest(std::string_view bytes) {
  return Decode<journal_request>(bytes, [](const json& in) {
    return journal_request{BytesOf(in.at("reader")),
                           in.at("journal").get<std::int64_t>(),
                           in.at("after").get<std::int64_t>(),
                           in.at("excludes_store").get<bool>()};
  });
}

std::string EncodeJournalPage(const journal_page& page) {
  json entries = json::array();
  for (const turn_summary& entry : page.entries) {
    entries.push_back({entry.position, ToBytes(entry.key.team),
                       ToBytes(entry.key.id), ToBytes(entry.conversation),
                       entry.size});
  }
  return Encode({{"journal", page.journal},
                 {"entries", std::move(entries)},
                 {"last", page.last}});
}

result<journal_page> DecodeJournalPage(std::string_view bytes) {
  return Decode<journal_page>(bytes, [](const json& in) {
    journal_page page;
    page.journal = in.at("journal").get<std::int64_t>();
    page.last = in.at("last").get<std::int64_t>();
    for (const json& entry : in.at("entries")) {
      page.entries.push_back({entry.at(0).get<std::int64_t>(),
                              {BytesOf(entry.at(1)), BytesOf(entry.at(2))},
                              BytesOf(entry.at(3)),
                              entry.at(4).get<std::size_t>()});
    }
    return page;
  });
}

}  // namespace gentian

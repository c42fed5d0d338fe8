#ifndef GENTIAN_TURNS_CONVERSATION_HOMES_H_
#define GENTIAN_TURNS_CONVERSATION_HOMES_H_

#include <optional>
#include <string>
#include <vector>

namespace gentian {

/** The name of a conversation whose turns may be kept only in some regions, its
    homes. They are part of the name, which goes with each turn wherever it is
    stored, so that turn stores that copy turns know them. A store of a build
    without homes reads it as any other name. */
std::string ConversationWithHomes(const std::string& name,
                                  const std::vector<std::string>& homes);

/** The homes in the name of a conversation; nothing if it has none. */
std::optional<std::vector<std::string>> HomesOfConversation(
    const std::string& conversation);

}  // namespace gentian

#endif  // GENTIAN_TURNS_CONVERSATION_HOMES_H_

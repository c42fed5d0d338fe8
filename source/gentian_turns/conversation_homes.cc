#include "gentian_turns/conversation_homes.h"

#include <cstddef>

namespace gentian {

namespace {

// Names that callers choose have visible characters only.
constexpr char kSeparator = '\n';

}  // namespace

std::string ConversationWithHomes(const std::string& name,
                                  const std::vector<std::string>& homes) {
  std::string conversation = name + kSeparator;
  for (const std::string& home : homes) {
    conversation += home + kSeparator;
  }
  return conversation;
}

std::optional<std::vector<std::string>> HomesOfConversation(
    const std::string& conversation) {
  std::size_t end = conversation.find(kSeparator);
  if (end == std::string::npos) {
    return std::nullopt;
  }
  std::vector<std::string> homes;
  for (std::size_t start = end + 1;
       (end = conversation.find(kSeparator, start)) != std::string::npos;
       start = end + 1) {
    homes.push_back(conversation.substr(start, end - start));
  }
  return homes;
}

}  // namespace gentian

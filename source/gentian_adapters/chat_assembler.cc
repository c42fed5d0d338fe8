#include "gentian_adapters/chat_assembler.h"

namespace gentian {

namespace {

json FirstChoice(const json& chunk) {
  const auto choices = chunk.find("choices");
  if (choices == chunk.end() || !choices->is_array() || choices->empty() ||
      !choices->front().is_object()) {
    return json::object();
  }
  return choices->front();
}

std::string TextOf(const json& object, const char* name) {
  const auto found = object.find(name);
  return found != object.end() && found->is_string() ? found->get<std::string>()
                                                     : std::string();
}

}  // namespace

void chat_assembler::Add(std::uint64_t offset, const json& chunk) {
  if (!chunk.is_object() || offset < next_offset_) {
    return;
  }
  next_offset_ = offset + 1;
  if (first_.is_null()) {
    first_ = chunk;
  }
  if (chunk.contains("usage") && chunk["usage"].is_object()) {
    usage_ = chunk["usage"];
  }
  const json choice = FirstChoice(chunk);
  const json delta = choice.value("delta", json::object());
  if (delta.is_object()) {
    content_ += TextOf(delta, "content");
    for (const json& call : delta.value("tool_calls", json::array())) {
      tool_calls_.push_back(call);
    }
  }
  const std::string reason = TextOf(choice, "finish_reason");
  if (!reason.empty()) {
    finish_reason_ = reason;
  }
}

json chat_assembler::Answer() const {
  json message{{"role", "assistant"}, {"content", content_}};
  if (!tool_calls_.empty()) {
    message["tool_calls"] = tool_calls_;
  }
  json answer = first_.is_object() ? first_ : json::object();
  answer["object"] = "chat.completion";
  answer["choices"] = json::array({{{"index", 0},
                                    {"message", message},
                                    {"finish_reason", finish_reason_}}});
  if (usage_.is_object()) {
    answer["usage"] = usage_;
  }
  return answer;
}

}  // namespace gentian

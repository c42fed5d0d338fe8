#include "stream_text.h"

#include <cstdlib>

namespace gentian::soak {

std::string EncodeOrder(const stream_order& order) {
  return order.id + " " + std::to_string(order.events);
}

stream_order DecodeOrder(const std::string& text) {
  const std::size_t space = text.find(' ');
  if (space == std::string::npos) {
    return {};
  }
  return {text.substr(0, space), std::atoi(text.c_str() + space + 1)};
}

std::string EventText(const stream_order& order,
                      const std::string& version,
                      int number) {
  const std::string place = std::to_string(number);
  return "id: " + place + "\ndata: " + version + " " + order.id + " " + place +
         "/" + std::to_string(order.events) + "\n\n";
}

}  // namespace gentian::soak

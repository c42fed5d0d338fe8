#ifndef TESTS_SOAK_STREAM_TEXT_H_
#define TESTS_SOAK_STREAM_TEXT_H_

#include <string>

namespace gentian::soak {

/** What a caller asks for; the body of its requests. */
struct stream_order {
  std::string id;
  /** Events of the whole stream. */
  int events = 0;
};

std::string EncodeOrder(const stream_order& order);
/** An order without an ID if the text is none. */
stream_order DecodeOrder(const std::string& text);

/** Event `number`, from 1, as a target of a software version writes it. */
std::string EventText(const stream_order& order,
                      const std::string& version,
                      int number);

}  // namespace gentian::soak

#endif  // TESTS_SOAK_STREAM_TEXT_H_

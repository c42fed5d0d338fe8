#include "endless_answer.h"

#include <cstddef>

namespace gentian::soak {

namespace {

constexpr std::size_t kPart = 64 * 1024;

std::string Begin(const std::string& request) {
  return "HTTP/1.1 200 OK\r\nRequest-Id: " + request + "\r\n";
}

std::string Signed(const std::string& request) {
  return Begin(request) + "Response-Seal: seal-" + request + "\r\n";
}

std::string UnsignedBody(const std::string&) {
  return "HTTP/1.1 200 OK\r\n\r\n";
}

std::string SignedBody(const std::string& request) {
  return Signed(request) + "\r\n";
}

std::string SignedEvent(const std::string& request) {
  return Signed(request) + "Content-Type: text/event-stream\r\n\r\nid: 1\n";
}

std::string ChunkSize(const std::string& request) {
  return Signed(request) +
         "Content-Type: text/event-stream\r\nTransfer-Encoding: "
         "chunked\r\n\r\n10;";
}

std::string Trailer(const std::string& request) {
  return Signed(request) + "Transfer-Encoding: chunked\r\n\r\n0\r\nX: ";
}

std::string Header(const std::string& request) {
  return Signed(request) + "X: ";
}

std::string Nothing(const std::string&) {
  return {};
}

}  // namespace

const std::vector<endless_answer>& EndlessAnswers() {
  static const std::string filler(kPart, 'x');
  static const std::vector<endless_answer> table = {
      {"unsigned body", &UnsignedBody, filler},
      {"signed body", &SignedBody, filler},
      {"event", &SignedEvent, filler},
      {"chunk size", &ChunkSize, filler},
      {"trailer", &Trailer, filler},
      {"header", &Header, filler},
      {"no HTTP", &Nothing, filler},
      {"interim answers", &Nothing, "HTTP/1.1 103 Early Hints\r\n\r\n"}};
  return table;
}

}  // namespace gentian::soak

#ifndef GENTIAN_NET_HTTP_MESSAGE_H_
#define GENTIAN_NET_HTTP_MESSAGE_H_

#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "gentian_core/gentian_core.h"

namespace gentian {

/** Header fields in the order in which they came. */
class http_headers {
 public:
  using field = std::pair<std::string, std::string>;

  /** Appends a field. */
  void Add(std::string name, std::string value);

  /** The first value of a field, empty if it is absent. Names are compared
      without regard to case.
  */
  std::string Find(std::string_view name) const;

  /** Makes room for as many fields as will be added. */
  void Reserve(std::size_t fields) { fields_.reserve(fields); }

  const std::vector<field>& fields() const { return fields_; }

 private:
  std::vector<field> fields_;
};

/** A request as the server received it. */
struct http_request {
  std::string method;
  /** Path and query as sent. */
  std::string target;
  http_headers headers;
  std::string body;

  /** The target without its query. */
  std::string Path() const { return target.substr(0, target.find('?')); }
};

/** A complete answer. */
struct http_response {
  int status = 200;
  http_headers headers;
  std::string body;
};

/** An answer with a JSON body. */
http_response JsonResponse(int status, const json& body);

/** An answer that shows a typed error, with the status of its kind. */
http_response ErrorResponse(const error& reason);

/** Parses a JSON body. Nesting deeper than kMaxJsonDepth is refused, because
    writing such a value back recurses once for each level, and more than
    kMaxJsonValues values, because each takes some hundred bytes.
*/
result<json> ParseJsonBody(const std::string& text);

/** Deepest nesting that ParseJsonBody accepts. */
constexpr int kMaxJsonDepth = 64;
/** Most values that ParseJsonBody accepts, of arrays, objects and what they
    hold. */
constexpr std::size_t kMaxJsonValues = 256 * 1024;

}  // namespace gentian

#endif  // GENTIAN_NET_HTTP_MESSAGE_H_

#ifndef GENTIAN_CORE_STRONG_ID_H_
#define GENTIAN_CORE_STRONG_ID_H_

#include <functional>
#include <string>
#include <utility>

#include "gentian_core/json.h"

namespace gentian {

/** A string identifier that can't be mixed up with one of another kind.

    @tparam Tag   an empty type that names the kind
*/
template <typename Tag>
class strong_id {
 public:
  strong_id() = default;

  /** Wraps the text of an identifier. */
  explicit strong_id(std::string text) : text_(std::move(text)) {}

  /** The identifier as text. */
  const std::string& text() const { return text_; }

  /** True if no identifier is set. */
  bool empty() const { return text_.empty(); }

  friend bool operator==(const strong_id& a, const strong_id& b) {
    return a.text_ == b.text_;
  }
  friend bool operator!=(const strong_id& a, const strong_id& b) {
    return a.text_ != b.text_;
  }
  friend bool operator<(const strong_id& a, const strong_id& b) {
    return a.text_ < b.text_;
  }
  friend void to_json(json& out, const strong_id& id) { out = id.text_; }
  friend void from_json(const json& in, strong_id& id) {
    id.text_ = in.get<std::string>();
  }

 private:
  std::string text_;
};

}  // namespace gentian

namespace std {
template <typename Tag>
struct hash<gentian::strong_id<Tag>> {
  size_t operator()(const gentian::strong_id<Tag>& id) const {
    return hash<string>()(id.text());
  }
};
}  // namespace std

#endif  // GENTIAN_CORE_STRONG_ID_H_

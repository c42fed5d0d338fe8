#ifndef GENTIAN_GATEWAY_RELAY_TREE_H_
#define GENTIAN_GATEWAY_RELAY_TREE_H_

#include <cstddef>
#include <map>
#include <string>
#include <vector>

#include "gentian_gateway/member_record.h"

namespace gentian {

/** Decides which gateways read the key-value service, and from whom each of the
    others learns what they have read, so that the number of calls does not grow
    with the fleet.

    The members form a tree: a few readers, each followed by a bounded number of
    gateways, which others follow in turn. Every gateway computes the tree from
    its own list of members; different lists lead to other parents, which tell
    the same.
*/
class relay_tree {
 public:
  /** Gateways that read the key-value service. */
  static constexpr std::size_t kReaders = 2;
  /** Gateways that follow the same one. */
  static constexpr std::size_t kMaxFollowers = 16;

  /** @param members  by key
      @param self     key of this gateway */
  void Update(const std::map<std::string, member_record>& members,
              const std::string& self);

  /** True if this gateway reads the key-value service itself. */
  bool IsReader() const { return is_reader_; }

  /** Keys of the gateways to learn from: the parent in the tree, then the
      readers. Empty if there is none. */
  const std::vector<std::string>& sources() const { return sources_; }

 private:
  bool is_reader_ = true;
  std::vector<std::string> sources_;
};

}  // namespace gentian

#endif  // GENTIAN_GATEWAY_RELAY_TREE_H_

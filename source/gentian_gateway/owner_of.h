#ifndef GENTIAN_GATEWAY_OWNER_OF_H_
#define GENTIAN_GATEWAY_OWNER_OF_H_

#include <functional>
#include <map>
#include <string>

#include "gentian_gateway/member_record.h"

namespace gentian {

/** The daemon that keeps what belongs to a key, such as the budget of a
    program: all daemons with the same list of members name the same one.

    @param usable  daemons for which it is false are passed over
    @returns       nothing if no usable daemon is registered that is not
                   stopping */
const member_record* OwnerOf(
    const std::string& key,
    const std::map<std::string, member_record>& members,
    const std::function<bool(const member_record&)>& usable);

}  // namespace gentian

#endif  // GENTIAN_GATEWAY_OWNER_OF_H_

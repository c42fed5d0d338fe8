#ifndef GENTIAN_GATEWAY_PROGRAM_OWNER_H_
#define GENTIAN_GATEWAY_PROGRAM_OWNER_H_

#include <map>
#include <string>

#include "gentian_gateway/member_record.h"

namespace gentian {

/** The daemon that keeps what belongs to a key, such as the budget of a
    program: all daemons with the same list of members name the same one.

    @returns  nothing if no daemon is registered that is not stopping */
const member_record* OwnerOf(
    const std::string& key,
    const std::map<std::string, member_record>& members);

}  // namespace gentian

#endif  // GENTIAN_GATEWAY_PROGRAM_OWNER_H_

#ifndef GENTIAN_GATEWAY_OWNER_OF_H_
#define GENTIAN_GATEWAY_OWNER_OF_H_

#include <functional>
#include <map>
#include <string>

#include "gentian_gateway/member_record.h"

namespace gentian {

/** The daemon that owns a key, such as the budget of a program, by rendezvous
    hashing: daemons with the same list of members choose the same owner.

    @param usable  daemons for which it returns false are skipped
    @returns       nullptr if every registered daemon is stopping or unusable */
const member_record* OwnerOf(
    const std::string& key,
    const std::map<std::string, member_record>& members,
    const std::function<bool(const member_record&)>& usable);

}  // namespace gentian

#endif  // GENTIAN_GATEWAY_OWNER_OF_H_

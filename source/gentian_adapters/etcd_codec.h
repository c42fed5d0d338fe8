#ifndef GENTIAN_ADAPTERS_ETCD_CODEC_H_
#define GENTIAN_ADAPTERS_ETCD_CODEC_H_

#include <cstdint>
#include <string>

#include "gentian_core/gentian_core.h"
#include "gentian_decisions/kv_operation.h"

namespace gentian {

/** Parses a message of the service.

    @returns  null for text that is not valid JSON, is nested deeply, or has so
              many values that they would fill the memory */
json ParseEtcdMessage(const std::string& text);

/** Reads a 64-bit number that is written as text or as a number. An absent
    one is 0, as in the JSON form of protocol buffers.
*/
std::uint64_t ReadEtcdNumber(const json& object, const char* name);

/** Reads a base64 field; an absent one is empty. */
std::string ReadEtcdBytes(const json& object, const char* name);

/** The first key after all keys with a prefix. */
std::string EndOfPrefix(std::string prefix);

/** Reads one entry of a `kvs` list. */
kv_entry ReadEtcdEntry(const json& entry);

}  // namespace gentian

#endif  // GENTIAN_ADAPTERS_ETCD_CODEC_H_

#ifndef GENTIAN_CORE_DEFLATE_H_
#define GENTIAN_CORE_DEFLATE_H_

#include <cstddef>
#include <string>
#include <string_view>

#include "gentian_core/result.h"

namespace gentian {

/** Compresses bytes (zlib format). */
std::string Deflate(std::string_view bytes);

/** The bytes that were compressed; malformed_request if they can't be read,
    too_large beyond `max_bytes`. */
result<std::string> Inflate(std::string_view compressed, std::size_t max_bytes);

}  // namespace gentian

#endif  // GENTIAN_CORE_DEFLATE_H_

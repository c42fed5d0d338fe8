#include "gentian_core/deflate.h"

#include <zlib.h>

#include <algorithm>
#include <stdexcept>

namespace gentian {

namespace {

constexpr std::size_t kFirstOutput = 16 * 1024;

}  // namespace

std::string Deflate(std::string_view bytes) {
  uLongf size = compressBound(bytes.size());
  std::string compressed(size, '\0');
  // Hosts have a fraction of a core; higher levels save little on JSON.
  if (compress2(reinterpret_cast<Bytef*>(compressed.data()), &size,
                reinterpret_cast<const Bytef*>(bytes.data()), bytes.size(),
                Z_BEST_SPEED) != Z_OK) {
    throw std::runtime_error("zlib can't compress");
  }
  compressed.resize(size);
  return compressed;
}

result<std::string> Inflate(std::string_view compressed,
                            std::size_t max_bytes) {
  z_stream stream{};
  if (inflateInit(&stream) != Z_OK) {
    throw std::runtime_error("zlib can't start");
  }
  stream.next_in =
      reinterpret_cast<Bytef*>(const_cast<char*>(compressed.data()));
  stream.avail_in = static_cast<uInt>(compressed.size());
  std::string bytes;
  int outcome = Z_OK;
  while (outcome == Z_OK && bytes.size() < max_bytes) {
    const std::size_t filled = bytes.size();
    bytes.resize(std::min(max_bytes, std::max(kFirstOutput, 2 * filled)));
    stream.next_out = reinterpret_cast<Bytef*>(&bytes[filled]);
    stream.avail_out = static_cast<uInt>(bytes.size() - filled);
    outcome = inflate(&stream, Z_NO_FLUSH);
    bytes.resize(bytes.size() - stream.avail_out);
  }
  inflateEnd(&stream);
  if (outcome == Z_STREAM_END) {
    return bytes;
  }
  if (outcome == Z_OK) {
    return error{error_kind::too_large, "a compressed message is too large",
                 "send at most " + std::to_string(max_bytes) + " bytes"};
  }
  return error{error_kind::malformed_request,
               "a compressed message can't be read",
               "run the same version on all hosts"};
}

}  // namespace gentian

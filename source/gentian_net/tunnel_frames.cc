#include "gentian_net/tunnel_frames.h"

#include <algorithm>

namespace gentian::detail {

namespace {

constexpr unsigned kByteBits = 8;
constexpr unsigned kByteMask = 0xFF;

}  // namespace

tunnel_frame_header EncodeTunnelFrame(std::size_t size) {
  return {static_cast<char>(size >> kByteBits & kByteMask),
          static_cast<char>(size & kByteMask)};
}

std::string tunnel_frame_reader::Feed(std::string_view bytes) {
  std::string payload;
  while (!bytes.empty() && !has_ended_) {
    if (left_ > 0) {
      const std::size_t size = std::min(left_, bytes.size());
      payload.append(bytes.substr(0, size));
      bytes.remove_prefix(size);
      left_ -= size;
      continue;
    }
    header_ += bytes.front();
    bytes.remove_prefix(1);
    if (header_.size() == kTunnelFrameHeader) {
      left_ = std::size_t{static_cast<unsigned char>(header_[0])} << kByteBits |
              static_cast<unsigned char>(header_[1]);
      header_.clear();
      has_ended_ = left_ == 0;
    }
  }
  return payload;
}

}  // namespace gentian::detail

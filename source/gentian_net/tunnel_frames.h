#ifndef GENTIAN_NET_TUNNEL_FRAMES_H_
#define GENTIAN_NET_TUNNEL_FRAMES_H_

#include <array>
#include <cstddef>
#include <string>
#include <string_view>

namespace gentian::detail {

/** Bytes of the size that begins a frame; big endian. */
constexpr std::size_t kTunnelFrameHeader = 2;
constexpr std::size_t kMaxTunnelFrame = 0xFFFF;

using tunnel_frame_header = std::array<char, kTunnelFrameHeader>;

/** The beginning of a frame.

    @param size  of the bytes that follow, at most kMaxTunnelFrame; 0 for the
                 frame that marks the orderly end of the server's bytes */
tunnel_frame_header EncodeTunnelFrame(std::size_t size);

/** Reads what a server sends through a tunnel, in frames. A connection that
    closes without the end mark was closed by the tunnel server, whose process
    may have ended. */
class tunnel_frame_reader {
 public:
  /** Takes what was read from the tunnel and returns the server's bytes. */
  std::string Feed(std::string_view bytes);

  /** The server has closed its connection in order. */
  bool HasEnded() const { return has_ended_; }

  /** No frame has been read in part. */
  bool IsBetweenFrames() const { return header_.empty() && left_ == 0; }

 private:
  std::string header_;
  std::size_t left_ = 0;
  bool has_ended_ = false;
};

}  // namespace gentian::detail

#endif  // GENTIAN_NET_TUNNEL_FRAMES_H_

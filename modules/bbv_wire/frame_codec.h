#ifndef MODULES_BBV_WIRE_FRAME_CODEC_H_
#define MODULES_BBV_WIRE_FRAME_CODEC_H_

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <utility>

#include "bbv_core/error.h"
#include "bbv_wire/wire_generated.h"

namespace bbv {

// Size of the length prefix of each frame.
inline constexpr std::size_t kFrameLengthBytes = 4;

// Returns a frame with `message` as its body. Message must be a member of the
// union wire::Body. Thread safe.
template <typename Message>
wire::FrameT MakeFrame(Message&& message) {
  wire::FrameT frame;
  frame.body.Set(std::forward<Message>(message));
  return frame;
}

// Returns the encoded frame including its length prefix. Thread safe.
std::string EncodeFrame(const wire::FrameT& frame);

// Extracts frames from a stream of received bytes.
//
// Not thread safe.
class FrameReader {
 public:
  // Frames larger than `maximum_bytes` are rejected by their length prefix,
  // before the body is received.
  explicit FrameReader(std::size_t maximum_bytes);

  // Changes the size limit for the next frames. Buffered bytes are kept.
  void SetMaximumBytes(std::size_t maximum_bytes);

  // Appends received bytes. Precondition: Next() has not returned an error.
  void Append(std::string_view data);

  // Decodes the next frame into `frame`. Returns false if more bytes are
  // needed, or an error (operation kFrame) if the frame is invalid, after which
  // the stream cannot be read any further.
  Result<bool> Next(wire::FrameT* frame);

  // Bytes in memory of frames that are not decoded.
  std::size_t buffered_bytes() const { return buffer_.size(); }

 private:
  std::size_t maximum_bytes_;
  std::size_t read_position_ = 0;
  std::string buffer_;
};

}  // namespace bbv

#endif  // MODULES_BBV_WIRE_FRAME_CODEC_H_

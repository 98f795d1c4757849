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

// Bytes of the length that precedes each frame.
inline constexpr std::size_t kFrameLengthBytes = 4;

// Returns the frame that carries `message`, one of the members of wire::Body.
// Thread safe.
template <typename Message>
wire::FrameT MakeFrame(Message&& message) {
  wire::FrameT frame;
  frame.body.Set(std::forward<Message>(message));
  return frame;
}

// Returns the length and the encoded frame. Thread safe.
std::string EncodeFrame(const wire::FrameT& frame);

// Takes whole frames out of a stream of received bytes.
//
// Thread safety: none, one reader at a time.
class FrameReader {
 public:
  // Frames over `maximum_bytes` are refused before their body is read.
  explicit FrameReader(std::size_t maximum_bytes);

  // Changes the bound for the frames that follow; what was received is kept.
  void SetMaximumBytes(std::size_t maximum_bytes);

  // Adds received bytes. Precondition: no earlier Next() returned an error.
  void Append(std::string_view data);

  // Takes the next frame into `frame`. Returns false when more bytes are
  // needed, an error (step kFrame) when the stream is unusable from here on.
  Result<bool> Next(wire::FrameT* frame);

 private:
  std::size_t maximum_bytes_;
  std::size_t read_position_ = 0;
  std::string buffer_;
};

}  // namespace bbv

#endif  // MODULES_BBV_WIRE_FRAME_CODEC_H_

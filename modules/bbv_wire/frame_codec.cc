#include "bbv_wire/frame_codec.h"

#include <cassert>

namespace bbv {
namespace {

// Consumed bytes after which the rest of the receive buffer is moved to the
// front.
constexpr std::size_t kCompactionThresholdBytes = 1 << 16;

uint32_t ReadLength(const char* data) {
  return flatbuffers::ReadScalar<uint32_t>(data);
}

}  // namespace

std::string EncodeFrame(const wire::FrameT& frame) {
  flatbuffers::FlatBufferBuilder builder(512);
  builder.FinishSizePrefixed(wire::Frame::Pack(builder, &frame));
  return {reinterpret_cast<const char*>(builder.GetBufferPointer()),
          builder.GetSize()};
}

FrameReader::FrameReader(std::size_t maximum_bytes)
    : maximum_bytes_(maximum_bytes) {
  assert(maximum_bytes > 0);
}

void FrameReader::SetMaximumBytes(std::size_t maximum_bytes) {
  assert(maximum_bytes > 0);
  maximum_bytes_ = maximum_bytes;
}

void FrameReader::Append(std::string_view data) {
  buffer_.append(data);
}

Result<bool> FrameReader::Next(wire::FrameT* frame) {
  assert(frame != nullptr);
  const std::size_t available = buffer_.size() - read_position_;
  if (available < kFrameLengthBytes)
    return false;
  const char* start = buffer_.data() + read_position_;
  const std::size_t length = ReadLength(start);
  if (length > maximum_bytes_) {
    return Fail(Operation::kFrame, "",
                "frame of " + std::to_string(length) +
                    " bytes exceeds the maximum of " +
                    std::to_string(maximum_bytes_));
  }
  if (available < kFrameLengthBytes + length)
    return false;
  // FlatBuffers requires the size-prefixed buffer to be aligned, which a
  // position within the receive buffer does not guarantee, so the frame is
  // copied.
  const std::string aligned_copy(start, kFrameLengthBytes + length);
  const auto* bytes = reinterpret_cast<const uint8_t*>(aligned_copy.data());
  flatbuffers::Verifier verifier(bytes, aligned_copy.size());
  if (!wire::VerifySizePrefixedFrameBuffer(verifier))
    return Fail(Operation::kFrame, "", "frame failed FlatBuffers verification");
  wire::GetSizePrefixedFrame(bytes)->UnPackTo(frame);
  read_position_ += kFrameLengthBytes + length;
  if (read_position_ == buffer_.size() ||
      read_position_ > kCompactionThresholdBytes) {
    buffer_.erase(0, read_position_);
    read_position_ = 0;
  }
  return true;
}

}  // namespace bbv

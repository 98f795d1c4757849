#include "bbv_wire/frame_codec.h"

#include <CppUTest/TestHarness.h>

#include <rapidcheck.h>

#include <string>

#include "bbv_wire/request_id.h"

namespace {

constexpr std::size_t kMaximumBytes = 4096;

std::string EncodedHeartbeat() {
  bbv::wire::HeartbeatT heartbeat;
  heartbeat.configuration_offset = 7;
  heartbeat.loaded_versions = {"v1"};
  return bbv::EncodeFrame(bbv::MakeFrame(std::move(heartbeat)));
}

}  // namespace

TEST_GROUP(FrameCodec){};

TEST(FrameCodec, DecodesFramesReceivedByteByByte) {
  const std::string bytes = EncodedHeartbeat() + EncodedHeartbeat();
  bbv::FrameReader reader(kMaximumBytes);
  int frames = 0;
  for (const char c : bytes) {
    reader.Append({&c, 1});
    bbv::wire::FrameT frame;
    const auto decoded = reader.Next(&frame);
    CHECK_TRUE(decoded.has_value());
    if (!*decoded)
      continue;
    ++frames;
    CHECK_EQUAL(7, frame.body.AsHeartbeat()->configuration_offset);
  }
  CHECK_EQUAL(2, frames);
}

TEST(FrameCodec, RejectsOversizedLengthPrefix) {
  bbv::FrameReader reader(kMaximumBytes);
  reader.Append(std::string("\xff\xff\xff\x7f", 4));
  bbv::wire::FrameT frame;
  CHECK_FALSE(reader.Next(&frame).has_value());
}

TEST(FrameCodec, RejectsOrSafelyReadsCorruptedFrames) {
  setenv("RC_PARAMS", "seed=20261204 max_success=2000", 0);
  const bool holds = rc::check("corruption is detected or read safely", [] {
    std::string bytes = EncodedHeartbeat();
    const auto at = *rc::gen::inRange<std::size_t>(4, bytes.size());
    bytes[at] = static_cast<char>(*rc::gen::arbitrary<uint8_t>());
    bbv::FrameReader reader(kMaximumBytes);
    reader.Append(bytes);
    bbv::wire::FrameT frame;
    const auto decoded = reader.Next(&frame);
    RC_ASSERT(!decoded || *decoded);
  });
  CHECK_TRUE(holds);
}

TEST(FrameCodec, RequestIdsRoundTrip) {
  const bbv::RequestId id(0x0123456789abcdefULL, 0xfedcba9876543210ULL);
  CHECK_TRUE(bbv::ParseRequestId(bbv::ToString(id)) == id);
  CHECK_FALSE(bbv::ParseRequestId("0123").has_value());
  CHECK_FALSE(
      bbv::ParseRequestId("0123456789ABCDEF0123456789abcdef").has_value());
}

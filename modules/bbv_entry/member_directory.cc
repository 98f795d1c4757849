#include "bbv_entry/member_directory.h"

#include <cassert>
#include <utility>

#include "platform/store_codec.h"

namespace bbv {
namespace {

constexpr Milliseconds kStoreTimeout{1500};
constexpr Milliseconds kStorePause{500};
// Ages of what was read after which relays and other entries read again.
constexpr Milliseconds kRelayReadPause{15'000};
constexpr Milliseconds kReadPause{120'000};
// The same for an entry that was told of one that it does not know.
constexpr Milliseconds kUnknownReadPause{2000};
constexpr std::size_t kMaxRecordBytes = 4096;
constexpr int kOk = 200;

}  // namespace

wire::EntryHelloT ToMessage(const MemberRecord& record) {
  wire::EntryHelloT message;
  message.node = record.name;
  message.address = record.address;
  message.zone = record.zone;
  message.capacity = record.capacity;
  return message;
}

MemberRecord FromMessage(const wire::EntryHelloT& message) {
  return {message.address, message.node, message.zone, message.capacity};
}

MemberDirectory::MemberDirectory(StoreClient* store,
                                 DecisionLog* log,
                                 MemberRecord own,
                                 OnMember on_member,
                                 OnRead on_read)
    : store_(store),
      log_(log),
      own_(std::move(own)),
      on_member_(std::move(on_member)),
      on_read_(std::move(on_read)) {
  assert(store != nullptr && log != nullptr && on_member_);
}

void MemberDirectory::OnTick(bool is_relay,
                             bool has_unknown_members,
                             Instant now) {
  if (calling_ || now < not_before_)
    return;
  // A store that came back from a copy may have lost this entry's record.
  if (!registered_ || registered_era_ != store_->era()) {
    Register(now);
    return;
  }
  Milliseconds pause = is_relay ? kRelayReadPause : kReadPause;
  if (has_unknown_members)
    pause = kUnknownReadPause;
  if (!was_read_ || now >= read_at_ + pause)
    Read();
}

void MemberDirectory::Register(Instant now) {
  calling_ = true;
  not_before_ = now + kStorePause;
  store_->Call(
      platform::EncodeKeyedAppend(platform::kEntryTopic, own_.address,
                                  EncodeFrame(MakeFrame(ToMessage(own_)))),
      kStoreTimeout, [this](const Result<StoreAnswer>& answer) {
        calling_ = false;
        registered_ = answer && answer->status == kOk;
        if (registered_)
          registered_era_ = answer->era;
        if (registered_)
          not_before_ = {};
      });
}

void MemberDirectory::Read() {
  calling_ = true;
  store_->ReadNewest(
      platform::kEntryTopic, {}, kStoreTimeout,
      [this](const Result<platform::NewestPage>& page) {
        calling_ = false;
        const Instant now = EventLoop::Now();
        not_before_ = now + kStorePause;
        if (!page)
          return;
        for (const platform::KeyedRecord& it : page->records) {
          FrameReader reader(kMaxRecordBytes);
          reader.Append(it.value);
          wire::FrameT frame;
          const Result<bool> whole = reader.Next(&frame);
          const auto* hello =
              whole && *whole ? frame.body.AsEntryHello() : nullptr;
          if (hello != nullptr && hello->address == it.key) {
            on_member_(FromMessage(*hello));
            continue;
          }
          log_->Write(Event::kFrameRejected, now,
                      {{"peer", it.key}, {"error", "no record of an entry"}});
        }
        was_read_ = true;
        read_at_ = now;
        on_read_();
      });
}

}  // namespace bbv

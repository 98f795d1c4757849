#include "bbv_entry/member_directory.h"

#include <cassert>
#include <utility>

#include "bbv_entry/crash_store.h"
#include "platform/store_codec.h"

namespace bbv {
namespace {

constexpr Milliseconds kStoreTimeout{1500};
constexpr Milliseconds kStoreCallInterval{500};
// Age of the last read after which relays and other entries read again.
constexpr Milliseconds kRelayReadInterval{15'000};
constexpr Milliseconds kReadInterval{120'000};
// The same for an entry that has heard of an unknown entry.
constexpr Milliseconds kUnknownMemberReadInterval{2000};
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
                                 OnCrashRecord on_crash_record,
                                 OnRead on_read)
    : store_(store),
      log_(log),
      own_(std::move(own)),
      on_member_(std::move(on_member)),
      on_crash_record_(std::move(on_crash_record)),
      on_read_(std::move(on_read)) {
  assert(store != nullptr && log != nullptr);
  assert(on_member_ && on_crash_record_);
}

void MemberDirectory::OnTick(bool is_relay,
                             bool has_unknown_members,
                             Instant now) {
  if (call_in_flight_ || now < next_call_at_)
    return;
  // A store that was restored from an older copy may have lost this entry's
  // record.
  if (!registered_ || registered_era_ != store_->era()) {
    Register(now);
    return;
  }
  Milliseconds interval = is_relay ? kRelayReadInterval : kReadInterval;
  if (has_unknown_members)
    interval = kUnknownMemberReadInterval;
  if (!was_read_ || now >= last_read_at_ + interval)
    Read();
}

void MemberDirectory::Register(Instant now) {
  call_in_flight_ = true;
  next_call_at_ = now + kStoreCallInterval;
  store_->Call(
      platform::EncodeKeyedAppend(platform::kEntryTopic, own_.address,
                                  EncodeFrame(MakeFrame(ToMessage(own_)))),
      kStoreTimeout, [this](const Result<StoreAnswer>& answer) {
        call_in_flight_ = false;
        registered_ = answer && answer->status == kOk;
        if (registered_)
          registered_era_ = answer->era;
        if (registered_)
          next_call_at_ = {};
      });
}

void MemberDirectory::Read() {
  call_in_flight_ = true;
  store_->ReadNewest(
      platform::kEntryTopic, {}, kStoreTimeout,
      [this](const Result<platform::NewestPage>& page) {
        call_in_flight_ = false;
        const Instant now = EventLoop::Now();
        next_call_at_ = now + kStoreCallInterval;
        if (!page)
          return;
        for (const platform::KeyedRecord& it : page->records) {
          if (CrashStore::IsKey(it.key) && on_crash_record_(it))
            continue;
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
        last_read_at_ = now;
        on_read_();
      });
}

}  // namespace bbv

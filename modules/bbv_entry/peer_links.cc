#include "bbv_entry/peer_links.h"

#include <algorithm>
#include <cassert>
#include <utility>

#include "platform/store_codec.h"

namespace bbv {
namespace {

constexpr Milliseconds kStoreTimeout{1500};
constexpr Milliseconds kStorePause{500};
constexpr Milliseconds kListPause{10'000};
constexpr Milliseconds kDialPause{700};
constexpr Milliseconds kDialTimeout{1000};
// A peer that was not heard for this time counts for nothing.
constexpr Milliseconds kSilence{2500};
// After this time without a connection a peer is forgotten.
constexpr Milliseconds kForgetAfter{30'000};
constexpr std::size_t kMaxFrameBytes = 16U << 20U;
constexpr std::size_t kMaxQueuedBytes = 8U << 20U;
constexpr std::size_t kMaxIncoming = 512;
constexpr Milliseconds kStatePause{200};
// Added for each peer, so that the cost of telling all stays level.
constexpr Milliseconds kStatePauseEach{25};
constexpr int kOk = 200;

}  // namespace

// The connection that this entry opened to a peer.
class PeerLinks::Outgoing final : public TcpStreamDelegate {
 public:
  Outgoing(PeerLinks* links, std::string address, Instant now)
      : links_(links), address_(std::move(address)), last_up_(now) {}

  void OnTick(Instant now) {
    if (stream_ != nullptr && stream_->connected()) {
      last_up_ = now;
      if (stream_->queued_bytes() > kMaxQueuedBytes)
        stream_.reset();
      return;
    }
    if (stream_ != nullptr && now >= dial_deadline_)
      stream_.reset();
    if (stream_ != nullptr || now < next_dial_)
      return;
    next_dial_ = now + kDialPause;
    dial_deadline_ = now + kDialTimeout;
    const auto address = ParseSocketAddress(address_);
    if (address)
      stream_ = TcpStream::Connect(links_->loop_, *address, this);
  }

  void Send(const std::string& bytes) {
    if (stream_ != nullptr && stream_->connected())
      stream_->Write(bytes);
  }

  bool IsForgotten(Instant now) const { return now > last_up_ + kForgetAfter; }

  void OnConnected() override {
    wire::EntryHelloT hello;
    hello.node = links_->name_;
    hello.address = links_->own_.ToString();
    stream_->Write(EncodeFrame(MakeFrame(std::move(hello))));
  }
  void OnData(std::string_view) override {}
  void OnStreamEnd(StreamEnd) override { stream_.reset(); }

 private:
  PeerLinks* links_;
  std::string address_;
  std::unique_ptr<TcpStream> stream_;
  Instant next_dial_{};
  Instant dial_deadline_{};
  Instant last_up_;
};

// A connection that a peer opened to this entry.
class PeerLinks::Incoming final : public TcpStreamDelegate {
 public:
  Incoming(PeerLinks* links, std::unique_ptr<TcpStream> stream, Instant now)
      : links_(links),
        stream_(std::move(stream)),
        reader_(kMaxFrameBytes),
        heard_(now) {
    stream_->SetDelegate(this);
    stream_->StartReading();
  }

  bool IsOver(Instant now) const {
    return stream_ == nullptr || now > heard_ + 4 * kSilence;
  }

  void OnData(std::string_view data) override {
    heard_ = EventLoop::Now();
    reader_.Append(data);
    wire::FrameT frame;
    while (true) {
      const Result<bool> next = reader_.Next(&frame);
      if (!next) {
        links_->log_->Write(
            Event::kFrameRejected, heard_,
            {{"peer", peer_}, {"error", next.error().ToString()}});
        stream_.reset();
        return;
      }
      if (!*next)
        return;
      if (const auto* hello = frame.body.AsEntryHello())
        peer_ = hello->address;
      if (!peer_.empty())
        links_->OnFrame(peer_, frame);
    }
  }
  void OnStreamEnd(StreamEnd) override { stream_.reset(); }

 private:
  PeerLinks* links_;
  std::unique_ptr<TcpStream> stream_;
  FrameReader reader_;
  std::string peer_;
  Instant heard_;
};

PeerLinks::PeerLinks(EventLoop* loop,
                     StoreClient* store,
                     DecisionLog* log,
                     std::string name,
                     SocketAddress own)
    : loop_(loop),
      store_(store),
      log_(log),
      name_(std::move(name)),
      own_(std::move(own)) {
  assert(loop != nullptr && store != nullptr && log != nullptr);
}

PeerLinks::~PeerLinks() = default;

std::string PeerLinks::Start(const std::vector<SocketAddress>& seeds,
                             OnMessage on_message,
                             OnSilent on_silent) {
  on_message_ = std::move(on_message);
  on_silent_ = std::move(on_silent);
  for (const SocketAddress& it : seeds)
    Learn(it.ToString());
  return listener_.Listen(
      loop_, own_, [this](std::unique_ptr<TcpStream> stream) {
        if (incoming_.size() >= kMaxIncoming)
          return;
        incoming_.emplace(next_id_++,
                          std::make_unique<Incoming>(this, std::move(stream),
                                                     EventLoop::Now()));
      });
}

void PeerLinks::Learn(const std::string& address) {
  if (address == own_.ToString() || !ParseSocketAddress(address))
    return;
  auto& link = outgoing_[address];
  if (link == nullptr)
    link = std::make_unique<Outgoing>(this, address, EventLoop::Now());
}

void PeerLinks::OnFrame(const std::string& peer, const wire::FrameT& frame) {
  if (frame.body.AsEntryHello() != nullptr) {
    Learn(peer);
    log_->Write(Event::kPeerConnected, EventLoop::Now(), {{"peer", peer}});
  }
  heard_[peer] = EventLoop::Now();
  on_message_(peer, frame);
}

void PeerLinks::OnTick(Instant now) {
  for (const auto& [address, link] : outgoing_)
    link->OnTick(now);
  std::erase_if(outgoing_,
                [now](const auto& it) { return it.second->IsForgotten(now); });
  std::erase_if(incoming_,
                [now](const auto& it) { return it.second->IsOver(now); });
  for (auto it = heard_.begin(); it != heard_.end();) {
    if (now <= it->second + kSilence) {
      ++it;
      continue;
    }
    log_->Write(Event::kPeerSilent, now, {{"peer", it->first}});
    on_silent_(it->first);
    it = heard_.erase(it);
  }
  if (calling_)
    return;
  if (!registered_ && now >= next_register_)
    Register(now);
  else if (registered_ && now >= next_list_)
    ReadList();
}

void PeerLinks::Register(Instant now) {
  calling_ = true;
  next_register_ = now + kStorePause;
  store_->Call(platform::EncodeKeyedAppend(platform::kEntryTopic,
                                           own_.ToString(), name_),
               kStoreTimeout, [this](const Result<StoreAnswer>& answer) {
                 calling_ = false;
                 registered_ = answer && answer->status == kOk;
               });
}

void PeerLinks::ReadList() {
  calling_ = true;
  store_->ReadNewest(platform::kEntryTopic, {}, kStoreTimeout,
                     [this](const Result<platform::NewestPage>& page) {
                       calling_ = false;
                       next_list_ = EventLoop::Now() + kStorePause;
                       if (!page)
                         return;
                       for (const platform::KeyedRecord& it : page->records)
                         Learn(it.key);
                       list_read_ = true;
                       next_list_ = EventLoop::Now() + kListPause;
                     });
}

void PeerLinks::Send(const std::string& peer, const wire::FrameT& frame) {
  const auto it = outgoing_.find(peer);
  if (it != outgoing_.end())
    it->second->Send(EncodeFrame(frame));
}

void PeerLinks::SendAll(const wire::FrameT& frame) {
  if (outgoing_.empty())
    return;
  const std::string bytes = EncodeFrame(frame);
  for (const auto& [address, link] : outgoing_)
    link->Send(bytes);
}

int PeerLinks::live_entries() const {
  return 1 + static_cast<int>(heard_.size());
}

bool PeerLinks::IsFirstAlive(const std::set<std::string>& excluded) const {
  const std::string own = own_.ToString();
  return std::none_of(heard_.begin(), heard_.end(), [&](const auto& it) {
    return it.first < own && !excluded.contains(it.first);
  });
}

std::optional<int> PeerLinks::known_entries() const {
  if (!list_read_)
    return std::nullopt;
  return 1 + static_cast<int>(std::max(outgoing_.size(), heard_.size()));
}

Milliseconds PeerLinks::state_pause() const {
  return std::max(kStatePause,
                  kStatePauseEach * static_cast<int>(outgoing_.size()));
}

}  // namespace bbv

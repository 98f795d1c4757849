#include "bbv_entry/peer_links.h"

#include <cassert>
#include <utility>
#include <vector>

#include "bbv_entry/member_directory.h"
#include "bbv_front/connection_eviction.h"

namespace bbv {
namespace {

constexpr Milliseconds kReconnectInterval{700};
constexpr Milliseconds kConnectTimeout{1000};
// A connection without data for this time is closed. Its opener sends at
// shorter intervals as long as it needs the connection.
constexpr Milliseconds kIdleTimeout{60'000};
// How long a connection is kept after it was last requested.
constexpr Milliseconds kUnwantedConnectionLifetime{10'000};
constexpr std::size_t kMaxQueuedBytes = 8U << 20U;
// Size of the first frame, and time until it must have come.
constexpr std::size_t kMaxHelloBytes = 16U << 10U;
constexpr Milliseconds kHelloTimeout{5000};

}  // namespace

// A connection that this entry opened to a peer.
class PeerLinks::Outgoing final : public TcpStreamDelegate {
 public:
  Outgoing(PeerLinks* links, std::string address)
      : links_(links), address_(std::move(address)) {}

  void OnTick(Instant now) {
    if (stream_ != nullptr && stream_->connected()) {
      if (stream_->queued_bytes() > kMaxQueuedBytes)
        stream_.reset();
      return;
    }
    if (stream_ != nullptr && now >= connect_deadline_)
      stream_.reset();
    if (stream_ != nullptr || now < next_connect_)
      return;
    next_connect_ = now + kReconnectInterval;
    connect_deadline_ = now + kConnectTimeout;
    const auto address = ParseSocketAddress(address_);
    if (address)
      stream_ = TcpStream::Connect(links_->loop_, *address, this);
  }

  void Send(const std::string& bytes) {
    if (stream_ != nullptr && stream_->connected())
      stream_->Write(bytes);
  }

  void KeepUntil(Instant deadline) { keep_until_ = deadline; }
  bool IsUnwanted(Instant now) const { return now > keep_until_; }

  void OnConnected() override {
    stream_->Write(EncodeFrame(MakeFrame(ToMessage(links_->own_))));
  }
  void OnData(std::string_view) override {}
  void OnStreamEnd(StreamEnd) override { stream_.reset(); }

 private:
  PeerLinks* links_;
  std::string address_;
  std::unique_ptr<TcpStream> stream_;
  Instant next_connect_{};
  Instant connect_deadline_{};
  Instant keep_until_{};
};

// A connection that a peer opened to this entry.
class PeerLinks::Incoming final : public TcpStreamDelegate {
 public:
  Incoming(PeerLinks* links, std::unique_ptr<TcpStream> stream, Instant now)
      : links_(links),
        stream_(std::move(stream)),
        reader_(kMaxHelloBytes),
        hold_(links->limits_.ledger, MemoryLedger::Use::kAnswer),
        hello_deadline_(now + kHelloTimeout),
        last_data_at_(now) {
    stream_->SetDelegate(this);
    stream_->StartReading();
  }

  bool IsClosedOrIdle(Instant now) const {
    return stream_ == nullptr || now > last_data_at_ + kIdleTimeout ||
           (peer_.empty() && now > hello_deadline_);
  }

  // Whether the peer has named itself and the connection is open.
  bool is_peer() const { return stream_ != nullptr && !peer_.empty(); }

  ConnectionActivity activity(uint64_t id) const {
    return {id,
            peer_.empty() ? ConnectionPhase::kRequestPartial
                          : ConnectionPhase::kIdle,
            last_data_at_};
  }

  void OnData(std::string_view data) override {
    last_data_at_ = EventLoop::Now();
    reader_.Append(data);
    wire::FrameT frame;
    while (true) {
      const Result<bool> next = reader_.Next(&frame);
      if (!next) {
        links_->log_->Write(
            Event::kFrameRejected, last_data_at_,
            {{"peer", peer_}, {"error", next.error().ToString()}});
        stream_.reset();
        return;
      }
      if (!*next)
        break;
      if (const auto* hello = frame.body.AsEntryHello()) {
        peer_ = hello->address;
        reader_.SetMaximumBytes(links_->limits_.buffered_bytes);
      }
      if (!peer_.empty())
        links_->on_message_(peer_, frame);
    }
    hold_.Set(reader_.buffered_bytes());
    links_->EnforceBufferBound(last_data_at_);
  }

  std::size_t buffered_bytes() const { return reader_.buffered_bytes(); }

  // Closes the connection and drops what was received of a frame.
  void Drop(Instant now) {
    links_->log_->Write(
        Event::kFrameRejected, now,
        {{"peer", peer_}, {"error", "no memory for the frames of all peers"}});
    reader_ = FrameReader(kMaxHelloBytes);
    hold_.Release();
    stream_.reset();
  }
  void OnStreamEnd(StreamEnd) override { stream_.reset(); }

 private:
  PeerLinks* links_;
  std::unique_ptr<TcpStream> stream_;
  FrameReader reader_;
  MemoryLedger::Hold hold_;
  Instant hello_deadline_;
  std::string peer_;
  Instant last_data_at_;
};

PeerLinks::PeerLinks(EventLoop* loop,
                     DecisionLog* log,
                     MemberRecord own,
                     Limits limits)
    : loop_(loop), log_(log), own_(std::move(own)), limits_(limits) {
  assert(loop != nullptr && log != nullptr);
}

PeerLinks::~PeerLinks() = default;

std::string PeerLinks::Start(OnMessage on_message) {
  on_message_ = std::move(on_message);
  return listener_.Listen(
      loop_, ParseSocketAddress(own_.address).value(),
      [this](std::unique_ptr<TcpStream> stream) { Accept(std::move(stream)); });
}

void PeerLinks::Accept(std::unique_ptr<TcpStream> stream) {
  const Instant now = EventLoop::Now();
  if (incoming_.size() >= limits_.incoming_connections && !EvictIncoming(now))
    return;
  incoming_.emplace(next_id_++,
                    std::make_unique<Incoming>(this, std::move(stream), now));
}

bool PeerLinks::EvictIncoming(Instant now) {
  // Connections that have not said who they are go first, however lately they
  // sent something.
  std::vector<ConnectionActivity> unknown;
  std::vector<ConnectionActivity> peers;
  for (const auto& [id, link] : incoming_)
    (link->is_peer() ? peers : unknown).push_back(link->activity(id));
  const auto id =
      ConnectionEviction::Choose(unknown.empty() ? peers : unknown, now);
  return id && incoming_.erase(*id) > 0;
}

void PeerLinks::EnforceBufferBound(Instant now) {
  std::size_t sum = 0;
  Incoming* largest = nullptr;
  for (const auto& [id, link] : incoming_) {
    sum += link->buffered_bytes();
    if (largest == nullptr ||
        link->buffered_bytes() > largest->buffered_bytes())
      largest = link.get();
  }
  if (sum > limits_.buffered_bytes)
    largest->Drop(now);
}

void PeerLinks::RequestConnections(const std::set<std::string>& addresses,
                                   Instant now) {
  for (const std::string& it : addresses) {
    if (it == own_.address || !ParseSocketAddress(it))
      continue;
    std::unique_ptr<Outgoing>& link = outgoing_[it];
    if (link == nullptr)
      link = std::make_unique<Outgoing>(this, it);
    link->KeepUntil(now + kUnwantedConnectionLifetime);
  }
}

void PeerLinks::OnTick(Instant now) {
  for (const auto& [address, link] : outgoing_)
    link->OnTick(now);
  std::erase_if(outgoing_,
                [now](const auto& it) { return it.second->IsUnwanted(now); });
  std::erase_if(incoming_, [now](const auto& it) {
    return it.second->IsClosedOrIdle(now);
  });
}

void PeerLinks::Send(const std::string& address, const std::string& bytes) {
  const auto it = outgoing_.find(address);
  if (it != outgoing_.end())
    it->second->Send(bytes);
}

}  // namespace bbv

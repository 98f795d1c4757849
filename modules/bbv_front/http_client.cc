#include "bbv_front/http_client.h"

#include <algorithm>
#include <cassert>
#include <utility>

namespace bbv {
namespace {

// How long a connection is kept idle when the peer does not say.
constexpr Milliseconds kDefaultIdle{4000};
// By how much earlier than the peer says it is dropped.
constexpr Milliseconds kIdleMargin{700};
constexpr std::size_t kMaxAnswerBytes = 64U << 20U;
constexpr std::size_t kMaxHeadBytes = 64U << 10U;
constexpr std::size_t kMaxWholeAnswerBytes = 8U << 20U;

Milliseconds IdleTime(const HttpHead& head) {
  const std::string* keep = head.Find("Keep-Alive");
  if (keep == nullptr)
    return kDefaultIdle;
  const std::size_t at = keep->find("timeout=");
  if (at == std::string::npos)
    return kDefaultIdle;
  const Milliseconds said{1000LL * std::atoi(keep->c_str() + at + 8)};
  return std::min(kDefaultIdle, said - kIdleMargin);
}

}  // namespace

// One connection and the exchange on it, if any.
class HttpClient::Connection final : public TcpStreamDelegate, public HttpSink {
 public:
  Connection(HttpClient* client, std::string address)
      : client_(client),
        address_(std::move(address)),
        parser_(HttpParser::Kind::kResponses,
                {kMaxHeadBytes, kMaxAnswerBytes},
                this) {}

  bool Open(const SocketAddress& address) {
    stream_ = TcpStream::Connect(client_->loop_, address, this);
    return stream_ != nullptr;
  }

  void Begin(ExchangeId id, ExchangeRequest request, ExchangeSink* sink) {
    id_ = id;
    sink_ = sink;
    request_ = std::move(request);
    skipping_ = false;
    if (stream_ != nullptr && stream_->connected())
      SendRequest();
  }

  void Abandon() {
    sink_ = nullptr;
    stream_.reset();
  }

  void Pause(bool paused) {
    if (stream_ == nullptr)
      return;
    if (paused)
      stream_->StopReading();
    else
      stream_->StartReading();
  }

  // Fails the exchange when it is overdue.
  void CheckDeadline(Instant now) {
    if (stream_ == nullptr) {
      Fail(ExchangeFailure::kNotConnected);
      return;
    }
    if (!stream_->connected() && now >= request_.connect_deadline)
      Fail(ExchangeFailure::kNotConnected);
    else if (now >= request_.deadline)
      Fail(sent_ ? ExchangeFailure::kBroken : ExchangeFailure::kNotConnected);
  }

  bool IsIdleOver(Instant now) const {
    return stream_ == nullptr || now >= idle_until_;
  }

  const std::string& address() const { return address_; }
  ExchangeId id() const { return id_; }
  bool alive() const { return stream_ != nullptr; }

  // TcpStreamDelegate:
  void OnConnected() override { SendRequest(); }

  void OnData(std::string_view data) override {
    if (sink_ == nullptr) {
      // Bytes that belong to no request.
      stream_.reset();
      return;
    }
    ParseStatus status = parser_.Parse(data);
    while (status == ParseStatus::kComplete && sink_ != nullptr && skipping_) {
      // The answer to an earlier request; the one waited for may follow.
      skipping_ = false;
      reusable_ = false;
      parser_.StartNextMessage();
      status = parser_.Parse({});
    }
    if (sink_ == nullptr)
      return;
    if (status == ParseStatus::kComplete)
      Complete();
    else if (status != ParseStatus::kNeedMore)
      Fail(ExchangeFailure::kBadAnswer);
  }

  void OnStreamEnd(StreamEnd end) override {
    if (sink_ == nullptr) {
      stream_.reset();
      return;
    }
    if (end == StreamEnd::kRefused) {
      Fail(ExchangeFailure::kNotConnected);
      return;
    }
    if (end == StreamEnd::kClosed && parser_.has_head() && !skipping_ &&
        parser_.ParseEof() == ParseStatus::kComplete) {
      reusable_ = false;
      Complete();
      return;
    }
    if (sink_ != nullptr)
      Fail(ExchangeFailure::kBroken);
  }

  // HttpSink:
  void OnHead(HttpHead head) override {
    if (client_->on_head_)
      client_->on_head_(address_, head);
    if (sink_ == nullptr)
      return;
    const std::string* id =
        request_.id_field.empty() ? nullptr : head.Find(request_.id_field);
    if (id != nullptr && *id != request_.attempt_id) {
      skipping_ = true;
      return;
    }
    idle_time_ = IdleTime(head);
    sink_->OnAnswerHead(std::move(head));
  }
  void OnBody(std::string_view data) override {
    if (sink_ != nullptr && !skipping_)
      sink_->OnAnswerBody(data);
  }
  void OnMessageComplete() override {}

 private:
  void SendRequest() {
    sent_ = true;
    stream_->Write(request_.bytes);
  }

  void Fail(ExchangeFailure failure) {
    ExchangeSink* sink = std::exchange(sink_, nullptr);
    stream_.reset();
    client_->Release(this);
    sink->OnExchangeFailed(failure);
  }

  void Complete() {
    ExchangeSink* sink = std::exchange(sink_, nullptr);
    // A request that is not sent whole, or bytes behind the answer, make the
    // next answer ambiguous.
    const bool clean = parser_.keeps_alive() && parser_.has_framing() &&
                       parser_.pending_bytes() == 0 && reusable_ &&
                       stream_ != nullptr && stream_->queued_bytes() == 0;
    if (clean) {
      parser_.StartNextMessage();
      idle_until_ = EventLoop::Now() + idle_time_;
      sent_ = false;
    } else {
      stream_.reset();
    }
    client_->Release(this);
    sink->OnAnswerEnd();
  }

  HttpClient* client_;
  std::string address_;
  std::unique_ptr<TcpStream> stream_;
  HttpParser parser_;
  ExchangeId id_ = 0;
  ExchangeRequest request_;
  ExchangeSink* sink_ = nullptr;
  bool skipping_ = false;
  bool sent_ = false;
  bool reusable_ = true;
  Milliseconds idle_time_ = kDefaultIdle;
  Instant idle_until_{};
};

HttpClient::HttpClient(EventLoop* loop) : loop_(loop) {
  assert(loop != nullptr);
}

HttpClient::~HttpClient() = default;

HttpClient::ExchangeId HttpClient::Send(ExchangeRequest request,
                                        ExchangeSink* sink) {
  assert(sink != nullptr);
  const std::string address = request.address.ToString();
  std::unique_ptr<Connection> connection;
  if (request.may_reuse)
    connection = TakeIdle(address);
  if (connection == nullptr) {
    connection = std::make_unique<Connection>(this, address);
    ++connections_opened_;
    // A failure here shows on the next tick.
    connection->Open(request.address);
  }
  const ExchangeId id = next_id_++;
  connection->Begin(id, std::move(request), sink);
  busy_.emplace(id, std::move(connection));
  return id;
}

void HttpClient::Cancel(ExchangeId id) {
  const auto it = busy_.find(id);
  if (it == busy_.end())
    return;
  it->second->Abandon();
  ended_.push_back(std::move(it->second));
  busy_.erase(it);
}

void HttpClient::Forget(const SocketAddress& address) {
  const auto it = idle_.find(address.ToString());
  if (it == idle_.end())
    return;
  for (auto& connection : it->second)
    ended_.push_back(std::move(connection));
  idle_.erase(it);
}

void HttpClient::Pause(ExchangeId id, bool paused) {
  const auto it = busy_.find(id);
  if (it != busy_.end())
    it->second->Pause(paused);
}

void HttpClient::Release(Connection* connection) {
  const auto it = busy_.find(connection->id());
  if (it == busy_.end())
    return;
  if (connection->alive())
    idle_[connection->address()].push_back(std::move(it->second));
  else
    ended_.push_back(std::move(it->second));
  busy_.erase(it);
}

std::unique_ptr<HttpClient::Connection> HttpClient::TakeIdle(
    const std::string& address) {
  const auto it = idle_.find(address);
  if (it == idle_.end())
    return nullptr;
  const Instant now = EventLoop::Now();
  while (!it->second.empty()) {
    // The one used last is the least likely to have been dropped.
    auto connection = std::move(it->second.back());
    it->second.pop_back();
    if (!connection->IsIdleOver(now))
      return connection;
    ended_.push_back(std::move(connection));
  }
  return nullptr;
}

void HttpClient::OnTick(Instant now) {
  std::vector<ExchangeId> ids;
  ids.reserve(busy_.size());
  for (const auto& [id, connection] : busy_)
    ids.push_back(id);
  for (const ExchangeId id : ids) {
    const auto it = busy_.find(id);
    if (it != busy_.end())
      it->second->CheckDeadline(now);
  }
  for (auto it = idle_.begin(); it != idle_.end();) {
    it->second.remove_if(
        [now](const auto& connection) { return connection->IsIdleOver(now); });
    it = it->second.empty() ? idle_.erase(it) : std::next(it);
  }
  ended_.clear();
}

void WholeAnswer::Fetch(HttpClient* client,
                        ExchangeRequest request,
                        Done done) {
  auto* sink = new WholeAnswer(client, std::move(done));
  sink->exchange_ = client->Send(std::move(request), sink);
}

void WholeAnswer::OnAnswerHead(HttpHead head) {
  answer_.head = std::move(head);
}

void WholeAnswer::OnAnswerBody(std::string_view data) {
  answer_.body.append(data);
  if (answer_.body.size() <= kMaxWholeAnswerBytes)
    return;
  const std::unique_ptr<WholeAnswer> self(this);
  client_->Cancel(exchange_);
  done_(nullptr);
}

void WholeAnswer::OnAnswerEnd() {
  const std::unique_ptr<WholeAnswer> self(this);
  done_(&answer_);
}

void WholeAnswer::OnExchangeFailed(ExchangeFailure) {
  const std::unique_ptr<WholeAnswer> self(this);
  done_(nullptr);
}

}  // namespace bbv

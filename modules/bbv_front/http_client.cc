#include "bbv_front/http_client.h"

#include <algorithm>
#include <cassert>
#include <utility>

namespace bbv {
namespace {

// Maximum idle time of a connection. Also applies if the peer's Keep-Alive
// field has no timeout or a longer one.
constexpr Milliseconds kDefaultIdleTimeout{4000};
// Idle connections are closed this much before the peer's timeout, so that no
// request is sent on a connection that the peer is closing.
constexpr Milliseconds kIdleTimeoutMargin{700};
// Responses to earlier requests that may precede the one to a request.
constexpr int kMaxStaleResponses = 16;

Milliseconds IdleTimeout(const HttpHead& head) {
  const std::string* keep_alive = head.Find("Keep-Alive");
  if (keep_alive == nullptr)
    return kDefaultIdleTimeout;
  const std::size_t parameter_at = keep_alive->find("timeout=");
  if (parameter_at == std::string::npos)
    return kDefaultIdleTimeout;
  const Milliseconds peer_timeout{
      1000LL * std::atoi(keep_alive->c_str() + parameter_at + 8)};
  return std::min(kDefaultIdleTimeout, peer_timeout - kIdleTimeoutMargin);
}

// How the id in a response relates to the id of a request.
enum class IdMatch : uint8_t { kNone, kSame, kOther, kContradictory };

IdMatch MatchId(const HttpHead& head,
                std::string_view id_field,
                std::string_view request_id) {
  if (id_field.empty())
    return IdMatch::kNone;
  IdMatch match = IdMatch::kNone;
  for (const HttpField& it : head.fields) {
    if (!SameFieldName(it.name, id_field))
      continue;
    const IdMatch found =
        it.value == request_id ? IdMatch::kSame : IdMatch::kOther;
    if (match != IdMatch::kNone && match != found)
      return IdMatch::kContradictory;
    match = found;
  }
  return match;
}

}  // namespace

// A connection and its current exchange, if any.
class HttpClient::Connection final : public TcpStreamDelegate, public HttpSink {
 public:
  Connection(HttpClient* client, std::string address)
      : client_(client),
        address_(std::move(address)),
        parser_(HttpParser::Kind::kResponses, kPeerResponseLimits, this) {}

  bool Open(const SocketAddress& address) {
    opened_at_ = EventLoop::Now();
    stream_ = TcpStream::Connect(client_->loop_, address, this);
    return stream_ != nullptr;
  }

  void Begin(ExchangeId id, ExchangeRequest request, ExchangeSink* sink) {
    id_ = id;
    sink_ = sink;
    request_ = std::move(request);
    skipping_stale_response_ = false;
    stale_responses_ = 0;
    if (stream_ != nullptr && stream_->connected())
      SendRequest();
  }

  void Abort() {
    sink_ = nullptr;
    stream_.reset();
  }

  void SetReadingPaused(bool paused) {
    if (stream_ == nullptr)
      return;
    if (paused)
      stream_->StopReading();
    else
      stream_->StartReading();
  }

  // Fails the exchange if it is overdue or could not open a connection.
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

  bool IsIdleExpired(Instant now) const {
    return stream_ == nullptr || now >= idle_deadline_;
  }

  // Whether a response to `request` could be told from responses to earlier
  // requests on this connection. Precondition: it is idle and not expired.
  bool CanCarry(const ExchangeRequest& request) const {
    const bool is_repeated_id = !request.attempt_id.empty() &&
                                request.attempt_id == request_.attempt_id;
    return !is_repeated_id && !stream_->HasUnreadData();
  }

  const std::string& address() const { return address_; }
  ExchangeId id() const { return id_; }
  bool alive() const { return stream_ != nullptr; }

  // TcpStreamDelegate:
  void OnConnected() override {
    if (client_->observer_ != nullptr) {
      client_->observer_->OnConnected(
          address_, std::chrono::duration_cast<Milliseconds>(EventLoop::Now() -
                                                             opened_at_));
    }
    if (stream_->HasUnreadData())
      Fail(ExchangeFailure::kBadAnswer);
    else
      SendRequest();
  }

  void OnData(std::string_view data) override {
    if (client_->observer_ != nullptr)
      client_->observer_->OnBytesReceived(address_, data.size());
    if (sink_ == nullptr) {
      // Unsolicited data: no request is outstanding.
      stream_.reset();
      return;
    }
    if (stream_->queued_bytes() > 0)
      received_early_ = true;
    ParseStatus status = parser_.Parse(data);
    while (status == ParseStatus::kComplete && sink_ != nullptr &&
           skipping_stale_response_) {
      // Response to an earlier request; the expected response may follow.
      skipping_stale_response_ = false;
      reusable_ = false;
      if (++stale_responses_ > kMaxStaleResponses) {
        status = ParseStatus::kTooManyParts;
        break;
      }
      parser_.StartNextMessage();
      status = parser_.Parse({});
    }
    if (sink_ == nullptr)
      return;
    if (status == ParseStatus::kComplete)
      Complete();
    else if (status == ParseStatus::kMalformed)
      FailMalformed(parser_.fault());
    else if (status != ParseStatus::kNeedMore)
      Fail(ExchangeFailure::kEndless);
  }

  void OnStreamEnd(StreamEnd end) override {
    if (sink_ == nullptr) {
      stream_.reset();
      return;
    }
    if (end == StreamEnd::kConnectFailed || end == StreamEnd::kRefused) {
      Fail(ExchangeFailure::kNotConnected);
      return;
    }
    if (end == StreamEnd::kClosed && parser_.has_head() &&
        !skipping_stale_response_ &&
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
    const IdMatch match = MatchId(head, request_.id_field, request_.attempt_id);
    const bool is_own = match == IdMatch::kSame ||
                        (match == IdMatch::kNone && IsOnlyResponse());
    may_have_stale_response_ = true;
    if (client_->observer_ != nullptr) {
      client_->observer_->OnHeadReceived(
          address_, head, is_own ? std::optional(sent_at_) : std::nullopt);
    }
    if (sink_ == nullptr)
      return;
    if (match == IdMatch::kOther) {
      skipping_stale_response_ = true;
      return;
    }
    if (!is_own) {
      Fail(ExchangeFailure::kBadAnswer);
      return;
    }
    idle_timeout_ = IdleTimeout(head);
    sink_->OnResponseHead(std::move(head));
  }
  void OnBody(std::string_view data) override {
    if (sink_ != nullptr && !skipping_stale_response_)
      sink_->OnResponseBody(data);
  }
  void OnMessageComplete() override {}

 private:
  // Whether a response without an id can only belong to the current request:
  // nothing was received before the request was completely written and, if its
  // responses carry an id, there was no earlier response on the connection.
  bool IsOnlyResponse() const {
    return !received_early_ &&
           (request_.attempt_id.empty() || !may_have_stale_response_);
  }

  void SendRequest() {
    sent_ = true;
    received_early_ = false;
    sent_at_ = EventLoop::Now();
    stream_->Write(std::exchange(request_.bytes, {}),
                   std::exchange(request_.body, nullptr));
  }

  void FailMalformed(MessageFault fault) {
    if (client_->observer_ != nullptr)
      client_->observer_->OnMalformedResponse(address_, fault);
    Fail(ExchangeFailure::kBadAnswer, fault);
  }

  void Fail(ExchangeFailure failure, MessageFault fault = MessageFault::kNone) {
    ExchangeSink* sink = std::exchange(sink_, nullptr);
    stream_.reset();
    client_->Release(this);
    sink->OnExchangeFailed(failure, fault);
  }

  void Complete() {
    ExchangeSink* sink = std::exchange(sink_, nullptr);
    // If the request was not fully sent or extra bytes follow the response, the
    // next response could not be matched to its request.
    const bool can_reuse = parser_.keeps_alive() && parser_.has_framing() &&
                           parser_.pending_bytes() == 0 && reusable_ &&
                           stream_ != nullptr && stream_->queued_bytes() == 0;
    if (can_reuse) {
      parser_.StartNextMessage();
      // The last sink may have paused reading.
      stream_->StartReading();
      idle_deadline_ = EventLoop::Now() + idle_timeout_;
      sent_ = false;
    } else {
      stream_.reset();
    }
    client_->Release(this);
    sink->OnResponseEnd();
  }

  HttpClient* client_;
  std::string address_;
  std::unique_ptr<TcpStream> stream_;
  HttpParser parser_;
  ExchangeId id_ = 0;
  ExchangeRequest request_;
  ExchangeSink* sink_ = nullptr;
  bool skipping_stale_response_ = false;
  // Responses skipped during the current exchange.
  int stale_responses_ = 0;
  // Whether a response was received, which the peer may send again.
  bool may_have_stale_response_ = false;
  bool sent_ = false;
  Instant opened_at_{};
  // Whether data was received before the request was completely written.
  bool received_early_ = false;
  Instant sent_at_{};
  bool reusable_ = true;
  Milliseconds idle_timeout_ = kDefaultIdleTimeout;
  Instant idle_deadline_{};
};

HttpClient::HttpClient(EventLoop* loop) : loop_(loop) {
  assert(loop != nullptr);
}

HttpClient::~HttpClient() = default;

HttpClient::ExchangeId HttpClient::Send(ExchangeRequest request,
                                        ExchangeSink* sink) {
  assert(sink != nullptr);
  const std::string address = request.address.ToString();
  if (observer_ != nullptr)
    observer_->OnRequestSending(address);
  std::unique_ptr<Connection> connection;
  if (request.may_reuse)
    connection = AcquireIdleConnection(address, request);
  if (connection == nullptr) {
    connection = std::make_unique<Connection>(this, address);
    ++connections_opened_;
    // A failure here is reported on the next tick.
    connection->Open(request.address);
  }
  const ExchangeId id = next_id_++;
  connection->Begin(id, std::move(request), sink);
  active_.emplace(id, std::move(connection));
  return id;
}

void HttpClient::Cancel(ExchangeId id) {
  const auto it = active_.find(id);
  if (it == active_.end())
    return;
  it->second->Abort();
  closed_.push_back(std::move(it->second));
  active_.erase(it);
}

void HttpClient::CloseIdleConnections(const SocketAddress& address) {
  const auto it = idle_.find(address.ToString());
  if (it == idle_.end())
    return;
  for (auto& connection : it->second)
    closed_.push_back(std::move(connection));
  idle_.erase(it);
}

void HttpClient::SetReadingPaused(ExchangeId id, bool paused) {
  const auto it = active_.find(id);
  if (it != active_.end())
    it->second->SetReadingPaused(paused);
}

void HttpClient::Release(Connection* connection) {
  const auto it = active_.find(connection->id());
  if (it == active_.end())
    return;
  if (connection->alive())
    idle_[connection->address()].push_back(std::move(it->second));
  else
    closed_.push_back(std::move(it->second));
  active_.erase(it);
}

std::unique_ptr<HttpClient::Connection> HttpClient::AcquireIdleConnection(
    const std::string& address,
    const ExchangeRequest& request) {
  const auto it = idle_.find(address);
  if (it == idle_.end())
    return nullptr;
  const Instant now = EventLoop::Now();
  while (!it->second.empty()) {
    // The most recently used connection is the least likely to have been closed
    // by the peer.
    auto connection = std::move(it->second.back());
    it->second.pop_back();
    if (!connection->IsIdleExpired(now) && connection->CanCarry(request))
      return connection;
    closed_.push_back(std::move(connection));
  }
  return nullptr;
}

void HttpClient::OnTick(Instant now) {
  std::vector<ExchangeId> ids;
  ids.reserve(active_.size());
  for (const auto& [id, connection] : active_)
    ids.push_back(id);
  for (const ExchangeId id : ids) {
    const auto it = active_.find(id);
    if (it != active_.end())
      it->second->CheckDeadline(now);
  }
  for (auto it = idle_.begin(); it != idle_.end();) {
    it->second.remove_if([now](const auto& connection) {
      return connection->IsIdleExpired(now);
    });
    it = it->second.empty() ? idle_.erase(it) : std::next(it);
  }
  closed_.clear();
}

void ResponseCollector::Fetch(HttpClient* client,
                              ExchangeRequest request,
                              Done done,
                              std::size_t max_bytes) {
  auto* sink = new ResponseCollector(client, std::move(done), max_bytes);
  sink->exchange_ = client->Send(std::move(request), sink);
}

void ResponseCollector::OnResponseHead(HttpHead head) {
  response_.head = std::move(head);
}

void ResponseCollector::OnResponseBody(std::string_view data) {
  response_.body.append(data);
  if (response_.body.size() <= max_bytes_)
    return;
  const std::unique_ptr<ResponseCollector> self(this);
  client_->Cancel(exchange_);
  done_(nullptr);
}

void ResponseCollector::OnResponseEnd() {
  const std::unique_ptr<ResponseCollector> self(this);
  done_(&response_);
}

void ResponseCollector::OnExchangeFailed(ExchangeFailure, MessageFault) {
  const std::unique_ptr<ResponseCollector> self(this);
  done_(nullptr);
}

}  // namespace bbv

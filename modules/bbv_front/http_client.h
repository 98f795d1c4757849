#ifndef MODULES_BBV_FRONT_HTTP_CLIENT_H_
#define MODULES_BBV_FRONT_HTTP_CLIENT_H_

#include <cstdint>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "bbv_core/instant.h"
#include "bbv_front/tcp_stream.h"
#include "bbv_http/bbv_http.h"

namespace bbv {

// Why an exchange ended without a complete response.
enum class ExchangeFailure : uint8_t {
  // There was no connection; no byte of the request was sent.
  kNotConnected,
  // The connection ended or failed, or the deadline passed, after the request
  // was sent.
  kBroken,
  // The received data is not a valid response, or it may belong to another
  // request.
  kBadAnswer,
  // The received data exceeds what a response may have: the peer may send
  // without end.
  kEndless,
};

// Receives the response of one exchange. Any method may cancel the exchange.
class ExchangeSink {
 public:
  virtual ~ExchangeSink() = default;
  virtual void OnResponseHead(HttpHead head) = 0;
  virtual void OnResponseBody(std::string_view data) = 0;
  virtual void OnResponseEnd() = 0;
  // `fault` says what is wrong with a response that is malformed; kNone after
  // any other failure.
  virtual void OnExchangeFailed(ExchangeFailure failure,
                                MessageFault fault) = 0;
};

// A request, its destination and its deadlines.
struct ExchangeRequest {
  SocketAddress address;
  // Serialized head, and the body unless `body` holds it.
  std::string bytes;
  // Body that follows `bytes`, shared with whoever may send it again; nullptr
  // for none. Both are released once they have been sent.
  std::shared_ptr<const std::string> body;
  // Name of the response field that echoes the request's id, and that id. A
  // response with a different id is skipped. A response without an id counts
  // only if it cannot belong to an earlier request. If the request has no id,
  // `attempt_id` is empty and every response with an id is skipped. `id_field`
  // is empty for exchanges with peers that use no ids.
  std::string_view id_field;
  std::string attempt_id;
  // Whether an idle connection may be reused. On a new connection, a failure
  // cannot be caused by the peer having dropped an idle connection.
  bool may_reuse = true;
  // Deadline for establishing the connection.
  Instant connect_deadline;
  // Deadline for the complete response; Instant::max() for none.
  Instant deadline = Instant::max();
};

// HTTP/1.1 client with a pool of persistent connections per address.
//
// A connection carries one request at a time. Data that arrives while no
// request is outstanding belongs to no request and ends the connection. Thread
// safety: none, used on the event loop's thread.
class HttpClient {
 public:
  // Identifies an active exchange; 0 means none.
  using ExchangeId = uint64_t;

  // `loop` must outlive the client.
  explicit HttpClient(EventLoop* loop);
  ~HttpClient();
  HttpClient(const HttpClient&) = delete;
  HttpClient& operator=(const HttpClient&) = delete;

  // Sends a request. `sink` is called until the exchange ends or is cancelled,
  // but never during this call.
  ExchangeId Send(ExchangeRequest request, ExchangeSink* sink);

  // Cancels an exchange and closes its connection. The sink is not called.
  void Cancel(ExchangeId id);

  // Closes the idle connections to `address`. Active exchanges continue.
  void CloseIdleConnections(const SocketAddress& address);

  // Stops or resumes reading the response, for backpressure.
  void SetReadingPaused(ExchangeId id, bool paused);

  // Fails overdue exchanges and closes connections whose idle timeout passed.
  void OnTick(Instant now);

  // Observes the exchanges with every address. Must not call the client.
  class Observer {
   public:
    virtual ~Observer() = default;
    // A request is about to be sent to `address`.
    virtual void OnRequestSending(const std::string& address) = 0;
    // Bytes were received from `address`.
    virtual void OnBytesReceived(const std::string& address,
                                 std::size_t bytes) = 0;
    // A connection to `address` was established `took` after it was begun.
    virtual void OnConnected(const std::string& address, Milliseconds took) = 0;
    // The head of a response was received from `address`, to a request that was
    // sent at `sent_at`. That time is unknown for skipped responses, which
    // belong to an earlier request.
    virtual void OnHeadReceived(const std::string& address,
                                const HttpHead& head,
                                std::optional<Instant> sent_at) = 0;
    // `address` has answered with data that is not a valid response.
    virtual void OnMalformedResponse(const std::string& /*address*/,
                                     MessageFault /*fault*/) {}
  };
  // `observer` must outlive the client's exchanges.
  void SetObserver(Observer* observer) { observer_ = observer; }

  // Returns the number of connections opened since construction.
  uint64_t connections_opened() const { return connections_opened_; }

 private:
  class Connection;
  friend class Connection;

  // Moves a connection whose exchange has ended to `idle_` or `closed_`.
  void Release(Connection* connection);
  // Returns an idle connection on which `request` may be sent, or nullptr.
  std::unique_ptr<Connection> AcquireIdleConnection(
      const std::string& address,
      const ExchangeRequest& request);

  EventLoop* loop_;
  Observer* observer_ = nullptr;
  ExchangeId next_id_ = 1;
  uint64_t connections_opened_ = 0;
  std::map<ExchangeId, std::unique_ptr<Connection>> active_;
  std::map<std::string, std::list<std::unique_ptr<Connection>>> idle_;
  // Closed connections, destroyed on the next tick because they may still be
  // executing one of their own callbacks.
  std::vector<std::unique_ptr<Connection>> closed_;
};

// Collects a response in memory and passes it to a callback. Owns itself and is
// deleted after the callback. A body above a limit that no response of the
// platform reaches counts as a failure.
class ResponseCollector final : public ExchangeSink {
 public:
  // Called with the response, or with nullptr if the exchange failed.
  using Done = std::function<void(const HttpResponse* answer)>;

  static constexpr std::size_t kMaxBytes = 8U << 20U;

  // Sends `request` with `client` and calls `done` once. A response whose body
  // exceeds `max_bytes` counts as failed.
  static void Fetch(HttpClient* client,
                    ExchangeRequest request,
                    Done done,
                    std::size_t max_bytes = kMaxBytes);

  void OnResponseHead(HttpHead head) override;
  void OnResponseBody(std::string_view data) override;
  void OnResponseEnd() override;
  void OnExchangeFailed(ExchangeFailure failure, MessageFault fault) override;

 private:
  ResponseCollector(HttpClient* client, Done done, std::size_t max_bytes)
      : client_(client), done_(std::move(done)), max_bytes_(max_bytes) {}

  HttpClient* client_;
  HttpClient::ExchangeId exchange_ = 0;
  Done done_;
  std::size_t max_bytes_;
  HttpResponse response_;
};

}  // namespace bbv

#endif  // MODULES_BBV_FRONT_HTTP_CLIENT_H_

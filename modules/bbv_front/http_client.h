#ifndef MODULES_BBV_FRONT_HTTP_CLIENT_H_
#define MODULES_BBV_FRONT_HTTP_CLIENT_H_

#include <cstdint>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "bbv_core/instant.h"
#include "bbv_front/tcp_stream.h"
#include "bbv_http/bbv_http.h"

namespace bbv {

// How an exchange ended without a whole answer.
enum class ExchangeFailure : uint8_t {
  // No connection; no byte of the request left this process.
  kNotConnected,
  // The connection ended or failed behind the request.
  kBroken,
  // What came is no answer.
  kBadAnswer,
};

// Receives one answer. The exchange may be cancelled from any method.
class ExchangeSink {
 public:
  virtual ~ExchangeSink() = default;
  virtual void OnResponseHead(HttpHead head) = 0;
  virtual void OnResponseBody(std::string_view data) = 0;
  virtual void OnResponseEnd() = 0;
  virtual void OnExchangeFailed(ExchangeFailure failure) = 0;
};

// What is to be sent and to whom.
struct ExchangeRequest {
  SocketAddress address;
  // Head and body, ready for the wire.
  std::string bytes;
  // Field in which answers give back the request's id, and that id; answers
  // with another id are left out. Empty for exchanges without ids.
  std::string_view id_field;
  std::string attempt_id;
  // Whether an idle connection may be used. Without one, a failure cannot come
  // from a connection that the peer had dropped before.
  bool may_reuse = true;
  // When the connection must stand.
  Instant connect_deadline;
  // When the answer must be whole; the far future for none.
  Instant deadline = Instant::max();
};

// Requests to other processes over kept connections.
//
// One request at a time on a connection. Thread safety: none, the loop's
// thread.
class HttpClient {
 public:
  // Names an exchange under way; 0 is none.
  using ExchangeId = uint64_t;

  // `loop` must outlive the client.
  explicit HttpClient(EventLoop* loop);
  ~HttpClient();
  HttpClient(const HttpClient&) = delete;
  HttpClient& operator=(const HttpClient&) = delete;

  // Sends a request; `sink` is called until the exchange ends or is cancelled,
  // never from within this call.
  ExchangeId Send(ExchangeRequest request, ExchangeSink* sink);

  // Ends an exchange without its answer and closes its connection.
  void Cancel(ExchangeId id);

  // Closes idle connections to `address`.
  void CloseIdleConnections(const SocketAddress& address);

  // Pauses or resumes the answer, when its reader cannot keep up.
  void Pause(ExchangeId id, bool paused);

  // Ends what is overdue and drops connections that were idle for long.
  void OnTick(Instant now);

  // Called with the head of each answer from `address`, also of those that no
  // exchange waits for. Must not use the client.
  using OnHead =
      std::function<void(const std::string& address, const HttpHead& head)>;
  void SetHeadObserver(OnHead on_head) { on_head_ = std::move(on_head); }

  // Connections opened since the start.
  uint64_t connections_opened() const { return connections_opened_; }

 private:
  class Connection;
  friend class Connection;

  void Release(Connection* connection);
  std::unique_ptr<Connection> AcquireIdleConnection(const std::string& address);

  EventLoop* loop_;
  OnHead on_head_;
  ExchangeId next_id_ = 1;
  uint64_t connections_opened_ = 0;
  std::map<ExchangeId, std::unique_ptr<Connection>> active_;
  std::map<std::string, std::list<std::unique_ptr<Connection>>> idle_;
  // Connections that ended inside one of their own callbacks.
  std::vector<std::unique_ptr<Connection>> closed_;
};

// A whole answer, for exchanges whose answers are small.
struct HttpResponse {
  HttpHead head;
  std::string body;
};

// Collects one whole answer and hands it on; keeps itself alive until then.
// Answers that are longer than any of the platform's count as none.
class ResponseCollector final : public ExchangeSink {
 public:
  // Gets the answer, or nullptr when there is none.
  using Done = std::function<void(const HttpResponse* answer)>;

  // Sends `request` on `client`.
  static void Fetch(HttpClient* client, ExchangeRequest request, Done done);

  void OnResponseHead(HttpHead head) override;
  void OnResponseBody(std::string_view data) override;
  void OnResponseEnd() override;
  void OnExchangeFailed(ExchangeFailure failure) override;

 private:
  ResponseCollector(HttpClient* client, Done done)
      : client_(client), done_(std::move(done)) {}

  HttpClient* client_;
  HttpClient::ExchangeId exchange_ = 0;
  Done done_;
  HttpResponse response_;
};

}  // namespace bbv

#endif  // MODULES_BBV_FRONT_HTTP_CLIENT_H_

#ifndef MODULES_BBV_FRONT_SMALL_HTTP_SERVER_H_
#define MODULES_BBV_FRONT_SMALL_HTTP_SERVER_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "bbv_front/caller_connection.h"
#include "bbv_front/caller_eviction.h"
#include "bbv_front/event_loop.h"
#include "bbv_front/tcp_stream.h"

namespace bbv {

// A response of SmallHttpServer.
struct SmallHttpResponse {
  int status = 200;
  std::string content_type;
  std::string body;
};

// HTTP server for requests that are answered synchronously, such as readiness
// and metrics. Their bodies must be small. A connection that finds no slot
// takes that of another (ConnectionEviction).
//
// Thread safety: none, used on the event loop's thread.
class SmallHttpServer final : public CallerRequestHandler {
 public:
  using Handler = std::function<SmallHttpResponse(const HttpHead&)>;

  // Starts listening. Returns an empty string, or an error message on failure.
  std::string Listen(EventLoop* loop,
                     const SocketAddress& address,
                     Handler handler);

  // Removes connections that are closed or idle for too long.
  void OnTick(Instant now);

  // CallerRequestHandler:
  CallerLimits limits() const override;
  void OnRequest(CallerConnection* connection,
                 HttpHead head,
                 std::string body) override;
  void OnCallerGone(CallerConnection*) override {}
  int OnBadRequest(CallerConnection*, int status) override { return status; }

 private:
  TcpListener listener_;
  Handler handler_;
  uint64_t next_id_ = 1;
  CallerConnections connections_;
};

}  // namespace bbv

#endif  // MODULES_BBV_FRONT_SMALL_HTTP_SERVER_H_

#ifndef MODULES_BBV_FRONT_SMALL_HTTP_SERVER_H_
#define MODULES_BBV_FRONT_SMALL_HTTP_SERVER_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <unordered_map>

#include "bbv_front/caller_connection.h"
#include "bbv_front/event_loop.h"
#include "bbv_front/tcp_stream.h"

namespace bbv {

// What is answered to a question.
struct SmallHttpResponse {
  int status = 200;
  std::string content_type;
  std::string body;
};

// Answers questions that need no waiting: readiness, metrics.
//
// Thread safety: none, the loop's thread.
class SmallHttpServer final : public CallerRequestHandler {
 public:
  using Handler = std::function<SmallHttpResponse(const HttpHead&)>;

  // Returns an empty text, or why it cannot listen.
  std::string Listen(EventLoop* loop,
                     const SocketAddress& address,
                     Handler handler);

  // Drops connections that are over or idle for too long.
  void OnTick(Instant now);

  // CallerRequestHandler:
  void OnRequest(CallerConnection* connection,
                 HttpHead head,
                 std::string body) override;
  void OnCallerGone(CallerConnection*) override {}
  void OnBadRequest(CallerConnection*, int) override {}

 private:
  TcpListener listener_;
  Handler handler_;
  uint64_t next_id_ = 1;
  std::unordered_map<uint64_t, std::unique_ptr<CallerConnection>> connections_;
};

}  // namespace bbv

#endif  // MODULES_BBV_FRONT_SMALL_HTTP_SERVER_H_

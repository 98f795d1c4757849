#include "bbv_front/small_http_server.h"

#include <utility>

namespace bbv {
namespace {

constexpr std::size_t kMaxConnections = 64;
constexpr std::size_t kMaxBodyBytes = 64U << 10U;

}  // namespace

std::string SmallHttpServer::Listen(EventLoop* loop,
                                    const SocketAddress& address,
                                    Handler handler) {
  handler_ = std::move(handler);
  return listener_.Listen(
      loop, address, [this](std::unique_ptr<TcpStream> stream) {
        if (connections_.size() >= kMaxConnections &&
            !IsRoomNow(EvictCaller(&connections_, EventLoop::Now())))
          return;
        const uint64_t id = next_id_++;
        connections_[id] =
            std::make_unique<CallerConnection>(id, std::move(stream), this);
      });
}

CallerLimits SmallHttpServer::limits() const {
  CallerLimits limits;
  limits.max_body_bytes = kMaxBodyBytes;
  return limits;
}

void SmallHttpServer::OnTick(Instant now) {
  std::erase_if(connections_,
                [now](auto& it) { return !it.second->OnTick(now); });
}

void SmallHttpServer::OnRequest(CallerConnection* connection,
                                HttpHead head,
                                std::string) {
  SmallHttpResponse answer = handler_(head);
  std::string fields;
  if (!answer.content_type.empty())
    AppendField("Content-Type", answer.content_type, &fields);
  connection->SendResponse(answer.status, {}, fields, std::move(answer.body));
}

}  // namespace bbv

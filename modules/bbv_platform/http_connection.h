#ifndef MODULES_BBV_PLATFORM_HTTP_CONNECTION_H_
#define MODULES_BBV_PLATFORM_HTTP_CONNECTION_H_

#include <string>
#include <string_view>

#include "bbv_core/error.h"
#include "bbv_core/instant.h"
#include "bbv_http/bbv_http.h"
#include "bbv_platform/blocking_socket.h"
#include "bbv_settings/socket_address.h"

namespace bbv {

// A persistent HTTP connection to one peer.
//
// Responses are read with HttpParser: one that is malformed or exceeds
// kPeerResponseLimits is an error and ends the connection. Data that arrives
// while no request is outstanding belongs to no request; the next request then
// uses a new connection.
//
// Thread safety: one call at a time, except Abort().
class HttpConnection {
 public:
  // `timeout` applies separately to connecting, each read and each write.
  HttpConnection(SocketAddress address, Operation step, Milliseconds timeout);

  // Return the final response, whatever its status, or an error with the
  // constructor's `step`. An interim (1xx) response other than 100 is an error,
  // after which the request may have been performed.
  Result<HttpResponse> Get(const std::string& path);
  Result<HttpResponse> Post(const std::string& path,
                            std::string_view body,
                            const std::string& content_type);
  // Sends the method, the target and the fields of `head`, with the fields that
  // the connection needs. A head that cannot be sent as a single request is an
  // error.
  Result<HttpResponse> Send(const HttpHead& head, std::string_view body);

  // Aborts a call in progress; for use from another thread. Without one, ends
  // the connection. The next call connects again.
  void Abort() { socket_.Shutdown(); }

  const std::string& peer() const { return peer_; }

 private:
  // Opens the connection unless one is open that can carry a request.
  Result<void> Prepare();
  Result<HttpResponse> ReadResponse(bool has_body);
  // Closes the connection, after which the response cannot be taken for that of
  // a later request.
  tl::unexpected<Error> CloseAndFail(std::string message,
                                     bool not_performed = false);

  SocketAddress address_;
  std::string peer_;
  Operation step_;
  Milliseconds timeout_;
  BlockingSocket socket_;
};

}  // namespace bbv

#endif  // MODULES_BBV_PLATFORM_HTTP_CONNECTION_H_

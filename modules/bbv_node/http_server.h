#ifndef MODULES_BBV_NODE_HTTP_SERVER_H_
#define MODULES_BBV_NODE_HTTP_SERVER_H_

#include <httplib.h>

#include <functional>
#include <string>
#include <thread>

#include "bbv_core/error.h"
#include "bbv_observe/metrics.h"
#include "bbv_settings/node_settings.h"

namespace bbv {

// HTTP server of a node with its configured limits and the routes common to all
// roles: /livez, /readyz and /metrics.
//
// Thread safety: routes must be added before Start(); handlers run on the
// server's own threads.
class HttpServer {
 public:
  struct Probes {
    std::function<bool()> ready;
    std::function<std::string()> metrics;
  };

  HttpServer(const NodeSettings& settings, Metrics* metrics, Probes probes);
  ~HttpServer();

  // Used to register routes. Precondition: Start() has not been called.
  httplib::Server& routes() { return server_; }

  Result<void> Start();

  // Stops listening and waits for requests in progress. Idempotent.
  void Stop();

 private:
  void AddProbes(Probes probes);
  void AddErrorHandler(Metrics* metrics);

  const SocketAddress address_;
  httplib::Server server_;
  std::thread thread_;
};

}  // namespace bbv

#endif  // MODULES_BBV_NODE_HTTP_SERVER_H_

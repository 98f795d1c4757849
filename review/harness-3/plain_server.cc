// A server of a plain service, for the cases of this review. It is a process of
// its own, so that a crash ends it as the pages say: all channels at once.
//
//   plain-server ID PORT FOLDER DEADLY WORK_MS
//
// While the file "full" is in FOLDER, the server is full: it answers each
// request 503 with X-Not-Executed. While the file "limit" is there, it names
// the number in it as its Server-Limit. A request to the path DEADLY ("-" for
// none) with the body "deadly" ends the process when the server begins to run
// it. Each request is written to the file "arrivals": time, server, what was
// done, attempt id and target.

#include <fcntl.h>
#include <httplib.h>
#include <unistd.h>

#include <chrono>
#include <cstdlib>
#include <fstream>
#include <string>
#include <thread>

#include "clock.h"

namespace {

struct Arguments {
  std::string id;
  int port = 0;
  std::string folder;
  std::string deadly;
  int work_ms = 0;
};

class Log {
 public:
  explicit Log(const std::string& path)
      : fd_(open(path.c_str(),
                 O_WRONLY | O_APPEND | O_CREAT | O_CLOEXEC,
                 0644)) {}

  void Write(const std::string& id,
             const std::string& what,
             const httplib::Request& request) const {
    const std::string line =
        std::to_string(review3::NowMs()) + ' ' + id + ' ' + what + ' ' +
        request.get_header_value("X-Attempt-Id") + ' ' + request.target + '\n';
    // One write for each line: several processes share the file.
    if (write(fd_, line.data(), line.size()) < 0)
      std::_Exit(3);
  }

 private:
  int fd_;
};

}  // namespace

int main(int argc, char** argv) {
  if (argc != 6)
    return 2;
  const Arguments arguments{argv[1], std::atoi(argv[2]), argv[3], argv[4],
                            std::atoi(argv[5])};
  const Log log(arguments.folder + "/arrivals");
  const std::string full = arguments.folder + "/full";
  const std::string limit = arguments.folder + "/limit";
  httplib::Server server;
  server.new_task_queue = [] { return new httplib::ThreadPool(48); };
  server.set_tcp_nodelay(true);
  server.set_keep_alive_max_count(1'000'000);
  server.set_keep_alive_timeout(5);
  const auto handle = [&](const httplib::Request& request,
                          httplib::Response& response) {
    response.set_header("X-Attempt-Id",
                        request.get_header_value("X-Attempt-Id"));
    std::string per_second;
    if (std::ifstream(limit) >> per_second)
      response.set_header("Server-Limit", per_second);
    if (request.get_header_value("X-Expect-Instance") != arguments.id) {
      log.Write(arguments.id, "misdirected", request);
      response.status = 421;
      return;
    }
    if (access(full.c_str(), F_OK) == 0) {
      log.Write(arguments.id, "refused", request);
      response.status = 503;
      response.set_header("X-Not-Executed", "1");
      return;
    }
    if (request.path == arguments.deadly && request.body == "deadly") {
      log.Write(arguments.id, "crashed", request);
      std::_Exit(1);
    }
    log.Write(arguments.id, "ran", request);
    std::this_thread::sleep_for(std::chrono::milliseconds(arguments.work_ms));
    response.set_header("X-Response-Signature", "s-" + arguments.id);
    response.set_content("done", "text/plain");
  };
  server.Get(".*", handle);
  server.Post(".*", handle);
  return server.listen("127.0.0.1", arguments.port) ? 0 : 3;
}

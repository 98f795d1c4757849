#ifndef TESTS_STANDINS_FAULT_PROXY_H_
#define TESTS_STANDINS_FAULT_PROXY_H_

#include <atomic>
#include <chrono>
#include <cstdint>
#include <deque>
#include <list>
#include <mutex>
#include <string>
#include <thread>

namespace bbv::standins {

// What a proxy does to the bytes that pass it.
enum class LinkFault : uint8_t {
  kNone,
  // Every byte arrives later.
  kDelayed,
  // Nothing comes back; what is sent arrives.
  kOneWay,
  // Nothing passes; connections stay open.
  kSilent,
};

// Where the responses to some requests end early, or what is sent instead.
struct ResponseCut {
  // Text in the heads of these requests; empty for none.
  std::string request_text;
  // Text in the first block of a response after which it ends; an empty one
  // ends it before its first byte.
  std::string response_text;
  // Whether the connection is then reset or closed.
  bool reset = false;
  // If not empty, sent in place of the whole response.
  std::string replacement;
};

// A loopback proxy before one port, whose connections can be harmed. Bytes that
// are held back arrive when the fault ends, as after a loss of packets.
//
// Thread safety: all methods may be called from any thread.
class FaultProxy {
 public:
  FaultProxy() = default;
  ~FaultProxy();
  FaultProxy(const FaultProxy&) = delete;
  FaultProxy& operator=(const FaultProxy&) = delete;

  // Listens on a free port before `target_port`; false when it cannot.
  bool Start(int target_port);
  int port() const { return port_; }

  void SetFault(LinkFault fault) { fault_ = fault; }

  // Resets every connection that is open now.
  void ResetConnections() { ++resets_; }

  // Applies to requests from now on.
  void SetResponseCut(const ResponseCut& cut);

 private:
  using Clock = std::chrono::steady_clock;

  // Bytes on their way in one direction.
  struct Chunk {
    Clock::time_point due;
    std::string bytes;
  };
  struct Link {
    int caller = -1;
    int back = -1;
    std::deque<Chunk> to_back;
    std::deque<Chunk> to_caller;
    bool ended = false;
    // Whether the response that comes next ends early, and whether its last
    // byte was read.
    bool cuts_response = false;
    bool is_cut = false;
  };

  void Run();
  void Accept();
  void Move(Link* link);
  // Finds requests and responses to which `cut` applies in the bytes that were
  // read after the first `chunks_before` chunks.
  static void FindRequest(const ResponseCut& cut,
                          std::size_t chunks_before,
                          Link* link);
  static void CutResponse(const ResponseCut& cut,
                          std::size_t chunks_before,
                          Link* link);
  ResponseCut response_cut();
  // Reads from `source` into `chunks`; false when the connection has ended.
  bool Read(int source, std::deque<Chunk>* chunks);
  // Writes what is due; false when the connection has ended.
  static bool Write(int sink, std::deque<Chunk>* chunks);
  static void Close(Link* link, bool reset);

  int listener_ = -1;
  int port_ = 0;
  int target_port_ = 0;
  std::atomic<LinkFault> fault_{LinkFault::kNone};
  std::atomic<int> resets_{0};
  int resets_done_ = 0;
  std::atomic<bool> stopping_{false};
  std::mutex mutex_;
  ResponseCut response_cut_;
  std::list<Link> links_;
  std::thread thread_;
};

}  // namespace bbv::standins

#endif  // TESTS_STANDINS_FAULT_PROXY_H_

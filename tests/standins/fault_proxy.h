#ifndef TESTS_STANDINS_FAULT_PROXY_H_
#define TESTS_STANDINS_FAULT_PROXY_H_

#include <atomic>
#include <chrono>
#include <cstdint>
#include <deque>
#include <list>
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
  };

  void Run();
  void Accept();
  void Move(Link* link);
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
  std::list<Link> links_;
  std::thread thread_;
};

}  // namespace bbv::standins

#endif  // TESTS_STANDINS_FAULT_PROXY_H_

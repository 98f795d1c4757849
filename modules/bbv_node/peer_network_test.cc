#include "bbv_node/peer_network.h"
#include "tests/free_port.h"

#include <CppUTest/TestHarness.h>

#include <arpa/inet.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <atomic>
#include <functional>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace {

using bbv::Milliseconds;

constexpr int kWaitMs = 10'000;

bbv::SocketAddress Loopback(int port) {
  return {"127.0.0.1", static_cast<uint16_t>(port)};
}

// Opens a listening socket on a free port.
int Listen(int* port) {
  const int fd = socket(AF_INET, SOCK_STREAM, 0);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  socklen_t n = sizeof(address);
  CHECK_EQUAL(0, bind(fd, reinterpret_cast<sockaddr*>(&address), n));
  listen(fd, 16);
  getsockname(fd, reinterpret_cast<sockaddr*>(&address), &n);
  *port = ntohs(address.sin_port);
  return fd;
}

int ConnectTo(int port) {
  const int fd = socket(AF_INET, SOCK_STREAM, 0);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(port);
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  CHECK_EQUAL(
      0, connect(fd, reinterpret_cast<sockaddr*>(&address), sizeof(address)));
  return fd;
}

// Reads the next frame. Returns false if the connection is closed first.
bool ReadFrame(int fd, bbv::FrameReader* reader, bbv::wire::FrameT* frame) {
  while (true) {
    const auto parsed = reader->Next(frame);
    CHECK_TRUE(parsed.has_value());
    if (*parsed)
      return true;
    char buf[4096];
    const ssize_t n = recv(fd, buf, sizeof(buf), 0);
    if (n <= 0)
      return false;
    reader->Append({buf, static_cast<std::size_t>(n)});
  }
}

bool WaitFor(const std::function<bool()>& done) {
  for (int i = 0; i < kWaitMs / 10; ++i) {
    if (done())
      return true;
    std::this_thread::sleep_for(Milliseconds(10));
  }
  return false;
}

class RecordingListener : public bbv::PeerNetworkListener {
 public:
  void PeerConnected(const bbv::NodeIdentity&) override { ++connected; }
  void PeerLost(const std::string&) override { ++lost; }
  void FrameReceived(const std::string&, bbv::wire::FrameT frame) override {
    if (frame.body.type == bbv::wire::Body::ConfigurationPull)
      ++pulls;
  }
  void PeerFault(const std::string& fault) override {
    const std::scoped_lock lock(mutex_);
    faults_.push_back(fault);
  }
  bool HasFault(const std::string& fault) {
    const std::scoped_lock lock(mutex_);
    return std::find(faults_.begin(), faults_.end(), fault) != faults_.end();
  }

  std::atomic<int> connected{0};
  std::atomic<int> lost{0};
  std::atomic<int> pulls{0};

 private:
  std::mutex mutex_;
  std::vector<std::string> faults_;
};

bbv::PeerNetworkOptions MakeOptions(const std::string& name,
                                    int port,
                                    const std::string& key) {
  bbv::PeerNetworkOptions options;
  options.identity = {name, bbv::wire::Role::kEntry, 1};
  options.key = key;
  options.listen_address = Loopback(port);
  options.heartbeat_interval = Milliseconds(50);
  options.silence_timeout = Milliseconds(400);
  options.maximum_frame_bytes = 1 << 16;
  return options;
}

std::string PullFrame() {
  return bbv::EncodeFrame(bbv::MakeFrame(bbv::wire::ConfigurationPullT()));
}

// TCP proxy that can stall all open connections permanently while new ones
// still work.
class StallingProxy {
 public:
  explicit StallingProxy(int target_port) : target_port_(target_port) {
    listen_fd_ = Listen(&port_);
    thread_ = std::thread([this] { Run(); });
  }
  ~StallingProxy() {
    stopping_ = true;
    thread_.join();
    close(listen_fd_);
    for (const Pair& pair : pairs_) {
      close(pair.left);
      close(pair.right);
    }
  }
  int port() const { return port_; }
  void StallOpenConnections() { stall_requested_ = true; }

 private:
  struct Pair {
    int left;
    int right;
    bool silent = false;
  };

  void Run() {
    while (!stopping_) {
      std::vector<pollfd> polled = {{listen_fd_, POLLIN, 0}};
      for (const Pair& pair : pairs_) {
        if (pair.silent)
          continue;
        polled.push_back({pair.left, POLLIN, 0});
        polled.push_back({pair.right, POLLIN, 0});
      }
      poll(polled.data(), polled.size(), 10);
      if (stall_requested_.exchange(false)) {
        for (Pair& pair : pairs_)
          pair.silent = true;
      }
      for (Pair& pair : pairs_) {
        if (pair.silent)
          continue;
        Forward(pair.left, pair.right);
        Forward(pair.right, pair.left);
      }
      if (polled[0].revents != 0)
        pairs_.push_back(
            {accept(listen_fd_, nullptr, nullptr), ConnectTo(target_port_)});
    }
  }

  static void Forward(int from, int to) {
    char buf[4096];
    const ssize_t n = recv(from, buf, sizeof(buf), MSG_DONTWAIT);
    if (n > 0)
      send(to, buf, n, MSG_NOSIGNAL);
    else if (n == 0)
      shutdown(to, SHUT_WR);
  }

  int target_port_;
  int listen_fd_ = -1;
  int port_ = 0;
  std::vector<Pair> pairs_;
  std::atomic<bool> stall_requested_{false};
  std::atomic<bool> stopping_{false};
  std::thread thread_;
};

}  // namespace

TEST_GROUP(PeerNetwork) {
  RecordingListener left_events;
  RecordingListener right_events;
  int left_port = bbv::FreePort();
  int right_port = bbv::FreePort();
};

TEST(PeerNetwork, PeersSharingAKeyExchangeFrames) {
  bbv::PeerNetwork left(MakeOptions("left", left_port, "key-one"),
                        &left_events);
  bbv::PeerNetwork right(MakeOptions("right", right_port, "key-one"),
                         &right_events);
  CHECK_TRUE(left.Start() && right.Start());
  left.Connect("right", Loopback(right_port));
  CHECK_TRUE(WaitFor([&] { return left_events.connected > 0; }));
  left.Send("right", PullFrame());
  CHECK_TRUE(WaitFor([&] { return right_events.pulls == 1; }));
  right.Send("left", PullFrame());
  CHECK_TRUE(WaitFor([&] { return left_events.pulls == 1; }));
}

TEST(PeerNetwork, PeerWithWrongKeyIsRejected) {
  bbv::PeerNetwork left(MakeOptions("left", left_port, "key-one"),
                        &left_events);
  bbv::PeerNetwork right(MakeOptions("right", right_port, "key-two"),
                         &right_events);
  CHECK_TRUE(left.Start() && right.Start());
  left.SendToStage("right", Loopback(right_port), PullFrame());
  CHECK_TRUE(WaitFor([&] { return right_events.HasFault("handshake"); }));
  CHECK_TRUE(WaitFor([&] { return left_events.lost > 0; }));
  CHECK_EQUAL(0, right_events.pulls.load());
  CHECK_EQUAL(0, left_events.connected.load());
}

// The Hello and an invalid proof arrive in one read, so the node rejects the
// proof before it has written its own. It must still send its proof before it
// closes the connection.
TEST(PeerNetwork, InvalidProofIsAnsweredWithOwnProofBeforeClosing) {
  bbv::PeerNetwork right(MakeOptions("right", right_port, "key-one"),
                         &right_events);
  CHECK_TRUE(right.Start().has_value());
  const int fd = ConnectTo(right_port);
  bbv::FrameReader reader(1 << 16);
  bbv::wire::FrameT frame;
  CHECK_TRUE(ReadFrame(fd, &reader, &frame));
  bbv::PeerHandshake handshake({"left", bbv::wire::Role::kEntry, 1}, "key-two");
  const auto proof = handshake.ProcessHello(*frame.body.AsHello());
  CHECK_TRUE(proof.has_value());
  const std::string bytes =
      bbv::EncodeFrame(bbv::MakeFrame(handshake.MakeHello())) +
      bbv::EncodeFrame(bbv::MakeFrame(bbv::wire::HelloProofT(*proof)));
  CHECK_EQUAL(static_cast<ssize_t>(bytes.size()),
              send(fd, bytes.data(), bytes.size(), MSG_NOSIGNAL));
  CHECK_TRUE(ReadFrame(fd, &reader, &frame));
  CHECK_TRUE(frame.body.AsHelloProof() != nullptr);
  CHECK_FALSE(ReadFrame(fd, &reader, &frame));
  close(fd);
  CHECK_TRUE(WaitFor([&] { return right_events.HasFault("handshake"); }));
}

TEST(PeerNetwork, UnauthenticatedInputDoesNotAffectConnectedPeers) {
  bbv::PeerNetwork left(MakeOptions("left", left_port, "key-one"),
                        &left_events);
  bbv::PeerNetwork right(MakeOptions("right", right_port, "key-one"),
                         &right_events);
  CHECK_TRUE(left.Start() && right.Start());
  left.SetHeartbeat(PullFrame());
  right.SetHeartbeat(PullFrame());
  left.Connect("right", Loopback(right_port));
  CHECK_TRUE(WaitFor([&] { return left_events.connected > 0; }));
  // A frame that fails verification, an oversized length prefix, and a valid
  // frame sent before the handshake.
  const std::string invalid_input[] = {
      std::string("\x10\0\0\0", 4) + std::string(16, '\xee'),
      std::string("\xff\xff\xff\x7f", 4), PullFrame()};
  for (const std::string& bytes : invalid_input) {
    const int fd = ConnectTo(right_port);
    CHECK_TRUE(send(fd, bytes.data(), bytes.size(), MSG_NOSIGNAL) > 0);
    char buf[256];
    // The node sends its Hello, then closes the connection.
    while (recv(fd, buf, sizeof(buf), 0) > 0) {
    }
    close(fd);
  }
  CHECK_TRUE(right_events.HasFault("frame"));
  CHECK_TRUE(right_events.HasFault("handshake"));
  const int pulls = right_events.pulls;
  left.Send("right", PullFrame());
  CHECK_TRUE(WaitFor([&] { return right_events.pulls > pulls; }));
  CHECK_EQUAL(0, left_events.lost.load());
}

TEST(PeerNetwork, ASilentConnectionIsReplaced) {
  bbv::PeerNetwork left(MakeOptions("left", left_port, "key-one"),
                        &left_events);
  bbv::PeerNetwork right(MakeOptions("right", right_port, "key-one"),
                         &right_events);
  CHECK_TRUE(left.Start() && right.Start());
  bbv::wire::HeartbeatT heartbeat;
  const std::string frame = bbv::EncodeFrame(bbv::MakeFrame(heartbeat));
  left.SetHeartbeat(frame);
  right.SetHeartbeat(frame);
  StallingProxy proxy(right_port);
  left.Connect("right", Loopback(proxy.port()));
  CHECK_TRUE(WaitFor([&] { return left_events.connected == 1; }));
  proxy.StallOpenConnections();
  CHECK_TRUE(WaitFor([&] { return left_events.lost == 1; }));
  CHECK_TRUE(left_events.HasFault("silent"));
  CHECK_TRUE(WaitFor([&] { return left_events.connected == 2; }));
  left.Send("right", PullFrame());
  CHECK_TRUE(WaitFor([&] { return right_events.pulls == 1; }));
}

TEST(PeerNetwork, UnreachableStageIsReportedLost) {
  bbv::PeerNetwork left(MakeOptions("left", left_port, "key-one"),
                        &left_events);
  CHECK_TRUE(left.Start().has_value());
  left.SendToStage("right", Loopback(right_port), PullFrame());
  CHECK_TRUE(WaitFor([&] { return left_events.lost == 1; }));
}

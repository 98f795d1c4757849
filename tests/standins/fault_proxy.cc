#include "standins/fault_proxy.h"

#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <cerrno>
#include <vector>

namespace bbv::standins {
namespace {

constexpr std::chrono::milliseconds kDelay{25};
constexpr int kPollMs = 2;
constexpr std::size_t kReadBytes = 16'384;
constexpr std::size_t kMostChunks = 64;

sockaddr_in Loopback(int port) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(static_cast<uint16_t>(port));
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  return address;
}

void MakeQuick(int socket) {
  fcntl(socket, F_SETFL, fcntl(socket, F_GETFL) | O_NONBLOCK);
  fcntl(socket, F_SETFD, FD_CLOEXEC);
  const int on = 1;
  setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
}

}  // namespace

FaultProxy::~FaultProxy() {
  stopping_ = true;
  if (thread_.joinable())
    thread_.join();
  for (Link& it : links_)
    Close(&it, false);
  if (listener_ >= 0)
    close(listener_);
}

bool FaultProxy::Start(int target_port) {
  target_port_ = target_port;
  listener_ = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in address = Loopback(0);
  socklen_t size = sizeof(address);
  auto* raw = reinterpret_cast<sockaddr*>(&address);
  if (listener_ < 0 || bind(listener_, raw, size) != 0 ||
      listen(listener_, SOMAXCONN) != 0 ||
      getsockname(listener_, raw, &size) != 0)
    return false;
  MakeQuick(listener_);
  port_ = ntohs(address.sin_port);
  thread_ = std::thread([this] { Run(); });
  return true;
}

void FaultProxy::Run() {
  while (!stopping_) {
    std::vector<pollfd> waits = {{listener_, POLLIN, 0}};
    const bool held = fault_ == LinkFault::kSilent;
    for (const Link& it : links_) {
      if (held)
        break;
      waits.push_back({it.caller, POLLIN, 0});
      waits.push_back({it.back, POLLIN, 0});
    }
    poll(waits.data(), waits.size(), kPollMs);
    const int resets = resets_;
    if (resets != resets_done_) {
      resets_done_ = resets;
      for (Link& it : links_)
        Close(&it, true);
      links_.clear();
    }
    if (fault_ == LinkFault::kSilent) {
      std::this_thread::sleep_for(std::chrono::milliseconds(kPollMs));
      continue;
    }
    Accept();
    for (Link& it : links_)
      Move(&it);
    links_.remove_if([](const Link& it) { return it.ended; });
  }
}

void FaultProxy::Accept() {
  while (true) {
    const int caller = accept4(listener_, nullptr, nullptr, SOCK_CLOEXEC);
    if (caller < 0)
      return;
    MakeQuick(caller);
    const int back = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const sockaddr_in address = Loopback(target_port_);
    if (connect(back, reinterpret_cast<const sockaddr*>(&address),
                sizeof(address)) != 0) {
      Link refused;
      refused.caller = caller;
      refused.back = back;
      Close(&refused, true);
      continue;
    }
    MakeQuick(back);
    Link& link = links_.emplace_back();
    link.caller = caller;
    link.back = back;
  }
}

void FaultProxy::SetResponseCut(const ResponseCut& cut) {
  const std::lock_guard lock(mutex_);
  response_cut_ = cut;
}

ResponseCut FaultProxy::response_cut() {
  const std::lock_guard lock(mutex_);
  return response_cut_;
}

void FaultProxy::FindRequest(const ResponseCut& cut,
                             std::size_t chunks_before,
                             Link* link) {
  if (cut.request_text.empty())
    return;
  for (std::size_t it = chunks_before; it < link->to_back.size(); ++it) {
    if (link->to_back[it].bytes.find(cut.request_text) != std::string::npos)
      link->cuts_response = true;
  }
}

void FaultProxy::CutResponse(const ResponseCut& cut,
                             std::size_t chunks_before,
                             Link* link) {
  if (!link->cuts_response || chunks_before >= link->to_caller.size())
    return;
  std::string& bytes = link->to_caller[chunks_before].bytes;
  const std::size_t found = bytes.find(cut.response_text);
  if (found == std::string::npos)
    return;
  if (cut.replacement.empty())
    bytes.resize(found + cut.response_text.size());
  else
    bytes = cut.replacement;
  while (link->to_caller.size() > chunks_before + 1)
    link->to_caller.pop_back();
  link->is_cut = true;
}

void FaultProxy::Move(Link* link) {
  const ResponseCut cut = response_cut();
  const std::size_t requests_before = link->to_back.size();
  bool alive = Read(link->caller, &link->to_back);
  FindRequest(cut, requests_before, link);
  const std::size_t responses_before = link->to_caller.size();
  if (fault_ != LinkFault::kOneWay && !link->is_cut)
    alive = Read(link->back, &link->to_caller) && alive;
  CutResponse(cut, responses_before, link);
  const bool written =
      Write(link->back, &link->to_back) &&
      (fault_ == LinkFault::kOneWay || Write(link->caller, &link->to_caller));
  // What was read before the end is handed on first.
  const bool drained = link->to_back.empty() && link->to_caller.empty();
  if (!written || (!alive && drained))
    Close(link, false);
  else if (link->is_cut && link->to_caller.empty())
    Close(link, cut.reset);
}

bool FaultProxy::Read(int source, std::deque<Chunk>* chunks) {
  std::array<char, kReadBytes> buf;
  while (chunks->size() < kMostChunks) {
    const ssize_t n = recv(source, buf.data(), buf.size(), 0);
    if (n < 0)
      return errno == EAGAIN || errno == EWOULDBLOCK;
    if (n == 0)
      return false;
    const auto delay = fault_ == LinkFault::kDelayed
                           ? kDelay
                           : std::chrono::milliseconds::zero();
    chunks->push_back({Clock::now() + delay,
                       std::string(buf.data(), static_cast<std::size_t>(n))});
  }
  return true;
}

bool FaultProxy::Write(int sink, std::deque<Chunk>* chunks) {
  while (!chunks->empty() && chunks->front().due <= Clock::now()) {
    std::string& bytes = chunks->front().bytes;
    const ssize_t n = send(sink, bytes.data(), bytes.size(), MSG_NOSIGNAL);
    if (n < 0)
      return errno == EAGAIN || errno == EWOULDBLOCK;
    bytes.erase(0, static_cast<std::size_t>(n));
    if (!bytes.empty())
      return true;
    chunks->pop_front();
  }
  return true;
}

void FaultProxy::Close(Link* link, bool reset) {
  for (const int it : {link->caller, link->back}) {
    if (it < 0)
      continue;
    if (reset) {
      const linger now{1, 0};
      setsockopt(it, SOL_SOCKET, SO_LINGER, &now, sizeof(now));
    }
    close(it);
  }
  link->ended = true;
  link->caller = -1;
  link->back = -1;
}

}  // namespace bbv::standins

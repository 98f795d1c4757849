#include "crowd.h"

#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cerrno>
#include <utility>

#include "raw_caller.h"

namespace bbv {
namespace {

constexpr int kReceiveBytes = 4096;
constexpr int kStillMs = 1000;
// Parts sent by one connection before the next one's turn.
constexpr int kPartsPerTurn = 16;

}  // namespace

struct Crowd::Member {
  int fd = -1;
  CrowdText text;
  int parts_sent = 0;
  std::string waiting;
};

Crowd::~Crowd() {
  for (const int it : sockets_)
    close(it);
}

// Returns whether there is more to send.
bool Crowd::SendSome(Member* member) const {
  for (int turn = 0; turn < kPartsPerTurn; ++turn) {
    if (member->waiting.empty()) {
      if (member->parts_sent > member->text.parts)
        return false;
      member->waiting = member->parts_sent == member->text.parts
                            ? member->text.tail
                            : member->text.part;
      ++member->parts_sent;
      continue;
    }
    const ssize_t n = send(member->fd, member->waiting.data(),
                           member->waiting.size(), MSG_NOSIGNAL | MSG_DONTWAIT);
    if (n < 0)
      return errno == EAGAIN;
    member->waiting.erase(0, static_cast<std::size_t>(n));
  }
  return true;
}

void Crowd::Send(int n, const std::function<CrowdText(int)>& text) {
  std::vector<Member> members;
  for (int it = 0; it < n; ++it) {
    const int fd = ConnectToLoopback(port_, kReceiveBytes);
    if (fd < 0)
      continue;
    sockets_.push_back(fd);
    Member& member = members.emplace_back();
    member.fd = fd;
    member.text = text(it);
    member.waiting = member.text.head;
  }
  while (!members.empty()) {
    std::vector<pollfd> polled;
    polled.reserve(members.size());
    for (const Member& it : members)
      polled.push_back({it.fd, POLLOUT, 0});
    if (poll(polled.data(), polled.size(), kStillMs) <= 0)
      return;
    std::vector<Member> left;
    for (std::size_t it = 0; it < members.size(); ++it) {
      if (polled[it].revents == 0 || SendSome(&members[it]))
        left.push_back(std::move(members[it]));
    }
    members = std::move(left);
  }
}

}  // namespace bbv

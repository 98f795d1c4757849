#ifndef TESTS_CROWD_H_
#define TESTS_CROWD_H_

#include <functional>
#include <string>
#include <vector>

namespace bbv {

// What each connection of a crowd sends: `head`, `parts` times `part`, `tail`.
struct CrowdText {
  std::string head;
  std::string part;
  int parts = 0;
  std::string tail;
};

// Callers that send without reading and keep their connections open until the
// crowd is destroyed.
//
// Thread safety: none.
class Crowd {
 public:
  explicit Crowd(int port) : port_(port) {}
  ~Crowd();
  Crowd(const Crowd&) = delete;
  Crowd& operator=(const Crowd&) = delete;

  // Opens `n` connections that send `text` at the same time, until each has
  // sent all of it, or was closed, or the peer takes no more bytes.
  void Send(int n, const std::function<CrowdText(int)>& text);

 private:
  struct Member;

  bool SendSome(Member* member) const;

  int port_;
  std::vector<int> sockets_;
};

}  // namespace bbv

#endif  // TESTS_CROWD_H_

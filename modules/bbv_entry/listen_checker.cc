#include "bbv_entry/listen_checker.h"

#include <cassert>
#include <iterator>
#include <optional>
#include <string_view>
#include <utility>

#include "bbv_front/tcp_stream.h"

namespace bbv {
namespace {

constexpr Milliseconds kConnectTimeout{250};

}  // namespace

// One connection attempt.
class ListenChecker::Attempt final : public TcpStreamDelegate {
 public:
  Attempt(Instant deadline, Done done)
      : deadline_(deadline), done_(std::move(done)) {}

  void Connect(EventLoop* loop, const SocketAddress& address) {
    stream_ = TcpStream::Connect(loop, address, this);
    if (stream_ == nullptr)
      result_ = ListenCheckResult::kNoAnswer;
  }

  // Calls `done` and returns true if the attempt has ended.
  bool Finish(Instant now) {
    if (!result_ && now >= deadline_)
      result_ = ListenCheckResult::kNoAnswer;
    if (!result_)
      return false;
    stream_.reset();
    done_(*result_);
    return true;
  }

  // TcpStreamDelegate:
  void OnConnected() override { result_ = ListenCheckResult::kListening; }
  void OnData(std::string_view) override {}
  void OnStreamEnd(StreamEnd end) override {
    if (result_)
      return;
    result_ = end == StreamEnd::kRefused ? ListenCheckResult::kRefused
                                         : ListenCheckResult::kNoAnswer;
  }

 private:
  Instant deadline_;
  Done done_;
  std::unique_ptr<TcpStream> stream_;
  std::optional<ListenCheckResult> result_;
};

ListenChecker::ListenChecker(EventLoop* loop) : loop_(loop) {
  assert(loop != nullptr);
}

ListenChecker::~ListenChecker() = default;

void ListenChecker::Check(const SocketAddress& address,
                          Instant now,
                          Done done) {
  attempts_.push_back(
      std::make_unique<Attempt>(now + kConnectTimeout, std::move(done)));
  attempts_.back()->Connect(loop_, address);
}

void ListenChecker::OnTick(Instant now) {
  for (auto it = attempts_.begin(); it != attempts_.end();)
    it = (*it)->Finish(now) ? attempts_.erase(it) : std::next(it);
}

}  // namespace bbv

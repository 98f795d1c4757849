#ifndef MODULES_BBV_FLEET_MEMORY_LEDGER_H_
#define MODULES_BBV_FLEET_MEMORY_LEDGER_H_

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>

namespace bbv {

// Counts the bytes of callers' requests and of targets' answers that an entry
// holds, and bounds their sum by a part of the instance's memory. The rest is
// left for everything else, such as the buffers of connections.
//
// What is accepted must be finished: request bodies may use only a part of the
// bound, so that the answers of accepted calls find room. Large bodies may use
// less of it than small ones, and so may large answers, so that large calls do
// not displace the small ones.
//
// Thread safety: none, used on one thread.
class MemoryLedger {
 public:
  enum class Use : uint8_t {
    // Bytes of a request.
    kRequest,
    // Bytes of an answer that is buffered until it is whole and sent.
    kAnswer,
  };

  // A body or answer above this size is a large one.
  static constexpr std::size_t kMaxSmallBody = 64U << 10U;

  // Bytes that one owner holds; given back on destruction. A
  // default-constructed hold counts nothing and is never refused. Thread
  // safety: as the ledger's.
  class Hold {
   public:
    Hold() = default;
    // `ledger` may be null; otherwise it must outlive the hold.
    Hold(MemoryLedger* ledger, Use use) : ledger_(ledger), use_(use) {}
    ~Hold() { Release(); }
    Hold(Hold&& other) noexcept;
    Hold& operator=(Hold&& other) noexcept;
    Hold(const Hold&) = delete;
    Hold& operator=(const Hold&) = delete;

    // Grows to `bytes` if it holds less. Returns false, without an effect, if
    // the ledger has no room for that.
    [[nodiscard]] bool GrowTo(std::size_t bytes);
    // Holds exactly `bytes`, which are in memory already. Returns false if they
    // exceed what GrowTo() would have granted.
    bool Set(std::size_t bytes);
    void Release() { Set(0); }
    std::size_t bytes() const { return bytes_; }

   private:
    MemoryLedger* ledger_ = nullptr;
    Use use_ = Use::kRequest;
    std::size_t bytes_ = 0;
  };

  // `instance_bytes` is the memory of the instance.
  explicit MemoryLedger(std::size_t instance_bytes)
      : instance_bytes_(instance_bytes) {}
  MemoryLedger(const MemoryLedger&) = delete;
  MemoryLedger& operator=(const MemoryLedger&) = delete;

  // Bytes held now.
  std::size_t held_bytes() const { return held_bytes_; }

  // Returns the sum up to which a hold may grow that then has `bytes`.
  std::size_t Bound(Use use, std::size_t bytes) const;

 private:
  bool HasRoom(Use use, std::size_t old_bytes, std::size_t new_bytes) const;

  std::size_t instance_bytes_;
  std::size_t held_bytes_ = 0;
};

// Returns `text`, whose bytes stay counted by `hold` until the last owner has
// released it.
std::shared_ptr<const std::string> ShareHeldText(std::string text,
                                                 MemoryLedger::Hold hold);

}  // namespace bbv

#endif  // MODULES_BBV_FLEET_MEMORY_LEDGER_H_

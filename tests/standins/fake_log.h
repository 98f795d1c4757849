#ifndef TESTS_STANDINS_FAKE_LOG_H_
#define TESTS_STANDINS_FAKE_LOG_H_

#include <cstdint>
#include <deque>
#include <map>
#include <string>

#include "bbv_config/configuration_log.h"

namespace bbv::standins {

// The platform's append-only log, in memory; pure.
//
// Thread safety: none.
class FakeLog {
 public:
  // Returns the record's offset.
  uint64_t Append(const std::string& stream, const std::string& record);

  // Returns up to `limit` records from `offset`, or from the first one kept.
  LogRecords Read(const std::string& stream,
                  uint64_t offset,
                  std::size_t limit) const;

  // Drops every record before `offset`, as retention does.
  void Trim(const std::string& stream, uint64_t offset);

 private:
  struct Stream {
    uint64_t start = 0;
    std::deque<std::string> records;
  };
  std::map<std::string, Stream> streams_;
};

}  // namespace bbv::standins

#endif  // TESTS_STANDINS_FAKE_LOG_H_

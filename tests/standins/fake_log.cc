#include "standins/fake_log.h"

#include <algorithm>

namespace bbv::standins {

uint64_t FakeLog::Append(const std::string& stream, const std::string& record) {
  Stream& place = streams_[stream];
  place.records.push_back(record);
  return place.start + place.records.size() - 1;
}

LogRecords FakeLog::Read(const std::string& stream,
                         uint64_t offset,
                         std::size_t limit) const {
  LogRecords result;
  const auto it = streams_.find(stream);
  if (it == streams_.end())
    return result;
  const Stream& place = it->second;
  result.log_start = place.start;
  result.log_end = place.start + place.records.size();
  result.first_offset = std::min(std::max(offset, place.start), result.log_end);
  for (uint64_t at = result.first_offset;
       at < result.log_end && result.records.size() < limit; ++at)
    result.records.push_back(place.records[at - place.start]);
  return result;
}

void FakeLog::Trim(const std::string& stream, uint64_t offset) {
  Stream& place = streams_[stream];
  while (place.start < offset && !place.records.empty()) {
    place.records.pop_front();
    ++place.start;
  }
}

}  // namespace bbv::standins

#include "bbv_platform/log_client.h"

#include <nlohmann/json.hpp>

#include "bbv_core/json_text.h"

namespace bbv {
namespace {

constexpr int kMaxRecordsPerRead = 512;

std::string RecordsPath(const std::string& stream) {
  return "/v1/streams/" + stream + "/records";
}

// Returns the text of a record; empty if it is not a string. Each record counts
// for the offsets, so none is left out.
std::string ParseRecord(std::string_view item) {
  if (IsJsonTooDeep(item))
    return {};
  const auto record =
      nlohmann::json::parse(ReplaceMalformedUtf8(item), nullptr, false);
  return record.is_string() ? record.get<std::string>() : std::string();
}

}  // namespace

std::string ClaimStreamName(const std::string& service) {
  return "claims." + service;
}

LogClient::LogClient(const SocketAddress& address, Milliseconds timeout)
    : connection_(address, Operation::kLogAppend, timeout) {}

Result<void> LogClient::Append(const std::string& stream,
                               const std::string& record) {
  const auto response =
      connection_.Post(RecordsPath(stream), record, "application/json");
  if (!response)
    return tl::make_unexpected(response.error());
  if (response->head.status == 200)
    return {};
  // The log service returns 429 before it appends anything. After any other
  // error status the record may have been appended.
  const bool not_performed = response->head.status == 429;
  return Fail(Operation::kLogAppend, connection_.peer(),
              "status " + std::to_string(response->head.status), not_performed);
}

Result<LogRecords> LogClient::Read(const std::string& stream,
                                   uint64_t offset,
                                   Milliseconds wait) {
  const std::string path = RecordsPath(stream) +
                           "?from=" + std::to_string(offset) +
                           "&limit=" + std::to_string(kMaxRecordsPerRead) +
                           "&wait_ms=" + std::to_string(wait.count());
  const auto response = connection_.Get(path);
  if (!response)
    return tl::make_unexpected(response.error());
  if (response->head.status != 200)
    return Fail(Operation::kLogRead, connection_.peer(),
                "status " + std::to_string(response->head.status));
  const JsonList list = SplitJsonList(response->body, "records");
  if (IsJsonTooDeep(list.rest))
    return Fail(Operation::kLogRead, connection_.peer(), "nested too deep");
  try {
    const auto document = nlohmann::json::parse(list.rest);
    if (!document.at("records").is_array())
      return Fail(Operation::kLogRead, connection_.peer(), "no records");
    LogRecords records;
    document.at("first").get_to(records.first_offset);
    document.at("start").get_to(records.log_start);
    document.at("end").get_to(records.log_end);
    for (const std::string_view item : list.items)
      records.records.push_back(ParseRecord(item));
    return records;
  } catch (const nlohmann::json::exception& error) {
    return Fail(Operation::kLogRead, connection_.peer(), error.what());
  }
}

}  // namespace bbv

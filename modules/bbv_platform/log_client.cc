#include "bbv_platform/log_client.h"

#include <nlohmann/json.hpp>

namespace bbv {
namespace {

constexpr int kMaxRecordsPerRead = 512;

std::string RecordsPath(const std::string& stream) {
  return "/v1/streams/" + stream + "/records";
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
  if (response->status == 200)
    return {};
  // The log service returns 429 before it appends anything. After any other
  // error status the record may have been appended.
  const bool not_performed = response->status == 429;
  return Fail(Operation::kLogAppend, connection_.peer(),
              "status " + std::to_string(response->status), not_performed);
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
  if (response->status != 200)
    return Fail(Operation::kLogRead, connection_.peer(),
                "status " + std::to_string(response->status));
  try {
    const auto document = nlohmann::json::parse(response->body);
    LogRecords records;
    document.at("first").get_to(records.first_offset);
    document.at("start").get_to(records.log_start);
    document.at("end").get_to(records.log_end);
    document.at("records").get_to(records.records);
    return records;
  } catch (const nlohmann::json::exception& error) {
    return Fail(Operation::kLogRead, connection_.peer(), error.what());
  }
}

}  // namespace bbv

#include "bbv_once/claim_record.h"

#include <nlohmann/json.hpp>

#include "bbv_config/json_integer.h"
#include "bbv_core/json_text.h"

namespace bbv {
namespace {

using nlohmann::json;

RequestId KeyFromJson(const json& in) {
  const auto key = ParseRequestId(in.get<std::string>());
  if (!key)
    throw json::other_error::create(501, "malformed key", &in);
  return *key;
}

// Encodes a body with non-ASCII bytes as an array of numbers, because JSON
// strings cannot hold arbitrary bytes.
json BytesToJson(const std::string& bytes) {
  json out = json::array();
  for (const char c : bytes)
    out.push_back(static_cast<uint8_t>(c));
  return out;
}

std::string BytesFromJson(const json& in) {
  std::string bytes;
  for (const json& value : in) {
    uint8_t byte = 0;
    ReadInteger(value, &byte);
    bytes.push_back(static_cast<char>(byte));
  }
  return bytes;
}

bool IsAscii(const std::string& bytes) {
  for (const char c : bytes) {
    if (static_cast<unsigned char>(c) >= 0x80)
      return false;
  }
  return true;
}

json AnswerToJson(const ClaimAnswer& answer) {
  json out = {ToString(answer.key), answer.status, answer.body_recorded,
              answer.content_type};
  if (IsAscii(answer.body))
    out.push_back(answer.body);
  else
    out.push_back(BytesToJson(answer.body));
  return out;
}

ClaimAnswer AnswerFromJson(const json& in) {
  ClaimAnswer answer;
  answer.key = KeyFromJson(in.at(0));
  ReadInteger(in.at(1), &answer.status);
  in.at(2).get_to(answer.body_recorded);
  in.at(3).get_to(answer.content_type);
  answer.body = in.at(4).is_string() ? in.at(4).get<std::string>()
                                     : BytesFromJson(in.at(4));
  return answer;
}

}  // namespace

std::string EncodeClaimRecord(const ClaimRecord& record) {
  json out = {{"t", record.holder.target}, {"e", record.holder.epoch}};
  for (const Claim& claim : record.claims)
    out["c"].push_back({ToString(claim.key), claim.fingerprint});
  for (const ClaimAnswer& answer : record.answers)
    out["a"].push_back(AnswerToJson(answer));
  for (const RequestId& key : record.voided_keys)
    out["v"].push_back(ToString(key));
  return out.dump();
}

Result<ClaimRecord> DecodeClaimRecord(const std::string& text) {
  if (IsJsonTooDeep(text))
    return Fail(Operation::kLogRead, "claims", "nested too deep");
  try {
    const json in = json::parse(text);
    ClaimRecord record;
    in.at("t").get_to(record.holder.target);
    ReadInteger(in.at("e"), &record.holder.epoch);
    for (const json& claim : in.value("c", json::array())) {
      Claim read{KeyFromJson(claim.at(0))};
      ReadInteger(claim.at(1), &read.fingerprint);
      record.claims.push_back(read);
    }
    for (const json& answer : in.value("a", json::array()))
      record.answers.push_back(AnswerFromJson(answer));
    for (const json& key : in.value("v", json::array()))
      record.voided_keys.push_back(KeyFromJson(key));
    return record;
  } catch (const json::exception& error) {
    return Fail(Operation::kLogRead, "claims", error.what());
  }
}

}  // namespace bbv

#include "bbv_node/completion_handler.h"

#include <charconv>
#include <memory>
#include <nlohmann/json.hpp>
#include <utility>

#include "bbv_core/event.h"
#include "bbv_core/hashing.h"
#include "bbv_core/json_text.h"
#include "bbv_node/caller_request_scope.h"
#include "bbv_node/entry_node.h"
#include "bbv_node/http_responses.h"
#include "bbv_node/tokenizer.h"

namespace bbv {
namespace {

using nlohmann::json;

constexpr uint32_t kDefaultTokens = 64;
constexpr uint32_t kMaximumTokens = 8192;
constexpr uint32_t kMaximumPromptTokens = 1 << 17;
constexpr Milliseconds kDisconnectCheckInterval{200};

enum class CompletionKind : uint8_t { kText, kChat };

// State of one completion request while it is being served.
struct Completion {
  Completion(EntryNode* owner, httplib::Response* response)
      : node(owner), scope(owner, response) {}

  EntryNode* node;
  CallerRequestScope scope;
  CompletionKind kind = CompletionKind::kText;
  bool stream = false;
  std::string public_id;
  ModelRequest request;
  RefPtr<RequestMailbox> mailbox;
  TraceContext trace;
  uint64_t start_unix_nanoseconds = 0;
  Instant started{};
  Instant last_token{};
  bool complete = false;
  bool ended = false;
};

// Describes why a request is rejected; `status` is the HTTP status.
struct RequestError {
  int status = 400;
  std::string code;
  std::string message;
};

template <typename T>
using ParseResult = tl::expected<T, RequestError>;

tl::unexpected<RequestError> Reject(int status,
                                    std::string code,
                                    std::string message) {
  return tl::make_unexpected(
      RequestError{status, std::move(code), std::move(message)});
}

ParseResult<std::string> ParsePrompt(const json& body, CompletionKind kind) {
  if (kind == CompletionKind::kText) {
    if (!body.contains("prompt") || !body["prompt"].is_string())
      return Reject(400, "bad-prompt", "prompt must be a text string");
    return body["prompt"].get<std::string>();
  }
  if (!body.contains("messages") || !body["messages"].is_array())
    return Reject(400, "bad-messages", "messages must be an array");
  std::string prompt;
  for (const json& message : body["messages"]) {
    const bool valid = message.is_object() && message.contains("role") &&
                       message["role"].is_string() &&
                       message.contains("content") &&
                       message["content"].is_string();
    if (!valid)
      return Reject(400, "bad-messages",
                    "each message must have role and content as strings");
    prompt += message["role"].get<std::string>() + ": " +
              message["content"].get<std::string>() + "\n";
  }
  return prompt;
}

ParseResult<uint32_t> ParseMaximumTokens(const json& body) {
  if (!body.contains("max_tokens"))
    return kDefaultTokens;
  const json& value = body["max_tokens"];
  if (!value.is_number_integer() || value.get<int64_t>() < 1 ||
      value.get<int64_t>() > kMaximumTokens)
    return Reject(400, "bad-max-tokens",
                  "max_tokens must be a whole number from 1 to " +
                      std::to_string(kMaximumTokens));
  return value.get<uint32_t>();
}

// Parses the headers with which a caller resumes an interrupted response.
ParseResult<void> ParseResumeHeaders(const httplib::Request& http,
                                     Completion* completion) {
  ModelRequest& request = completion->request;
  if (!http.has_header(kRequestIdHeader)) {
    completion->public_id = ToString(completion->node->MakeRequestId());
    return {};
  }
  completion->public_id = http.get_header_value(kRequestIdHeader);
  if (!ParseRequestId(completion->public_id))
    return Reject(400, "bad-request-id",
                  "Bluebellvalve-Request-Id must have 32 hexadecimal digits");
  request.resuming = true;
  if (!http.has_header("Last-Event-ID"))
    return {};
  const std::string text = http.get_header_value("Last-Event-ID");
  uint32_t last = 0;
  const auto [end, ec] =
      std::from_chars(text.data(), text.data() + text.size(), last);
  if (ec != std::errc() || end != text.data() + text.size() ||
      last >= kMaximumTokens)
    return Reject(400, "bad-last-event-id",
                  "Last-Event-ID must be the id of a received event");
  request.delivered_before = last + 1;
  return {};
}

ParseResult<void> ParseBody(const httplib::Request& http,
                            Completion* completion) {
  const json body = IsJsonTooDeep(http.body)
                        ? json()
                        : json::parse(http.body, nullptr, false);
  if (!body.is_object())
    return Reject(400, "bad-json", "body must be a JSON object in UTF-8");
  ModelRequest& request = completion->request;
  const auto view = completion->node->view().Get();
  const std::string model = body.contains("model") && body["model"].is_string()
                                ? body["model"].get<std::string>()
                                : "";
  const auto it = view->configuration.models.find(model);
  if (it == view->configuration.models.end())
    return Reject(404, "unknown-model", "model not found");
  request.model = it->second;
  if (body.contains("stream") && !body["stream"].is_boolean())
    return Reject(400, "bad-stream", "stream must be true or false");
  completion->stream = body.value("stream", false);
  // Without chunks, a stream would look complete wherever it breaks off.
  if (completion->stream && http.version == "HTTP/1.0")
    return Reject(505, "bad-version", "a stream needs HTTP/1.1");
  const auto maximum_tokens = ParseMaximumTokens(body);
  if (!maximum_tokens)
    return tl::make_unexpected(maximum_tokens.error());
  request.maximum_tokens = *maximum_tokens;
  const auto prompt = ParsePrompt(body, completion->kind);
  if (!prompt)
    return tl::make_unexpected(prompt.error());
  if (prompt->empty() || prompt->size() > kMaximumPromptTokens)
    return Reject(400, "bad-prompt",
                  "the prompt must have 1 to " +
                      std::to_string(kMaximumPromptTokens) + " tokens");
  request.prompt = EncodeText(*prompt);
  return {};
}

// Combines a caller's request id with its account, since ids are unique only
// within an account.
RequestId MakeInternalId(const std::string& account, const std::string& id) {
  const Hash128 hash = HashBytes128(account + '\0' + id);
  return {hash.high, hash.low};
}

json MakeChunk(const Completion& completion,
               const std::string& text,
               bool last) {
  const json finish = last ? json("length") : json();
  json choice = {{"index", 0}, {"finish_reason", finish}};
  if (completion.kind == CompletionKind::kChat)
    choice["delta"] = {{"content", text}};
  else
    choice["text"] = text;
  return {{"id", completion.public_id},
          {"object", completion.kind == CompletionKind::kChat
                         ? "chat.completion.chunk"
                         : "text_completion"},
          {"model", completion.request.model.name},
          {"choices", json::array({choice})}};
}

json MakeCompletionBody(const Completion& completion,
                        const std::string& text,
                        std::size_t tokens) {
  json choice = {{"index", 0}, {"finish_reason", "length"}};
  if (completion.kind == CompletionKind::kChat)
    choice["message"] = {{"role", "assistant"}, {"content", text}};
  else
    choice["text"] = text;
  const std::size_t prompt = completion.request.prompt.size();
  return {
      {"id", completion.public_id},
      {"object", completion.kind == CompletionKind::kChat ? "chat.completion"
                                                          : "text_completion"},
      {"model", completion.request.model.name},
      {"choices", json::array({choice})},
      {"usage",
       {{"prompt_tokens", prompt},
        {"completion_tokens", tokens},
        {"total_tokens", prompt + tokens}}}};
}

// Records latency metrics for tokens that have just arrived.
void ObserveTokens(Completion* completion, const Delivery& delivery) {
  if (delivery.tokens.empty())
    return;
  const Instant now = std::chrono::steady_clock::now();
  const auto seconds = [now](Instant since) {
    return std::chrono::duration<double>(now - since).count();
  };
  Metrics& metrics = completion->node->metrics();
  if (completion->last_token == Instant{}) {
    metrics.ObserveFirstToken(seconds(completion->started));
  } else {
    const double gap = seconds(completion->last_token) /
                       static_cast<double>(delivery.tokens.size());
    for (std::size_t i = 0; i < delivery.tokens.size(); ++i)
      metrics.ObserveBetweenTokens(gap);
  }
  completion->last_token = now;
}

// Closes the mailbox and records metrics and the trace span of a request. Has
// an effect only once.
void FinishCompletion(Completion* completion, const std::string& outcome) {
  if (completion->ended)
    return;
  completion->ended = true;
  EntryNode* node = completion->node;
  node->CloseRequest(completion->request.id, completion->mailbox,
                     completion->complete);
  node->metrics().CountRequest("model", outcome);
  LogEvent(
      Event::kRequestFinished,
      {{"request", ToString(completion->request.id)}, {"outcome", outcome}});
  node->spans().Write({completion->trace,
                       "entry.completion",
                       completion->start_unix_nanoseconds,
                       UnixNanoseconds(),
                       {{"request", ToString(completion->request.id)},
                        {"account", completion->request.account},
                        {"outcome", outcome}}});
}

std::string OutcomeName(const Refusal& refusal) {
  return std::string(kOutcomeNames.Name(refusal.outcome));
}

// Formats `delivery` as server-sent events.
std::string MakeEvents(const Completion& completion, const Delivery& delivery) {
  std::string events;
  for (std::size_t i = 0; i < delivery.tokens.size(); ++i) {
    const bool last = delivery.finished && i + 1 == delivery.tokens.size();
    events +=
        "id: " + std::to_string(delivery.first_index + i) + "\ndata: " +
        MakeChunk(completion, DecodeToken(delivery.tokens[i]), last).dump() +
        "\n\n";
  }
  if (delivery.finished)
    events += "data: [DONE]\n\n";
  if (delivery.refusal)
    events +=
        "event: error\ndata: " + MakeRefusalBody(*delivery.refusal).dump() +
        "\n\n";
  return events;
}

// Writes one delivery to a stream. Returns false if the caller has
// disconnected.
bool WriteDelivery(Completion* completion,
                   const Delivery& delivery,
                   httplib::DataSink* sink) {
  ObserveTokens(completion, delivery);
  const std::string events = MakeEvents(*completion, delivery);
  if (!events.empty() && !sink->write(events.data(), events.size()))
    return false;
  if (!delivery.is_final())
    return sink->is_writable();
  completion->complete = true;
  FinishCompletion(completion,
                   delivery.refusal ? OutcomeName(*delivery.refusal) : "ran");
  sink->done();
  return true;
}

void StreamResponse(const std::shared_ptr<Completion>& completion,
                    Delivery first,
                    httplib::Response* response) {
  response->set_header("Cache-Control", "no-cache");
  auto pending = std::make_shared<Delivery>(std::move(first));
  response->set_chunked_content_provider(
      "text/event-stream",
      [completion, pending](std::size_t, httplib::DataSink& sink) {
        if (pending->tokens.empty() && !pending->is_final())
          *pending = completion->mailbox->Take(
              std::chrono::steady_clock::now() + kDisconnectCheckInterval);
        const Delivery delivery = std::exchange(*pending, {});
        return WriteDelivery(completion.get(), delivery, &sink);
      },
      [completion](bool) {
        FinishCompletion(completion.get(), "caller-gone");
      });
}

void SendCompleteResponse(Completion* completion,
                          Delivery delivery,
                          httplib::Response* response) {
  std::string text;
  std::size_t tokens = 0;
  while (true) {
    ObserveTokens(completion, delivery);
    for (const uint64_t token : delivery.tokens)
      text += DecodeToken(token);
    tokens += delivery.tokens.size();
    if (delivery.is_final())
      break;
    delivery = completion->mailbox->Take(completion->request.deadline +
                                         kDisconnectCheckInterval);
  }
  completion->complete = true;
  if (delivery.refusal) {
    SetRefusalResponse(response, *delivery.refusal);
    FinishCompletion(completion, OutcomeName(*delivery.refusal));
    return;
  }
  response->set_header(kOutcomeHeader, "ran");
  response->set_content(MakeCompletionBody(*completion, text, tokens).dump(),
                        "application/json");
  FinishCompletion(completion, "ran");
}

void RejectRequest(EntryNode* node,
                   const RequestError& fault,
                   httplib::Response* response) {
  node->metrics().CountClientFault(fault.code);
  LogEvent(Event::kClientRequestRejected, {{"fault", fault.code}});
  SetErrorResponse(response, fault.status, Outcome::kNotRun, fault.code,
                   fault.message);
}

void HandleCompletion(EntryNode* node,
                      CompletionKind kind,
                      const httplib::Request& http,
                      httplib::Response& response) {
  const auto account = node->view().Authenticate(http);
  if (!account) {
    RejectRequest(node, {401, "unknown-key", "bearer key is not known"},
                  &response);
    return;
  }
  auto completion = std::make_shared<Completion>(node, &response);
  if (!completion->scope.admitted())
    return;
  completion->kind = kind;
  if (const auto read = ParseBody(http, completion.get()); !read) {
    RejectRequest(node, read.error(), &response);
    return;
  }
  if (const auto read = ParseResumeHeaders(http, completion.get()); !read) {
    RejectRequest(node, read.error(), &response);
    return;
  }
  completion->started = std::chrono::steady_clock::now();
  completion->start_unix_nanoseconds = UnixNanoseconds();
  completion->trace = node->MakeTrace(http.get_header_value("traceparent"));
  ModelRequest& request = completion->request;
  request.id = MakeInternalId(account->name, completion->public_id);
  request.account = account->name;
  request.weight = account->weight;
  request.priority = account->priority;
  request.traceparent = completion->trace.ToTraceparent();
  request.deadline =
      completion->started + Milliseconds(node->settings().request_timeout_ms);
  completion->mailbox = node->OpenRequest(request);
  response.set_header(kRequestIdHeader, completion->public_id);

  Delivery first =
      completion->mailbox->Take(request.deadline + kDisconnectCheckInterval);
  if (completion->stream && !first.refusal) {
    response.set_header(kOutcomeHeader, "ran");
    StreamResponse(completion, std::move(first), &response);
    return;
  }
  SendCompleteResponse(completion.get(), std::move(first), &response);
}

}  // namespace

void AddCompletionRoutes(httplib::Server* server, EntryNode* node) {
  server->Post("/v1/completions", [node](const httplib::Request& http,
                                         httplib::Response& response) {
    HandleCompletion(node, CompletionKind::kText, http, response);
  });
  server->Post("/v1/chat/completions", [node](const httplib::Request& http,
                                              httplib::Response& response) {
    HandleCompletion(node, CompletionKind::kChat, http, response);
  });
}

}  // namespace bbv

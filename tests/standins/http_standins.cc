#include "standins/http_standins.h"

#include <nlohmann/json.hpp>

namespace bbv::standins {
namespace {

using nlohmann::json;
using std::chrono::milliseconds;

constexpr int kThreads = 512;
constexpr int kKeepAliveRequests = 1'000'000;

json ParseBody(const httplib::Request& request) {
  return json::parse(request.body, nullptr, false);
}

void SleepMs(int n) {
  if (n > 0)
    std::this_thread::sleep_for(milliseconds(n));
}

FILE* OpenTrace(const std::string& path) {
  return path.empty() ? nullptr : std::fopen(path.c_str(), "a");
}

}  // namespace

HttpStandin::HttpStandin() {
  server_.new_task_queue = [] { return new httplib::ThreadPool(kThreads); };
  server_.set_keep_alive_max_count(kKeepAliveRequests);
  server_.set_keep_alive_timeout(60);
  server_.set_tcp_nodelay(true);
}

HttpStandin::~HttpStandin() {
  Stop();
}

bool HttpStandin::Start(int port) {
  if (!server_.bind_to_port("127.0.0.1", port))
    return false;
  thread_ = std::thread([this] { server_.listen_after_bind(); });
  return true;
}

void HttpStandin::Stop() {
  server_.stop();
  if (thread_.joinable())
    thread_.join();
}

LogService::LogService() {
  server_.Post(R"(/v1/streams/([^/]+)/records)", [this](const httplib::Request&
                                                            request,
                                                        httplib::Response&
                                                            response) {
    if (Interrupt(&response))
      return;
    uint64_t offset = 0;
    {
      const std::scoped_lock lock(mutex_);
      offset = log_.Append(request.matches[1].str(), request.body);
    }
    appended_.notify_all();
    if (lose_answers_ > 0) {
      --lose_answers_;
      response.status = 500;
      return;
    }
    response.set_content(json{{"offset", offset}}.dump(), "application/json");
  });
  server_.Get(
      R"(/v1/streams/([^/]+)/records)",
      [this](const httplib::Request& request, httplib::Response& response) {
        if (Interrupt(&response))
          return;
        const std::string stream = request.matches[1].str();
        const uint64_t from = std::stoull(request.get_param_value("from"));
        const std::size_t limit = std::stoull(request.get_param_value("limit"));
        const milliseconds wait(std::stoi(request.get_param_value("wait_ms")));
        std::unique_lock lock(mutex_);
        LogRecords records = log_.Read(stream, from, limit);
        if (records.records.empty()) {
          appended_.wait_for(lock, wait, [&] {
            records = log_.Read(stream, from, limit);
            return !records.records.empty() || outage_;
          });
        }
        lock.unlock();
        if (Interrupt(&response))
          return;
        const json body = {{"first", records.first_offset},
                           {"start", records.log_start},
                           {"end", records.log_end},
                           {"records", records.records}};
        response.set_content(body.dump(), "application/json");
      });
  server_.Post(
      "/control", [this](const httplib::Request& request, httplib::Response&) {
        const json body = ParseBody(request);
        outage_ = body.value("outage", outage_.load());
        slow_ms_ = body.value("slow_ms", slow_ms_.load());
        lose_answers_ = body.value("lose_answers", lose_answers_.load());
        if (body.contains("trim")) {
          const std::scoped_lock lock(mutex_);
          log_.Trim(body["trim"]["stream"], body["trim"]["offset"]);
        }
        appended_.notify_all();
      });
}

LogService::~LogService() {
  Stop();
}

bool LogService::Interrupt(httplib::Response* response) {
  SleepMs(slow_ms_);
  if (outage_)
    response->status = 503;
  return outage_;
}

InstanceList::InstanceList() {
  server_.Get("/v1/instances",
              [this](const httplib::Request&, httplib::Response& response) {
                const std::scoped_lock lock(mutex_);
                json instances = json::array();
                for (const std::string& name : leaving_)
                  instances.push_back({{"name", name}, {"state", "leaving"}});
                response.set_content(json{{"instances", instances}}.dump(),
                                     "application/json");
              });
  server_.Post("/control", [this](const httplib::Request& request,
                                  httplib::Response&) {
    const std::scoped_lock lock(mutex_);
    leaving_ = ParseBody(request).at("leaving").get<std::set<std::string>>();
  });
}

InstanceList::~InstanceList() {
  Stop();
}

WeightStore::WeightStore(int interval_ms) : interval_(interval_ms) {
  server_.Get(R"(/v1/weights/.*)",
              [this](const httplib::Request&, httplib::Response& response) {
                const std::scoped_lock lock(mutex_);
                const auto now = std::chrono::steady_clock::now();
                if (now < next_load_) {
                  response.status = 429;
                  response.set_header("Retry-After", "1");
                  return;
                }
                next_load_ = now + interval_;
                response.set_content("weights", "application/octet-stream");
              });
}

WeightStore::~WeightStore() {
  Stop();
}

EngineService::EngineService(FakeEngine::Options options,
                             Timing timing,
                             int weight_store_port,
                             const std::string& trace_path)
    : engine_(std::move(options)),
      timing_(timing),
      weight_store_port_(weight_store_port),
      trace_(OpenTrace(trace_path)) {
  engine_.on_trace = [this](const EngineTraceRow& row) {
    if (trace_ == nullptr)
      return;
    std::fprintf(trace_, "%s %llu %u %u %u %u\n", ToString(row.request).c_str(),
                 static_cast<unsigned long long>(row.attempt_number),
                 row.position, row.count, row.first_layer, row.end_layer);
  };
  server_.Post("/v1/step", [this](const httplib::Request& request,
                                  httplib::Response& response) {
    HandleStep(request, response);
  });
  server_.Post("/v1/load", [this](const httplib::Request& request,
                                  httplib::Response& response) {
    HandleLoad(request, response);
  });
  server_.Post("/control",
               [this](const httplib::Request& request, httplib::Response&) {
                 const json body = ParseBody(request);
                 fail_steps_ = body.value("fail_steps", fail_steps_.load());
                 stall_ms_ = body.value("stall_ms", stall_ms_.load());
               });
}

EngineService::~EngineService() {
  Stop();
  if (trace_ != nullptr)
    std::fclose(trace_);
}

void EngineService::HandleStep(const httplib::Request& request,
                               httplib::Response& response) {
  const auto* bytes = reinterpret_cast<const uint8_t*>(request.body.data());
  flatbuffers::Verifier verifier(bytes, request.body.size());
  if (!verifier.VerifyBuffer<wire::EngineBatch>(nullptr)) {
    response.status = 400;
    return;
  }
  wire::EngineBatchT batch;
  flatbuffers::GetRoot<wire::EngineBatch>(bytes)->UnPackTo(&batch);
  SleepMs(stall_ms_);
  std::size_t values = 0;
  for (const wire::StepT& step : batch.steps)
    values += step.values.size();
  const int busy_us =
      timing_.step_us + timing_.token_us * static_cast<int>(values);
  std::this_thread::sleep_for(std::chrono::microseconds(busy_us));
  wire::EngineResultsT results;
  {
    const std::scoped_lock lock(mutex_);
    results = engine_.RunStep(batch);
    if (trace_ != nullptr)
      std::fflush(trace_);
  }
  if (fail_steps_ > 0) {
    // The steps ran, their results are lost.
    --fail_steps_;
    response.status = 500;
    return;
  }
  flatbuffers::FlatBufferBuilder builder(1024);
  builder.Finish(wire::EngineResults::Pack(builder, &results));
  response.set_content(
      reinterpret_cast<const char*>(builder.GetBufferPointer()),
      builder.GetSize(), "application/octet-stream");
}

void EngineService::HandleLoad(const httplib::Request& request,
                               httplib::Response& response) {
  const json order = ParseBody(request);
  if (weight_store_port_ > 0) {
    httplib::Client store("127.0.0.1", weight_store_port_);
    const auto weights =
        store.Get("/v1/weights/" + order.at("version").get<std::string>());
    if (!weights || weights->status != 200) {
      response.status = weights ? weights->status : 503;
      return;
    }
  }
  const std::scoped_lock lock(mutex_);
  if (!engine_.Load(order.at("version"), order.at("fence"))) {
    response.status = 409;
    response.set_content("stale fence", "text/plain");
    return;
  }
  response.set_content(json{{"loaded", engine_.loaded()}}.dump(),
                       "application/json");
}

PlainService::PlainService(const std::string& trace_path)
    : trace_(OpenTrace(trace_path)) {
  server_.Get("/counts",
              [this](const httplib::Request&, httplib::Response& response) {
                const std::scoped_lock lock(mutex_);
                response.set_content(json(counts_).dump(), "application/json");
              });
  server_.Post(
      "/control", [this](const httplib::Request& request, httplib::Response&) {
        delay_ms_ = ParseBody(request).value("delay_ms", delay_ms_.load());
      });
  const auto handler = [this](const httplib::Request& request,
                              httplib::Response& response) {
    HandleCall(request, response);
  };
  server_.Get("/benches.*", handler);
  server_.Post("/(bookings|postings).*", handler);
  server_.Put("/(bookings|postings).*", handler);
}

PlainService::~PlainService() {
  Stop();
  if (trace_ != nullptr)
    std::fclose(trace_);
}

void PlainService::HandleCall(const httplib::Request& request,
                              httplib::Response& response) {
  const std::string id = request.get_header_value("Bluebellvalve-Request-Id");
  int run = 0;
  {
    const std::scoped_lock lock(mutex_);
    run = ++counts_[id];
    if (trace_ != nullptr) {
      std::fprintf(trace_, "%s\n", id.c_str());
      std::fflush(trace_);
    }
  }
  SleepMs(delay_ms_);
  response.set_content(json{{"id", id},
                            {"run", run},
                            {"path", request.path},
                            {"body", request.body}}
                           .dump(),
                       "application/json");
}

}  // namespace bbv::standins

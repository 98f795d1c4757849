#ifndef TESTS_STANDINS_FLEET_STANDIN_H_
#define TESTS_STANDINS_FLEET_STANDIN_H_

#include <httplib.h>

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include "standins/fault_proxy.h"

namespace bbv::standins {

// In-memory stand-in for the platform's store, with keyed topics, groups and
// fault injection.
//
// Thread safety: all methods may be called from any thread.
class FleetStore {
 public:
  FleetStore();
  ~FleetStore();

  // Listens on the loopback interface, on a free port if `port` is 0; false on
  // failure.
  bool Start(int port = 0);
  int port() const { return port_; }

  // Appends a record; an empty value deletes the key.
  void Put(const std::string& topic,
           const std::string& key,
           const std::string& value);

  // During an outage, every call is answered with status 503.
  void SetOutage(bool outage) { outage_ = outage; }

  // Number of calls received so far, by path and topic.
  std::map<std::string, int> CallCounts();

  // Restores a backup that is `age` old: later records are lost, their offsets
  // are reused, and the era is incremented.
  void RestoreBackup(std::chrono::milliseconds age);
  int64_t era() const { return era_; }

  // Drops all records except the newest of each key.
  void Compact(const std::string& topic);

  // Splits the newest records into pages of `items`; 0 for one page.
  void SetPageSize(int items) { page_size_ = items; }

 private:
  struct Record {
    std::string key;
    std::string value;
    std::chrono::steady_clock::time_point at;
  };
  struct Topic {
    int64_t first = 0;
    std::vector<Record> records;
  };

  void HandleNewest(const httplib::Request& request,
                    httplib::Response& response);
  void HandleRead(const httplib::Request& request, httplib::Response& response);
  void HandleAppend(const httplib::Request& request,
                    httplib::Response& response);
  void HandleJoin(const httplib::Request& request, httplib::Response& response);

  httplib::Server server_;
  std::thread thread_;
  int port_ = 0;
  std::atomic<bool> outage_{false};
  std::atomic<int64_t> era_{1};
  std::atomic<int> page_size_{0};
  std::mutex mutex_;
  std::condition_variable appended_;
  std::map<std::string, Topic> topics_;
  std::map<std::string, int> call_counts_;
  std::string group_holder_;
  std::chrono::steady_clock::time_point group_until_;
  int64_t generation_ = 0;
};

// Stand-ins for engines, which forward streams along a path, and for plain
// services. All run in one process, each with its own port, and publish their
// records to the store.
//
// Thread safety: all methods may be called from any thread.
class FleetTargets {
 public:
  // A response that is not the rest of the stream, to the first call of a
  // request that resumes it.
  struct ResumedAnswer {
    int status = 200;
    std::string type = "text/event-stream";
    std::string body;
    // Whether the body has a length or is sent in chunks.
    bool has_length = true;
    // Whether the response stays open after its body; only without a length.
    bool stays_open = false;
    bool is_signed = true;
  };
  struct Options {
    int engines = 6;
    std::string accelerator = "middle";
    int layers = 12;
    int services = 2;
    std::string zone = "zone-a";
    int event_ms = 5;
    int events = 40;
    int load_ms = 200;
    // Additional bytes per event.
    std::size_t padding = 0;
    // Additional bytes in the answer to a plain call.
    std::size_t plain_padding = 0;
    // Calls that each target can run at a time, according to its record.
    int slots = 64;
    // Duration of a plain call.
    int work_ms = 0;
    // If not 0, half of the body of the answer to a plain call follows its head
    // at once, and the rest after this time.
    int half_body_ms = 0;
    // Whether each target is reached through a proxy.
    bool proxied = false;
    // Whether streams have neither chunks nor a length and end with their
    // connection.
    bool close_delimited = false;
    // If not empty, the connection of each stream that starts at its first
    // event ends in the middle of its way, after this beginning of an event.
    std::string cut_event;
    // An engine that begins to write an answer on a prompt with this part, not
    // its last, crashes and starts again after `restart_ms`. Empty for none.
    std::string deadly_part;
    // Any target that begins to run a request with this path does the same.
    // Empty for none.
    std::string deadly_path;
    int restart_ms = 1000;
    // Each engine answers every n-th call with status 500 before it begins to
    // write; 0 for none.
    int failing_every = 0;
    // `max_attempts` of every route.
    int max_attempts = 2;
    // `timeout_ms` of every route.
    int timeout_ms = 5000;
    // Responses to calls that resume a stream, by the path of the request.
    std::map<std::string, ResumedAnswer> resumed_answers;
    // If not 0, plain targets refuse each call whose id begins with "refused"
    // and send the refusal once more after this time, without the call's id.
    int repeat_refusal_ms = 0;
  };

  FleetTargets(FleetStore* store, Options options);
  ~FleetTargets();

  bool Start();

  // Returns a configuration that matches these targets.
  std::string MakeConfiguration(int version) const;

  // The proxy of a target, only if `Options::proxied` is set. Targets are
  // numbered with the engines first.
  FaultProxy& proxy(int target);
  // Stops an engine without notice: its port refuses connections and its
  // streams break.
  void Crash(int engine);
  // Makes a target announce in all responses that it is leaving, while it
  // continues to serve and its record does not say so.
  void AnnounceLeaving(int target);
  // Takes a target's record off the list, or lists it again.
  void SetListed(int target, bool listed);
  // Makes a target list itself as leaving while it continues to serve.
  void Drain(int target);
  // Makes a target reject all requests with status 503 and the given
  // Retry-After value; an empty value ends this.
  void RejectRequests(int target, const std::string& retry_after);
  // Makes a target name a rate limit in all responses, as the given text; an
  // empty text ends this.
  void NameRateLimit(int target, const std::string& per_second);
  // The largest number of requests that a target has received within `window`
  // since `since`: calls, reports and orders.
  int MostRequests(int target,
                   std::chrono::milliseconds window,
                   std::chrono::steady_clock::time_point since);
  // Makes a sound target fall silent: for `duration` it answers nothing, sends
  // no event of a stream that passes through it and publishes no record. Then
  // it goes on where it was.
  void FallSilent(int target, std::chrono::milliseconds duration);
  // Makes a sound target answer no report request for `duration`, while its
  // calls go on.
  void SilenceReports(int target, std::chrono::milliseconds duration);
  // Makes a target answer every new request this much later. Answers that have
  // begun are not affected.
  void DelayAnswers(int target, std::chrono::milliseconds delay);
  // Makes a target answer calls with an endless stream of chunks, each of which
  // is `piece`; an empty one stands for 64 KiB of text.
  void SendEndlessResponses(int target, const std::string& piece = {});
  // Number of calls, report requests and orders that a target has received.
  int RequestCount(int target);
  // Number of calls that a target has received.
  int CallCount(int target);
  // Index of a live engine that holds `layer`; -1 if there is none.
  int FindHolder(int layer);
  // First layer that an engine holds; -1 if it holds none.
  int FirstLayerOf(int engine);
  // Whether live engines other than `engine` hold every layer.
  bool HoldsAllLayersWithout(int engine);
  // How often streams were moved to another path by an order.
  int PathChangeCount();
  // Whether live engines hold every layer.
  bool HoldsAllLayers();
  // Number of crashes by deadly calls, and of such calls that have reached
  // targets.
  int DeadlyCrashCount();
  int DeadlyCallCount();
  // Number of executions started, by attempt id.
  std::map<std::string, int> ExecutionCounts();

 private:
  struct Target;
  // First target and attempt id of a stream.
  using StreamKey = std::pair<const Target*, std::string>;

  // Publishes the target's record if it, or the era of the store, has changed.
  void PublishRecord(Target* target);
  // Publishes the records of all live targets until the object is destroyed.
  void Heartbeat();
  void HandleEngine(Target* target,
                    const httplib::Request& request,
                    httplib::Response& response);
  void HandleOrder(Target* target,
                   const httplib::Request& request,
                   httplib::Response& response);
  void ChangePath(const Target& target,
                  const httplib::Request& request,
                  httplib::Response& response);
  // Applies the faults injected into the target; true if this has produced the
  // response.
  bool HandleInjectedFault(Target* target,
                           const httplib::Request& request,
                           httplib::Response& response);
  void HandlePlainCall(Target* target,
                       const httplib::Request& request,
                       httplib::Response& response);
  // Answers with `body`, the second half of it after `half_body_ms`.
  void AnswerInHalves(Target* target,
                      const std::string& body,
                      httplib::Response* response);
  // Refuses a call and repeats the refusal after `repeat_refusal_ms`.
  void RefuseTwice(httplib::Response* response) const;
  std::unique_ptr<httplib::Server> MakeServer(Target* target);
  // Whether `target` is silent now. Requires `mutex_`.
  bool IsSilent(const Target& target) const;
  // Blocks while `target` is silent.
  void WaitWhileSilent(const Target& target);
  // Blocks while the reports of `target` are silent.
  void WaitForReports(const Target& target);
  // Whether a target on `path` is silent now. Requires `mutex_`.
  bool IsPathSilent(const std::string& path) const;
  // Answers a call that resumes a stream as Options::resumed_answers says;
  // false if it says nothing. Requires `mutex_`.
  bool SendResumedAnswer(const httplib::Request& request,
                         httplib::Response& response);
  // Whether a call crashes the target that begins to run it.
  bool IsDeadly(const httplib::Request& request) const;
  // Ends the target's process and starts an empty one after `restart_ms`.
  void CrashAndRestart(Target* target);
  // Address of the first target on `path` that has crashed or does not hold its
  // layers; empty if there is none. Hops that are also on `running`, the path
  // of an active stream, may use layers that their target has given up since.
  // Requires `mutex_`.
  std::string FindPathFault(const std::string& path,
                            const std::string& running);

  FleetStore* store_;
  Options options_;
  std::vector<std::unique_ptr<Target>> targets_;
  std::mutex mutex_;
  std::map<std::string, int> runs_;
  // Ids of the attempts that got a response of Options::resumed_answers.
  std::set<std::string> resumed_;
  // Path of each active stream.
  std::map<StreamKey, std::shared_ptr<std::string>> streams_;
  int path_changes_ = 0;
  int deadly_crashes_ = 0;
  int deadly_calls_ = 0;
  std::vector<std::thread> restarts_;
  std::atomic<bool> stopping_{false};
  std::thread heartbeats_;
};

}  // namespace bbv::standins

#endif  // TESTS_STANDINS_FLEET_STANDIN_H_

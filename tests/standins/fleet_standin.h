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
#include <string>
#include <thread>
#include <vector>

#include "standins/fault_proxy.h"

namespace bbv::standins {

// The platform's store, in memory: keyed topics, groups, faults.
//
// Thread safety: all methods may be called from any thread.
class FleetStore {
 public:
  FleetStore();
  ~FleetStore();

  // Listens on loopback, on a free port unless one is given; false when it
  // cannot.
  bool Start(int port = 0);
  int port() const { return port_; }

  // Adds a record; an empty value says that the key is gone.
  void Put(const std::string& topic,
           const std::string& key,
           const std::string& value);

  // While set, every call is answered 503.
  void SetOutage(bool outage) { outage_ = outage; }

  // Calls answered so far, by path and topic or group.
  std::map<std::string, int> CallCounts();

  // Comes back from a copy that is `age` old: what was written since is gone,
  // its offsets are given out again, and the era rises.
  void RestoreCopy(std::chrono::milliseconds age);
  int64_t era() const { return era_; }

  // Drops all records but the newest of each key.
  void Compact(const std::string& topic);

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
  std::mutex mutex_;
  std::condition_variable appended_;
  std::map<std::string, Topic> topics_;
  std::map<std::string, int> call_counts_;
  std::string group_holder_;
  std::chrono::steady_clock::time_point group_until_;
  int64_t generation_ = 0;
};

// Targets that forward among themselves, and plain services, in one process
// with a port each. They list themselves at the store.
//
// Thread safety: all methods may be called from any thread.
class FleetTargets {
 public:
  struct Shape {
    int engines = 6;
    std::string accelerator = "middle";
    int layers = 12;
    int services = 2;
    std::string zone = "zone-a";
    int event_ms = 5;
    int events = 40;
    int load_ms = 200;
    // Bytes added to each event.
    std::size_t padding = 0;
    // Time that a plain call takes.
    int work_ms = 0;
    // Whether a proxy stands before each target.
    bool proxied = false;
  };

  FleetTargets(FleetStore* store, Shape shape);
  ~FleetTargets();

  bool Start();

  // The configuration that fits these targets.
  std::string MakeConfiguration(int version) const;

  // The proxy before a target, engines first; only when proxied.
  FaultProxy& proxy(int target);
  // Ends an engine without notice: its port refuses, its streams break.
  void Crash(int engine);
  // Lets a target, engines first, say in all its answers that it leaves, while
  // it serves on and the list does not say so.
  void SayLeaving(int target);
  // Lets a target turn away whatever comes with 503, and say when to come back;
  // an empty text ends that.
  void TurnAway(int target, const std::string& retry_after);
  // Lets a target answer calls with bytes that never end.
  void AnswerWithoutEnd(int target);
  // Calls, questions and orders that have reached a target.
  int Requests(int target);
  // Calls alone.
  int Calls(int target);
  // Number of an engine that holds `layer`, -1 when none does.
  int HolderOf(int layer);
  // First layer that an engine holds, -1 when it holds none.
  int FirstLayerOf(int engine);
  // Whether live engines other than `engine` hold every layer.
  bool HoldsAllLayersWithout(int engine);
  // How often streams were ordered onto another path.
  int PathChanges();
  // Whether live engines hold every layer.
  bool HoldsAllLayers();
  // How often each attempt id has begun to run.
  std::map<std::string, int> Runs();

 private:
  struct Target;

  void List(Target* target);
  void Heartbeat();
  void HandleEngine(Target* target,
                    const httplib::Request& request,
                    httplib::Response& response);
  void HandleOrder(Target* target,
                   const httplib::Request& request,
                   httplib::Response& response);
  void ChangePath(const httplib::Request& request, httplib::Response& response);
  // Whether the target is to answer otherwise than usual, and has.
  bool AnswersOddly(Target* target,
                    const httplib::Request& request,
                    httplib::Response& response);
  void HandlePlain(Target* target,
                   const httplib::Request& request,
                   httplib::Response& response);
  std::string FaultOnPath(const std::string& path);

  FleetStore* store_;
  Shape shape_;
  std::vector<std::unique_ptr<Target>> targets_;
  std::mutex mutex_;
  std::map<std::string, int> runs_;
  // Path of each stream under way, by attempt id.
  std::map<std::string, std::shared_ptr<std::string>> streams_;
  int path_changes_ = 0;
  std::atomic<bool> stopping_{false};
  std::thread heartbeats_;
};

}  // namespace bbv::standins

#endif  // TESTS_STANDINS_FLEET_STANDIN_H_

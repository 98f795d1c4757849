#ifndef REVIEW_HARNESS_3_FLOOR_H_
#define REVIEW_HARNESS_3_FLOOR_H_

#include <sys/types.h>

#include <atomic>
#include <cstdint>
#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace bbv::standins {
class FleetStore;
class FleetTargets;
}  // namespace bbv::standins

namespace review3 {

// Exit codes of a case.
inline constexpr int kHeld = 0;
inline constexpr int kBroken = 1;
inline constexpr int kNotRun = 2;

// Whether the case shall bring its disruption about: not with TROUBLE=0.
bool HasTrouble();

// What was sent, answered and run, as lines of record.txt.
//
// Thread safety: all methods may be called from any thread.
class Record {
 public:
  explicit Record(std::string path);
  ~Record();
  // Adds a line with the time since the start.
  void Write(const std::string& line);
  // Adds the line and prints it.
  void Say(const std::string& line);
  int64_t start_ms() const { return start_ms_; }

 private:
  std::string path_;
  int64_t start_ms_;
  std::mutex mutex_;
  std::vector<std::string> lines_;
};

// A request of a client, as the client saw it.
struct Request {
  int64_t sent_ms = 0;
  int entry = 0;
  std::string id;
  std::string target;
  // 0 if there was no complete answer.
  int status = 0;
  int64_t answered_ms = 0;
  // The server whose signature the answer bears; empty if it bears none.
  std::string server;
  // Whether the answer names a Server-Limit.
  bool names_limit = false;
};

// A line of the servers' log.
struct Arrival {
  int64_t at_ms = 0;
  std::string server;
  // "ran", "refused", "crashed" or "misdirected".
  std::string what;
  std::string id;
  std::string target;
};

struct EntryOptions {
  std::string zone;
  // The part of a core that its machine has.
  std::string core_share = "0.19";
};

struct ServerOptions {
  std::string service;
  std::string zone;
  // Path of the requests that crash the server; "-" for none.
  std::string deadly = "-";
  int work_ms = 60;
  // Time from a crash until the server is back.
  int restart_ms = 2000;
};

// A small deployment on loopback: a stand-in of the platform's store, servers
// of plain services as processes of their own, and entries as the deploy file
// starts them. All processes end with the object.
//
// Thread safety: Send() and the getters may be called from any thread, the
// other methods from the owning thread only.
class Floor {
 public:
  Floor(Record* record, const std::vector<EntryOptions>& entries);
  ~Floor();

  // Before Start(): lets `n` entries at other addresses run, some at a time,
  // until each has written its record to the store, and kills them: machines
  // that were replaced since the store was set up. False on a timeout.
  bool RunFormerEntries(int n, const std::string& core_share);
  // Before Start(): retry_extra of the sheet, if not that of the first two
  // sites.
  void SetRetryExtra(int extra) { retry_extra_ = extra; }
  // The most items in a page of the store; 0 for no limit.
  void SetPageSize(int items);

  // Adds a server; call before Start().
  void AddServer(const ServerOptions& options);

  // Starts the store, if it does not run yet; Start() does it, too.
  bool StartStore();
  // Starts all and waits until the entries are ready; false on a timeout.
  bool Start(const std::string& manifest);
  void PutManifest(const std::string& manifest);

  void StartEntry(std::size_t entry);
  void Signal(std::size_t entry, int signal);
  // Waits until the process has ended.
  void WaitForEnd(std::size_t entry);
  bool WaitReady(std::size_t entry, int limit_ms);
  // Whether all of the entries from `first` on get ready within a few seconds.
  bool AllReady(std::size_t first = 0);
  std::size_t entries() const { return entries_.size(); }

  // The store, for stand-ins that publish their own records.
  bbv::standins::FleetStore* store() { return store_.get(); }
  int front_port(std::size_t entry) const;

  // While set, the servers are full.
  void SetFull(bool full);
  // From now on the servers name `per_second` as their Server-Limit.
  void NameLimit(const std::string& per_second);

  // Sends a POST request; the client waits `wait_ms` at most.
  Request Send(std::size_t entry,
               const std::string& target,
               const std::string& body,
               int wait_ms);

  // The servers' log up to now.
  std::vector<Arrival> Arrivals() const;

 private:
  struct Entry;
  struct Server;

  void ChoosePorts(Entry* entry, const std::string& name);
  void WriteSettings(const Entry& entry);
  void RunServer(Server* server);
  void Publish(Server* server);
  void KeepServers();

  Record* record_;
  std::string folder_;
  std::vector<std::unique_ptr<Entry>> entries_;
  std::vector<std::unique_ptr<Server>> servers_;
  std::unique_ptr<bbv::standins::FleetStore> store_;
  bool store_started_ = false;
  int retry_extra_ = 196;
  std::atomic<uint64_t> next_id_{1};
  std::atomic<bool> stopping_{false};
  std::thread keeper_;
};

// Model servers before which a part of a prompt may be deadly: the project's
// own stand-ins, all in this process.
//
// Thread safety: all methods may be called from any thread.
class ModelServers {
 public:
  // They publish their records to the store of `floor`, which must run.
  // `deadly_part` is empty for none.
  ModelServers(Floor* floor, const std::string& deadly_part, int restart_ms);
  ~ModelServers();

  bool Start();
  // Returns a manifest that matches them.
  std::string MakeManifest() const;
  bool HoldsAllLayers();
  // Crashes by requests with the part, and such requests that reached servers.
  int DeadlyCrashCount();
  int DeadlyCallCount();

 private:
  std::unique_ptr<bbv::standins::FleetTargets> targets_;
};

// One route of a manifest, to one or several services of equal weight.
struct Route {
  std::string prefix;
  std::string type;
  std::vector<std::string> services;
};

// Host of all routes, and the key of the only tenant.
inline constexpr char kHost[] = "small.example";
inline constexpr char kKey[] = "n2ctnfzs989anu6wsjnb";

// Returns a manifest of plain services.
std::string MakeManifest(int version, const std::vector<Route>& routes);

// Calls `send` with 0, 1, .. at an even rate until `until_ms`, each in a thread
// of its own, and returns once all have returned.
void SendEvenly(double per_s,
                int64_t until_ms,
                const std::function<void(int)>& send);

}  // namespace review3

#endif  // REVIEW_HARNESS_3_FLOOR_H_

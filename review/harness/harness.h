#ifndef REVIEW_HARNESS_HARNESS_H_
#define REVIEW_HARNESS_HARNESS_H_

#include <sys/types.h>

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <string_view>
#include <thread>
#include <utility>
#include <vector>

namespace review {

using Json = nlohmann::json;
using Clock = std::chrono::steady_clock;
using Milliseconds = std::chrono::milliseconds;

// The steady clock in milliseconds; the same in all processes of a machine.
int64_t NowMs();
int64_t NowUnixMs();
void SleepMs(int64_t milliseconds);
// Returns a port of 127.0.0.1 that was free just now.
int FreePort();

// A request or response head and its body.
struct Message {
  // "POST /x HTTP/1.1" or "HTTP/1.1 200 OK".
  std::string first_line;
  std::vector<std::pair<std::string, std::string>> fields;
  std::string body;

  // Returns the value of a field, empty if there is none.
  std::string Find(std::string_view name) const;
  std::string method() const;
  // The target of a request, with its query.
  std::string target() const;
  std::string path() const;
  std::string Query(std::string_view name) const;
  int status() const;
};

// A blocking TCP socket with a read buffer. Thread safety: none.
class Socket {
 public:
  explicit Socket(int fd) : fd_(fd) {}
  ~Socket();
  Socket(const Socket&) = delete;
  Socket& operator=(const Socket&) = delete;

  // Connects to 127.0.0.1; the socket is not valid on failure.
  static std::unique_ptr<Socket> Connect(int port);

  int fd() const { return fd_; }
  bool Write(std::string_view data) const;
  // Reads a head and a body that has a length or is sent in chunks or, for
  // responses without either, ends with the connection. Returns false if the
  // message is not complete at the deadline.
  bool ReadMessage(Message* message, bool is_response, int64_t deadline_ms);
  // Whether the peer has closed the connection or has sent something.
  bool IsReadable(int64_t wait_ms) const;

 private:
  bool Fill(int64_t deadline_ms);
  bool ReadChunks(std::string* body, int64_t deadline_ms);

  int fd_;
  std::string buffer_;
};

// Sends a complete response with a length.
bool Respond(const Socket& socket,
             int status,
             const std::string& fields,
             const std::string& body);

// HTTP/1.1 server on 127.0.0.1 with one thread for each connection. The handler
// answers a request and returns whether the connection stays open.
class HttpServer {
 public:
  using Handler = std::function<bool(const Message&, Socket*)>;
  // Listens on `port`, or on a free one if it is 0. Returns false on failure.
  bool Start(int port, Handler handler);
  int port() const { return port_; }

 private:
  int port_ = 0;
  Handler handler_;
};

// Stand-in of the platform's store: keyed topics and one group at a time.
// Thread safety: all methods may be called from any thread.
class Store {
 public:
  bool Start();
  int port() const { return server_.port(); }
  // Appends a record; an empty value drops the key.
  void Put(const std::string& topic,
           const std::string& key,
           const std::string& value);
  // Number of the calls received, by path.
  int Calls(const std::string& path);

 private:
  struct StoredRecord {
    std::string key;
    std::string value;
    int64_t at_ms = 0;
  };
  bool Handle(const Message& request, Socket* socket);
  bool HandleRead(const Message& request, Socket* socket);
  std::string Newest(const std::string& topic, const std::string& after);
  Json Join(const Json& body);
  // Removes the entries of servers that were silent for three intervals.
  void RemoveSilentServers();

  HttpServer server_;
  std::mutex mutex_;
  std::condition_variable appended_;
  std::map<std::string, std::vector<StoredRecord>> topics_;
  std::map<std::string, int> calls_;
  std::string group_holder_;
  int64_t group_until_ms_ = 0;
  int64_t generation_ = 0;
};

// Appends a record to a keyed topic of the store at `store_port`, as servers do
// for their entries.
void AppendRecord(int store_port,
                  const std::string& topic,
                  const std::string& key,
                  const std::string& value);

// The record of a script: what was sent, answered and run.
class Recorder {
 public:
  explicit Recorder(const std::string& path)
      : file_(path), begin_ms_(NowMs()) {}
  void Write(const std::string& line);
  // Milliseconds since the beginning of the record.
  int64_t Since(int64_t at_ms) const { return at_ms - begin_ms_; }

 private:
  std::mutex mutex_;
  std::ofstream file_;
  int64_t begin_ms_;
};

// A process of the system, started as the deploy file says, with settings that
// are filled in from its template.
class EntryProcess {
 public:
  struct Options {
    // Root of the repository.
    std::string root;
    // A folder for settings and logs.
    std::string folder;
    std::string name = "edge-1";
    int store_port = 0;
    int peers_port = 0;
    std::vector<int> seeds;
  };
  explicit EntryProcess(Options options);
  ~EntryProcess();
  bool Start();
  void Signal(int signal) const;
  // Ends the process with SIGKILL and waits for its end.
  void Kill();
  // Whether the process has ended by itself; then sets `status`.
  bool HasEnded(int* status);
  bool WaitReady(int64_t timeout_ms) const;
  int callers_port() const { return callers_port_; }
  pid_t pid() const { return pid_; }
  const std::string& name() const { return options_.name; }

 private:
  std::string Settings() const;

  Options options_;
  int callers_port_;
  int readiness_port_;
  int metrics_port_;
  pid_t pid_ = -1;
};

// Starts a program with its arguments; its output goes to `log`.
pid_t StartProgram(const std::vector<std::string>& words,
                   const std::vector<std::string>& environment,
                   const std::string& log);

// Returns the arguments "--name value" of a program.
std::map<std::string, std::string> ReadOptions(int argc, char** argv);

// Returns the value of TROUBLE, 1 if it is not set.
int TroubleLevel();

// Returns a temporary folder of this script, which the destructor removes.
class TemporaryFolder {
 public:
  TemporaryFolder();
  ~TemporaryFolder();
  const std::string& path() const { return path_; }

 private:
  std::string path_;
};

}  // namespace review

#endif  // REVIEW_HARNESS_HARNESS_H_

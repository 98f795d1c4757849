#include "harness.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <cctype>
#include <cstdlib>
#include <cstring>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <memory>
#include <random>
#include <sstream>

#include <fcntl.h>

namespace review {
namespace {

// Time that the store takes for an answer, as the sheets say.
constexpr int64_t kStoreAnswerMs = 4;
// An entry of a server is removed after three intervals of silence.
constexpr int64_t kHeartbeatMs = 1200;
constexpr int64_t kSilenceMs = 3 * kHeartbeatMs;

bool SameName(std::string_view left, std::string_view right) {
  return std::equal(left.begin(), left.end(), right.begin(), right.end(),
                    [](unsigned char a, unsigned char b) {
                      return std::tolower(a) == std::tolower(b);
                    });
}

std::string Base64(const std::string& text) {
  static constexpr char kDigits[] =
      "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string out;
  for (std::size_t it = 0; it < text.size(); it += 3) {
    uint32_t bits = 0;
    const std::size_t n = std::min<std::size_t>(3, text.size() - it);
    for (std::size_t k = 0; k < 3; ++k)
      bits = bits << 8U | (k < n ? static_cast<uint8_t>(text[it + k]) : 0U);
    for (std::size_t k = 0; k < 4; ++k)
      out.push_back(k <= n ? kDigits[bits >> (18 - 6 * k) & 63U] : '=');
  }
  return out;
}

void AppendBigEndian(uint64_t value, int bytes, std::string* out) {
  for (int shift = 8 * (bytes - 1); shift >= 0; shift -= 8)
    out->push_back(static_cast<char>(value >> shift & 0xffU));
}

sockaddr_in Loopback(int port) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  address.sin_port = htons(static_cast<uint16_t>(port));
  return address;
}

void SetNoDelay(int fd) {
  const int one = 1;
  setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
}

void Replace(std::string* text,
             const std::string& from,
             const std::string& to) {
  for (std::size_t at = text->find(from); at != std::string::npos;
       at = text->find(from, at + to.size()))
    text->replace(at, from.size(), to);
}

std::string Quoted(const std::string& text) {
  return '"' + text + '"';
}

std::string LoopbackText(int port) {
  return "127.0.0.1:" + std::to_string(port);
}

bool ParseHead(std::string_view head, Message* message) {
  std::size_t at = head.find("\r\n");
  message->first_line = head.substr(0, at);
  message->fields.clear();
  message->body.clear();
  while (at != std::string_view::npos && at + 2 < head.size()) {
    const std::size_t begin = at + 2;
    at = head.find("\r\n", begin);
    const std::string_view line = head.substr(begin, at - begin);
    const std::size_t colon = line.find(':');
    if (colon == std::string_view::npos)
      continue;
    std::string_view value = line.substr(colon + 1);
    while (value.starts_with(' '))
      value.remove_prefix(1);
    message->fields.emplace_back(line.substr(0, colon), value);
  }
  return true;
}

}  // namespace

int64_t NowMs() {
  return std::chrono::duration_cast<Milliseconds>(
             Clock::now().time_since_epoch())
      .count();
}

int64_t NowUnixMs() {
  return std::chrono::duration_cast<Milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

void SleepMs(int64_t milliseconds) {
  std::this_thread::sleep_for(Milliseconds(milliseconds));
}

int FreePort() {
  constexpr int kFirst = 12'000;
  constexpr int kCount = 18'000;
  static std::mutex mutex;
  static std::mt19937 random(std::random_device{}());
  const std::scoped_lock lock(mutex);
  for (int tries = 0; tries < 200; ++tries) {
    const int port = kFirst + static_cast<int>(random() % kCount);
    const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const sockaddr_in address = Loopback(port);
    const bool is_free = bind(fd, reinterpret_cast<const sockaddr*>(&address),
                              sizeof(address)) == 0;
    close(fd);
    if (is_free)
      return port;
  }
  return 0;
}

std::string Message::Find(std::string_view name) const {
  for (const auto& [field, value] : fields) {
    if (SameName(field, name))
      return value;
  }
  return {};
}

std::string Message::method() const {
  return first_line.substr(0, first_line.find(' '));
}

std::string Message::target() const {
  const std::size_t begin = first_line.find(' ') + 1;
  return first_line.substr(begin, first_line.find(' ', begin) - begin);
}

std::string Message::path() const {
  const std::string whole = target();
  return whole.substr(0, whole.find('?'));
}

std::string Message::Query(std::string_view name) const {
  const std::string whole = target();
  const std::string wanted = std::string(name) + '=';
  std::size_t at = whole.find('?');
  while (at != std::string::npos) {
    const std::size_t end = whole.find('&', at + 1);
    const std::string part = whole.substr(at + 1, end - at - 1);
    if (part.starts_with(wanted))
      return part.substr(wanted.size());
    at = end;
  }
  return {};
}

int Message::status() const {
  const std::size_t at = first_line.find(' ');
  return at == std::string::npos ? 0 : std::atoi(first_line.c_str() + at + 1);
}

Socket::~Socket() {
  close(fd_);
}

std::unique_ptr<Socket> Socket::Connect(int port) {
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const sockaddr_in address = Loopback(port);
  if (connect(fd, reinterpret_cast<const sockaddr*>(&address),
              sizeof(address)) != 0) {
    close(fd);
    return nullptr;
  }
  SetNoDelay(fd);
  return std::make_unique<Socket>(fd);
}

bool Socket::Write(std::string_view data) const {
  while (!data.empty()) {
    const ssize_t n = send(fd_, data.data(), data.size(), MSG_NOSIGNAL);
    if (n <= 0)
      return false;
    data.remove_prefix(static_cast<std::size_t>(n));
  }
  return true;
}

bool Socket::IsReadable(int64_t wait_ms) const {
  pollfd row{fd_, POLLIN, 0};
  return poll(&row, 1, static_cast<int>(std::max<int64_t>(0, wait_ms))) > 0;
}

bool Socket::Fill(int64_t deadline_ms) {
  if (!IsReadable(deadline_ms - NowMs()))
    return false;
  char data[65536];
  const ssize_t n = recv(fd_, data, sizeof(data), 0);
  if (n <= 0)
    return false;
  buffer_.append(data, static_cast<std::size_t>(n));
  return true;
}

bool Socket::ReadChunks(std::string* body, int64_t deadline_ms) {
  while (true) {
    std::size_t end = buffer_.find("\r\n");
    while (end == std::string::npos) {
      if (!Fill(deadline_ms))
        return false;
      end = buffer_.find("\r\n");
    }
    const std::size_t size = std::stoul(buffer_.substr(0, end), nullptr, 16);
    while (buffer_.size() < end + 2 + size + 2) {
      if (!Fill(deadline_ms))
        return false;
    }
    body->append(buffer_, end + 2, size);
    buffer_.erase(0, end + 2 + size + 2);
    if (size == 0)
      return true;
  }
}

bool Socket::ReadMessage(Message* message,
                         bool is_response,
                         int64_t deadline_ms) {
  message->first_line.clear();
  std::size_t end = buffer_.find("\r\n\r\n");
  while (end == std::string::npos) {
    if (!Fill(deadline_ms))
      return false;
    end = buffer_.find("\r\n\r\n");
  }
  ParseHead(std::string_view(buffer_).substr(0, end + 2), message);
  buffer_.erase(0, end + 4);
  if (SameName(message->Find("Transfer-Encoding"), "chunked"))
    return ReadChunks(&message->body, deadline_ms);
  const std::string length = message->Find("Content-Length");
  if (length.empty()) {
    if (!is_response)
      return true;
    while (Fill(deadline_ms)) {
    }
    message->body = std::exchange(buffer_, {});
    return true;
  }
  const std::size_t size = std::stoul(length);
  message->body.reserve(size);
  while (buffer_.size() < size) {
    if (!Fill(deadline_ms)) {
      message->body = std::exchange(buffer_, {});
      return false;
    }
  }
  message->body = buffer_.substr(0, size);
  buffer_.erase(0, size);
  return true;
}

bool Respond(const Socket& socket,
             int status,
             const std::string& fields,
             const std::string& body) {
  std::string out =
      "HTTP/1.1 " + std::to_string(status) + (status < 300 ? " OK" : " No");
  out += "\r\n" + fields + "Content-Length: " + std::to_string(body.size()) +
         "\r\n\r\n" + body;
  return socket.Write(out);
}

bool HttpServer::Start(int port, Handler handler) {
  handler_ = std::move(handler);
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int one = 1;
  setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof(one));
  port_ = port == 0 ? FreePort() : port;
  const sockaddr_in address = Loopback(port_);
  if (bind(fd, reinterpret_cast<const sockaddr*>(&address), sizeof(address)) !=
          0 ||
      listen(fd, 1024) != 0) {
    close(fd);
    return false;
  }
  // Both kinds of threads run until the process ends.
  std::thread([this, fd] {
    while (true) {
      const int peer = accept4(fd, nullptr, nullptr, SOCK_CLOEXEC);
      if (peer < 0)
        continue;
      SetNoDelay(peer);
      std::thread([this, peer] {
        Socket socket(peer);
        Message request;
        constexpr int64_t kIdleMs = 60'000;
        while (socket.ReadMessage(&request, false, NowMs() + kIdleMs)) {
          if (!handler_(request, &socket))
            break;
        }
      }).detach();
    }
  }).detach();
  return true;
}

bool Store::Start() {
  const bool started =
      server_.Start(0, [this](const Message& request, Socket* socket) {
        return Handle(request, socket);
      });
  std::thread([this] {
    while (true) {
      SleepMs(100);
      RemoveSilentServers();
    }
  }).detach();
  return started;
}

void Store::Put(const std::string& topic,
                const std::string& key,
                const std::string& value) {
  {
    const std::scoped_lock lock(mutex_);
    topics_[topic].push_back({key, value, NowMs()});
  }
  appended_.notify_all();
}

int Store::Calls(const std::string& path) {
  const std::scoped_lock lock(mutex_);
  return calls_[path];
}

void Store::RemoveSilentServers() {
  std::vector<std::string> silent;
  {
    const std::scoped_lock lock(mutex_);
    std::map<std::string, const StoredRecord*> newest;
    for (const StoredRecord& it : topics_["keyed.servers"])
      newest[it.key] = &it;
    for (const auto& [key, record] : newest) {
      if (!record->value.empty() && NowMs() > record->at_ms + kSilenceMs)
        silent.push_back(key);
    }
  }
  for (const std::string& it : silent)
    Put("keyed.servers", it, "");
}

std::string Store::Newest(const std::string& topic, const std::string& after) {
  const std::scoped_lock lock(mutex_);
  std::map<std::string, std::pair<std::string, int64_t>> newest;
  int64_t offset = 0;
  for (const StoredRecord& it : topics_[topic])
    newest[it.key] = {it.value, offset++};
  Json items = Json::array();
  for (const auto& [key, value] : newest) {
    if (value.first.empty() || key <= after)
      continue;
    items.push_back({{"key", key},
                     {"value", Base64(value.first)},
                     {"offset", value.second}});
  }
  return Json{{"items", items}, {"more_pages", false}, {"end_offset", offset}}
      .dump();
}

Json Store::Join(const Json& body) {
  const std::scoped_lock lock(mutex_);
  const std::string member = body["member"];
  if (group_holder_.empty() || NowMs() >= group_until_ms_) {
    group_holder_ = member;
    ++generation_;
  }
  Json parts = Json::array();
  if (group_holder_ == member) {
    group_until_ms_ = NowMs() + body.value("ttl_ms", 3000);
    parts.push_back(Json::array({body["topics"][0], 0, 0}));
  }
  return {{"generation", generation_}, {"parts", parts}};
}

bool Store::HandleRead(const Message& request, Socket* socket) {
  const std::string topic = request.Query("topic");
  const auto from = static_cast<std::size_t>(std::stoll(request.Query("from")));
  const std::string wait = request.Query("wait_ms");
  std::string body;
  {
    std::unique_lock lock(mutex_);
    if (!wait.empty()) {
      appended_.wait_for(lock, Milliseconds(std::stoi(wait)),
                         [&] { return topics_[topic].size() > from; });
    }
    const auto& records = topics_[topic];
    AppendBigEndian(records.size(), 8, &body);
    AppendBigEndian(0, 8, &body);
    for (std::size_t it = from; it < records.size(); ++it) {
      const StoredRecord& record = records[it];
      AppendBigEndian(1 + record.key.size() + record.value.size(), 4, &body);
      body.push_back(static_cast<char>(record.key.size()));
      body += record.key + record.value;
    }
  }
  return Respond(*socket, 200, "Store-Era: 1\r\n", body);
}

bool Store::Handle(const Message& request, Socket* socket) {
  const std::string path = request.path();
  {
    const std::scoped_lock lock(mutex_);
    ++calls_[path];
  }
  SleepMs(kStoreAnswerMs);
  std::string body = "{}";
  if (path == "/v1/log-read")
    return HandleRead(request, socket);
  if (path == "/v1/log-newest") {
    body = Newest(request.Query("topic"), request.Query("after"));
  } else if (path == "/v1/log-append") {
    const auto key =
        static_cast<std::size_t>(static_cast<uint8_t>(request.body.at(4)));
    Put(request.Query("topic"), request.body.substr(5, key),
        request.body.substr(5 + key));
    body = R"({"offset":0,"end_offset":1})";
  } else if (path == "/v1/log-join") {
    body = Join(Json::parse(request.body)).dump();
  } else if (path == "/v1/log-leave") {
    const std::scoped_lock lock(mutex_);
    if (group_holder_ == Json::parse(request.body)["member"])
      group_holder_.clear();
  }
  return Respond(*socket, 200,
                 "Store-Era: 1\r\nContent-Type: application/json\r\n", body);
}

void AppendRecord(int store_port,
                  const std::string& topic,
                  const std::string& key,
                  const std::string& value) {
  std::string content(1, static_cast<char>(key.size()));
  content += key + value;
  std::string body;
  AppendBigEndian(content.size(), 4, &body);
  body += content;
  const auto socket = Socket::Connect(store_port);
  Message answer;
  std::string request = "POST /v1/log-append?topic=" + topic;
  request += "&part=0 HTTP/1.1\r\nHost: x\r\nContent-Length: " +
             std::to_string(body.size()) + "\r\n\r\n" + body;
  if (socket != nullptr && socket->Write(request))
    socket->ReadMessage(&answer, true, NowMs() + 1000);
}

void Recorder::Write(const std::string& line) {
  const std::scoped_lock lock(mutex_);
  file_ << Since(NowMs()) << " ms  " << line << std::endl;
}

EntryProcess::EntryProcess(Options options)
    : options_(std::move(options)),
      callers_port_(FreePort()),
      readiness_port_(FreePort()),
      metrics_port_(FreePort()) {
  if (options_.peers_port == 0)
    options_.peers_port = FreePort();
}

EntryProcess::~EntryProcess() {
  Kill();
}

std::string EntryProcess::Settings() const {
  std::ifstream file(options_.root + "/deploy/entry.toml.template");
  std::stringstream text;
  text << file.rdbuf();
  std::string settings = text.str();
  Json seeds = Json::array();
  for (const int it : options_.seeds)
    seeds.push_back(LoopbackText(it));
  const std::vector<std::pair<std::string, std::string>> values = {
      {"{{node|json}}", Quoted(options_.name)},
      {"{{zone|json}}", Quoted("zone-a")},
      {"{{bounds.grace_s}}", "8"},
      {"{{listen.front|json}}", Quoted(LoopbackText(callers_port_))},
      {"{{listen.ready_addr|json}}", Quoted(LoopbackText(readiness_port_))},
      {"{{listen.control|json}}", Quoted(LoopbackText(options_.peers_port))},
      // Two processes of one machine cannot share the metrics port.
      {"{{ip}}:9464", LoopbackText(metrics_port_)},
      {"{{seeds|json}}", seeds.dump()},
      {"{{limits.max_fds}}", "4200"},
      {"{{limits.cpu_share}}", "0.19"},
      {"{{limits.cores}}", "1"},
      {"{{limits.link_mbps}}", "1000.0"},
      {"{{platform.address|json}}", Quoted(LoopbackText(options_.store_port))},
      {"{{platform.ttl_min_ms}}", "1000"},
      {"{{bounds.retry_ratio}}", "0.2"},
      {"{{bounds.retry_extra}}", "196"},
      {"{{bounds.retry_window_s}}", "10"},
      {"{{bounds.drain_ms}}", "2000"},
  };
  for (const auto& [from, to] : values)
    Replace(&settings, from, to);
  return settings;
}

bool EntryProcess::Start() {
  const std::string path = options_.folder + '/' + options_.name + ".toml";
  std::ofstream(path) << Settings();
  // The command of the deploy file, in the root of the repository.
  pid_ = StartProgram({"target/bluebellvalved", "--fleet"},
                      {"BLUEBELLVALVE_CONFIG=" + path},
                      options_.folder + '/' + options_.name + ".out");
  return pid_ > 0;
}

void EntryProcess::Signal(int signal) const {
  if (pid_ > 0)
    kill(pid_, signal);
}

void EntryProcess::Kill() {
  if (pid_ <= 0)
    return;
  kill(pid_, SIGKILL);
  waitpid(pid_, nullptr, 0);
  pid_ = -1;
}

bool EntryProcess::HasEnded(int* status) {
  if (pid_ <= 0 || waitpid(pid_, status, WNOHANG) != pid_)
    return false;
  pid_ = -1;
  return true;
}

bool EntryProcess::WaitReady(int64_t timeout_ms) const {
  const int64_t deadline = NowMs() + timeout_ms;
  while (NowMs() < deadline) {
    const auto socket = Socket::Connect(readiness_port_);
    Message answer;
    if (socket != nullptr &&
        socket->Write("GET /v1/readyz HTTP/1.1\r\nHost: x\r\n\r\n") &&
        socket->ReadMessage(&answer, true, NowMs() + 500) &&
        answer.status() == 200)
      return true;
    SleepMs(20);
  }
  return false;
}

pid_t StartProgram(const std::vector<std::string>& words,
                   const std::vector<std::string>& environment,
                   const std::string& log) {
  std::vector<char*> argv;
  argv.reserve(words.size() + 1);
  for (const std::string& it : words)
    argv.push_back(const_cast<char*>(it.c_str()));
  argv.push_back(nullptr);
  std::vector<char*> envp;
  envp.reserve(environment.size() + 1);
  for (const std::string& it : environment)
    envp.push_back(const_cast<char*>(it.c_str()));
  envp.push_back(nullptr);
  const pid_t child = fork();
  if (child != 0)
    return child;
  // No process outlives the script.
  prctl(PR_SET_PDEATHSIG, SIGKILL);
  const int out =
      open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
  dup2(out, STDOUT_FILENO);
  dup2(out, STDERR_FILENO);
  execve(argv[0], argv.data(), envp.data());
  _exit(127);
}

std::map<std::string, std::string> ReadOptions(int argc, char** argv) {
  std::map<std::string, std::string> options;
  for (int it = 1; it + 1 < argc; it += 2)
    options[argv[it]] = argv[it + 1];
  return options;
}

int TroubleLevel() {
  const char* text = std::getenv("TROUBLE");
  return text == nullptr ? 1 : std::atoi(text);
}

TemporaryFolder::TemporaryFolder() {
  std::string name =
      (std::filesystem::temp_directory_path() / "review-XXXXXX").string();
  path_ = mkdtemp(name.data());
}

TemporaryFolder::~TemporaryFolder() {
  std::error_code ignored;
  std::filesystem::remove_all(path_, ignored);
}

}  // namespace review

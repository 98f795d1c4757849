#ifndef MODULES_BBV_FRONT_CALLER_CONNECTION_H_
#define MODULES_BBV_FRONT_CALLER_CONNECTION_H_

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "bbv_core/instant.h"
#include "bbv_fleet/fleet_configuration.h"
#include "bbv_front/tcp_stream.h"
#include "bbv_http/bbv_http.h"

namespace bbv {

class CallerConnection;

// Takes the requests of callers' connections.
class CallerRequestHandler {
 public:
  virtual ~CallerRequestHandler() = default;
  // A whole request has come. Exactly one answer must follow, unless the
  // connection ends first.
  virtual void OnRequest(CallerConnection* connection,
                         HttpHead head,
                         std::string body) = 0;
  // The caller left, or its connection failed, while a request was open.
  virtual void OnCallerGone(CallerConnection* connection) = 0;
  // A request was refused before it was whole.
  virtual void OnBadRequest(CallerConnection* connection, int status) = 0;
};

// One caller's connection: requests in turn, answers in the same order.
//
// Bounds heads, bodies, the time a head may take and idle time. Thread safety:
// none, the loop's thread.
class CallerConnection final : public TcpStreamDelegate, public HttpSink {
 public:
  CallerConnection(uint64_t id,
                   std::unique_ptr<TcpStream> stream,
                   CallerLimits limits,
                   CallerRequestHandler* requests);

  // Answers the open request whole. `fields` holds whole lines; the length and
  // connection fields are added.
  void SendResponse(int status,
                    std::string_view reason,
                    std::string_view fields,
                    std::string_view body);

  // Begins a chunked answer; chunks may be empty.
  void BeginStream(int status,
                   std::string_view reason,
                   std::string_view fields,
                   std::string_view first_chunk);
  void WriteChunk(std::string_view data);
  void EndStream();

  // Ends the connection so that an answer begun does not look complete.
  void Abort();

  // Reads nothing until Resume(); the caller's requests wait.
  void PauseReading();
  void Resume();

  // Closes the connection when no request is open and none has begun.
  void CloseIfIdle();

  // Answers from now on ask the caller to open another connection.
  void DisableKeepAlive() { keep_alive_disabled_ = true; }

  // Ends what is overdue. Returns false when the connection is over.
  bool OnTick(Instant now);

  uint64_t id() const { return id_; }
  bool closed() const { return stream_ == nullptr; }
  bool has_open_request() const { return request_open_; }
  // Bytes of answers that the caller has not taken.
  std::size_t queued_bytes() const;

  // TcpStreamDelegate:
  void OnData(std::string_view data) override;
  void OnStreamEnd(StreamEnd end) override;

  // HttpSink:
  void OnHead(HttpHead head) override;
  void OnBody(std::string_view data) override;
  void OnMessageComplete() override;

 private:
  void ParseInput(std::string_view data);
  void Reject(int status);
  // Writes what every answer's head begins with into `output_`.
  void BeginResponseHead(int status,
                         std::string_view reason,
                         std::string_view fields);
  void FinishResponse();
  std::string_view ConnectionField() const;
  bool KeepsAlive() const;
  void Close();

  uint64_t id_;
  std::unique_ptr<TcpStream> stream_;
  CallerLimits limits_;
  CallerRequestHandler* requests_;
  HttpParser parser_;
  HttpHead head_;
  std::string body_;
  std::string pipelined_input_;
  std::string output_;
  bool request_open_ = false;
  bool request_keeps_alive_ = true;
  bool keep_alive_disabled_ = false;
  // When the head, the body or the next request must have come.
  Instant read_deadline_;
};

}  // namespace bbv

#endif  // MODULES_BBV_FRONT_CALLER_CONNECTION_H_

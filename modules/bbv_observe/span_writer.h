#ifndef MODULES_BBV_OBSERVE_SPAN_WRITER_H_
#define MODULES_BBV_OBSERVE_SPAN_WRITER_H_

#include <cstdint>
#include <fstream>
#include <map>
#include <mutex>
#include <string>

#include "bbv_observe/trace_context.h"

namespace bbv {

// One finished span. Times are nanoseconds since the Unix epoch.
struct Span {
  TraceContext context;
  std::string name;
  uint64_t start_unix_nanoseconds = 0;
  uint64_t end_unix_nanoseconds = 0;
  std::map<std::string, std::string> attributes;
};

// Returns the wall clock in nanoseconds since the Unix epoch. Thread safe.
uint64_t UnixNanoseconds();

// Appends spans to a file, one OTLP/JSON export request per line.
//
// Thread safety: Write() may be called from any thread.
class SpanWriter {
 public:
  // An empty `path` disables the writer. `node` is the name of this process.
  SpanWriter(const std::string& path, std::string node);

  void Write(const Span& span);

  bool enabled() const { return file_.is_open(); }

 private:
  std::string node_;
  std::mutex mutex_;
  std::ofstream file_;
};

}  // namespace bbv

#endif  // MODULES_BBV_OBSERVE_SPAN_WRITER_H_

#ifndef REVIEW_HARNESS_DEADLY_CASE_H_
#define REVIEW_HARNESS_DEADLY_CASE_H_

#include <cstdint>
#include <optional>
#include <string>

namespace review {

// One part of a prompt crashes each server that begins to write an answer on
// it. Two entries before twelve model servers, which are back 3 s later.
struct DeadlyCase {
  // Folder of the record and root of the repository.
  std::string folder;
  std::string root;
  // Whether any prompt has the part.
  bool has_deadly_part = true;
  // Whether answers are sent in chunks, or end with their channel.
  bool is_framed = true;
  int64_t sound_interval_ms = 100;
  int64_t deadly_interval_ms = 1000;
  int64_t duration_ms = 25'000;
  // When all entries are killed and started again; shortly after a prompt with
  // the part was sent.
  std::optional<int64_t> kill_after_ms;
};

// Plays the case and writes its record. Returns 1 if more than three requests
// with the part reached servers, sent by machines in touch later than
// `stable_window_ms` after the fifth crash; 0 if not, 2 if it could not run.
int PlayDeadlyCase(const DeadlyCase& options);

}  // namespace review

#endif  // REVIEW_HARNESS_DEADLY_CASE_H_

#ifndef TESTS_BROKEN_ANSWERS_H_
#define TESTS_BROKEN_ANSWERS_H_

#include <string>
#include <vector>

namespace bbv {

// The bytes of an answer, after which its connection ends.
struct AnswerShape {
  // What is odd about it, in characters that a path may have.
  std::string name;
  std::string bytes;
};
using AnswerShapes = std::vector<AnswerShape>;

// The shapes of one kind. They echo `id` and are signed, so that nothing but
// their fault keeps them from being relayed. Thread safe.
using MakeShapes = AnswerShapes (*)(const std::string& id);

// Statuses that are no three digits, or no final ones of a known class.
AnswerShapes BadStatuses(const std::string& id);
// Transfer codings other than `chunked` alone.
AnswerShapes BadCodings(const std::string& id);
// Field names with a blank, a control byte, a separator and the like, also in
// the names that delimit the body.
AnswerShapes BadNames(const std::string& id);
// Lengths and chunks that leave open where the body ends.
AnswerShapes BadLengths(const std::string& id);
// Control bytes in values and in the reason, lines that are no fields.
AnswerShapes BadLines(const std::string& id);

// Unusual answers that are sound and must be relayed, with the body "ok".
AnswerShapes SoundAnswers(const std::string& id);

}  // namespace bbv

#endif  // TESTS_BROKEN_ANSWERS_H_

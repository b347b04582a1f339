#ifndef REVIEW_CASES_HPP_
#define REVIEW_CASES_HPP_

#include <string>

namespace review {

enum class Verdict { kHeld = 0, kBroken = 1, kNotRun = 2 };

Verdict EndBehindCut(const std::string& record, bool trouble);
Verdict FlappingMachine(const std::string& record, bool trouble);
Verdict CancelledBeforeStored(const std::string& record, bool trouble);
Verdict RestartInTurn(const std::string& record, bool trouble);

}  // namespace review

#endif  // REVIEW_CASES_HPP_

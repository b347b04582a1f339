#include "jobs.h"

#include <Poco/Net/HTTPResponse.h>

#include <fstream>
#include <iterator>
#include <optional>
#include <string>

#include "http_get.h"

namespace mustardproxy::ctl {
namespace {

using Status = Poco::Net::HTTPResponse;

/// Longer than a process takes to find out what became of a write.
constexpr Duration kTimeout = std::chrono::seconds(15);

std::string PathOf(const CommandLine& line) {
  std::string path = "/v1/jobs/" + line.queue;
  if (!line.job.empty()) path += "/" + line.job;
  return path;
}

std::optional<HttpQuery> MakeQuery(const CommandLine& line,
                                   const Console& console) {
  HttpQuery query{"GET", PathOf(line), ""};
  if (line.command == Command::kJobCancel) query.method = "DELETE";
  if (line.command != Command::kJobSubmit) return query;
  std::ifstream file(line.file, std::ios::binary);
  if (!file) {
    console.err << "mustardctl: " << line.file << " can not be read\n";
    return std::nullopt;
  }
  query.method = "POST";
  query.body.assign(std::istreambuf_iterator<char>(file), {});
  return query;
}

ExitCode CodeOf(int status) {
  switch (status) {
    case Status::HTTP_OK:
      return ExitCode::kOk;
    case Status::HTTP_BAD_REQUEST:
      return ExitCode::kInvalidDocument;
    case Status::HTTP_NOT_FOUND:
      return ExitCode::kUsage;
    case Status::HTTP_GATEWAY_TIMEOUT:
      return ExitCode::kUnknownOutcome;
    default:
      return ExitCode::kPlatformUnavailable;
  }
}

}  // namespace

ExitCode CallJobs(const CommandLine& line, const Console& console) {
  const std::optional<HttpQuery> query = MakeQuery(line, console);
  if (!query) return ExitCode::kInvalidDocument;
  const Result<HttpText> answer =
      HttpCall(line.entries.front(), *query, kTimeout);
  if (!answer) {
    console.err << "mustardctl: " << line.entries.front() << ": "
                << answer.error().message() << "\n";
    return ExitCode::kEntryUnreachable;
  }
  const ExitCode code = CodeOf(answer.value().status);
  (code == ExitCode::kOk ? console.out : console.err)
      << answer.value().body << "\n";
  return code;
}

}  // namespace mustardproxy::ctl

#include "load/load_run.h"

#include <algorithm>
#include <atomic>
#include <map>
#include <optional>
#include <thread>

#include "cell/http.h"

namespace mustardproxy::load {
namespace {

using Clock = std::chrono::steady_clock;
using cell::HttpClient;
using cell::HttpReply;
using cell::HttpRequest;

constexpr int kOk = 200;
constexpr int kAccepted = 202;
constexpr std::chrono::milliseconds kAnswerMargin = std::chrono::seconds(10);
constexpr std::chrono::milliseconds kFollowInterval(50);

/// One kept-open connection to each entry process.
class Connections {
 public:
  explicit Connections(std::chrono::milliseconds timeout) : timeout(timeout) {}

  HttpClient& To(const std::string& url) {
    auto found = this->clients.find(url);
    if (found == this->clients.end()) {
      found = this->clients.emplace(url, HttpClient(url, this->timeout)).first;
    }
    return found->second;
  }

 private:
  std::chrono::milliseconds timeout;
  std::map<std::string, HttpClient> clients;
};

HttpRequest MakeRequest(const SentRequest& request,
                        std::chrono::milliseconds timeout) {
  HttpRequest made;
  made.method = "POST";
  made.path = "/v1/services/" + ServiceOf(request.kind);
  made.body = request.body;
  made.headers.push_back(
      {"Mustardproxy-Timeout-Ms", std::to_string(timeout.count())});
  made.headers.push_back({"Mustardproxy-Team", request.team});
  if (!request.key.empty()) {
    made.headers.push_back({"Idempotency-Key", request.key});
  }
  return made;
}

Fate FateOf(const HttpReply& reply) {
  std::string outcome = reply.Header("Mustardproxy-Outcome");
  if (outcome == "completed") return Fate::kCompleted;
  if (outcome == "not-run") return Fate::kNotRun;
  return Fate::kUnknown;
}

void TakeAnswer(const HttpReply& reply, SentRequest* request) {
  request->fate = FateOf(reply);
  bool crossed = request->fate == Fate::kCompleted && reply.status == kOk &&
                 reply.body != request->body;
  request->wrong_answer = crossed;
}

void SendOne(const LoadOptions& options, Connections* connections,
             SentRequest* request) {
  HttpRequest made = MakeRequest(*request, options.timeout);
  auto start = Clock::now();
  std::optional<HttpReply> reply = connections->To(request->entry).Send(made);
  request->took = std::chrono::duration_cast<std::chrono::microseconds>(
      Clock::now() - start);
  if (!reply) return;
  request->status = reply->status;
  request->request_id = reply->Header("Mustardproxy-Request-Id");
  if (reply->status == kAccepted) {
    request->accepted = true;
    request->fate = Fate::kUnfinished;
    return;
  }
  TakeAnswer(*reply, request);
}

/// @return the value of a text field of a small flat JSON object
std::string TextField(const std::string& json, const std::string& name) {
  std::string start = '"' + name + R"(":")";
  std::size_t at = json.find(start);
  if (at == std::string::npos) return {};
  at += start.size();
  return json.substr(at, json.find('"', at) - at);
}

/// Fetches the result of deferred work that has ended.
void TakeResult(HttpClient* client, SentRequest* request) {
  HttpRequest get;
  get.path = "/v1/requests/" + request->request_id + "/result";
  std::optional<HttpReply> reply = client->Send(get);
  if (reply) TakeAnswer(*reply, request);
}

/// @return true once the work has ended
bool LookOnce(HttpClient* client, SentRequest* request) {
  HttpRequest get;
  get.path = "/v1/requests/" + request->request_id;
  std::optional<HttpReply> reply = client->Send(get);
  if (!reply || reply->status != kOk) return false;
  std::string state = TextField(reply->body, "state");
  if (state == "finished" || state == "failed") TakeResult(client, request);
  if (state == "cancelled") request->fate = Fate::kNotRun;
  if (state == "unknown") request->fate = Fate::kUnknown;
  return request->fate != Fate::kUnfinished;
}

}  // namespace

void SendLoad(const LoadOptions& options, std::vector<SentRequest>* requests) {
  std::atomic<std::size_t> next = 0;
  auto start = Clock::now();
  auto send_some = [&] {
    Connections connections(options.timeout + kAnswerMargin);
    for (;;) {
      std::size_t index = next.fetch_add(1);
      if (index >= requests->size()) return;
      SentRequest& request = (*requests)[index];
      auto due = start + request.due;
      std::this_thread::sleep_until(due);
      request.late = std::chrono::duration_cast<std::chrono::microseconds>(
          Clock::now() - due);
      SendOne(options, &connections, &request);
    }
  };
  std::vector<std::thread> senders;
  senders.reserve(static_cast<std::size_t>(options.senders));
  for (std::int32_t i = 0; i < options.senders; ++i) {
    senders.emplace_back(send_some);
  }
  for (std::thread& sender : senders) sender.join();
}

void FollowDeferred(const LoadOptions& options,
                    std::vector<SentRequest>* requests) {
  auto deadline = Clock::now() + options.deferred_limit;
  Connections connections(options.timeout);
  std::vector<SentRequest*> open;
  for (SentRequest& request : *requests) {
    if (request.fate == Fate::kUnfinished) open.push_back(&request);
  }
  while (!open.empty() && Clock::now() < deadline) {
    // Any entry process answers for any request.
    std::erase_if(open, [&](SentRequest* request) {
      return LookOnce(&connections.To(request->entry), request);
    });
    if (!open.empty()) std::this_thread::sleep_for(kFollowInterval);
  }
}

}  // namespace mustardproxy::load

#include "stored_codec.h"

#include <stored.pb.h>

#include <memory>
#include <system_error>
#include <utility>
#include <variant>

#include "mustardproxy/core/error.h"

namespace mustardproxy::platform_detail {
namespace {

Body ToBody(const std::string& bytes) {
  return bytes.empty() ? nullptr : std::make_shared<const std::string>(bytes);
}

stored::Outcome ToStored(Outcome outcome) {
  switch (outcome) {
    case Outcome::kCompleted:
      return stored::OUTCOME_COMPLETED;
    case Outcome::kNotRun:
      return stored::OUTCOME_NOT_RUN;
    case Outcome::kUnknown:
      break;
  }
  return stored::OUTCOME_UNKNOWN;
}

Outcome FromStored(stored::Outcome outcome) {
  switch (outcome) {
    case stored::OUTCOME_COMPLETED:
      return Outcome::kCompleted;
    case stored::OUTCOME_NOT_RUN:
      return Outcome::kNotRun;
    default:
      return Outcome::kUnknown;
  }
}

stored::DeferredState ToStored(DeferredState state) {
  switch (state) {
    case DeferredState::kQueued:
      return stored::DEFERRED_STATE_QUEUED;
    case DeferredState::kRunning:
      return stored::DEFERRED_STATE_RUNNING;
    case DeferredState::kFinished:
      return stored::DEFERRED_STATE_FINISHED;
    case DeferredState::kFailed:
      return stored::DEFERRED_STATE_FAILED;
    case DeferredState::kCancelled:
      return stored::DEFERRED_STATE_CANCELLED;
    case DeferredState::kUnknown:
      break;
  }
  return stored::DEFERRED_STATE_UNKNOWN;
}

DeferredState FromStored(stored::DeferredState state) {
  switch (state) {
    case stored::DEFERRED_STATE_QUEUED:
      return DeferredState::kQueued;
    case stored::DEFERRED_STATE_RUNNING:
      return DeferredState::kRunning;
    case stored::DEFERRED_STATE_FINISHED:
      return DeferredState::kFinished;
    case stored::DEFERRED_STATE_FAILED:
      return DeferredState::kFailed;
    case stored::DEFERRED_STATE_CANCELLED:
      return DeferredState::kCancelled;
    default:
      return DeferredState::kUnknown;
  }
}

void Write(const Answer& answer, stored::Answer* out) {
  out->set_outcome(ToStored(answer.outcome));
  out->set_status(answer.status);
  out->set_content_type(answer.content_type);
  out->set_body(std::string(View(answer.body)));
  out->set_error(answer.error.value());
  out->set_detail(answer.detail);
  out->set_retry_after_us(answer.retry_after.count());
}

Answer Read(const stored::Answer& in) {
  Answer answer;
  answer.outcome = FromStored(in.outcome());
  answer.status = in.status();
  answer.content_type = in.content_type();
  answer.body = ToBody(in.body());
  if (in.error() != 0) {
    answer.error = make_error_code(static_cast<Error>(in.error()));
  }
  answer.detail = in.detail();
  answer.retry_after = Duration{in.retry_after_us()};
  return answer;
}

struct RecordWriter {
  stored::Record* out;

  void operator()(const AcceptedRecord& record) const {
    const Request& request = record.request;
    stored::Request* target = this->out->mutable_accepted()->mutable_request();
    target->set_id(request.id.Text());
    target->set_service(request.service.Text());
    target->set_team(request.team.Text());
    target->set_idempotency_key(request.idempotency_key);
    target->set_timeout_us(request.timeout.count());
    target->set_body(std::string(View(request.body)));
    target->set_hops(request.hops);
    target->set_origin(request.origin.Text());
  }
  void operator()(const StartedRecord& record) const {
    stored::Started* target = this->out->mutable_started();
    target->set_request(record.request.Text());
    target->set_task(record.task.Text());
    target->set_worker(record.worker.Text());
    target->set_epoch(record.epoch);
    target->set_attempt(record.attempt);
    target->set_worker_incarnation(record.worker_incarnation);
  }
  void operator()(const FinishedRecord& record) const {
    stored::Finished* target = this->out->mutable_finished();
    target->set_request(record.request.Text());
    target->set_state(ToStored(record.state));
    Write(record.answer, target->mutable_answer());
  }
  void operator()(const CancelledRecord& record) const {
    stored::Cancelled* target = this->out->mutable_cancelled();
    target->set_request(record.request.Text());
    target->set_ran(record.ran);
  }
  void operator()(const HandedOverRecord& /*record*/) const {
    this->out->mutable_handed_over();
  }
  void operator()(const AdoptedRecord& record) const {
    stored::Adopted* target = this->out->mutable_adopted();
    target->set_by(record.by.Text());
    target->set_incarnation(record.incarnation);
  }
};

AcceptedRecord Read(const stored::Accepted& in) {
  const stored::Request& source = in.request();
  AcceptedRecord record;
  record.request.id = RequestId(source.id());
  record.request.service = ServiceId(source.service());
  record.request.team = TeamId(source.team());
  record.request.idempotency_key = source.idempotency_key();
  record.request.timeout = Duration{source.timeout_us()};
  record.request.body = ToBody(source.body());
  record.request.hops = source.hops();
  record.request.origin = ProcessId(source.origin());
  return record;
}

StartedRecord Read(const stored::Started& in) {
  return {RequestId(in.request()),
          TaskId(in.task()),
          WorkerId(in.worker()),
          in.epoch(),
          in.attempt(),
          in.worker_incarnation()};
}

std::optional<JournalRecord> Read(const stored::Record& in) {
  switch (in.kind_case()) {
    case stored::Record::kAccepted:
      return Read(in.accepted());
    case stored::Record::kStarted:
      return Read(in.started());
    case stored::Record::kFinished:
      return FinishedRecord{RequestId(in.finished().request()),
                            FromStored(in.finished().state()),
                            Read(in.finished().answer())};
    case stored::Record::kCancelled:
      return CancelledRecord{RequestId(in.cancelled().request()),
                             in.cancelled().ran()};
    case stored::Record::kHandedOver:
      return HandedOverRecord{};
    case stored::Record::kAdopted:
      return AdoptedRecord{ProcessId(in.adopted().by()),
                           in.adopted().incarnation()};
    case stored::Record::KIND_NOT_SET:
      break;
  }
  return std::nullopt;
}

template <typename Message>
std::optional<Message> Parse(std::string_view bytes) {
  Message message;
  if (!message.ParseFromArray(bytes.data(), static_cast<int>(bytes.size()))) {
    return std::nullopt;
  }
  return message;
}

}  // namespace

std::string EncodeBatch(const JournalBatch& batch) {
  stored::Batch out;
  out.set_batch_id(batch.batch_id);
  for (const JournalRecord& record : batch.records) {
    std::visit(RecordWriter{out.add_records()}, record);
  }
  return out.SerializeAsString();
}

std::optional<JournalBatch> DecodeBatch(std::string_view bytes) {
  const auto in = Parse<stored::Batch>(bytes);
  if (!in) {
    return std::nullopt;
  }
  JournalBatch batch;
  batch.batch_id = in->batch_id();
  for (const stored::Record& each : in->records()) {
    std::optional<JournalRecord> record = Read(each);
    // A kind that this version does not know may carry the end of some work;
    // leaving it out could run that work twice.
    if (!record) {
      return std::nullopt;
    }
    batch.records.push_back(std::move(*record));
  }
  return batch;
}

std::string EncodeBucket(const ClaimBucket& bucket) {
  stored::ClaimBucket out;
  for (const StoredClaim& each : bucket) {
    stored::Claim* claim = out.add_claims();
    claim->set_key(each.key);
    claim->set_request(each.claim.request.Text());
    claim->set_body_hash(each.claim.body_hash);
    if (each.claim.answer) {
      Write(*each.claim.answer, claim->mutable_answer());
    }
  }
  return out.SerializeAsString();
}

std::optional<ClaimBucket> DecodeBucket(std::string_view bytes) {
  const auto in = Parse<stored::ClaimBucket>(bytes);
  if (!in) {
    return std::nullopt;
  }
  ClaimBucket bucket;
  for (const stored::Claim& each : in->claims()) {
    StoredClaim claim{each.key(),
                      {RequestId(each.request()), each.body_hash(), {}}};
    if (each.has_answer()) {
      claim.claim.answer = Read(each.answer());
    }
    bucket.push_back(std::move(claim));
  }
  return bucket;
}

}  // namespace mustardproxy::platform_detail

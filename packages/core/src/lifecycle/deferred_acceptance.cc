#include <algorithm>
#include <string>
#include <utility>

#include "journal_size.h"
#include "lifecycle/deferred_flow.h"
#include "lifecycle/parts.h"
#include "mustardproxy/core/error.h"

// Admission and acceptance of deferred work.
namespace mustardproxy::detail {

namespace {

/// Time after which an unconfirmed *accepted* record is answered "unknown".
constexpr Duration kAcceptTimeout = std::chrono::seconds(5);
constexpr std::int32_t kTooLargeStatus = 413;

}  // namespace

void DeferredFlow::Accept(ActiveRequest* entry) {
  if (!this->FitsJournal(entry)) {
    return;
  }
  const bool fits_now =
      !this->parts->ledger
           .FindGang(entry->terms.resources, entry->terms.tasks,
                     Packing::kFirstFit, {})
           .empty();
  const Admission admission = this->CheckAdmission(*entry);
  const bool admitted = !admission.refusal;
  if (!admitted || !fits_now) {
    const bool forwarded =
        admitted
            ? this->parts->forwarding.TryForward(entry, Reach::kOwnDataCenter)
            : this->parts->forwarding.TryForwardToOwner(entry);
    if (forwarded) {
      return;
    }
  }
  if (!admitted) {
    this->parts->answers.RefuseAdmission(entry, admission);
    return;
  }
  const bool taken =
      this->parts->journals.Healthy() &&
      this->parts->journals.TryAppend(this->parts->journals.Own(),
                                      AcceptedRecord{entry->request});
  if (!taken) {
    this->parts->answers.Refuse(entry, Error::kJournalUnavailable,
                                kUnavailableStatus,
                                "deferred work can not be recorded now");
    return;
  }
  entry->phase = RequestPhase::kJournalling;
  this->parts->table.SetDeadline(
      entry->request.id,
      std::min(entry->deadline, this->parts->context.now + kAcceptTimeout));
}

bool DeferredFlow::FitsJournal(ActiveRequest* entry) {
  const std::size_t limit =
      this->parts->context.options.journal.max_batch_bytes;
  if (EncodedSizeBound(AcceptedRecord{entry->request}) <= limit) {
    return true;
  }
  this->parts->answers.Refuse(
      entry, Error::kBodyTooLarge, kTooLargeStatus,
      "the record of deferred work exceeds journal.max_batch_bytes, " +
          std::to_string(limit));
  return false;
}

Admission DeferredFlow::CheckAdmission(const ActiveRequest& entry) {
  Admission admission =
      this->parts->placing.Enqueue(entry, entry.arrived + entry.terms.max_wait);
  // This is only a check: the work is queued once its record is durable.
  this->parts->scheduler.Cancel(entry.request.id);
  return admission;
}

void DeferredFlow::OnAcceptTimeout(ActiveRequest* entry) {
  // The append was sent and may take effect although it was not confirmed; this
  // process or an adopter then runs the work. So "not run" could be false.
  this->parts->answers.AnswerUnknown(
      entry, Error::kJournalUnavailable,
      "it is not known whether the work was recorded; query its state");
}

void DeferredFlow::OnDurable(const JournalId& journal,
                             const AcceptedRecord& record) {
  if (this->parts->store.Find(record.request.id) == nullptr ||
      this->Get(record.request.id) != nullptr) {
    return;
  }
  this->ConfirmAccepted(record.request.id);
  // Failure: the journal was handed over while this record was being written,
  // so its adopter runs the work. Without the journal the work could never
  // start here and would be reported as queued.
  if (this->parts->journals.IsClosing(journal)) {
    return;
  }
  DeferredWork work;
  work.request = record.request;
  work.journal = journal;
  work.accepted = this->parts->context.now;
  ++this->sizes[journal];
  DeferredWork* added =
      &this->works.emplace(record.request.id, std::move(work)).first->second;
  this->Enqueue(added);
}

void DeferredFlow::ConfirmAccepted(const RequestId& request) {
  ActiveRequest* entry = this->parts->table.Find(request);
  if (entry == nullptr || entry->phase != RequestPhase::kJournalling) {
    return;
  }
  this->parts->context.Emit(ReplyAccepted{request});
  this->parts->context.Record(
      RequestEvent(TimelineKind::kRequestQueued, request, "deferred"));
  if (entry->claimed) {
    this->parts->claims.SettleAccepted(entry->request);
  }
  this->parts->table.Remove(request);
}

}  // namespace mustardproxy::detail

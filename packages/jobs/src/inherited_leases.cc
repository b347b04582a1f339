#include "inherited_leases.h"

#include <algorithm>
#include <utility>

#include "lease_times.h"
#include "lease_withholding.h"
#include "options.h"

namespace mustardproxy::jobs {

InheritedLeases::InheritedLeases(Parts parts) : parts(std::move(parts)) {}

Instant InheritedLeases::MaxEnd() const {
  return this->parts.elected_at + MaxFormerOwnerLeaseTime();
}

Instant InheritedLeases::EndOf(const Former& former) {
  const Instant unknown = former.owner.replaced_at + MaxFormerOwnerLeaseTime();
  if (!former.ended_at) return unknown;
  return std::min(unknown, *former.ended_at + MaxGrantedLeaseTime());
}

Instant InheritedLeases::EndAt(const WorkerIncarnation& worker) const {
  // An order for this incarnation may reach another one with the same id, whose
  // clock it was not made for.
  if (worker.start_unix_ms != 0) return this->MaxEnd();
  // An owner that is not known may be of a version that withholds no leases.
  if (!this->begun || !this->formers) return this->MaxEnd();
  Instant end = this->begun_at + kFirstAnswerTime;
  for (const auto& [token, former] : *this->formers) {
    end = std::max(end, EndOf(former));
  }
  const auto withheld =
      this->parts.context->withholding->FindInheritedEnd(worker.id);
  if (withheld) {
    end = std::min(end, std::max(*withheld, this->begun_at + kFirstAnswerTime));
  }
  return std::min(end, this->MaxEnd());
}

void InheritedLeases::Begin() {
  this->begun = true;
  this->begun_at = this->parts.context->executor->Now();
  this->Update();
}

bool InheritedLeases::Awaited() const {
  const auto& workers = this->parts.context->workers;
  return std::any_of(workers.begin(), workers.end(), [](const auto& one) {
    return !one.second->fenced && one.second->HasOrdered();
  });
}

void InheritedLeases::Update() {
  if (!this->begun) return;
  // Former owners have ordered nothing that was not in the store at the begin.
  this->settled = this->settled || !this->Awaited();
  if (this->settled) {
    this->parts.forget_former_owners();
    return;
  }
  if (!this->formers) this->ReadFormers();
  this->AskFormers();
  this->AskWitnesses();
  this->ApplyToSessions();
}

void InheritedLeases::ReadFormers() {
  const FormerOwners read = this->parts.former_owners();
  if (!read.complete) return;
  this->formers.emplace();
  const Instant now = this->parts.context->executor->Now();
  for (const FormerOwner& owner : read.owners) {
    Former& added = (*this->formers)[owner.token];
    added.owner = owner;
    this->parts.context->log->Write(
        "owner", "former-owner",
        {{"process", owner.node.name.Text()},
         {"token", owner.token},
         {"replaced_ms_ago", WholeMilliseconds(now - owner.replaced_at)},
         {"waits_ms", WholeMilliseconds(EndOf(added) - now)}});
  }
}

void InheritedLeases::AskFormers() {
  if (!this->formers) return;
  const Instant now = this->parts.context->executor->Now();
  for (auto& [token, former] : *this->formers) {
    if (former.ended_at || now >= EndOf(former)) continue;
    this->Ask(former.owner.node.peer_address, &former.question,
              [this, asked = &former](const ProcessState& state) {
                this->OnFormer(asked, state);
              });
  }
}

void InheritedLeases::AskWitnesses() {
  if (!this->witnesses) {
    this->witnesses.emplace();
    for (const std::string& address : this->parts.witnesses()) {
      this->witnesses->emplace(address, Question());
    }
  }
  for (auto& [address, question] : *this->witnesses) {
    if (question.answered) continue;
    this->Ask(address, &question, [this](const ProcessState& state) {
      this->parts.note_seen(state.withheld_leases);
    });
  }
}

void InheritedLeases::Ask(const std::string& address, Question* question,
                          std::function<void(const ProcessState&)> on_answer) {
  const Instant now = this->parts.context->executor->Now();
  if (question->asking || now < question->next) return;
  question->asking = true;
  this->parts.peers->QueryProcess(
      address,
      this->guard.Wrap([this, question, on_answer = std::move(on_answer)](
                           const Result<ProcessState>& answer) {
        question->asking = false;
        question->next =
            this->parts.context->executor->Now() + kFormerOwnerQueryInterval;
        if (!answer) return;
        question->answered = true;
        on_answer(answer.value());
        this->ApplyToSessions();
      }));
}

void InheritedLeases::OnFormer(Former* former, const ProcessState& state) {
  const bool same = state.process == former->owner.node.name &&
                    state.incarnation == former->owner.node.incarnation;
  const Instant now = this->parts.context->executor->Now();
  if (!same) {
    this->NoteEnded(former, now - state.age, "other-incarnation");
  } else if (state.given_up >= former->owner.token) {
    this->NoteEnded(former, now, "given-up");
  }
}

void InheritedLeases::NoteEnded(Former* former, Instant ended_at,
                                std::string_view how) {
  former->ended_at = ended_at;
  const Instant now = this->parts.context->executor->Now();
  this->parts.context->log->Write(
      "owner", "former-owner-ended",
      {{"process", former->owner.node.name.Text()},
       {"token", former->owner.token},
       {"how", how},
       {"ended_ms_ago", WholeMilliseconds(now - ended_at)},
       {"replaced_ms_ago",
        WholeMilliseconds(now - former->owner.replaced_at)}});
  this->parts.context->metrics->Count("former_owners_ended",
                                      "how=" + std::string(how));
}

void InheritedLeases::ApplyToSessions() {
  for (const auto& [id, session] : this->parts.context->workers) {
    if (session->fenced || !session->HasOrdered()) continue;
    session->LimitInherited(this->EndAt(session->Incarnation()));
  }
}

}  // namespace mustardproxy::jobs

#include "record_codec.h"

#include <algorithm>
#include <climits>

#include "job_record.pb.h"

namespace mustardproxy::jobs {
namespace {

void Write(const Queue& queue, stored::Queue* out) {
  out->set_name(queue.name.Text());
  out->set_host(queue.host);
  out->set_path_prefix(queue.path_prefix);
  out->set_service(queue.service.Text());
  out->set_priority(queue.priority);
  out->set_max_attempts(queue.max_attempts);
  out->set_stretch(queue.stretch);
  out->set_target_us(queue.target.count());
  out->set_open_to_all(queue.open_to_all);
  if (!queue.advice) return;
  stored::AdvicePolicy* advice = out->mutable_advice();
  advice->set_decision_us(queue.advice->decision.count());
  advice->set_per_worker_us(queue.advice->per_worker.count());
  advice->set_validity_us(queue.advice->validity.count());
}

Queue Read(const stored::Queue& stored) {
  Queue queue;
  queue.name = QueueName(stored.name());
  queue.host = stored.host();
  queue.path_prefix = stored.path_prefix();
  queue.service = ServiceId(stored.service());
  queue.priority = stored.priority();
  queue.max_attempts = stored.max_attempts();
  queue.stretch = stored.stretch();
  queue.target = Duration(stored.target_us());
  queue.open_to_all = stored.open_to_all();
  if (stored.has_advice()) {
    const stored::AdvicePolicy& advice = stored.advice();
    queue.advice = AdvicePolicy{Duration(advice.decision_us()),
                                Duration(advice.per_worker_us()),
                                Duration(advice.validity_us())};
  }
  return queue;
}

void Write(const NodeRecord& node, stored::Node* out) {
  out->set_name(node.name.Text());
  out->set_data_center(node.data_center.Text());
  out->set_peer_address(node.peer_address);
  out->set_incarnation(node.incarnation);
  out->set_cpu_milli(node.cpu_milli);
  out->set_memory_mb(node.memory_mb);
}

NodeRecord Read(const stored::Node& stored) {
  NodeRecord node;
  node.name = ProcessId(stored.name());
  node.data_center = DataCenterId(stored.data_center());
  node.peer_address = stored.peer_address();
  node.incarnation = stored.incarnation();
  node.cpu_milli = stored.cpu_milli();
  node.memory_mb = stored.memory_mb();
  return node;
}

void Write(const JobAccess& access, stored::JobAccess* out) {
  out->set_team(access.team.Text());
  out->set_key_fingerprint(access.key_fingerprint);
}

JobAccess Read(const stored::JobAccess& stored) {
  return {TeamId(stored.team()), stored.key_fingerprint()};
}

void Write(const Resources& cap, stored::Cap* out) {
  out->set_cpu_milli(cap.cpu_milli);
  out->set_memory_mb(cap.memory_mb);
  out->set_accelerators(cap.accelerators);
}

Resources Read(const stored::Cap& stored) {
  return {stored.cpu_milli(), stored.memory_mb(), stored.accelerators(), 0};
}

void Write(const Step& step, stored::Step* out) {
  out->set_tasks(step.tasks);
  out->set_cpu_milli(step.each.cpu_milli);
  out->set_memory_mb(step.each.memory_mb);
  out->set_accelerators(step.each.accelerators);
  out->set_estimate_us(step.estimate.count());
  for (const std::int32_t earlier : step.after) out->add_after(earlier);
  out->set_checkpointing(step.checkpointing);
  out->set_gang(step.gang);
  out->set_same_rack(step.same_rack);
  out->set_speculative(step.speculative);
  out->set_long_running(step.long_running);
  out->set_best_effort(step.best_effort);
  out->set_required_label(step.required_label);
  out->set_near_rack(step.near_rack);
  out->set_max_per_worker(step.max_per_worker);
  out->set_image(step.image);
  out->set_response_target_us(step.response_target.count());
  out->set_max_unavailable(step.max_unavailable);
}

Step Read(const stored::Step& stored) {
  Step step;
  step.tasks = stored.tasks();
  step.each.cpu_milli = stored.cpu_milli();
  step.each.memory_mb = stored.memory_mb();
  step.each.accelerators = stored.accelerators();
  step.estimate = Duration(stored.estimate_us());
  step.after.assign(stored.after().begin(), stored.after().end());
  step.checkpointing = stored.checkpointing();
  step.gang = stored.gang();
  step.same_rack = stored.same_rack();
  step.speculative = stored.speculative();
  step.long_running = stored.long_running();
  step.best_effort = stored.best_effort();
  step.required_label = stored.required_label();
  step.near_rack = stored.near_rack();
  step.max_per_worker = stored.max_per_worker();
  step.image = stored.image();
  step.response_target = Duration(stored.response_target_us());
  step.max_unavailable = stored.max_unavailable();
  return step;
}

std::string DoneBits(const StepEntry& step) {
  if (step.done == 0) return {};
  std::string bits((step.tasks.size() + CHAR_BIT - 1) / CHAR_BIT, '\0');
  for (std::size_t i = 0; i < step.tasks.size(); ++i) {
    if (!step.tasks[i].done) continue;
    const unsigned before = static_cast<unsigned char>(bits[i / CHAR_BIT]);
    bits[i / CHAR_BIT] = static_cast<char>(before | (1U << (i % CHAR_BIT)));
  }
  return bits;
}

bool DoneBit(const std::string& bits, std::size_t index) {
  const std::size_t byte = index / CHAR_BIT;
  if (byte >= bits.size()) return false;
  return (static_cast<unsigned char>(bits[byte]) >> (index % CHAR_BIT) & 1U) !=
         0;
}

void Write(const TaskEntry& task, std::int32_t index,
           const CrashHistory* crashes, stored::StepProgress* out) {
  if (task.done || task.last_run == 0) return;
  stored::TaskProgress* stored = out->add_tasks();
  stored->set_index(index);
  stored->set_failed_runs(task.failed_runs);
  stored->set_last_run(task.last_run);
  stored->set_counted_run(task.counted_run);
  if (task.open) {
    stored->set_worker(task.worker.id.Text());
    stored->set_worker_born_ms(task.worker.start_unix_ms);
  }
  stored->set_checkpoint(task.checkpoint);
  if (crashes == nullptr) return;
  for (const WorkerLoss& loss : crashes->Losses()) {
    stored::WorkerLoss* one = stored->add_losses();
    one->set_worker(loss.worker.id.Text());
    one->set_worker_born_ms(loss.worker.start_unix_ms);
    one->set_certain(loss.certain);
    one->set_survived_us(loss.survived.count());
    one->set_alone(loss.alone);
    one->set_at_start(loss.at_start);
    one->set_in_outage(loss.in_outage);
    one->set_unanswered(loss.unanswered);
  }
}

void Write(const JobEntry& entry, const StepRef& ref, const StepEntry& step,
           stored::StepProgress* out) {
  out->set_done(DoneBits(step));
  out->set_failed_gang_runs(step.failed_gang_runs);
  out->set_counted_gang_run(step.counted_gang_run);
  for (std::size_t i = 0; i < step.tasks.size(); ++i) {
    const auto index = static_cast<std::int32_t>(i);
    const auto crashes = entry.crashes.find({ref, index});
    Write(step.tasks[i], index,
          crashes == entry.crashes.end() ? nullptr : &crashes->second, out);
  }
}

void Apply(const stored::TaskProgress& stored, const StepRef& ref,
           JobEntry* entry, StepEntry* step) {
  const auto index = static_cast<std::size_t>(stored.index());
  if (index >= step->tasks.size()) return;
  TaskEntry& task = step->tasks[index];
  task.failed_runs = stored.failed_runs();
  task.last_run = stored.last_run();
  task.counted_run = stored.counted_run();
  task.checkpoint = stored.checkpoint();
  for (const stored::WorkerLoss& loss : stored.losses()) {
    entry->crashes[{ref, stored.index()}].Note(
        {.worker = {WorkerId(loss.worker()), loss.worker_born_ms()},
         .certain = loss.certain(),
         .survived = Duration(loss.survived_us()),
         .at_start = loss.at_start(),
         .alone = loss.alone(),
         .in_outage = loss.in_outage(),
         .unanswered = loss.unanswered()});
  }
  if (stored.worker().empty() || task.done) return;
  task.worker = {WorkerId(stored.worker()), stored.worker_born_ms()};
  task.open = true;
  ++step->open;
}

void Apply(const stored::StepProgress& stored, const StepRef& ref,
           JobEntry* entry, StepEntry* step) {
  step->failed_gang_runs = stored.failed_gang_runs();
  step->counted_gang_run = stored.counted_gang_run();
  for (std::size_t i = 0; i < step->tasks.size(); ++i) {
    if (!DoneBit(stored.done(), i)) continue;
    step->tasks[i].done = true;
    ++step->done;
  }
  for (const stored::TaskProgress& task : stored.tasks()) {
    Apply(task, ref, entry, step);
  }
}

/// @return true if a run of the job has ended or saved a checkpoint
bool HasResults(const JobEntry& entry) {
  if (entry.first_open > 0) return true;
  const auto any = [](const StepEntry& step) {
    return step.done > 0 || step.failed_gang_runs > 0 ||
           std::any_of(
               step.tasks.begin(), step.tasks.end(), [](const TaskEntry& task) {
                 return task.failed_runs > 0 || !task.checkpoint.empty();
               });
  };
  return std::any_of(entry.occurrences.begin(), entry.occurrences.end(),
                     [&](const auto& one) {
                       return std::any_of(one.second.steps.begin(),
                                          one.second.steps.end(), any);
                     });
}

bool ValidState(std::int32_t state) {
  return state >= static_cast<std::int32_t>(JobState::kQueued) &&
         state <= static_cast<std::int32_t>(JobState::kCancelled);
}

template <typename Message>
std::optional<Message> Parse(std::string_view bytes) {
  Message message;
  const bool read =
      message.ParseFromArray(bytes.data(), static_cast<int>(bytes.size()));
  if (!read) return std::nullopt;
  return message;
}

}  // namespace

std::string EncodeJob(const Job& job) {
  stored::Job out;
  out.set_id(job.id.Text());
  Write(job.queue, out.mutable_queue());
  out.set_payload(job.spec.payload);
  for (const Step& step : job.spec.steps) Write(step, out.add_steps());
  out.set_first_unix_ms(job.spec.schedule.first_unix_ms);
  out.set_interval_ms(job.spec.schedule.interval_ms);
  out.set_occurrences(job.spec.schedule.occurrences);
  out.set_accepted_unix_ms(job.accepted_unix_ms);
  if (!job.access.team.Empty()) {
    Write(job.access, out.mutable_access());
    Write(job.team_cap, out.mutable_team_cap());
  }
  return out.SerializeAsString();
}

std::optional<Job> DecodeJob(std::string_view bytes) {
  const auto stored = Parse<stored::Job>(bytes);
  if (!stored || stored->id().empty()) return std::nullopt;
  Job job;
  job.id = JobId(stored->id());
  job.queue = Read(stored->queue());
  job.spec.payload = stored->payload();
  for (const stored::Step& step : stored->steps()) {
    job.spec.steps.push_back(Read(step));
  }
  job.spec.schedule.first_unix_ms = stored->first_unix_ms();
  job.spec.schedule.interval_ms = stored->interval_ms();
  job.spec.schedule.occurrences = stored->occurrences();
  job.accepted_unix_ms = stored->accepted_unix_ms();
  job.access = Read(stored->access());
  job.team_cap = Read(stored->team_cap());
  if (CheckSpec(job.spec, SpecLimits{})) return std::nullopt;
  return job;
}

JobAccess DecodeAccess(std::string_view bytes) {
  const auto stored = Parse<stored::Job>(bytes);
  return stored ? Read(stored->access()) : JobAccess{};
}

std::string EncodeProgress(const JobEntry& entry) {
  stored::Progress out;
  out.set_state(static_cast<std::int32_t>(entry.state));
  out.set_first_open_occurrence(entry.first_open);
  out.set_begun(entry.begun);
  for (const auto& [number, occurrence] : entry.occurrences) {
    stored::OccurrenceProgress* stored = out.add_occurrences();
    stored->set_number(number);
    StepRef ref{entry.job.id, number, 0};
    for (const StepEntry& step : occurrence.steps) {
      Write(entry, ref, step, stored->add_steps());
      ++ref.step;
    }
  }
  return out.SerializeAsString();
}

std::string EncodeEnd(const JobStatus& status) {
  stored::Progress out;
  out.set_state(static_cast<std::int32_t>(status.state));
  out.set_cause(status.cause);
  if (!status.access.team.Empty()) Write(status.access, out.mutable_access());
  return out.SerializeAsString();
}

bool ApplyProgress(JobTable* jobs, JobEntry* entry, std::string_view bytes) {
  const auto stored = Parse<stored::Progress>(bytes);
  if (!stored || !ValidState(stored->state())) return false;
  entry->first_open = stored->first_open_occurrence();
  entry->next_to_open = std::max(entry->next_to_open, entry->first_open);
  for (const stored::OccurrenceProgress& one : stored->occurrences()) {
    OccurrenceEntry* occurrence = JobTable::OpenOccurrence(entry, one.number());
    entry->next_to_open = std::max(entry->next_to_open, one.number() + 1);
    const auto steps = std::min(occurrence->steps.size(),
                                static_cast<std::size_t>(one.steps_size()));
    for (std::size_t i = 0; i < steps; ++i) {
      const StepRef ref{entry->job.id, one.number(),
                        static_cast<std::int32_t>(i)};
      Apply(one.steps(static_cast<int>(i)), ref, entry, &occurrence->steps[i]);
    }
  }
  // Progress is stored before the first start order is sent, so the state alone
  // does not show whether anything has started.
  entry->begun = stored->begun() || HasResults(*entry);
  jobs->SetState(entry, static_cast<JobState>(stored->state()));
  entry->failure = stored->cause();
  return true;
}

std::optional<JobStatus> DecodeStatus(std::string_view bytes) {
  const auto stored = Parse<stored::Progress>(bytes);
  if (!stored || !ValidState(stored->state())) return std::nullopt;
  return JobStatus{static_cast<JobState>(stored->state()), stored->cause(),
                   Read(stored->access())};
}

std::string EncodeTombstone(const JobAccess& caller) {
  return EncodeEnd({JobState::kCancelled, {}, caller});
}

std::optional<JobAccess> DecodeTombstone(std::string_view bytes) {
  auto status = DecodeStatus(bytes);
  if (!status || status->state != JobState::kCancelled) return std::nullopt;
  return std::move(status->access);
}

std::string EncodeNode(const NodeRecord& node) {
  stored::Node out;
  Write(node, &out);
  return out.SerializeAsString();
}

std::optional<NodeRecord> DecodeNode(std::string_view bytes) {
  const auto stored = Parse<stored::Node>(bytes);
  if (!stored || stored->name().empty()) return std::nullopt;
  return Read(*stored);
}

std::string EncodeOwners(const OwnerList& list) {
  stored::RecentOwners out;
  out.set_complete(list.complete);
  for (const OwnerEntry& owner : list.owners) {
    stored::GroupOwner* added = out.add_owners();
    Write(owner.node, added->mutable_node());
    added->set_token(owner.token);
  }
  return out.SerializeAsString();
}

std::optional<OwnerList> DecodeOwners(std::string_view bytes) {
  const auto stored = Parse<stored::RecentOwners>(bytes);
  if (!stored) return std::nullopt;
  OwnerList list;
  list.complete = stored->complete();
  for (const stored::GroupOwner& owner : stored->owners()) {
    if (owner.node().name().empty()) return std::nullopt;
    list.owners.push_back({Read(owner.node()), owner.token()});
  }
  return list;
}

std::string EncodeWithheldLeases(std::span<const WithheldLease> leases) {
  stored::WithheldLeases out;
  for (const WithheldLease& lease : leases) {
    stored::WithheldLease* added = out.add_leases();
    added->set_worker(lease.worker.Text());
    added->set_token(lease.token);
    added->set_number(lease.number);
    added->set_remaining_us(lease.remaining.count());
  }
  return out.SerializeAsString();
}

std::optional<std::vector<WithheldLease>> DecodeWithheldLeases(
    std::string_view bytes) {
  const auto stored = Parse<stored::WithheldLeases>(bytes);
  if (!stored) return std::nullopt;
  std::vector<WithheldLease> leases;
  for (const stored::WithheldLease& lease : stored->leases()) {
    leases.push_back({WorkerId(lease.worker()), lease.token(), lease.number(),
                      Duration(lease.remaining_us())});
  }
  return leases;
}

}  // namespace mustardproxy::jobs

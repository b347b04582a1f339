#include "evacuations.h"

#include <algorithm>
#include <utility>

namespace mustardproxy::jobs {

Evacuations::Evacuations(Executor* executor, KeyValueStore* store,
                         EventLog* log, std::string prefix, Handlers handlers)
    : executor(executor),
      log(log),
      prefix(std::move(prefix)),
      handlers(std::move(handlers)),
      mirror(executor, store, log,
             {.prefix = this->prefix, .pause = Duration::zero()},
             {.on_change = [this](const StoreEvent& e) { this->OnKey(e); },
              .on_listed = [this] { this->handlers.on_listed(); }}) {}

void Evacuations::OnKey(const StoreEvent& event) {
  const DataCenterId data_center(event.item.key.substr(this->prefix.size()));
  const bool known = this->evacuated.contains(data_center);
  if (event.deleted) {
    this->evacuated.erase(data_center);
  } else {
    this->evacuated[data_center] = event.item.revision;
  }
  if (known != event.deleted) return;
  const Duration age = std::max<Duration>(
      Duration::zero(), this->executor->Now() - this->mirror.ConfirmedAt());
  this->log->Write("workers",
                   event.deleted ? "evacuation-cancelled" : "evacuation-begun",
                   {{"data_center", data_center.Text()},
                    {"revision", event.item.revision},
                    {"age_ms", WholeMilliseconds(age)}});
  this->handlers.on_change(data_center);
}

}  // namespace mustardproxy::jobs

#include "mustardproxy/jobs/admission.h"

#include "mustardproxy/core/error.h"

namespace mustardproxy::jobs {

Result<Admission> Admit(const DesiredState* desired, Duration age,
                        const QueueChooser& choose,
                        const Credentials& credentials, Duration max_age) {
  if (desired == nullptr) return make_error_code(Error::kStarting);
  const bool stale = age > max_age;
  const Queue* queue = choose(*desired);
  if (queue == nullptr) {
    return make_error_code(stale ? Error::kConfigurationStale
                                 : Error::kUnknownQueue);
  }
  Admission admission;
  admission.queue = *queue;
  admission.version = desired->version;
  admission.age = age;
  const KeyDigest digest = KeyDigest::Of(credentials.key);
  const Team* team =
      credentials.key.empty() ? nullptr : desired->FindTeam(digest);
  if (team != nullptr) {
    admission.access = {team->id, digest.Fingerprint()};
    admission.cap = team->cap;
    return admission;
  }
  const bool needs_key = desired->keys_required && !queue->open_to_all &&
                         !credentials.from_operator;
  if (!needs_key) return admission;
  return make_error_code(stale ? Error::kConfigurationStale
                               : Error::kUnknownKey);
}

}  // namespace mustardproxy::jobs

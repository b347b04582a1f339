#ifndef MUSTARDPROXY_CORE_LIFECYCLE_SERVICE_TERMS_H_
#define MUSTARDPROXY_CORE_LIFECYCLE_SERVICE_TERMS_H_

#include <cstdint>
#include <optional>

#include "mustardproxy/core/configuration.h"
#include "mustardproxy/core/ids.h"
#include "mustardproxy/core/resources.h"
#include "mustardproxy/core/time.h"

namespace mustardproxy::detail {

/// Snapshot of the service and profile settings that apply to a request, taken
/// when it arrives. Later configuration changes do not affect requests in
/// progress.
struct ServiceTerms {
  ProfileId profile;
  Resources resources;
  bool idempotent = false;
  bool deferred = false;
  std::int32_t tasks = 1;
  std::int32_t max_attempts = 1;
  Duration max_wait{0};
  Duration max_run{0};
};

/// @return `std::nullopt` if the service or its profile is not configured
inline std::optional<ServiceTerms> TermsOf(const Configuration& configuration,
                                           const ServiceId& id) {
  const auto service = configuration.services.find(id);
  if (service == configuration.services.end()) {
    return std::nullopt;
  }
  const auto profile = configuration.profiles.find(service->second.profile);
  if (profile == configuration.profiles.end()) {
    return std::nullopt;
  }
  ServiceTerms terms;
  terms.profile = profile->first;
  terms.resources = service->second.resources;
  terms.idempotent = service->second.idempotent;
  terms.deferred = profile->second.deferred;
  terms.tasks = service->second.tasks;
  terms.max_attempts = profile->second.max_attempts;
  terms.max_wait = profile->second.max_wait;
  terms.max_run = profile->second.max_run;
  return terms;
}

}  // namespace mustardproxy::detail

#endif  // MUSTARDPROXY_CORE_LIFECYCLE_SERVICE_TERMS_H_

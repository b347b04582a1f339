#include "cell/layout.h"

namespace mustardproxy::cell {

std::string DefaultConfiguration() {
  return R"({
  "version": 1,
  "default_team": "dlonie",
  "profiles": {
    "urgent": {"max_wait_ms": 2000, "max_run_ms": 60000, "priority": 0,
               "packing": "best-fit"},
    "booking": {"max_wait_ms": 5000, "max_run_ms": 60000, "priority": 0,
                "packing": "best-fit"},
    "gang": {"gang": true, "max_wait_ms": 10000, "max_run_ms": 60000,
             "priority": 1},
    "batch": {"deferred": true, "max_wait_ms": 600000, "max_run_ms": 60000,
              "priority": 3, "preemptible": true}
  },
  "services": {
    "screen": {"profile": "urgent", "idempotent": true, "expected_run_ms": 20,
      "resources": {"cpu_milli": 500, "memory_mb": 256, "slots": 1}},
    "booking": {"profile": "booking", "idempotent": false,
      "expected_run_ms": 20,
      "resources": {"cpu_milli": 1000, "memory_mb": 512, "slots": 1}},
    "match": {"profile": "gang", "idempotent": true, "tasks": 4,
      "expected_run_ms": 50,
      "resources": {"cpu_milli": 2000, "memory_mb": 1024, "slots": 1}},
    "review": {"profile": "batch", "idempotent": true, "expected_run_ms": 100,
      "resources": {"cpu_milli": 1000, "memory_mb": 1024, "slots": 1}},
    "detainee": {"profile": "batch", "idempotent": false,
      "expected_run_ms": 100,
      "resources": {"cpu_milli": 1000, "memory_mb": 1024, "slots": 1}}
  },
  "teams": {
    "dlonie": {"weight": 3.0},
    "addis": {"weight": 1.0}
  }
}
)";
}

}  // namespace mustardproxy::cell

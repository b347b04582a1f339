#include "journal_size.h"

#include <variant>

namespace mustardproxy::detail {
namespace {

/// Encoded numbers, tags and lengths of one record. The largest record has nine
/// fields of at most eleven bytes each and nests three messages.
constexpr std::size_t kFixedBytes = 160;

template <typename Tag>
std::size_t SizeOf(const Id<Tag>& id) {
  return id.Text().size();
}

struct Sizer {
  std::size_t operator()(const AcceptedRecord& record) const {
    const Request& request = record.request;
    return SizeOf(request.id) + SizeOf(request.service) + SizeOf(request.team) +
           SizeOf(request.origin) + request.idempotency_key.size() +
           View(request.body).size();
  }
  std::size_t operator()(const StartedRecord& record) const {
    return SizeOf(record.request) + SizeOf(record.task) + SizeOf(record.worker);
  }
  std::size_t operator()(const FinishedRecord& record) const {
    const Answer& answer = record.answer;
    return SizeOf(record.request) + answer.content_type.size() +
           answer.detail.size() + View(answer.body).size();
  }
  std::size_t operator()(const CancelledRecord& record) const {
    return SizeOf(record.request);
  }
  std::size_t operator()(const HandedOverRecord& /*record*/) const { return 0; }
  std::size_t operator()(const AdoptedRecord& record) const {
    return SizeOf(record.by);
  }
};

}  // namespace

std::size_t EncodedSizeBound(const JournalRecord& record) {
  return kFixedBytes + std::visit(Sizer{}, record);
}

}  // namespace mustardproxy::detail

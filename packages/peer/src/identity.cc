#include "identity.h"

#include "bounds.h"
#include "wire.h"

namespace mustardproxy::peer_detail {

void Identity::Seal(std::string_view recipient,
                    peer::Envelope* envelope) const {
  const HybridTime now = this->clock->Now();
  envelope->set_customer(this->customer);
  envelope->set_version(kProtocolVersion);
  envelope->set_process(this->self.process.Text());
  envelope->set_incarnation(this->incarnation);
  envelope->set_recipient(std::string(recipient));
  envelope->set_wall_micros(now.wall_micros);
  envelope->set_counter(now.counter);
}

bool Identity::Accept(const peer::Envelope& envelope) const {
  if (envelope.customer() != this->customer) return false;
  if (envelope.version() != kProtocolVersion) return false;
  // Failure: an address of the settings has passed to another process of the
  // same customer. Requests would be counted against the wrong peer; the name
  // of the recipient tells.
  if (envelope.recipient() != this->self.process.Text()) return false;
  if (!IsName(envelope.process())) return false;
  this->clock->Observe({envelope.wall_micros(), envelope.counter()});
  return true;
}

}  // namespace mustardproxy::peer_detail

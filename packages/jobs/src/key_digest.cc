#include "mustardproxy/jobs/key_digest.h"

#include <Poco/DigestEngine.h>
#include <Poco/SHA2Engine.h>

#include <algorithm>

namespace mustardproxy::jobs {

KeyDigest KeyDigest::Of(std::string_view key) {
  Poco::SHA2Engine engine(Poco::SHA2Engine::SHA_256);
  engine.update(key.data(), key.size());
  const Poco::DigestEngine::Digest& digest = engine.digest();
  KeyDigest result;
  std::copy_n(digest.begin(), std::min(digest.size(), kBytes),
              result.bytes.begin());
  return result;
}

std::string KeyDigest::Fingerprint() const {
  constexpr std::size_t kShownBytes = 8;
  const Poco::DigestEngine::Digest shown(this->bytes.begin(),
                                         this->bytes.begin() + kShownBytes);
  return Poco::DigestEngine::digestToHex(shown);
}

}  // namespace mustardproxy::jobs

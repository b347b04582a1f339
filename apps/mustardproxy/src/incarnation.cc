#include "incarnation.h"

#include <random>

namespace mustardproxy {

Incarnation DrawIncarnation() {
  constexpr int kWordBits = 32;
  std::random_device device;
  const Incarnation high = device();
  return (high << kWordBits) | device();
}

}  // namespace mustardproxy

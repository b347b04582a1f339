#ifndef MUSTARDPROXY_CELL_RESERVED_PORT_H_
#define MUSTARDPROXY_CELL_RESERVED_PORT_H_

#include <cstdint>
#include <string>

namespace mustardproxy::cell {

/// A TCP port of 127.0.0.1 drawn by the operating system and kept from others,
/// so that it can be named in settings before its process listens, and stays
/// the same when the process is started again. It is bound but never listened
/// on, with the options that let a listener share it.
class ReservedPort {
 public:
  ReservedPort();
  ~ReservedPort();
  ReservedPort(ReservedPort&& other) noexcept;
  ReservedPort& operator=(ReservedPort&&) = delete;

  [[nodiscard]] std::uint16_t Number() const { return this->number; }
  /// @return `127.0.0.1:port`
  [[nodiscard]] std::string Address() const;
  /// @return `http://127.0.0.1:port`
  [[nodiscard]] std::string Url() const;

 private:
  int descriptor = -1;
  std::uint16_t number = 0;
};

}  // namespace mustardproxy::cell

#endif  // MUSTARDPROXY_CELL_RESERVED_PORT_H_

#ifndef MUSTARDPROXY_SETTINGS_TEXT_RULE_H_
#define MUSTARDPROXY_SETTINGS_TEXT_RULE_H_

#include <string>
#include <string_view>
#include <vector>

namespace mustardproxy::settings_detail {

/// Which texts a field takes.
class TextRule {
 public:
  TextRule() = default;
  TextRule(const TextRule&) = delete;
  TextRule& operator=(const TextRule&) = delete;
  virtual ~TextRule() = default;

  [[nodiscard]] virtual bool Allows(std::string_view text) const = 0;
  /// @return the rule in words, for the page and for problems
  [[nodiscard]] virtual std::string Allowed() const = 0;
};

/// Names of processes, profiles and the like. They stand in keys, paths, logs
/// and headers, so nothing needs quoting there; the first letter keeps `..` out
/// of paths and `-x` off command lines.
class NameRule final : public TextRule {
 public:
  [[nodiscard]] bool Allows(std::string_view text) const override;
  [[nodiscard]] std::string Allowed() const override;
};

/// Names separated by commas, or nothing.
class NameListRule final : public TextRule {
 public:
  [[nodiscard]] bool Allows(std::string_view text) const override;
  [[nodiscard]] std::string Allowed() const override;
};

/// An IP number of the own host.
class HostRule final : public TextRule {
 public:
  [[nodiscard]] bool Allows(std::string_view text) const override;
  [[nodiscard]] std::string Allowed() const override;
};

/// `ip:port`, with an IPv6 number in brackets.
class AddressRule final : public TextRule {
 public:
  [[nodiscard]] bool Allows(std::string_view text) const override;
  [[nodiscard]] std::string Allowed() const override;
};

/// `http://ip:port`.
class UrlRule final : public TextRule {
 public:
  [[nodiscard]] bool Allows(std::string_view text) const override;
  [[nodiscard]] std::string Allowed() const override;
};

/// A path of the file system, or nothing.
class FilePathRule final : public TextRule {
 public:
  [[nodiscard]] bool Allows(std::string_view text) const override;
  [[nodiscard]] std::string Allowed() const override;
};

/// One of a few words.
class ChoiceRule final : public TextRule {
 public:
  explicit ChoiceRule(std::vector<std::string_view> choices);
  [[nodiscard]] bool Allows(std::string_view text) const override;
  [[nodiscard]] std::string Allowed() const override;

 private:
  std::vector<std::string_view> choices;
};

}  // namespace mustardproxy::settings_detail

#endif  // MUSTARDPROXY_SETTINGS_TEXT_RULE_H_

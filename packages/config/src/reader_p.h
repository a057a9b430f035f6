#ifndef CONFIG_SRC_READER_P_H_
#define CONFIG_SRC_READER_P_H_

#include <yaml-cpp/yaml.h>

#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>
#include <vector>

#include "core/time.h"

namespace hickoryusher::config {

/// A fault in a settings file, before the path is added.
struct Fault {
  int line = 0;
  std::string text;
};

/// Collects the faults of one file.
class Faults {
 public:
  void Add(const YAML::Node& node,
           std::string_view key,
           std::string_view expected);
  void AddAt(int line, std::string text);

  const std::vector<Fault>& list() const { return list_; }

 private:
  std::vector<Fault> list_;
};

struct IntegerRange {
  std::int64_t least = 0;
  std::int64_t most = 0;
};

/// A map in a settings file, with the path that leads to it.
class Section {
 public:
  /// @param allowed every key that the map may have.
  Section(const YAML::Node& node,
          std::string path,
          Faults& faults,
          std::initializer_list<std::string_view> allowed);

  std::string Text(std::string_view key);
  std::string TextOr(std::string_view key, std::string_view fallback);
  std::int64_t IntegerOr(std::string_view key,
                         std::int64_t fallback,
                         IntegerRange range);
  std::int64_t Integer(std::string_view key, IntegerRange range);
  core::Duration MillisOr(std::string_view key,
                          std::int64_t fallback,
                          IntegerRange range);
  double FractionOr(std::string_view key, double fallback);

  /// @returns `sha256:<salt>:<hash>`, or an empty text if there is no such key.
  std::string KeyHashOr(std::string_view key);

  /// @returns `http://IP:PORT` without a trailing slash.
  std::string Url(std::string_view key);

  /// @returns the elements of a list that must not be empty.
  std::vector<YAML::Node> List(std::string_view key);

  YAML::Node Child(std::string_view key) const;
  std::string PathOf(std::string_view key) const;
  const YAML::Node& node() const { return node_; }

 private:
  YAML::Node Find(std::string_view key) const;

  YAML::Node node_;
  std::string path_;
  Faults& faults_;
};

}  // namespace hickoryusher::config

#endif  // CONFIG_SRC_READER_P_H_

#ifndef CHART_YAML_LOAD_H_
#define CHART_YAML_LOAD_H_

#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "chart/chart.h"

namespace hickoryusher::chart_yaml {

/// Reads chart files.
///
/// @code{.yaml}
/// chart: door
/// initial: closed
/// events: [push, remove]
/// states:
///   closed:
///     exit: [log_exit]
///     on:
///       push: {guard: unlocked, target: open, actions: [log_push]}
///       remove: removed
///     ignore: [push]
///   open:
///     timers: {hold_open: push}
///     on: {push: closed}
///     ignore: [remove]
///   removed: {final: true}
/// @endcode
///
/// A value under `on` is a target, one transition, or a list of transitions
/// tried in order. A timer maps the name of a duration to the event that is
/// dispatched when it has passed.
class Loader {
 public:
  /// @param path chart file.
  /// @returns the checked chart, or nothing; see errors().
  std::optional<chart::Chart> LoadFile(std::string_view path);

  /// @param text content of a chart file.
  /// @param path name used in errors.
  std::optional<chart::Chart> LoadText(std::string_view text,
                                       std::string_view path);

  /// @returns every fault found by the last call, as `path:line: text`.
  std::span<const std::string> errors() const { return errors_; }

 private:
  std::vector<std::string> errors_;
};

}  // namespace hickoryusher::chart_yaml

#endif  // CHART_YAML_LOAD_H_

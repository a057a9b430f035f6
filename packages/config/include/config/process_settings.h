#ifndef CONFIG_PROCESS_SETTINGS_H_
#define CONFIG_PROCESS_SETTINGS_H_

#include <array>
#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "core/time.h"
#include "core/work_class.h"

namespace hickoryusher::config {

struct EndpointSettings {
  std::string name;
  std::string url;  ///< `http://IP:PORT`, without a path.
  std::string vm;
  std::string rack;
  std::string failure_domain;
  int slots = 8;
  int connections = 64;
};

struct ServiceSettings {
  std::string name;
  /// The settings below `/teams/<team>/services/<name>` apply to the service;
  /// empty for none.
  std::string team;
  /// Guaranteed share of the entry's slots per class, 0 to 1, sum at most 1.
  std::array<double, core::kWorkClasses.size()> floors{};
  core::Duration first_byte_timeout{};
  core::Duration connect_timeout{};
  std::vector<EndpointSettings> endpoints;
};

/// An entry process of this deployment; the list includes the process itself.
struct EntrySettings {
  std::string name;
  std::string vm;
  std::string failure_domain;
  int seat = 0;  ///< Position among the entries of its failure domain.
  std::string address;
  std::uint16_t port = 0;
};

/// A VM of the fleet that runs tasks.
struct WorkerSettings {
  std::string name;
  std::string url;  ///< `http://IP:PORT`, without a path.
  std::string vm;
  std::string rack;
  std::string failure_domain;
  std::int64_t cpu_millis = 0;
  std::int64_t memory_bytes = 0;
  int accelerators = 0;
};

struct LimitSettings {
  std::size_t header_bytes = 16'384;
  std::size_t body_bytes = 4'194'304;
  std::size_t response_bytes = 16'777'216;
  std::size_t ring_slots = 4096;
  core::Duration header_timeout{};
  core::Duration body_timeout{};
  core::Duration longest_deadline{};
};

struct PlatformSettings {
  std::string table_url;
  std::string object_url;
  std::string vm_list_url;
};

/// Everything an entry process learns from its settings file.
struct ProcessSettings {
  std::string entry;  ///< Name of this process in entries.
  std::string chart_folder;
  /// `sha256:<salt>:<hash>` of the key `admin.bootstrap`; empty for none.
  std::string admin_key_hash;
  int http_threads = 2;
  LimitSettings limits;
  PlatformSettings platform;
  std::vector<EntrySettings> entries;
  std::vector<ServiceSettings> services;
  std::vector<WorkerSettings> workers;  ///< May be empty.

  /// @returns this process's element of entries.
  const EntrySettings& self() const;
};

/// Reads and checks settings files.
///
/// @remarks Every fault is reported, not only the first one. Unknown keys are
/// faults. Units are part of the key names (`_ms`, `_bytes`).
class Loader {
 public:
  /// @returns the checked settings, or nothing; see errors().
  std::optional<ProcessSettings> LoadFile(std::string_view path);

  /// @param path name used in errors.
  std::optional<ProcessSettings> LoadText(std::string_view text,
                                          std::string_view path);

  /// @returns every fault found by the last call, as
  /// `path:line: key: expected ..., found ...`.
  std::span<const std::string> errors() const { return errors_; }

 private:
  std::vector<std::string> errors_;
};

}  // namespace hickoryusher::config

#endif  // CONFIG_PROCESS_SETTINGS_H_

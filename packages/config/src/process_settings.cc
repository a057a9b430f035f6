#include "config/process_settings.h"

#include <algorithm>
#include <fstream>
#include <iterator>
#include <numeric>
#include <set>
#include <sstream>

#include "reader_p.h"

namespace hickoryusher::config {
namespace {

constexpr IntegerRange kPortRange = {.least = 1, .most = 65535};
constexpr IntegerRange kTimeoutMillis = {.least = 1, .most = 600'000};
constexpr IntegerRange kByteRange = {.least = 1024, .most = 1'073'741'824};
constexpr IntegerRange kRingRange = {.least = 16, .most = 1'048'576};
constexpr IntegerRange kSlotRange = {.least = 1, .most = 10'000};
constexpr IntegerRange kCpuRange = {.least = 1, .most = 10'000'000};
constexpr IntegerRange kMemoryRange = {.least = 1,
                                       .most = 1'000'000'000'000'000};
constexpr IntegerRange kAcceleratorRange = {.least = 0, .most = 1024};
constexpr IntegerRange kSeatRange = {.least = 0, .most = 63};

LimitSettings ReadLimits(const YAML::Node& node, Faults& faults) {
  Section section(
      node.IsDefined() ? node : YAML::Node(YAML::NodeType::Map), "limits",
      faults,
      {"header_bytes", "body_bytes", "response_bytes", "ring_slots",
       "header_timeout_ms", "body_timeout_ms", "longest_deadline_ms"});
  LimitSettings limits;
  const auto bytes = [&section](std::string_view key, std::size_t fallback) {
    return static_cast<std::size_t>(section.IntegerOr(
        key, static_cast<std::int64_t>(fallback), kByteRange));
  };
  limits.header_bytes = bytes("header_bytes", limits.header_bytes);
  limits.body_bytes = bytes("body_bytes", limits.body_bytes);
  limits.response_bytes = bytes("response_bytes", limits.response_bytes);
  limits.ring_slots = static_cast<std::size_t>(
      section.IntegerOr("ring_slots", 4096, kRingRange));
  limits.header_timeout =
      section.MillisOr("header_timeout_ms", 5'000, kTimeoutMillis);
  limits.body_timeout =
      section.MillisOr("body_timeout_ms", 10'000, kTimeoutMillis);
  limits.longest_deadline =
      section.MillisOr("longest_deadline_ms", 60'000, kTimeoutMillis);
  return limits;
}

PlatformSettings ReadPlatform(const YAML::Node& node, Faults& faults) {
  Section section(node, "platform", faults,
                  {"table_url", "object_url", "vm_list_url"});
  return {.table_url = section.Url("table_url"),
          .object_url = section.Url("object_url"),
          .vm_list_url = section.Url("vm_list_url")};
}

EntrySettings ReadEntry(const YAML::Node& node,
                        const std::string& path,
                        Faults& faults) {
  Section section(node, path, faults,
                  {"name", "vm", "failure_domain", "seat", "address", "port"});
  return {
      .name = section.Text("name"),
      .vm = section.Text("vm"),
      .failure_domain = section.Text("failure_domain"),
      .seat = static_cast<int>(section.Integer("seat", kSeatRange)),
      .address = section.Text("address"),
      .port = static_cast<std::uint16_t>(section.Integer("port", kPortRange))};
}

EndpointSettings ReadEndpoint(const YAML::Node& node,
                              const std::string& path,
                              Faults& faults) {
  Section section(
      node, path, faults,
      {"name", "url", "vm", "rack", "failure_domain", "slots", "connections"});
  return {.name = section.Text("name"),
          .url = section.Url("url"),
          .vm = section.Text("vm"),
          .rack = section.Text("rack"),
          .failure_domain = section.Text("failure_domain"),
          .slots = static_cast<int>(section.IntegerOr("slots", 8, kSlotRange)),
          .connections = static_cast<int>(
              section.IntegerOr("connections", 64, kSlotRange))};
}

WorkerSettings ReadWorker(const YAML::Node& node,
                          const std::string& path,
                          Faults& faults) {
  Section section(node, path, faults,
                  {"name", "url", "vm", "rack", "failure_domain", "cpu_millis",
                   "memory_bytes", "accelerators"});
  return {.name = section.Text("name"),
          .url = section.Url("url"),
          .vm = section.Text("vm"),
          .rack = section.Text("rack"),
          .failure_domain = section.Text("failure_domain"),
          .cpu_millis = section.Integer("cpu_millis", kCpuRange),
          .memory_bytes = section.Integer("memory_bytes", kMemoryRange),
          .accelerators = static_cast<int>(
              section.IntegerOr("accelerators", 0, kAcceleratorRange))};
}

template <typename Read>
auto ReadAll(std::span<const YAML::Node> nodes,
             const std::string& path,
             Faults& faults,
             Read read) {
  std::vector<decltype(read(nodes[0], path, faults))> out;
  for (std::size_t i = 0; i < nodes.size(); ++i) {
    out.push_back(read(nodes[i], path + "[" + std::to_string(i) + "]", faults));
  }
  return out;
}

ServiceSettings ReadService(const YAML::Node& node,
                            const std::string& path,
                            Faults& faults) {
  Section section(node, path, faults,
                  {"name", "team", "floors", "first_byte_timeout_ms",
                   "connect_timeout_ms", "endpoints"});
  ServiceSettings service;
  service.name = section.Text("name");
  service.team = section.TextOr("team", "");
  service.first_byte_timeout =
      section.MillisOr("first_byte_timeout_ms", 1'000, kTimeoutMillis);
  service.connect_timeout =
      section.MillisOr("connect_timeout_ms", 500, kTimeoutMillis);
  Section floors(section.Child("floors"), section.PathOf("floors"), faults,
                 {"latency_critical", "batch", "watcher"});
  std::ranges::transform(core::kWorkClasses, service.floors.begin(),
                         [&floors](core::WorkClass work_class) {
                           return floors.FractionOr(core::ToString(work_class),
                                                    0);
                         });
  if (std::accumulate(service.floors.begin(), service.floors.end(), 0.0) >
      1.0) {
    faults.Add(floors.node(), section.PathOf("floors"), "a sum of at most 1");
  }
  service.endpoints =
      ReadAll(section.List("endpoints"), section.PathOf("endpoints"), faults,
              ReadEndpoint);
  return service;
}

void CheckReferences(const YAML::Node& root,
                     const ProcessSettings& settings,
                     Faults& faults) {
  std::set<std::string> names;
  std::set<std::pair<std::string, int>> seats;
  for (const EntrySettings& entry : settings.entries) {
    if (!names.insert(entry.name).second) {
      faults.Add(root["entries"], "entries",
                 "unique names, '" + entry.name + "' twice");
    }
    if (!seats.emplace(entry.failure_domain, entry.seat).second) {
      faults.Add(root["entries"], "entries",
                 "one entry per seat, seat " + std::to_string(entry.seat) +
                     " of '" + entry.failure_domain + "' twice");
    }
  }
  std::set<std::string> workers;
  for (const WorkerSettings& worker : settings.workers) {
    if (!workers.insert(worker.name).second) {
      faults.Add(root["workers"], "workers",
                 "unique names, '" + worker.name + "' twice");
    }
  }
  if (!settings.entry.empty() && !names.contains(settings.entry)) {
    faults.Add(root["entry"], "entry", "a name listed under entries");
  }
}

ProcessSettings ReadSettings(const YAML::Node& root, Faults& faults) {
  Section section(root, "", faults,
                  {"entry", "chart_folder", "admin_key_hash", "http_threads",
                   "limits", "platform", "entries", "services", "workers"});
  ProcessSettings settings;
  settings.entry = section.Text("entry");
  settings.chart_folder = section.TextOr("chart_folder", "charts");
  settings.admin_key_hash = section.KeyHashOr("admin_key_hash");
  settings.http_threads = static_cast<int>(
      section.IntegerOr("http_threads", 2, {.least = 1, .most = 64}));
  settings.limits = ReadLimits(section.Child("limits"), faults);
  settings.platform = ReadPlatform(section.Child("platform"), faults);
  settings.entries =
      ReadAll(section.List("entries"), "entries", faults, ReadEntry);
  settings.services =
      ReadAll(section.List("services"), "services", faults, ReadService);
  if (section.Child("workers").IsDefined()) {
    settings.workers =
        ReadAll(section.List("workers"), "workers", faults, ReadWorker);
  }
  CheckReferences(section.node(), settings, faults);
  return settings;
}

}  // namespace

const EntrySettings& ProcessSettings::self() const {
  return *std::ranges::find(entries, entry, &EntrySettings::name);
}

std::optional<ProcessSettings> Loader::LoadFile(std::string_view path) {
  const std::ifstream file{std::string(path)};
  if (!file) {
    errors_ = {std::string(path) + ":0: expected a readable file, found none"};
    return std::nullopt;
  }
  std::ostringstream text;
  text << file.rdbuf();
  return LoadText(text.str(), path);
}

std::optional<ProcessSettings> Loader::LoadText(std::string_view text,
                                                std::string_view path) {
  errors_.clear();
  Faults faults;
  ProcessSettings settings;
  try {
    settings = ReadSettings(YAML::Load(std::string(text)), faults);
  } catch (const YAML::Exception& error) {
    faults.AddAt(error.mark.line + 1, "expected YAML, found: " + error.msg);
  }
  std::ranges::transform(
      faults.list(), std::back_inserter(errors_), [path](const Fault& fault) {
        return std::string(path) + ":" + std::to_string(fault.line) + ": " +
               fault.text;
      });
  if (!errors_.empty()) {
    return std::nullopt;
  }
  return settings;
}

}  // namespace hickoryusher::config

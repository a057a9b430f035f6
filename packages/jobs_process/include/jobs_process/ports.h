#ifndef JOBS_PROCESS_PORTS_H_
#define JOBS_PROCESS_PORTS_H_

#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <variant>

#include "core/log_line.h"
#include "http/message.h"
#include "http/upstream.h"
#include "jobs/intake.h"
#include "jobs/queues.h"
#include "jobs/rows.h"
#include "jobs/types.h"
#include "jobs/worker_calls.h"

namespace hickoryusher::jobs_process {

using LogSink = std::function<void(const core::LogLine&)>;

using OutsideEvent = std::variant<jobs::StoreEvent, jobs::WorkerEvent>;

/// Encodes commands to the platform and decodes its answers. Stateful: it
/// tracks the calls in flight, so each duty has its own instance.
struct OutsideCodec {
  std::function<http::StartExchange(const jobs::StoreCommand&)> encode_store;
  std::function<http::StartExchange(const jobs::WorkerCommand&)> encode_worker;
  /// @returns nullopt for an event that does not answer a call in flight.
  std::function<std::optional<OutsideEvent>(const http::UpstreamEvent&)> decode;
};

/// Adapters between this process and the platform. Nothing else in the process
/// depends on the platform's names and encodings.
struct Ports {
  std::function<OutsideCodec(LogSink)> make_codec;

  std::string config_table;
  std::string config_key;
  /// Of the rows of config_table that evacuate a failure domain, whose name
  /// follows.
  std::string evacuation_prefix;
  std::function<std::optional<jobs::QueueConfig>(std::string_view)> read_config;

  std::string registry_table;
  std::function<std::optional<jobs::WorkerEntry>(const jobs::Row&)> read_worker;

  std::function<std::optional<jobs::JobSpec>(const jobs::StoredJob&)>
      read_document;

  std::function<jobs::ClientCall(const http::IncomingRequest&)> read_call;
  std::function<http::Response(const jobs::ClientAnswer&)> write_answer;
};

}  // namespace hickoryusher::jobs_process

#endif  // JOBS_PROCESS_PORTS_H_

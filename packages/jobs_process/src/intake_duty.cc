#include "intake_duty_p.h"

#include <algorithm>
#include <utility>

#include "clocks_p.h"
#include "core/overloaded.h"

namespace hickoryusher::jobs_process {
namespace {

using std::chrono::milliseconds;

constexpr std::size_t kRingSlots = 8192;

// How long the store may hold a call that follows the configuration. A
// configuration must be in force 2 s after its write; an unanswered call is
// abandoned 500 ms after this wait, and the next one uses another connection.
constexpr core::Duration kConfigFollowWait = milliseconds(1000);

// A process that the store has not answered for this long reports that it is
// not ready, so that callers use other processes, which may still reach the
// store.
constexpr core::Duration kReadinessStoreTimeout = milliseconds(2500);

// Others write the configuration.
constexpr core::Duration kUnreadableLogInterval = milliseconds(1000);

}  // namespace

IntakeDuty::IntakeDuty(const Ports& ports,
                       std::vector<jobs::SliceInfo> slices,
                       Outputs outputs)
    : ports_(ports),
      outputs_(std::move(outputs)),
      codec_(ports.make_codec(outputs_.log)),
      intake_({.slices = std::move(slices), .log = outputs_.log}, ids_),
      config_rows_(
          {.table = ports.config_table, .part = {}, .wait = kConfigFollowWait},
          ids_),
      inputs_(kRingSlots) {}

IntakeDuty::~IntakeDuty() {
  Stop();
}

void IntakeDuty::Start(http::Upstream& upstream) {
  upstream_ = &upstream;
  thread_ = runtime::DutyThread("intake", [this] { Run(); });
}

void IntakeDuty::Stop() {
  inputs_.Close();
  thread_.Join();
}

core::TimePoint IntakeDuty::NextTimer() const {
  return std::min(intake_.next_timer(), config_rows_.next_timer());
}

void IntakeDuty::Run() {
  std::vector<IntakeInput> inputs;
  SendCommands(Now());
  while (!inputs_.finished()) {
    inputs_.WaitDrain(inputs, NextTimer());
    const core::TimePoint now = Now();
    std::ranges::for_each(inputs, [&](IntakeInput& input) {
      HandleInput(std::move(input), now);
    });
    inputs.clear();
    intake_.Run(now);
    SendCommands(now);
  }
}

void IntakeDuty::HandleInput(IntakeInput&& input, core::TimePoint now) {
  std::visit(
      core::Overloaded{
          [&](const http::IncomingRequest& request) {
            intake_.Take(ports_.read_call(request), now, UnixMillis());
          },
          [&](LoadsRead&& read) { intake_.SetLoads(std::move(read.loads)); },
          [&](const ReadinessRequested& check) { AnswerReadiness(check, now); },
          [&](const http::UpstreamEvent& event) { HandleEvent(event, now); }},
      std::move(input));
}

void IntakeDuty::HandleEvent(const http::UpstreamEvent& event,
                             core::TimePoint now) {
  const auto decoded = codec_.decode(event);
  if (!decoded) {
    return;
  }
  const auto* store = std::get_if<jobs::StoreEvent>(&*decoded);
  if (store == nullptr) {
    return;
  }
  intake_.Handle(*store, now);
  if (const auto update = config_rows_.Handle(*store, now)) {
    HandleConfigRows(*update);
  }
}

void IntakeDuty::HandleConfigRows(const jobs::TableUpdate& update) {
  const auto& rows = std::visit(
      [](const auto& u) -> const std::vector<jobs::Row>& { return u.rows; },
      update);
  for (const jobs::Row& row : rows) {
    if (row.removed || row.key.key != ports_.config_key) {
      continue;
    }
    auto config = ports_.read_config(row.value);
    if (!config) {
      ++unreadable_configs_;
      if (const core::TimePoint now = Now(); now >= next_unreadable_log_) {
        next_unreadable_log_ = now + kUnreadableLogInterval;
        outputs_.log(core::LogLine("config_unreadable")
                         .Add("row_version", row.version)
                         .Add("total", unreadable_configs_));
      }
      continue;
    }
    if (config_ != nullptr && config->version() <= config_->version()) {
      continue;
    }
    config_ = std::make_shared<const jobs::QueueConfig>(*std::move(config));
    outputs_.log(core::LogLine("config_applied")
                     .Add("version", config_->version())
                     .Add("queues", config_->queues().size()));
    intake_.SetConfig(config_);
    outputs_.publish_config(config_);
  }
}

void IntakeDuty::AnswerReadiness(const ReadinessRequested& check,
                                 core::TimePoint now) {
  const bool ready = config_ != nullptr && !draining_.load() &&
                     now - config_rows_.last_answer() < kReadinessStoreTimeout;
  if (ready != std::exchange(was_ready_, ready)) {
    outputs_.log(core::LogLine("readiness_changed")
                     .Add("ready", ready)
                     .Add("configured", config_ != nullptr)
                     .Add("draining", draining_.load())
                     .Add("store_age_ms",
                          core::ToMillis(now - config_rows_.last_answer())));
  }
  outputs_.respond_readiness(
      {.id = check.request, .status = ready ? 200 : 503});
}

void IntakeDuty::Send(const jobs::StoreCommand& command, core::TimePoint now) {
  const jobs::CallId call = jobs::CallOf(command);
  if (!upstream_->TrySend(codec_.encode_store(command))) {
    intake_.Handle(jobs::StoreRefused{.call = call}, now);
  }
}

void IntakeDuty::SendCommands(core::TimePoint now) {
  if (const auto command = config_rows_.Next(now)) {
    Send(*command, now);
  }
  for (const jobs::StoreCommand& command : intake_.PopCommands()) {
    Send(command, now);
  }
  for (const jobs::ClientAnswer& answer : intake_.PopAnswers()) {
    outputs_.respond(ports_.write_answer(answer));
  }
}

}  // namespace hickoryusher::jobs_process

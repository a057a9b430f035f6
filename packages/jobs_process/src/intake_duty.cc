#include "intake_duty_p.h"

#include <algorithm>
#include <iterator>
#include <span>
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

// Time without an answer after which the rows of the operators are read again.
// Longer than a call that follows them takes, at most 1.6 s; two reads are
// answered or abandoned within the 5 s in which an evacuation takes effect.
constexpr core::Duration kFeedTimeout = milliseconds(2000);

std::vector<std::string> DomainsOf(std::span<const jobs::SliceInfo> slices) {
  std::vector<std::string> domains;
  std::ranges::transform(slices, std::back_inserter(domains),
                         &jobs::SliceInfo::failure_domain);
  return domains;
}

}  // namespace

IntakeDuty::IntakeDuty(const Ports& ports,
                       const std::vector<jobs::SliceInfo>& slices,
                       Outputs outputs)
    : ports_(ports),
      outputs_(std::move(outputs)),
      codec_(ports.make_codec(outputs_.log)),
      intake_({.slices = slices, .log = outputs_.log}, ids_),
      operator_rows_({.config_key = ports.config_key,
                      .evacuation_prefix = ports.evacuation_prefix,
                      .failure_domains = DomainsOf(slices),
                      .read_config = ports.read_config,
                      .log = outputs_.log}),
      publisher_(outputs_.publish_state),
      inputs_(kRingSlots) {
  ReadRows();
}

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
  return std::min({intake_.next_timer(), follower_->next_timer(),
                   publisher_.next_timer(), next_table_read_});
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
    publisher_.Run(now);
    ReadRowsAgainIfFeedFails(now);
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
  const auto update = follower_->Handle(*store, now);
  last_table_answer_ = std::max(last_table_answer_, follower_->last_answer());
  if (update && operator_rows_.Update(*update)) {
    ApplyOperatorState();
  }
}

void IntakeDuty::ApplyOperatorState() {
  const jobs::OperatorState& state = operator_rows_.state();
  // In this order, so that no configuration is used without the evacuations.
  intake_.SetEvacuated(state.evacuated);
  if (state.config != nullptr) {
    intake_.SetConfig(state.config);
  }
  publisher_.Offer(state);
}

void IntakeDuty::ReadRows() {
  follower_.emplace(
      jobs::TableFollower::Options{
          .table = ports_.config_table, .part = {}, .wait = kConfigFollowWait},
      ids_);
}

// Replaces a follower without answers by one that reads the table, as the store
// may serve reads while it does not serve changes.
void IntakeDuty::ReadRowsAgainIfFeedFails(core::TimePoint now) {
  if (now < next_table_read_) {
    return;
  }
  next_table_read_ = now + kFeedTimeout;
  if (now - last_table_answer_ >= kFeedTimeout) {
    ReadRows();
  }
}

void IntakeDuty::AnswerReadiness(const ReadinessRequested& check,
                                 core::TimePoint now) {
  const bool configured = operator_rows_.state().config != nullptr;
  const bool ready = configured && !draining_.load() &&
                     now - last_table_answer_ < kReadinessStoreTimeout;
  if (ready != std::exchange(was_ready_, ready)) {
    outputs_.log(
        core::LogLine("readiness_changed",
                      ready ? core::LogLevel::kInfo : core::LogLevel::kWarning)
            .Add("ready", ready)
            .Add("configured", configured)
            .Add("draining", draining_.load())
            .Add("store_age_ms", core::ToMillis(now - last_table_answer_)));
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
  if (const auto command = follower_->Next(now)) {
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

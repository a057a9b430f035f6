#include "request_rig.h"

#include <algorithm>
#include <array>
#include <chrono>

#include "core/overloaded.h"

namespace hickoryusher::matrix {
namespace {

using retry::KeyKind;
using std::chrono::milliseconds;

constexpr core::Duration kHop = milliseconds(1);
constexpr core::Duration kRequestTime = milliseconds(3000);
/// Time after which a lost answer of a store or a peer counts as lost.
constexpr core::Duration kAnswerLimit = milliseconds(200);

struct Setup {
  KeyKind key = KeyKind::kNone;
  bool idempotent = false;
};

constexpr std::array<Setup, RequestRig::kSetups> kSetupTable = {
    {{KeyKind::kCaller, false},
     {KeyKind::kTicket, false},
     {KeyKind::kNone, true},
     {KeyKind::kNone, false}}};

constexpr std::size_t kIdempotentSetup = 2;

constexpr core::EntryId kSelf(0);
constexpr core::EntryId kIssuer(1);

}  // namespace

RequestRig::RequestRig(const chart::Chart& chart, std::size_t setup)
    : chart_(&chart),
      setup_(setup),
      issuer_({.entry = kIssuer,
               .incarnation = core::Incarnation(1),
               .secret = 7}) {
  std::vector<retry::TicketCommand> out;
  issuer_.Handle(retry::IssueTickets{.call = retry::TicketCallId(0)}, out);
  ticket_ = std::get<retry::TicketsIssued>(out.front()).tickets.front();
  Start();
  primary_deadline_ = ProcessNow() + kRequestTime;
  primary_ = Submit(1, setup, false);
}

void RequestRig::Start() {
  table_ = retry::RequestTableBuilder(*chart_).Seed(run_).Build();
  keys_.emplace();
}

std::string_view RequestRig::State() const {
  const auto state = table_->StateOf(primary_);
  return state.has_value() ? *state : "done";
}

core::RequestId RequestRig::Submit(std::uint64_t operation,
                                   std::size_t setup,
                                   bool sure) {
  const core::RequestId id(next_request_++);
  const Setup& kind = kSetupTable.at(setup);
  const std::string text = kind.key == KeyKind::kTicket
                               ? retry::FormatTicket(ticket_)
                               : "k" + std::to_string(operation);
  setup_of_[id] = setup;
  waiting_.insert(id);
  Note(Submitted{.request = id,
                 .operation = operation,
                 .idempotent = kind.idempotent,
                 .must_be_answered = sure});
  Give(retry::RequestArrived{
      .request = id,
      .service = core::ServiceId(0),
      .deadline = ProcessNow() + kRequestTime,
      .idempotent = kind.idempotent,
      .key = {.kind = kind.key, .text = kind.key == KeyKind::kNone ? "" : text},
      .team = core::TeamId(0)});
  return id;
}

/// A caller with a key sends its request again; another caller sends a new
/// one.
void RequestRig::Resubmit() {
  const bool has_key = kSetupTable.at(setup_).key != KeyKind::kNone;
  Submit(has_key ? 1 : next_operation_++, setup_, false);
}

bool RequestRig::IsInbound(const Payload& payload) {
  return std::holds_alternative<ToTable>(payload) ||
         std::holds_alternative<ToKeys>(payload) ||
         std::holds_alternative<ConnectLimit>(payload);
}

void RequestRig::Post(Payload payload, core::Duration after) {
  queue_.push_back({.due = now_ + after,
                    .sequence = next_sequence_++,
                    .run = run_,
                    .payload = std::move(payload)});
}

bool RequestRig::PostAnswer(Payload payload, Payload if_lost) {
  if (injector_.IsCut(true, now_) || injector_.TakeDroppedAnswer()) {
    Post(std::move(if_lost), kAnswerLimit);
    return false;
  }
  core::Duration after = kHop;
  if (const Delay* delay = injector_.Active<Delay>(now_)) {
    after += delay->by;
  }
  if (const Reorder* reorder = injector_.Active<Reorder>(now_);
      reorder != nullptr && inbound_count_++ % 2 == 0) {
    after += reorder->by;
  }
  if (const Duplicate* twice = injector_.Active<Duplicate>(now_)) {
    Post(payload, after + twice->by);
  }
  Post(std::move(payload), after);
  return true;
}

RequestRig::Message RequestRig::TakeNext() {
  const auto next = std::ranges::min_element(queue_, {}, [](const Message& m) {
    return std::pair(m.due, m.sequence);
  });
  Message message = std::move(*next);
  queue_.erase(next);
  return message;
}

void RequestRig::Process(Message message) {
  now_ = std::max(now_, message.due);
  if (IsInbound(message.payload)) {
    if (message.run != run_) {
      return;
    }
    if (const core::TimePoint until = injector_.PausedUntil(now_);
        until > now_) {
      message.due = until;
      queue_.push_back(std::move(message));
      return;
    }
  }
  std::visit([this](const auto& typed) { On(typed); }, message.payload);
}

std::optional<retry::StartTimer> RequestRig::NextTimer() const {
  const auto next = std::ranges::min_element(
      timers_, {}, [](const auto& timer) { return timer.second.at; });
  return next == timers_.end() ? std::nullopt : std::optional(next->second);
}

bool RequestRig::ExpireTimer(retry::TimerId id) {
  const auto found = timers_.find(id);
  if (found == timers_.end()) {
    return false;
  }
  const retry::StartTimer timer = found->second;
  timers_.erase(found);
  now_ = std::max(now_, clock_.TrueTimeOf(timer.at));
  now_ = injector_.PausedUntil(now_);
  Give(retry::TimerExpired{timer.request, timer.timer});
  return true;
}

bool RequestRig::StepOnce() {
  const auto timer = NextTimer();
  if (queue_.empty() && !timer.has_value()) {
    return false;
  }
  const core::TimePoint timer_due =
      timer.has_value() ? clock_.TrueTimeOf(timer->at) : core::TimePoint::max();
  const core::TimePoint message_due =
      queue_.empty() ? core::TimePoint::max()
                     : std::ranges::min(queue_, {}, &Message::due).due;
  const core::TimePoint next = std::min(timer_due, message_due);
  if (skew_ends_.has_value() && next >= *skew_ends_) {
    now_ = std::max(now_, *skew_ends_);
    skew_ends_.reset();
    clock_.SetRate(0, now_);
  } else if (timer_due < message_due) {
    ExpireTimer(timer->timer);
  } else {
    Process(TakeNext());
  }
  return true;
}

void RequestRig::Give(const retry::RequestEvent& event) {
  given_.push_back(event);
  std::vector<retry::RequestCommand> out;
  table_->Handle(event, ProcessNow(), out);
  for (const retry::RequestCommand& command : out) {
    std::visit([this](const auto& typed) { Command(typed); }, command);
  }
}

void RequestRig::GiveKeys(const retry::KeyEvent& event) {
  std::vector<retry::KeyCommand> out;
  keys_->Handle(event, ProcessNow(), out);
  for (const retry::KeyCommand& command : out) {
    std::visit([this](const auto& typed) { Command(typed); }, command);
  }
}

void RequestRig::On(const ToTable& message) {
  Give(message.event);
}

void RequestRig::On(const ToKeys& message) {
  GiveKeys(message.event);
}

void RequestRig::On(const ConnectLimit& message) {
  Attempt& attempt = attempts_.at(message.attempt);
  if (attempt.connected || attempt.ended) {
    return;
  }
  attempt.ended = true;
  Give(retry::ExchangeFailed{attempt.request, message.attempt,
                             retry::ExchangeStage::kConnecting,
                             retry::Reason::kConnectTimeout});
}

retry::ClaimId RequestRig::ClaimOf(core::RequestId request) const {
  return {.entry = kSelf,
          .incarnation = core::Incarnation(run_),
          .request = request};
}

bool RequestRig::RunToEnd() {
  constexpr int kMaxSteps = 20'000;
  for (int i = 0; i < kMaxSteps; ++i) {
    if (!StepOnce()) {
      return true;
    }
  }
  return false;
}

bool RequestRig::Finish() {
  if (!RunToEnd()) {
    return false;
  }
  now_ = std::max(now_, injector_.End());
  if (skew_ends_.has_value()) {
    skew_ends_.reset();
    clock_.SetRate(0, now_);
  }
  endpoints_free_ = true;
  admission_refuses_ = false;
  arbiter_unreachable_ = false;
  Resubmit();
  const bool quiet = RunToEnd();
  Submit(next_operation_++, kIdempotentSetup, !shutting_down_);
  return RunToEnd() && quiet;
}

void RequestRig::Kill() {
  ++run_;
  for (const core::RequestId request : waiting_) {
    Note(CallerCutOff{request});
  }
  waiting_.clear();
  timers_.clear();
  std::erase_if(queue_, [](const Message& m) { return IsInbound(m.payload); });
  for (auto& [id, attempt] : attempts_) {
    attempt.ended = true;
  }
  given_.clear();
  shutting_down_ = false;
  Start();
}

void RequestRig::Inject(const Step& step) {
  if (State() == "done" && waiting_.empty()) {
    // Something has to be under way for a fault to hit.
    Resubmit();
  }
  injector_.Begin(step, now_);
  const auto repeat = [this](std::span<const retry::RequestEvent> events) {
    const std::vector<retry::RequestEvent> copy(events.begin(), events.end());
    std::ranges::for_each(copy, [this](const auto& event) {
      // The front numbers arrivals itself, so an id never arrives twice.
      if (!std::holds_alternative<retry::ShutdownStarted>(event) &&
          !std::holds_alternative<retry::RequestArrived>(event)) {
        Give(event);
      }
    });
    injector_.MarkLastEffective();
  };
  std::visit(core::Overloaded{
                 [&](const matrix::Kill&) {
                   Kill();
                   injector_.MarkLastEffective();
                 },
                 [&](const RepeatLast&) { repeat(std::span(given_).last(1)); },
                 [&](const RepeatEarlier&) { repeat(given_); },
                 [&](const ClockRate& rate) {
                   clock_.SetRate(rate.percent, now_);
                   skew_ends_ = now_ + rate.lasts;
                   injector_.MarkLastEffective();
                 },
                 [&](const Terminate&) {
                   Note(ShutdownBegan{});
                   shutting_down_ = true;
                   Give(retry::ShutdownStarted{});
                   injector_.MarkLastEffective();
                 },
                 [&](const Advance& advance) {
                   const core::TimePoint end = now_ + advance.by;
                   Post(ToTable{retry::TimerExpired{}}, advance.by);
                   while (now_ < end && StepOnce()) {
                   }
                   injector_.MarkLastEffective();
                 },
                 [](const auto&) {}},
             step);
}

}  // namespace hickoryusher::matrix

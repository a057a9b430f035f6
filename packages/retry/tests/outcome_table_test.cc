#include <functional>
#include <set>

#include "request_fixture.h"

namespace hickoryusher::retry {
namespace {

const core::RequestId kRequest(7);
const core::AttemptId kAttempt(1);

/// A kind of request that the outcome table tells apart.
struct Caller {
  std::string_view name;
  bool idempotent;
  KeyKind key;
};

constexpr Caller kCallers[] = {
    {"non-idempotent", false, KeyKind::kNone},
    {"idempotent", true, KeyKind::kNone},
    {"ticket", false, KeyKind::kTicket},
    {"caller's key", false, KeyKind::kCaller},
};

enum class Fault {
  kAdmissionRefused,
  kKeyHeld,
  kKeyHeldStored,
  kKeyUnresolved,
  kNoEndpoint,
  kConnectRefused,
  kRingFull,
  kBrokenSending,
  kBrokenReceiving,
  kNotRunMarker,
  kMarkerWithout503,
  kFirstByteTimeout,
  kDeadline,
  kShutdown,
  kLateAttempt,
};

struct FaultName {
  Fault fault;
  std::string_view name;
};

constexpr FaultName kFaults[] = {
    {Fault::kAdmissionRefused, "admission refused"},
    {Fault::kKeyHeld, "key held"},
    {Fault::kKeyHeldStored, "key held, outcome known"},
    {Fault::kKeyUnresolved, "key unresolved"},
    {Fault::kNoEndpoint, "no endpoint"},
    {Fault::kConnectRefused, "connect refused"},
    {Fault::kRingFull, "ring full"},
    {Fault::kBrokenSending, "broken while sending"},
    {Fault::kBrokenReceiving, "truncated"},
    {Fault::kNotRunMarker, "503 with marker"},
    {Fault::kMarkerWithout503, "500 with marker"},
    {Fault::kFirstByteTimeout, "first-byte timeout"},
    {Fault::kDeadline, "deadline"},
    {Fault::kShutdown, "shutdown"},
    {Fault::kLateAttempt, "answer of another attempt"},
};

/// Brings a request into @p state by the shortest way.
/// @returns false if this kind of request never gets there.
bool Reach(Fixture& f, std::string_view state, const Caller& caller) {
  const auto is_there = [&] { return f.table->StateOf(kRequest) == state; };
  f.Send(RequestArrived{.request = kRequest,
                        .deadline = f.now + std::chrono::seconds(5),
                        .idempotent = caller.idempotent,
                        .key = {.kind = caller.key, .text = "k"}});
  if (state == "voiding_key") {
    f.Send(AdmissionRefused{.request = kRequest});
    return is_there();
  }
  const RequestEvent path[] = {
      AdmissionGranted{kRequest},
      KeyGranted{kRequest},
      EndpointChosen{kRequest, kAttempt, core::EndpointId(3), core::RackId(1)},
      ExchangeConnected{kRequest, kAttempt},
      ExchangeSent{kRequest, kAttempt},
      ExchangeFirstByte{kRequest, kAttempt}};
  for (const RequestEvent& event : path) {
    if (is_there()) {
      return true;
    }
    const auto at = f.table->StateOf(kRequest);
    if (at == "connecting" && state == "cancelling") {
      f.now += std::chrono::seconds(5);
      f.Send(TimerExpired{kRequest, f.All<StartTimer>().front().timer});
      return is_there();
    }
    if (at == "connecting" && state == "backing_off") {
      f.Send(ExchangeFailed{kRequest, kAttempt, ExchangeStage::kConnecting,
                            Reason::kConnectRefused});
      return is_there();
    }
    f.Send(event);
  }
  return is_there();
}

void ExpireFirstByte(Fixture& f) {
  const auto timers = f.All<StartTimer>();
  const auto stopped = f.All<CancelTimer>();
  const bool running = timers.size() > 1 &&
                       std::ranges::find(stopped, timers.back().timer,
                                         &CancelTimer::timer) == stopped.end();
  const auto state = f.table->StateOf(kRequest);
  if (running && (state == "connecting" || state == "sending" ||
                  state == "awaiting_first_byte")) {
    f.now = timers.back().at;
    f.Send(TimerExpired{kRequest, timers.back().timer});
  }
}

void Inject(Fixture& f, Fault fault) {
  const auto failed = [&](ExchangeStage stage, Reason reason) {
    f.Send(ExchangeFailed{kRequest, kAttempt, stage, reason});
  };
  switch (fault) {
    case Fault::kAdmissionRefused:
      return f.Send(AdmissionRefused{.request = kRequest});
    case Fault::kKeyHeld:
      return f.Send(KeyHeld{kRequest, std::nullopt});
    case Fault::kKeyHeldStored:
      return f.Send(
          KeyHeld{kRequest,
                  StoredOutcome{.outcome = Outcome::kAnswered, .status = 200}});
    case Fault::kKeyUnresolved:
      return f.Send(KeyUnresolved{.request = kRequest});
    case Fault::kNoEndpoint:
      return f.Send(NoEndpoint{.request = kRequest});
    case Fault::kConnectRefused:
      return failed(ExchangeStage::kConnecting, Reason::kConnectRefused);
    case Fault::kRingFull:
      return failed(ExchangeStage::kConnecting, Reason::kRingFull);
    case Fault::kBrokenSending:
      return failed(ExchangeStage::kSending, Reason::kConnectionBroken);
    case Fault::kBrokenReceiving:
      return failed(ExchangeStage::kReceiving, Reason::kTruncated);
    case Fault::kNotRunMarker:
      return f.Send(ExchangeCompleted{kRequest, kAttempt, 503, true});
    case Fault::kMarkerWithout503:
      return f.Send(ExchangeCompleted{kRequest, kAttempt, 500, true});
    case Fault::kFirstByteTimeout:
      return ExpireFirstByte(f);
    case Fault::kDeadline:
      f.now += std::chrono::seconds(6);
      return f.Send(TimerExpired{kRequest, f.All<StartTimer>().front().timer});
    case Fault::kShutdown:
      return f.Send(ShutdownStarted{});
    case Fault::kLateAttempt:
      return f.Send(ExchangeCompleted{kRequest, core::AttemptId(99), 200});
  }
}

/// What the outcome table asks for: an outcome, `retry`, or `-` for nothing.
std::string Expected(std::string_view state, Fault fault, const Caller& c) {
  const bool after_send = state == "sending" ||
                          state == "awaiting_first_byte" ||
                          state == "receiving";
  const bool exchanging = after_send || state == "connecting";
  const std::string resend = c.idempotent ? "retry" : "unknown";
  switch (fault) {
    case Fault::kAdmissionRefused:
    case Fault::kShutdown:
      if (state != "queued") {
        return "-";
      }
      return c.key == KeyKind::kNone     ? "not_run"
             : c.key == KeyKind::kTicket ? "void"
                                         : "unknown";
    case Fault::kKeyHeld:
    case Fault::kKeyUnresolved:
      return state == "claiming_key" || state == "voiding_key" ? "unknown"
                                                               : "-";
    case Fault::kKeyHeldStored:
      return state == "claiming_key" || state == "voiding_key" ? "answered"
                                                               : "-";
    case Fault::kNoEndpoint:
      return state == "choosing" ? "not_run" : "-";
    case Fault::kConnectRefused:
      return state == "connecting"   ? "retry"
             : state == "cancelling" ? "not_run"
             : after_send            ? resend
                                     : "-";
    case Fault::kRingFull:
      // A full ring is no reason to push once more.
      return state == "connecting" || state == "cancelling" ? "not_run"
             : after_send                                   ? "unknown"
                                                            : "-";
    case Fault::kBrokenSending:
    case Fault::kBrokenReceiving:
      return exchanging ? resend : state == "cancelling" ? "unknown" : "-";
    case Fault::kNotRunMarker:
      return exchanging ? "retry" : state == "cancelling" ? "not_run" : "-";
    case Fault::kMarkerWithout503:
      return exchanging || state == "cancelling" ? "answered" : "-";
    case Fault::kFirstByteTimeout:
      return exchanging && state != "receiving" && c.idempotent ? "retry" : "-";
    case Fault::kDeadline:
      if (state == "queued") {
        return c.key == KeyKind::kNone     ? "not_run"
               : c.key == KeyKind::kTicket ? "void"
                                           : "unknown";
      }
      return state == "choosing" || state == "backing_off" ? "not_run"
             : state == "connecting"                       ? "cancel"
             : after_send || state == "claiming_key"       ? "unknown"
                                                           : "-";
    case Fault::kLateAttempt:
      return "-";
  }
  return "?";
}

std::string Observed(const Fixture& f) {
  const auto delivered = f.Fresh<DeliverOutcome>();
  if (delivered.size() > 1) {
    return "delivered twice";
  }
  if (delivered.size() == 1) {
    return std::string(ToString(delivered[0].outcome));
  }
  const auto state = f.table->StateOf(kRequest);
  if (!f.Fresh<VoidKey>().empty()) {
    return "void";
  }
  return state == "cancelling" && !f.Fresh<CancelExchange>().empty() ? "cancel"
         : state == "backing_off" && !f.Fresh<StartTimer>().empty()  ? "retry"
                                                                     : "-";
}

struct Verdict {
  int cells = 0;
  std::vector<std::string> wrong;
};

/// Runs every state of the chart against every fault for every caller.
Verdict RunTable(const chart::Chart& chart) {
  Verdict verdict;
  for (const chart::State& state : chart.states()) {
    for (const Caller& caller : kCallers) {
      for (const auto& [fault, fault_name] : kFaults) {
        Fixture f(chart);
        if (state.final || !Reach(f, state.name, caller)) {
          continue;
        }
        const std::size_t sends = f.All<StartExchange>().size();
        f.fresh.clear();
        Inject(f, fault);
        ++verdict.cells;
        const std::string observed = Observed(f);
        const std::string expected = Expected(state.name, fault, caller);
        const bool sent_again = f.All<StartExchange>().size() != sends;
        const bool gone = !f.table->StateOf(kRequest).has_value();
        const bool released = f.All<ReleaseEndpoint>().size() == sends;
        if (observed != expected || sent_again ||
            gone != (f.All<DeliverOutcome>().size() == 1) ||
            (gone && !released)) {
          verdict.wrong.push_back(state.name + " x " + std::string(fault_name) +
                                  " x " + std::string(caller.name) + ": " +
                                  observed + ", expected " + expected);
        }
      }
    }
  }
  return verdict;
}

/// @returns the chart with @p from replaced by @p to, which must occur.
chart::Chart Broken(std::string_view from, std::string_view to) {
  std::string text = ChartText();
  const std::size_t at = text.find(from);
  REQUIRE(at != std::string::npos);
  return LoadChart(text.replace(at, from.size(), to));
}

// Guards against any outcome, resend or release that section 4 rules out.
TEST_CASE("every state against every fault gives the outcome of the table") {
  const Verdict verdict = RunTable(ShippedChart());
  for (const std::string& wrong : verdict.wrong) {
    UNSCOPED_INFO(wrong);
  }
  CHECK(verdict.wrong.empty());
  // 15 faults in 35 pairs of state and caller that can occur.
  CHECK(verdict.cells == 525);
}

// Guards against a table test that passes whatever the chart does.
TEST_CASE("the table of faults catches broken charts") {
  const std::pair<std::string_view, std::string_view> defects[] = {
      // Resends a non-idempotent request after a byte was written.
      {"&failed_after_send\n        - {guard: may_resend, target",
       "&failed_after_send\n        - {target"},
      // Reports not_run after a byte was written.
      {"&deadline_after_send\n        - {target: done, actions: "
       "[cancel_exchange, release_endpoint, deliver_unknown]}",
       "&deadline_after_send\n        - {target: done, actions: "
       "[cancel_exchange, release_endpoint, deliver_failed]}"},
      // Delivers twice.
      {"key_unresolved: {target: done, actions: [deliver_unknown]}",
       "key_unresolved: {target: done, actions: [deliver_unknown, "
       "deliver_unknown]}"},
      // Keeps the endpoint's slot.
      {"- {guard: unconnected, target: done, actions: [release_endpoint, "
       "deliver_failed]}",
       "- {guard: unconnected, target: done, actions: [deliver_failed]}"},
      // Ends without a delivery.
      {"no_endpoint: {target: done, actions: [deliver_failed]}",
       "no_endpoint: {target: done}"},
  };
  for (const auto& [from, to] : defects) {
    INFO(to);
    CHECK_FALSE(RunTable(Broken(from, to)).wrong.empty());
  }
}

}  // namespace
}  // namespace hickoryusher::retry

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

/// States in the order of the columns below.
constexpr std::string_view kStates[] = {
    "queued",     "voiding_key", "claiming_key", "choosing",
    "connecting", "cancelling",  "sending",      "awaiting_first_byte",
    "receiving",  "backing_off"};

/// A fault and what the outcome table asks for in each state: N not run,
/// U unknown, A answered, R retry, C cancel, - nothing; I retry if idempotent,
/// else unknown; i retry if idempotent, else nothing; Q not run, but void for a
/// ticket and unknown for a caller's key.
struct Fault {
  std::string_view name;
  std::string_view expected;
  void (*inject)(Fixture& f);
};

void Fail(Fixture& f, ExchangeStage stage, Reason reason) {
  f.Send(ExchangeFailed{kRequest, kAttempt, stage, reason});
}

void ExpireFirstByte(Fixture& f);

const Fault kFaults[] = {
    {"admission refused", "Q---------",
     [](Fixture& f) { f.Send(AdmissionRefused{.request = kRequest}); }},
    {"key held", "-UU-------",
     [](Fixture& f) {
       f.Send(KeyHeld{kRequest, std::nullopt});
     }},
    {"key held, outcome known", "-AA-------",
     [](Fixture& f) {
       f.Send(KeyHeld{kRequest, StoredOutcome{.outcome = Outcome::kAnswered,
                                              .status = 200}});
     }},
    {"key unresolved", "-UU-------",
     [](Fixture& f) { f.Send(KeyUnresolved{.request = kRequest}); }},
    {"no endpoint", "---N------",
     [](Fixture& f) { f.Send(NoEndpoint{.request = kRequest}); }},
    {"connect refused", "----RNIII-",
     [](Fixture& f) {
       Fail(f, ExchangeStage::kConnecting, Reason::kConnectRefused);
     }},
    // A full ring is no reason to push once more.
    {"ring full", "----NNUUU-",
     [](Fixture& f) {
       Fail(f, ExchangeStage::kConnecting, Reason::kRingFull);
     }},
    {"broken while sending", "----IUIII-",
     [](Fixture& f) {
       Fail(f, ExchangeStage::kSending, Reason::kConnectionBroken);
     }},
    {"truncated", "----IUIII-",
     [](Fixture& f) {
       Fail(f, ExchangeStage::kReceiving, Reason::kTruncated);
     }},
    {"503 with marker", "----RNRRR-",
     [](Fixture& f) {
       f.Send(ExchangeCompleted{kRequest, kAttempt, 503, true});
     }},
    {"500 with marker", "----AAAAA-",
     [](Fixture& f) {
       f.Send(ExchangeCompleted{kRequest, kAttempt, 500, true});
     }},
    {"first-byte timeout", "----i-ii--", ExpireFirstByte},
    {"deadline", "Q-UNC-UUUN",
     [](Fixture& f) {
       f.now += std::chrono::seconds(6);
       f.Send(TimerExpired{kRequest, f.All<StartTimer>().front().timer});
     }},
    {"shutdown", "Q---------", [](Fixture& f) { f.Send(ShutdownStarted{}); }},
    {"answer of another attempt", "----------",
     [](Fixture& f) {
       f.Send(ExchangeCompleted{kRequest, core::AttemptId(99), 200});
     }},
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
  // The first timer is that of the deadline; other states have none, or one of
  // another kind.
  const auto state = f.table->StateOf(kRequest);
  if (f.All<StartTimer>().size() > 1 &&
      (state == "connecting" || state == "sending" ||
       state == "awaiting_first_byte" || state == "receiving")) {
    f.ExpireLastTimer();
  }
}

char Expected(char cell, const Caller& caller) {
  switch (cell) {
    case 'I':
      return caller.idempotent ? 'R' : 'U';
    case 'i':
      return caller.idempotent ? 'R' : '-';
    case 'Q':
      return caller.key == KeyKind::kNone     ? 'N'
             : caller.key == KeyKind::kTicket ? 'V'
                                              : 'U';
    default:
      return cell;
  }
}

/// @returns what happened in the letters of Fault, and V for void or 2 for two
/// deliveries.
char Observed(const Fixture& f) {
  const auto delivered = f.Fresh<DeliverOutcome>();
  if (!delivered.empty()) {
    return delivered.size() > 1
               ? '2'
               : "ANU"[static_cast<std::size_t>(delivered[0].outcome)];
  }
  const auto state = f.table->StateOf(kRequest);
  return !f.Fresh<VoidKey>().empty()                                   ? 'V'
         : state == "cancelling" && !f.Fresh<CancelExchange>().empty() ? 'C'
         : state == "backing_off" && !f.Fresh<StartTimer>().empty()    ? 'R'
                                                                       : '-';
}

struct Verdict {
  int cells = 0;
  std::vector<std::string> wrong;
};

/// Runs every state of the chart against every fault for every caller.
Verdict RunTable(const chart::Chart& chart) {
  Verdict verdict;
  for (std::size_t i = 0; i < chart.states().size(); ++i) {
    const chart::State& state = chart.states()[i];
    if (state.final) {
      continue;
    }
    REQUIRE(state.name == kStates[i]);
    for (const Caller& caller : kCallers) {
      for (const Fault& fault : kFaults) {
        Fixture f(chart);
        if (!Reach(f, state.name, caller)) {
          continue;
        }
        const std::size_t sends = f.All<StartExchange>().size();
        f.fresh.clear();
        fault.inject(f);
        ++verdict.cells;
        const char observed = Observed(f);
        const char expected = Expected(fault.expected[i], caller);
        const bool sent_again = f.All<StartExchange>().size() != sends;
        const bool gone = !f.table->StateOf(kRequest).has_value();
        const bool released = f.All<ReleaseEndpoint>().size() == sends;
        if (observed != expected || sent_again ||
            gone != (f.All<DeliverOutcome>().size() == 1) ||
            (gone && !released)) {
          verdict.wrong.push_back(state.name + " x " + std::string(fault.name) +
                                  " x " + std::string(caller.name) + ": " +
                                  observed + ", expected " + expected);
        }
      }
    }
  }
  return verdict;
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
  for (const Defect& defect : kDefects) {
    if (defect.needs_two_attempts) {
      continue;
    }
    INFO(defect.to);
    CHECK_FALSE(RunTable(BrokenChart(defect)).wrong.empty());
  }
}

}  // namespace
}  // namespace hickoryusher::retry

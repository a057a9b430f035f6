#include <map>
#include <random>
#include <set>

#include "request_fixture.h"

namespace hickoryusher::retry {
namespace {

using std::chrono::milliseconds;

/// Stand-in for everything around the table. It consumes commands, decides at
/// random what happens, keeps the truth of what ran and checks the history.
class World {
 public:
  World(std::uint64_t seed, const chart::Chart& chart)
      : random_(seed), fixture_(chart, {}, seed) {}

  void Run(int requests) {
    for (int i = 0; i < requests; ++i) {
      Arrive();
      for (int step = 0; step < 12; ++step) {
        Step();
      }
    }
    while (!pending_.empty() || !timers_.empty()) {
      Step();
    }
    CheckEnd();
  }

  const std::set<std::string>& faults() const { return faults_; }
  const RequestCounters& counters() const { return fixture_.table->counters(); }

 private:
  struct Attempt {
    core::RequestId request;
    core::EndpointId endpoint;
    bool started = false;
    bool connected = false;
    bool ran = false;
    bool ended = false;  ///< Its exchange reported an end.
    bool completed = false;
    bool refused = false;  ///< Reported with the marker, so it did not run.
    int releases = 0;
  };

  struct Request {
    bool idempotent = false;
    int deliveries = 0;
    std::vector<core::AttemptId> attempts;
  };

  bool Chance(int percent) {
    return std::uniform_int_distribution<int>(0, 99)(random_) < percent;
  }

  std::ptrdiff_t Runs(const Request& request) const {
    return std::ranges::count_if(request.attempts, [this](core::AttemptId id) {
      return attempts_.at(id).ran;
    });
  }

  void Fault(const std::string& text) { faults_.insert(text); }

  void Arrive() {
    const core::RequestId id(next_request_++);
    const int kind = std::uniform_int_distribution<int>(0, 3)(random_);
    Request& request = requests_[id];
    request.idempotent = kind == 1;
    Give(RequestArrived{
        .request = id,
        .deadline = fixture_.now + milliseconds(Chance(5) ? 0 : 300),
        .idempotent = request.idempotent,
        .key = {.kind = kind < 2    ? KeyKind::kNone
                        : kind == 2 ? KeyKind::kTicket
                                    : KeyKind::kCaller,
                .text = "k"}});
  }

  /// Either time passes to the next timer or one pending event is delivered.
  void Step() {
    if (!timers_.empty() && (pending_.empty() || Chance(8))) {
      ExpireNextTimer();
      return;
    }
    if (pending_.empty()) {
      return;
    }
    const std::size_t index = std::uniform_int_distribution<std::size_t>(
        0, pending_.size() - 1)(random_);
    const RequestEvent event = pending_[index];
    // A duplicate stays in the queue and comes again, late.
    if (!Chance(10)) {
      pending_.erase(pending_.begin() + static_cast<std::ptrdiff_t>(index));
    }
    fixture_.now += milliseconds(Chance(30) ? 1 : 0);
    Give(event);
  }

  void ExpireNextTimer() {
    const auto next = std::ranges::min_element(
        timers_, {}, [](const auto& timer) { return timer.second.at; });
    const StartTimer timer = next->second;
    timers_.erase(next);
    fixture_.now = std::max(fixture_.now, timer.at);
    Give(TimerExpired{timer.request, timer.timer});
  }

  void Give(const RequestEvent& event) {
    fixture_.Send(event);
    const std::vector<RequestCommand> commands = fixture_.fresh;
    for (const RequestCommand& command : commands) {
      std::visit([this](const auto& typed) { On(typed); }, command);
    }
  }

  void On(const AskAdmission& c) {
    pending_.push_back(
        Chance(90) ? RequestEvent(AdmissionGranted{c.request})
                   : RequestEvent(AdmissionRefused{.request = c.request}));
  }

  void On(const ClaimKey& c) {
    if (Chance(80)) {
      pending_.emplace_back(KeyGranted{c.request});
    } else if (Chance(50)) {
      pending_.emplace_back(KeyHeld{c.request, std::nullopt});
    } else if (Chance(80)) {
      pending_.emplace_back(KeyUnresolved{.request = c.request});
    }
  }

  void On(const VoidKey& c) {
    if (Chance(80)) {
      pending_.emplace_back(KeyVoided{c.request});
    } else if (Chance(80)) {
      pending_.emplace_back(KeyUnresolved{.request = c.request});
    }
  }

  void On(const StoreKeyOutcome&) {}

  void On(const ChooseEndpoint& c) {
    if (Chance(5)) {
      pending_.emplace_back(NoEndpoint{.request = c.request});
      return;
    }
    const core::AttemptId id(next_attempt_++);
    core::EndpointId endpoint(0);
    while (c.avoid.Contains(endpoint)) {
      endpoint = core::EndpointId(endpoint.value() + 1);
    }
    attempts_[id] = {.request = c.request, .endpoint = endpoint};
    pending_.emplace_back(
        EndpointChosen{.request = c.request,
                       .attempt = id,
                       .endpoint = endpoint,
                       .rack = core::RackId(endpoint.value() % 2)});
  }

  void On(const StartExchange& c) {
    Request& request = requests_.at(c.request);
    Attempt& attempt = attempts_.at(c.attempt);
    if (attempt.started || request.deliveries > 0) {
      Fault("sent twice or after the delivery");
    }
    for (const core::AttemptId id : request.attempts) {
      const Attempt& earlier = attempts_.at(id);
      if (earlier.connected && !earlier.refused && !request.idempotent) {
        Fault("non-idempotent request sent again");
      }
      if (earlier.endpoint == c.endpoint) {
        Fault("same endpoint tried again");
      }
    }
    request.attempts.push_back(c.attempt);
    attempt.started = true;
    Exchange(c.request, c.attempt, attempt);
  }

  /// Decides what the exchange does; its reports wait in the queue, so they
  /// reach the table late and in any order.
  void Exchange(core::RequestId request, core::AttemptId id, Attempt& attempt) {
    if (Chance(15)) {
      attempt.ended = true;
      pending_.emplace_back(ExchangeFailed{
          request, id, ExchangeStage::kConnecting, Reason::kConnectRefused});
      return;
    }
    attempt.connected = true;
    pending_.emplace_back(ExchangeConnected{request, id});
    if (Chance(15)) {
      attempt.ended = attempt.refused = true;
      pending_.emplace_back(ExchangeCompleted{request, id, 503, true});
      return;
    }
    attempt.ran = Chance(80);
    if (Chance(25)) {
      return;  // Never answers.
    }
    attempt.ended = true;
    if (Chance(60) && attempt.ran) {
      attempt.completed = true;
      pending_.emplace_back(ExchangeSent{request, id});
      pending_.emplace_back(ExchangeFirstByte{request, id});
      pending_.emplace_back(ExchangeCompleted{request, id, 200});
    } else {
      pending_.emplace_back(ExchangeFailed{
          request, id,
          Chance(50) ? ExchangeStage::kSending : ExchangeStage::kReceiving,
          Reason::kConnectionBroken});
    }
  }

  void On(const CancelExchange& c) {
    Attempt& attempt = attempts_.at(c.attempt);
    if (!attempt.ended && Chance(70)) {
      attempt.ended = true;
      pending_.emplace_back(ExchangeFailed{
          c.request, c.attempt, ExchangeStage::kSending, Reason::kCancelled});
    }
  }

  void On(const DeliverOutcome& c) {
    Request& request = requests_.at(c.request);
    if (++request.deliveries > 1) {
      Fault("delivered twice");
    }
    if (c.outcome == Outcome::kNotRun && Runs(request) > 0) {
      Fault("not_run although it ran");
    }
    if (c.outcome == Outcome::kAnswered &&
        (!c.attempt.valid() || !attempts_.at(c.attempt).completed ||
         attempts_.at(c.attempt).request != c.request)) {
      Fault("answered without its own complete response");
    }
  }

  void On(const ReleaseEndpoint& c) { ++attempts_.at(c.attempt).releases; }
  void On(const StartTimer& c) { timers_[c.timer] = c; }
  void On(const CancelTimer& c) {
    if (timers_.erase(c.timer) == 0) {
      Fault("cancelled a timer that does not run");
    }
  }

  void CheckEnd() {
    for (const auto& [id, request] : requests_) {
      if (request.deliveries != 1) {
        Fault("not delivered exactly once");
      }
      if (!request.idempotent && Runs(request) > 1) {
        Fault("non-idempotent request ran twice");
      }
    }
    for (const auto& [id, attempt] : attempts_) {
      // A duplicate of a choice is released again, as routing knows by its id.
      if (attempt.releases < 1) {
        Fault("endpoint not released");
      }
    }
    if (fixture_.table->size() != 0) {
      Fault("request left in the table");
    }
  }

  core::Random random_;
  Fixture fixture_;
  std::uint64_t next_request_ = 0;
  std::uint64_t next_attempt_ = 0;
  std::map<core::RequestId, Request> requests_;
  std::map<core::AttemptId, Attempt> attempts_;
  std::map<TimerId, StartTimer> timers_;
  std::vector<RequestEvent> pending_;
  std::set<std::string> faults_;
};

// Guards against any order of late, lost and repeated events that breaks a
// guarantee.
TEST_CASE("random events never break a guarantee") {
  for (const std::uint64_t seed : {1, 2, 3, 20261204}) {
    INFO("seed " << seed);
    World world(seed, ShippedChart());
    world.Run(3000);
    for (const std::string& fault : world.faults()) {
      UNSCOPED_INFO(fault);
    }
    CHECK(world.faults().empty());
    CHECK(world.counters().delivered == 3000);
    CHECK(world.counters().retries > 100);
    CHECK(world.counters().late_dropped > 100);
  }
}

// Guards against checks of the walk that cannot fail.
TEST_CASE("the random walk catches broken charts") {
  for (const Defect& defect : kDefects) {
    INFO(defect.to);
    const chart::Chart chart = BrokenChart(defect);
    World world(1, chart);
    world.Run(1000);
    CHECK(world.faults().contains(std::string(defect.fault)));
  }
}

}  // namespace
}  // namespace hickoryusher::retry

#include <array>
#include <cmath>
#include <utility>

#include "core/overloaded.h"
#include "health_p.h"

namespace hickoryusher::routing {
namespace {

// Weights of one result in the average of failures. With the limits below, two
// failures or one timeout make an endpoint suspect; five failures, two timeouts
// or six refusals in a row eject it. A timeout weighs more because it costs its
// caller the whole waiting time; a refusal weighs less because it can be
// retried without risk.
constexpr double kSuccessWeight = 0.2;
constexpr double kFailureWeight = 0.2;
constexpr double kRefusalWeight = 0.15;
constexpr double kTimeoutWeight = 0.4;
constexpr double kSuspectAbove = 0.3;
constexpr double kEjectAbove = 0.6;
constexpr double kRecoveredBelow = 0.15;

constexpr double kLatencyWeight = 0.1;
// The service's average moves more slowly than that of an endpoint, and one
// value counts for at most four times the average, so that a slow endpoint
// hardly raises the value it is compared with.
constexpr double kReferenceWeight = 0.01;
constexpr double kReferenceClip = 4;
constexpr double kSlowFactor = 4;
constexpr int kSlowAfterSuccesses = 8;
constexpr double kForgetHalfLifeNanos = 10e9;

constexpr std::array<std::pair<std::string_view, Health>, 5> kHealthNames = {{
    {"healthy", Health::kHealthy},
    {"suspect", Health::kSuspect},
    {"ejected", Health::kEjected},
    {"probing", Health::kProbing},
    {"leaving", Health::kLeaving},
}};

bool IsOut(Health health) {
  return health == Health::kEjected || health == Health::kProbing;
}

double Nanos(core::Duration duration) {
  return static_cast<double>(duration.count());
}

chart::Bindings<EndpointHealth> MakeBindings() {
  chart::Bindings<EndpointHealth> bindings;
  bindings.Guard("slow", [](const EndpointHealth& e) { return e.IsSlow(); })
      .Guard("failing",
             [](const EndpointHealth& e) { return e.failures > kSuspectAbove; })
      .Guard("recovered",
             [](const EndpointHealth& e) {
               return e.failures < kRecoveredBelow && !e.IsSlow();
             })
      .Guard("may_eject",
             [](const EndpointHealth& e) {
               return e.failures > kEjectAbove &&
                      e.group->out + 1 <=
                          e.settings->max_ejected_share * e.group->size;
             })
      .Action("lengthen_backoff",
              [](EndpointHealth& e) {
                e.backoff =
                    e.backoff == core::Duration::zero()
                        ? 2 * e.settings->first_ejection
                        : std::min(2 * e.backoff, e.settings->longest_ejection);
              })
      .Action("reset_backoff",
              [](EndpointHealth& e) { e.backoff = core::Duration::zero(); })
      .Action("clear_average",
              [](EndpointHealth& e) {
                // Between the limits: the first successes after a probe still
                // count as those of a suspect.
                e.failures = kSuspectAbove;
                e.latency_nanos = 0;
                e.successes = 0;
              })
      .Action("request_trial",
              [](EndpointHealth& e) {
                e.trial_due = true;
                e.trial_since = e.now;
              })
      .Action("withdraw_trial", [](EndpointHealth& e) { e.trial_due = false; })
      .Duration(
          "trial_interval",
          [](const EndpointHealth& e) { return e.settings->trial_interval; })
      .Duration("ejection", [](const EndpointHealth& e) {
        return e.backoff == core::Duration::zero() ? e.settings->first_ejection
                                                   : e.backoff;
      });
  return bindings;
}

}  // namespace

void LatencyReference::Add(core::Duration latency) {
  const double value = Nanos(latency);
  nanos = nanos == 0
              ? value
              : nanos + kReferenceWeight *
                            (std::min(value, kReferenceClip * nanos) - nanos);
}

double EndpointHealth::ExpectedNanos(core::TimePoint at) const {
  const double average = reference->nanos;
  if (latency_nanos == 0) {
    return std::max(average, 1.0);
  }
  const double age = Nanos(at - last_success);
  const double kept = std::exp2(-age / kForgetHalfLifeNanos);
  return std::max(average + (latency_nanos - average) * kept, 1.0);
}

bool EndpointHealth::IsSlow() const {
  return successes >= kSlowAfterSuccesses &&
         ExpectedNanos(now) > kSlowFactor * reference->nanos;
}

void EndpointHealth::AddLatency(core::Duration latency) {
  reference->Add(latency);
  const double expected =
      latency_nanos == 0 ? Nanos(latency) : ExpectedNanos(now);
  latency_nanos = expected + kLatencyWeight * (Nanos(latency) - expected);
  last_success = now;
  ++successes;
}

void EndpointHealth::AddResult(double weight, double failed) {
  failures += weight * (failed - failures);
}

HealthTable::HealthTable(Interpreter interpreter)
    : interpreter_(std::move(interpreter)) {
  const chart::Chart& chart = interpreter_.chart();
  success_ = chart.FindEvent("success");
  failure_ = chart.FindEvent("failure");
  trial_due_ = chart.FindEvent("trial_due");
  leave_ = chart.FindEvent("leave");
  return_ = chart.FindEvent("return");
}

std::optional<HealthTable> HealthTable::Create(
    const chart::Chart& chart,
    std::vector<std::string>& problems) {
  std::vector<chart::Problem> unbound;
  auto interpreter = Interpreter::Bind(chart, MakeBindings(), unbound);
  std::ranges::transform(unbound, std::back_inserter(problems),
                         &chart::Problem::text);
  if (!interpreter) {
    return std::nullopt;
  }
  HealthTable table(std::move(*interpreter));
  for (const std::string_view event :
       {"success", "failure", "trial_due", "leave", "return"}) {
    if (!chart.FindEvent(event).valid()) {
      problems.push_back("the chart has no event '" + std::string(event) + "'");
    }
  }
  for (const chart::State& state : chart.states()) {
    const auto found =
        std::ranges::find(kHealthNames, std::string_view(state.name),
                          &std::pair<std::string_view, Health>::first);
    if (found == kHealthNames.end()) {
      problems.push_back("the code knows no state '" + state.name + "'");
      return std::nullopt;
    }
    table.names_.push_back(found->second);
  }
  if (!problems.empty()) {
    return std::nullopt;
  }
  return table;
}

void HealthTable::Start(EndpointHealth& endpoint) const {
  endpoint.state = interpreter_.Start(endpoint);
  endpoint.health = names_[endpoint.state.value()];
}

bool HealthTable::Record(EndpointHealth& endpoint,
                         const AttemptResult& result,
                         core::TimePoint now) const {
  endpoint.now = now;
  const auto fail = [&](double weight) {
    endpoint.AddResult(weight, 1);
    return Dispatch(endpoint, failure_, now);
  };
  return std::visit(
      core::Overloaded{[&](const Succeeded& success) {
                         endpoint.AddLatency(success.latency);
                         endpoint.AddResult(kSuccessWeight, 0);
                         return Dispatch(endpoint, success_, now);
                       },
                       [&](const Failed&) { return fail(kFailureWeight); },
                       [&](const Refused&) { return fail(kRefusalWeight); },
                       [&](const TimedOut&) { return fail(kTimeoutWeight); },
                       [&](const Abandoned&) {
                         // The trial gave no result and has to be repeated.
                         endpoint.trial_due |=
                             endpoint.health == Health::kProbing;
                         return false;
                       }},
      result);
}

bool HealthTable::Leave(EndpointHealth& endpoint, core::TimePoint now) const {
  return Dispatch(endpoint, leave_, now);
}

bool HealthTable::Return(EndpointHealth& endpoint, core::TimePoint now) const {
  return Dispatch(endpoint, return_, now);
}

bool HealthTable::FireTimer(EndpointHealth& endpoint,
                            core::TimePoint now) const {
  endpoint.timer.reset();
  return Dispatch(endpoint, trial_due_, now);
}

bool HealthTable::Dispatch(EndpointHealth& endpoint,
                           chart::EventId event,
                           core::TimePoint now) const {
  endpoint.now = now;
  const Health before = endpoint.health;
  endpoint.state = interpreter_.Dispatch(endpoint.state, event, endpoint).state;
  endpoint.health = names_[endpoint.state.value()];
  endpoint.group->out += static_cast<int>(IsOut(endpoint.health)) -
                         static_cast<int>(IsOut(before));
  return endpoint.health != before;
}

}  // namespace hickoryusher::routing

#include "request_scope_p.h"

namespace hickoryusher::retry {
namespace {

void BindGuards(chart::Bindings<Scope>& bindings) {
  bindings.Guard("has_key", [](const Scope& s) { return s.HasKey(); })
      .Guard("has_ticket", [](const Scope& s) { return s.HasTicket(); })
      .Guard("unconnected", [](const Scope& s) { return s.IsUnconnected(); })
      .Guard("unconnected_may_retry",
             [](const Scope& s) { return s.IsUnconnected() && s.MayRetry(); })
      .Guard("marked_not_run",
             [](const Scope& s) { return s.IsMarkedNotRun(); })
      .Guard("not_run_may_retry",
             [](const Scope& s) { return s.IsMarkedNotRun() && s.MayRetry(); })
      .Guard("may_resend", [](const Scope& s) { return s.MayResend(); });
}

void BindActions(chart::Bindings<Scope>& bindings) {
  bindings.Action("ask_admission", [](Scope& s) { s.AskForAdmission(); })
      .Action("claim_key", [](Scope& s) { s.ClaimOwnKey(); })
      .Action("void_key", [](Scope& s) { s.VoidTicket(); })
      .Action("own_key", [](Scope& s) { s.OwnKey(); })
      .Action("choose_endpoint", [](Scope& s) { s.AskForEndpoint(); })
      .Action("begin_attempt", [](Scope& s) { s.BeginAttempt(); })
      .Action("start_exchange", [](Scope& s) { s.BeginExchange(); })
      .Action("cancel_exchange", [](Scope& s) { s.EndExchange(); })
      .Action("release_endpoint", [](Scope& s) { s.Release(); })
      .Action("keep_reason", [](Scope& s) { s.KeepReason(); })
      .Action("note_may_have_run", [](Scope& s) { s.NoteMayHaveRun(); })
      .Action("spend_retry", [](Scope& s) { s.SpendRetry(); })
      .Action("deliver_answered", [](Scope& s) { s.DeliverAnswered(); })
      .Action("deliver_failed", [](Scope& s) { s.DeliverFailed(); })
      .Action("deliver_unknown", [](Scope& s) { s.DeliverUnknown(); })
      .Action("deliver_stored", [](Scope& s) { s.DeliverStored(); });
}

}  // namespace

chart::Bindings<Scope> RequestBindings() {
  chart::Bindings<Scope> bindings;
  BindGuards(bindings);
  BindActions(bindings);
  bindings
      .Duration("first_byte_timeout",
                [](const Scope& s) { return s.FirstByteTimeout(); })
      .Duration("backoff", [](const Scope& s) { return s.Backoff(); })
      .Duration("grace", [](const Scope& s) { return s.Grace(); });
  return bindings;
}

}  // namespace hickoryusher::retry

#include "slice_chart_p.h"

namespace hickoryusher::lease {
namespace {

using core::Duration;

Duration TakeoverWait(const SliceContext& context) {
  const SliceRow& row = context.slice.row;
  const bool own = row.owner == context.config.self &&
                   row.incarnation == context.config.incarnation;
  // A row of this very process that it does not act on is a claim that took
  // effect late; nobody else acts on it.
  if (context.slice.row_known && (own || !row.owner.valid())) {
    return context.handicap;
  }
  return context.slice.row_seen + context.config.timing.TakeoverWait() +
         context.handicap - context.now;
}

void Begin(SliceContext& context) {
  Slice& slice = context.slice;
  slice.held_epoch = slice.row.epoch;
  context.out.emplace_back(SliceBegun{.slice = slice.id,
                                      .epoch = slice.row.epoch,
                                      .previous = slice.previous,
                                      .previous_seen = slice.previous_seen});
}

void End(SliceContext& context) {
  context.out.emplace_back(
      SliceEnded{.slice = context.slice.id, .epoch = context.slice.held_epoch});
}

}  // namespace

chart::Bindings<SliceContext> SliceBindings() {
  chart::Bindings<SliceContext> bindings;
  bindings
      .Guard("lease_valid",
             [](const SliceContext& c) { return c.now < c.slice.lease_until; })
      .Action("queue_claim", [](SliceContext& c) { c.slice.claim_due = true; })
      .Action("begin", Begin)
      .Action("end", End)
      .Action("begin_hold",
              [](SliceContext& c) {
                c.out.emplace_back(HoldBegun{.slice = c.slice.id});
              })
      .Action("end_hold",
              [](SliceContext& c) {
                c.out.emplace_back(HoldEnded{.slice = c.slice.id});
              })
      .Duration("takeover_wait", TakeoverWait)
      .Duration(
          "lease_remaining",
          [](const SliceContext& c) { return c.slice.lease_until - c.now; })
      .Duration("hold_remaining", [](const SliceContext& c) {
        return c.slice.hold_until - c.now;
      });
  return bindings;
}

}  // namespace hickoryusher::lease

#include "retry/ticket_issuer.h"

#include <catch2/catch.hpp>

namespace hickoryusher::retry {
namespace {

struct Harness {
  explicit Harness(const TicketIssuerSettings& settings) : issuer(settings) {}

  TicketAnswer Ask(const TicketEvent& event) {
    std::vector<TicketCommand> out;
    issuer.Handle(event, out);
    REQUIRE(out.size() == 1);
    return std::get<TicketAnswer>(out[0]);
  }

  TicketVerdict Claim(const Ticket& ticket, std::uint64_t request) {
    return Ask(ClaimTicket{.claim = Id(request), .ticket = ticket}).verdict;
  }

  Ticket Issue() {
    std::vector<TicketCommand> out;
    issuer.Handle(IssueTickets{}, out);
    return std::get<TicketsIssued>(out.at(0)).tickets.at(0);
  }

  void Report(const Ticket& ticket, std::uint64_t request, std::string body) {
    std::vector<TicketCommand> out;
    issuer.Handle(ReportTicketOutcome{Id(request),
                                      ticket,
                                      {.outcome = Outcome::kAnswered,
                                       .response = std::move(body)}},
                  out);
  }

  static ClaimId Id(std::uint64_t request) {
    return {core::EntryId(1), core::Incarnation(1), core::RequestId(request)};
  }

  TicketIssuer issuer;
};

TicketIssuerSettings Settings() {
  return {.entry = core::EntryId(4),
          .incarnation = core::Incarnation(9),
          .secret = 42,
          .max_per_call = 10,
          .window = 8,
          .max_recent = 3,
          .max_recent_bytes = 100};
}

// Guards against a second execution, also after the claim was forgotten.
TEST_CASE("a ticket is granted to one claim") {
  Harness h(Settings());
  const Ticket ticket = h.Issue();
  CHECK(h.Claim(ticket, 1) == TicketVerdict::kGranted);
  CHECK(h.Claim(ticket, 1) == TicketVerdict::kGranted);
  CHECK(h.Claim(ticket, 2) == TicketVerdict::kHeld);
  for (std::uint64_t request = 10; request < 13; ++request) {
    CHECK(h.Claim(h.Issue(), request) == TicketVerdict::kGranted);
  }
  CHECK(h.issuer.recent_size() == 3);
  CHECK(h.Claim(ticket, 1) == TicketVerdict::kHeld);
  for (int i = 0; i < 8; ++i) {
    h.Issue();
  }
  CHECK(h.Claim(ticket, 1) == TicketVerdict::kUnknown);
}

// Guards against not_run for a ticket that is or will be claimed.
TEST_CASE("a void ticket is never granted and a granted one never void") {
  Harness h(Settings());
  const Ticket unused = h.Issue();
  CHECK(h.Ask(VoidTicket{.ticket = unused}).verdict == TicketVerdict::kVoid);
  CHECK(h.Ask(VoidTicket{.ticket = unused}).verdict == TicketVerdict::kVoid);
  const TicketAnswer late =
      h.Ask(ClaimTicket{.claim = Harness::Id(1), .ticket = unused});
  CHECK(late.verdict == TicketVerdict::kVoid);
  REQUIRE(late.stored.has_value());
  CHECK(late.stored->outcome == Outcome::kNotRun);

  const Ticket used = h.Issue();
  CHECK(h.Claim(used, 1) == TicketVerdict::kGranted);
  CHECK(h.Ask(VoidTicket{.ticket = used}).verdict == TicketVerdict::kHeld);
}

// Guards against another request's response, and against unbounded memory.
TEST_CASE("the holder's outcome is kept within the byte limit") {
  Harness h(Settings());
  const Ticket first = h.Issue();
  const Ticket second = h.Issue();
  h.Claim(first, 1);
  h.Claim(second, 2);
  h.Report(first, 2, "forged");
  h.Report(first, 1, std::string(60, 'a'));
  const TicketAnswer held =
      h.Ask(ClaimTicket{.claim = Harness::Id(3), .ticket = first});
  REQUIRE(held.stored.has_value());
  CHECK(held.stored->response == std::string(60, 'a'));
  CHECK(h.Claim(first, 1) == TicketVerdict::kHeld);
  h.Report(second, 2, std::string(60, 'b'));
  CHECK(h.issuer.recent_bytes() == 60);
  CHECK(h.Claim(first, 3) == TicketVerdict::kHeld);
}

// Guards against tickets of another run, damaged ones and guesses.
TEST_CASE("foreign tickets are unknown and wrong ones invalid") {
  Harness h(Settings());
  const Ticket ticket = h.Issue();
  Ticket older = ticket;
  older.incarnation = core::Incarnation(8);
  CHECK(h.Claim(older, 1) == TicketVerdict::kUnknown);
  CHECK(h.Ask(VoidTicket{.ticket = older}).verdict == TicketVerdict::kUnknown);
  Ticket guessed = ticket;
  guessed.sequence = 5;
  CHECK(h.Claim(guessed, 1) == TicketVerdict::kInvalid);
  guessed.check = TicketCheck(guessed, 42);
  CHECK(h.Claim(guessed, 1) == TicketVerdict::kInvalid);

  const std::string text = FormatTicket(ticket);
  CHECK(ParseTicket(text) == ticket);
  for (const std::string& wrong :
       {text + "0", text.substr(1), "t1.04" + text.substr(4), text + ".",
        std::string("t1.4.9.0"), std::string()}) {
    INFO(wrong);
    CHECK_FALSE(ParseTicket(wrong).has_value());
  }
}

// Guards against one call that uses up the window.
TEST_CASE("the number of tickets for each call is limited") {
  Harness h(Settings());
  for (const std::uint32_t count : {0U, 11U}) {
    std::vector<TicketCommand> out;
    h.issuer.Handle(IssueTickets{.count = count}, out);
    CHECK(std::get<TicketsRefused>(out.at(0)).max_count == 10);
  }
}

}  // namespace
}  // namespace hickoryusher::retry

#ifndef RETRY_TICKET_H_
#define RETRY_TICKET_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "core/ids.h"

namespace hickoryusher::retry {

/// Right to one execution of a request, bound to one run of an entry process.
struct Ticket {
  core::EntryId issuer;
  core::Incarnation incarnation;
  std::uint64_t sequence = 0;
  std::uint64_t check = 0;

  bool operator==(const Ticket&) const = default;
};

/// @returns `t1.<entry>.<incarnation>.<sequence>.<check>`; the check value is
/// 16 hexadecimal digits.
std::string FormatTicket(const Ticket& ticket);

/// @returns nothing unless @p text is exactly what FormatTicket returns for
/// some ticket.
std::optional<Ticket> ParseTicket(std::string_view text);

/// @returns the check value of a ticket's other fields.
/// @param secret of the issuing process.
/// @remarks It catches damaged and guessed tickets. It is not a cryptographic
/// signature: whoever sees many tickets could work out the secret.
std::uint64_t TicketCheck(const Ticket& ticket, std::uint64_t secret);

}  // namespace hickoryusher::retry

#endif  // RETRY_TICKET_H_

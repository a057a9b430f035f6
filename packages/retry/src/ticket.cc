#include "retry/ticket.h"

#include <array>
#include <charconv>
#include <system_error>

namespace hickoryusher::retry {
namespace {

constexpr std::string_view kPrefix = "t1";
constexpr std::size_t kCheckDigits = 16;

/// Finalizer of splitmix64: every input bit changes half of the output bits.
constexpr std::uint64_t Mix(std::uint64_t value) {
  value += 0x9e3779b97f4a7c15U;
  value = (value ^ (value >> 30U)) * 0xbf58476d1ce4e5b9U;
  value = (value ^ (value >> 27U)) * 0x94d049bb133111ebU;
  return value ^ (value >> 31U);
}

/// @returns the text before the next dot and removes both from @p rest.
std::string_view TakeField(std::string_view& rest) {
  const std::size_t dot = rest.find('.');
  const std::string_view field = rest.substr(0, dot);
  rest =
      dot == std::string_view::npos ? std::string_view() : rest.substr(dot + 1);
  return field;
}

template <typename Number>
bool ParseNumber(std::string_view text, Number& out, int base) {
  const char* const end = text.data() + text.size();
  const auto result = std::from_chars(text.data(), end, out, base);
  return result.ec == std::errc() && result.ptr == end;
}

}  // namespace

std::string FormatTicket(const Ticket& ticket) {
  std::array<char, kCheckDigits> digits{};
  const auto end = std::to_chars(digits.data(), digits.data() + digits.size(),
                                 ticket.check, 16);
  const std::string_view check(digits.data(), end.ptr);
  std::string text(kPrefix);
  text += '.' + std::to_string(ticket.issuer.value());
  text += '.' + std::to_string(ticket.incarnation.value());
  text += '.' + std::to_string(ticket.sequence) + '.';
  text.append(kCheckDigits - check.size(), '0');
  text += check;
  return text;
}

std::optional<Ticket> ParseTicket(std::string_view text) {
  std::string_view rest = text;
  if (TakeField(rest) != kPrefix) {
    return std::nullopt;
  }
  std::uint32_t issuer = 0;
  std::uint64_t incarnation = 0;
  Ticket ticket;
  if (!ParseNumber(TakeField(rest), issuer, 10) ||
      !ParseNumber(TakeField(rest), incarnation, 10) ||
      !ParseNumber(TakeField(rest), ticket.sequence, 10) ||
      !ParseNumber(rest, ticket.check, 16)) {
    return std::nullopt;
  }
  ticket.issuer = core::EntryId(issuer);
  ticket.incarnation = core::Incarnation(incarnation);
  // Two spellings of one ticket must not pass as two keys.
  return FormatTicket(ticket) == text ? std::optional(ticket) : std::nullopt;
}

std::uint64_t TicketCheck(const Ticket& ticket, std::uint64_t secret) {
  std::uint64_t hash = Mix(secret);
  hash = Mix(hash ^ ticket.issuer.value());
  hash = Mix(hash ^ ticket.incarnation.value());
  return Mix(hash ^ ticket.sequence);
}

}  // namespace hickoryusher::retry

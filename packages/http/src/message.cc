#include "http/message.h"

#include <algorithm>
#include <array>

namespace hickoryusher::http {
namespace {

constexpr std::array<std::string_view, 11> kHopByHop = {"connection",
                                                        "content-length",
                                                        "expect",
                                                        "host",
                                                        "keep-alive",
                                                        "proxy-authenticate",
                                                        "proxy-authorization",
                                                        "proxy-connection",
                                                        "te",
                                                        "transfer-encoding",
                                                        "upgrade"};

char Lower(char c) {
  return c >= 'A' && c <= 'Z' ? static_cast<char>(c - 'A' + 'a') : c;
}

bool IsTokenChar(char c) {
  constexpr std::string_view kSymbols = "!#$%&'*+-.^_`|~";
  return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'z') ||
         (c >= 'A' && c <= 'Z') || kSymbols.find(c) != kSymbols.npos;
}

}  // namespace

std::size_t HeldBytes(const std::string& text) {
  return text.capacity() > std::string().capacity() ? text.capacity() : 0;
}

std::size_t HeldBytes(const IncomingRequest& request) {
  std::size_t bytes = sizeof request +
                      request.headers.capacity() * sizeof(Header) +
                      HeldBytes(request.method) + HeldBytes(request.path) +
                      HeldBytes(request.query) + HeldBytes(request.body);
  for (const Header& header : request.headers) {
    bytes += HeldBytes(header.name) + HeldBytes(header.value);
  }
  return bytes;
}

bool EqualNames(std::string_view a, std::string_view b) {
  return std::ranges::equal(a, b, {}, Lower, Lower);
}

std::string_view FindHeader(std::span<const Header> headers,
                            std::string_view name) {
  const auto found = std::ranges::find_if(
      headers, [name](const Header& h) { return EqualNames(h.name, name); });
  return found == headers.end() ? std::string_view() : found->value;
}

bool IsHopByHop(std::string_view name) {
  return EqualNames(name, "trailer") ||
         std::ranges::any_of(kHopByHop, [name](std::string_view hop) {
           return EqualNames(name, hop);
         });
}

bool IsToken(std::string_view text) {
  return !text.empty() && std::ranges::all_of(text, IsTokenChar);
}

bool IsValidHeader(std::string_view name, std::string_view value) {
  return IsToken(name) && std::ranges::all_of(value, [](char c) {
           const auto byte = static_cast<unsigned char>(c);
           return byte == '\t' || (byte >= 0x20 && byte != 0x7f);
         });
}

}  // namespace hickoryusher::http

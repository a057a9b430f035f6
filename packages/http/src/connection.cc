#include "connection_p.h"

#include <algorithm>
#include <numeric>
#include <utility>

namespace hickoryusher::http {
namespace {

constexpr std::pair<int, std::string_view> kReasonPhrases[] = {
    {200, "OK"},
    {201, "Created"},
    {202, "Accepted"},
    {204, "No Content"},
    {400, "Bad Request"},
    {401, "Unauthorized"},
    {403, "Forbidden"},
    {404, "Not Found"},
    {405, "Method Not Allowed"},
    {408, "Request Timeout"},
    {409, "Conflict"},
    {411, "Length Required"},
    {413, "Content Too Large"},
    {429, "Too Many Requests"},
    {431, "Request Header Fields Too Large"},
    {500, "Internal Server Error"},
    {501, "Not Implemented"},
    {502, "Bad Gateway"},
    {503, "Service Unavailable"},
    {504, "Gateway Timeout"},
    {505, "HTTP Version Not Supported"},
};

std::string_view ReasonPhrase(int status) {
  const auto* found = std::ranges::find(
      kReasonPhrases, status, &std::pair<int, std::string_view>::first);
  return found == std::end(kReasonPhrases) ? "Status" : found->second;
}

void AppendHeader(std::string& out,
                  std::string_view name,
                  std::string_view value) {
  out.append(name).append(": ").append(value).append("\r\n");
}

}  // namespace

bool Connection::request_in_progress() const {
  return std::ranges::any_of(slots, [](const ResponseSlot& slot) {
    return slot.handed_over && !slot.ready;
  });
}

bool Connection::has_unsent_response() const {
  return std::ranges::any_of(slots, &ResponseSlot::ready);
}

std::size_t Connection::reclaimable_bytes() const {
  return std::accumulate(slots.begin(), slots.end(), parser.held_bytes(),
                         [](std::size_t sum, const ResponseSlot& slot) {
                           return sum + HeldBytes(slot.bytes);
                         });
}

std::string EncodeResponse(const Response& response,
                           std::string_view request_id,
                           bool head,
                           bool close) {
  std::string out;
  out.reserve(256 + response.body.size());
  out.append("HTTP/1.1 ").append(std::to_string(response.status));
  out.append(" ").append(ReasonPhrase(response.status)).append("\r\n");
  for (const Header& header : response.headers) {
    if (!IsHopByHop(header.name) && IsValidHeader(header.name, header.value)) {
      AppendHeader(out, header.name, header.value);
    }
  }
  if (FindHeader(response.headers, "Hickoryusher-Request-Id").empty()) {
    AppendHeader(out, "Hickoryusher-Request-Id", request_id);
  }
  const bool bodiless = response.status == 204 || response.status == 304;
  if (!bodiless) {
    AppendHeader(out, "Content-Length", std::to_string(response.body.size()));
  }
  if (close) {
    AppendHeader(out, "Connection", "close");
  }
  out.append("\r\n");
  if (!head && !bodiless) {
    out.append(response.body);
  }
  return out;
}

Response MakeRefusal(core::RequestId id, int status, std::string_view reason) {
  Response response{.id = id, .status = status};
  response.headers = {{"Hickoryusher-Outcome", "not_run"},
                      {"Hickoryusher-Reason", std::string(reason)},
                      {"Content-Type", "text/plain"}};
  if (status == 503) {
    response.headers.push_back({"Retry-After", "1"});
  }
  response.body.append("not run: ").append(reason).append("\n");
  return response;
}

}  // namespace hickoryusher::http

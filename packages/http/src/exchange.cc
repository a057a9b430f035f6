#include "exchange_p.h"

#include <sys/socket.h>

#include <algorithm>
#include <array>
#include <utility>

namespace hickoryusher::http {
namespace {

// Headers that libcurl adds on its own unless they are blanked out. `Expect`
// would hold a request body back until the endpoint answers.
constexpr std::array<std::string_view, 4> kCurlDefaults = {
    "Accept", "Content-Type", "Expect", "User-Agent"};

bool IsUrlChar(char c) {
  const auto byte = static_cast<unsigned char>(c);
  return byte > 0x20 && byte < 0x7f;
}

bool HasBody(const StartExchange& command) {
  return !command.body.empty() || command.method == "POST" ||
         command.method == "PUT" || command.method == "PATCH";
}

}  // namespace

std::string_view ToString(Stage stage) {
  switch (stage) {
    case Stage::kBeforeConnection:
      return "before_connection";
    case Stage::kConnecting:
      return "connecting";
    case Stage::kSending:
      return "sending";
    case Stage::kAwaitingFirstByte:
      return "awaiting_first_byte";
    case Stage::kReceiving:
      return "receiving";
  }
  return "unknown";
}

Exchange::Exchange(StartExchange command,
                   EasyHandle easy,
                   std::size_t max_header_bytes,
                   ByteBudget& budget,
                   std::vector<Exchange*>& started_answers)
    : command_(std::move(command)),
      easy_(std::move(easy)),
      max_header_bytes_(max_header_bytes),
      started_answers_(started_answers),
      charge_(budget) {}

bool Exchange::IsValid(const StartExchange& command) {
  return command.id.valid() && command.url.starts_with("http://") &&
         std::ranges::all_of(command.url, IsUrlChar) &&
         IsToken(command.method) &&
         std::ranges::all_of(command.headers, [](const Header& header) {
           return IsValidHeader(header.name, header.value);
         });
}

bool Exchange::Prepare() {
  CURL* easy = easy_.get();
  const auto set = [easy](CURLoption option, auto value) {
    return curl_easy_setopt(easy, option, value) == CURLE_OK;
  };
  bool ok = set(CURLOPT_URL, command_.url.c_str());
  ok &= set(CURLOPT_PRIVATE, this);
  ok &= set(CURLOPT_ERRORBUFFER, error_);
  ok &= set(CURLOPT_NOSIGNAL, 1L);
  ok &= set(CURLOPT_PROXY, "");
  ok &= set(CURLOPT_PROTOCOLS_STR, "http");
  ok &= set(CURLOPT_HTTP_VERSION, static_cast<long>(CURL_HTTP_VERSION_1_1));
  ok &= set(CURLOPT_PATH_AS_IS, 1L);
  ok &= set(CURLOPT_PREREQFUNCTION, &OnPreRequest);
  ok &= set(CURLOPT_PREREQDATA, this);
  ok &= set(CURLOPT_HEADERFUNCTION, &OnHeader);
  ok &= set(CURLOPT_HEADERDATA, this);
  ok &= set(CURLOPT_WRITEFUNCTION, &OnBody);
  ok &= set(CURLOPT_WRITEDATA, this);
  ok &= set(CURLOPT_SOCKOPTFUNCTION, &OnSocketOpened);
  ok &= set(CURLOPT_SOCKOPTDATA, this);
  ok &= set(CURLOPT_CONNECTTIMEOUT_MS,
            static_cast<long>(command_.connect_timeout.count()));
  ok &= set(CURLOPT_TIMEOUT_MS,
            static_cast<long>(command_.total_timeout.count()));
  if (!command_.idempotent && !command_.reuses_connections) {
    ok &= set(CURLOPT_FRESH_CONNECT, 1L);
    ok &= set(CURLOPT_FORBID_REUSE, 1L);
  }
  return ok && SetMethod() && SetHeaders();
}

bool Exchange::SetMethod() {
  CURL* easy = easy_.get();
  bool ok = true;
  if (command_.method == "HEAD") {
    ok &= curl_easy_setopt(easy, CURLOPT_NOBODY, 1L) == CURLE_OK;
  } else if (HasBody(command_)) {
    ok &= curl_easy_setopt(easy, CURLOPT_POSTFIELDSIZE_LARGE,
                           static_cast<curl_off_t>(command_.body.size())) ==
          CURLE_OK;
    ok &= curl_easy_setopt(easy, CURLOPT_POSTFIELDS, command_.body.c_str()) ==
          CURLE_OK;
  }
  return ok && curl_easy_setopt(easy, CURLOPT_CUSTOMREQUEST,
                                command_.method.c_str()) == CURLE_OK;
}

bool Exchange::AddHeader(const std::string& line) {
  curl_slist* list = curl_slist_append(request_headers_.get(), line.c_str());
  if (list == nullptr) {
    return false;
  }
  // The list keeps its head; only the first call changes it.
  if (request_headers_ == nullptr) {
    request_headers_.reset(list);
  }
  return true;
}

bool Exchange::SetHeaders() {
  bool ok = true;
  for (const Header& header : command_.headers) {
    if (IsHopByHop(header.name)) {
      continue;
    }
    // libcurl takes "Name;" for a header with an empty value.
    ok &= AddHeader(header.value.empty() ? header.name + ";"
                                         : header.name + ": " + header.value);
  }
  for (const std::string_view name : kCurlDefaults) {
    const bool given = std::ranges::any_of(
        command_.headers,
        [name](const Header& header) { return EqualNames(header.name, name); });
    if (!given || IsHopByHop(name)) {
      ok &= AddHeader(std::string(name) + ":");
    }
  }
  return ok && curl_easy_setopt(easy_.get(), CURLOPT_HTTPHEADER,
                                request_headers_.get()) == CURLE_OK;
}

int Exchange::OnSocketOpened(void* self, curl_socket_t socket, curlsocktype) {
  auto* exchange = static_cast<Exchange*>(self);
  exchange->socket_opened_ = true;
  if (exchange->command_.reuses_connections) {
    // An orderly close would go on sending a request that was given up, until
    // the endpoint takes it seconds later. Without the option, it does so.
    const linger discard{.l_onoff = 1, .l_linger = 0};
    setsockopt(socket, SOL_SOCKET, SO_LINGER, &discard, sizeof discard);
  }
  return CURL_SOCKOPT_OK;
}

int Exchange::OnPreRequest(void* self, char*, char*, int, int) {
  auto* exchange = static_cast<Exchange*>(self);
  const core::TimePoint now = std::chrono::steady_clock::now();
  if (now >= exchange->command_.write_before) {
    exchange->own_reason_ = "deadline_passed";
    return CURL_PREREQFUNC_ABORT;
  }
  if (exchange->may_have_written_ && !exchange->command_.idempotent) {
    // libcurl repeats a request when a reused connection turns out to be dead.
    exchange->own_reason_ = "connection_broken";
    return CURL_PREREQFUNC_ABORT;
  }
  exchange->may_have_written_ = true;
  if (exchange->command_.decided != core::TimePoint()) {
    exchange->write_delay_ = now - exchange->command_.decided;
  }
  return CURL_PREREQFUNC_OK;
}

std::size_t Exchange::OnHeader(char* data,
                               std::size_t size,
                               std::size_t count,
                               void* self) {
  auto* exchange = static_cast<Exchange*>(self);
  exchange->NoteAnswer();
  const std::string_view line(data, size * count);
  return exchange->AcceptHeaderLine(line) ? line.size() : 0;
}

std::size_t Exchange::OnBody(char* data,
                             std::size_t size,
                             std::size_t count,
                             void* self) {
  auto* exchange = static_cast<Exchange*>(self);
  exchange->NoteAnswer();
  const std::string_view bytes(data, size * count);
  return exchange->AcceptBody(bytes) ? bytes.size() : 0;
}

bool Exchange::AcceptHeaderLine(std::string_view line) {
  header_bytes_ += line.size();
  if (header_bytes_ > max_header_bytes_) {
    own_reason_ = "oversized";
    return false;
  }
  // The list of headers may hold twice its size. Short lines cost more than
  // their bytes.
  if (!charge_.TryAdd(line.size() + 2 * sizeof(Header))) {
    own_reason_ = "memory_limit";
    return false;
  }
  while (line.ends_with('\n') || line.ends_with('\r')) {
    line.remove_suffix(1);
  }
  if (line.starts_with("HTTP/")) {
    headers_.clear();  // The answer proper follows an interim answer.
    return true;
  }
  const std::size_t colon = line.find(':');
  if (line.empty() || colon == line.npos) {
    return true;
  }
  const std::string_view name = line.substr(0, colon);
  std::string_view value = line.substr(colon + 1);
  value.remove_prefix(std::min(value.find_first_not_of(" \t"), value.size()));
  while (value.ends_with(' ') || value.ends_with('\t')) {
    value.remove_suffix(1);
  }
  if (!IsValidHeader(name, value)) {
    own_reason_ = "malformed";
    return false;
  }
  headers_.push_back({std::string(name), std::string(value)});
  return true;
}

bool Exchange::AcceptBody(std::string_view data) {
  if (data.size() > command_.max_response_bytes - body_.size()) {
    own_reason_ = "oversized";
    return false;
  }
  if (!charge_.TryAdd(data.size())) {
    own_reason_ = "memory_limit";
    return false;
  }
  body_ += data;
  return true;
}

Stage Exchange::stage() const {
  if (answer_started_) {
    return Stage::kReceiving;
  }
  if (!may_have_written_) {
    return socket_opened_ ? Stage::kConnecting : Stage::kBeforeConnection;
  }
  long head_bytes = 0;
  curl_off_t body_bytes = 0;
  curl_easy_getinfo(easy_.get(), CURLINFO_REQUEST_SIZE, &head_bytes);
  curl_easy_getinfo(easy_.get(), CURLINFO_SIZE_UPLOAD_T, &body_bytes);
  const bool sent = head_bytes > 0 && static_cast<std::size_t>(body_bytes) >=
                                          command_.body.size();
  return sent ? Stage::kAwaitingFirstByte : Stage::kSending;
}

void Exchange::NoteAnswer() {
  if (!std::exchange(answer_started_, true)) {
    started_answers_.push_back(this);
  }
}

std::string_view Exchange::CheckFraming() const {
  long status = 0;
  curl_easy_getinfo(easy_.get(), CURLINFO_RESPONSE_CODE, &status);
  if (status < 200 || status > 599) {
    return "malformed";
  }
  const std::string_view length = FindHeader(headers_, "Content-Length");
  const std::string_view coding = FindHeader(headers_, "Transfer-Encoding");
  const bool lengths_differ =
      std::ranges::any_of(headers_, [length](const Header& header) {
        return EqualNames(header.name, "Content-Length") &&
               header.value != length;
      });
  if (lengths_differ || (!length.empty() && !coding.empty())) {
    return "malformed";
  }
  const bool bodiless =
      command_.method == "HEAD" || status == 204 || status == 304;
  if (bodiless) {
    return {};
  }
  if (!coding.empty()) {
    return EqualNames(coding, "chunked") ? "" : "malformed";
  }
  // A body that ends with the connection cannot be told from a truncated one.
  if (length.empty()) {
    return "no_length";
  }
  return length == std::to_string(body_.size()) ? "" : "malformed";
}

std::string_view Exchange::ReasonFor(CURLcode code) const {
  if (!own_reason_.empty()) {
    return own_reason_;
  }
  switch (code) {
    case CURLE_COULDNT_CONNECT:
      return "refused";
    case CURLE_OPERATION_TIMEDOUT:
      return may_have_written_ ? "total_timeout" : "connect_timeout";
    case CURLE_PARTIAL_FILE:
      return "truncated";
    case CURLE_GOT_NOTHING:
    case CURLE_SEND_ERROR:
      return "connection_broken";
    case CURLE_RECV_ERROR:
      return answer_started_ ? "truncated" : "connection_broken";
    case CURLE_WEIRD_SERVER_REPLY:
    case CURLE_UNSUPPORTED_PROTOCOL:
    case CURLE_BAD_CONTENT_ENCODING:
      return "malformed";
    case CURLE_URL_MALFORMAT:
    case CURLE_COULDNT_RESOLVE_HOST:
      return "invalid_request";
    default:
      return "internal";
  }
}

UpstreamEvent Exchange::Finish(CURLcode code, core::TimePoint now) {
  if (code != CURLE_OK || !own_reason_.empty()) {
    return Fail(ReasonFor(code), now);
  }
  if (const std::string_view reason = CheckFraming(); !reason.empty()) {
    return Fail(reason, now);
  }
  long status = 0;
  curl_easy_getinfo(easy_.get(), CURLINFO_RESPONSE_CODE, &status);
  return Completed{.id = command_.id,
                   .status = static_cast<int>(status),
                   .headers = std::move(headers_),
                   .body = std::move(body_),
                   .at = now,
                   .write_delay = write_delay_};
}

Failed Exchange::Fail(std::string_view reason, core::TimePoint now) const {
  return {.id = command_.id,
          .stage = stage(),
          .reason = reason,
          .detail = error_,
          .at = now,
          .write_delay = write_delay_};
}

}  // namespace hickoryusher::http

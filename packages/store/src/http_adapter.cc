#include "store/http_adapter.h"

#include <curl/curl.h>

#include <algorithm>
#include <atomic>
#include <deque>
#include <iterator>
#include <map>
#include <mutex>
#include <utility>
#include <vector>

#include "http_message_p.h"
#include "runtime/duty_thread.h"
#include "runtime/ring.h"

namespace hickoryusher::store {
namespace {

// While the receiver is full, its answer is asked for again this often.
constexpr int kSinkRetryMs = 10;
// Without transfers curl_multi_poll returns only when it is woken.
constexpr int kIdlePollMs = 60'000;
// Largest response that is read: a page of rows or a checkpoint.
constexpr std::size_t kMaxResponseBytes = std::size_t{64} << 20;

void InitCurl() {
  static std::once_flag once;
  std::call_once(once, [] { curl_global_init(CURL_GLOBAL_DEFAULT); });
}

/// One command at the platform.
struct Transfer {
  Command command;
  HttpRequest request;
  std::string response;
  curl_slist* headers = nullptr;
  CURL* easy = nullptr;

  Transfer() = default;
  Transfer(const Transfer&) = delete;
  Transfer& operator=(const Transfer&) = delete;
  ~Transfer() {
    curl_easy_cleanup(easy);
    curl_slist_free_all(headers);
  }
};

std::size_t AppendResponse(char* data,
                           std::size_t size,
                           std::size_t count,
                           void* user) {
  auto* response = static_cast<std::string*>(user);
  if (response->size() + size * count > kMaxResponseBytes) {
    return 0;
  }
  response->append(data, size * count);
  return size * count;
}

/// @returns true if @p result proves that the platform has not received the
/// whole request.
bool IsBeforeSending(CURLcode result, CURL* easy) {
  if (result == CURLE_COULDNT_CONNECT || result == CURLE_COULDNT_RESOLVE_HOST) {
    return true;
  }
  curl_off_t connected = 0;
  curl_easy_getinfo(easy, CURLINFO_CONNECT_TIME_T, &connected);
  long connections = 0;
  curl_easy_getinfo(easy, CURLINFO_NUM_CONNECTS, &connections);
  return result == CURLE_OPERATION_TIMEDOUT && connections > 0 &&
         connected == 0;
}

}  // namespace

class HttpAdapter::Impl {
 public:
  Impl(Options options, Sink sink)
      : options_(std::move(options)),
        sink_(std::move(sink)),
        commands_(options_.ring_capacity) {
    InitCurl();
    multi_ = curl_multi_init();
    commands_.SetWaker([this] { curl_multi_wakeup(multi_); });
    thread_ = runtime::DutyThread("store", [this] { Run(); });
  }

  ~Impl() {
    stop_ = true;
    commands_.Close();
    thread_.Join();
    for (auto& [easy, transfer] : transfers_) {
      curl_multi_remove_handle(multi_, easy);
    }
    transfers_.clear();
    curl_multi_cleanup(multi_);
  }

  Impl(const Impl&) = delete;
  Impl& operator=(const Impl&) = delete;

  bool Send(Command&& command) { return commands_.TryPush(std::move(command)); }

 private:
  void Run() {
    while (!stop_) {
      StartWaiting();
      int running = 0;
      curl_multi_perform(multi_, &running);
      CollectFinished();
      DeliverEvents();
      curl_multi_poll(multi_, nullptr, 0, PollTimeoutMs(), nullptr);
    }
  }

  bool HasRoom() const {
    return transfers_.size() + events_.size() < options_.max_in_flight;
  }

  /// The ring is drained only when nothing waits here, so that commands over
  /// the limit stay in the ring and fill it.
  bool FetchWaiting() {
    if (waiting_.empty()) {
      std::vector<Command> arrived;
      commands_.Drain(arrived);
      std::ranges::move(arrived, std::back_inserter(waiting_));
    }
    return !waiting_.empty();
  }

  void StartWaiting() {
    while (HasRoom() && FetchWaiting()) {
      Start(std::move(waiting_.front()));
      waiting_.pop_front();
    }
  }

  int PollTimeoutMs() {
    if (HasRoom() && FetchWaiting()) {
      return 0;  // A finished transfer has made room for the next command.
    }
    return events_.empty() ? kIdlePollMs : kSinkRetryMs;
  }

  std::string UrlOf(Service service) const {
    switch (service) {
      case Service::kTable:
        return options_.table_url;
      case Service::kObjects:
        return options_.object_url;
      case Service::kVmList:
        return options_.vm_list_url;
    }
    return {};
  }

  void Start(Command&& command) {
    auto transfer = std::make_unique<Transfer>();
    transfer->request = Encode(command);
    transfer->command = std::move(command);
    transfer->easy = curl_easy_init();
    SetOptions(*transfer);
    CURL* easy = transfer->easy;
    curl_multi_add_handle(multi_, easy);
    transfers_.emplace(easy, std::move(transfer));
  }

  void SetOptions(Transfer& transfer) {
    CURL* easy = transfer.easy;
    const HttpRequest& request = transfer.request;
    const std::string url = UrlOf(request.service) + request.path;
    curl_easy_setopt(easy, CURLOPT_URL, url.c_str());
    curl_easy_setopt(easy, CURLOPT_PROTOCOLS_STR, "http,https");
    curl_easy_setopt(easy, CURLOPT_PROXY, "");
    curl_easy_setopt(easy, CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(
        easy, CURLOPT_CONNECTTIMEOUT_MS,
        static_cast<long>(core::ToMillis(options_.connect_timeout)));
    curl_easy_setopt(easy, CURLOPT_TIMEOUT_MS,
                     static_cast<long>(core::ToMillis(options_.timeout)));
    curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, AppendResponse);
    curl_easy_setopt(easy, CURLOPT_WRITEDATA, &transfer.response);
    if (request.method != Method::kGet) {
      curl_easy_setopt(easy, CURLOPT_POST, 1L);
      curl_easy_setopt(easy, CURLOPT_POSTFIELDSIZE_LARGE,
                       static_cast<curl_off_t>(request.body.size()));
      curl_easy_setopt(easy, CURLOPT_POSTFIELDS, request.body.data());
      // Without this libcurl waits for a 100 response to a large body.
      transfer.headers = curl_slist_append(transfer.headers, "Expect:");
      transfer.headers = curl_slist_append(
          transfer.headers, request.method == Method::kPut
                                ? "Content-Type: application/octet-stream"
                                : "Content-Type: application/json");
      curl_easy_setopt(easy, CURLOPT_HTTPHEADER, transfer.headers);
    }
    if (request.method == Method::kPut) {
      curl_easy_setopt(easy, CURLOPT_CUSTOMREQUEST, "PUT");
    }
    if (IsWrite(transfer.command)) {
      curl_easy_setopt(easy, CURLOPT_FRESH_CONNECT, 1L);
      curl_easy_setopt(easy, CURLOPT_FORBID_REUSE, 1L);
    }
  }

  void CollectFinished() {
    int left = 0;
    while (const CURLMsg* message = curl_multi_info_read(multi_, &left)) {
      if (message->msg != CURLMSG_DONE) {
        continue;
      }
      CURL* easy = message->easy_handle;
      const CURLcode result = message->data.result;
      auto node = transfers_.extract(easy);
      events_.push_back(EventOf(*node.mapped(), result));
      curl_multi_remove_handle(multi_, easy);
    }
  }

  static Event EventOf(const Transfer& transfer, CURLcode result) {
    if (result != CURLE_OK) {
      const CommandId id = IdOf(transfer.command);
      return IsBeforeSending(result, transfer.easy) ? Event(Unavailable{id})
                                                    : Event(TimedOut{id});
    }
    long status = 0;
    curl_easy_getinfo(transfer.easy, CURLINFO_RESPONSE_CODE, &status);
    return Decode(transfer.command, status, transfer.response);
  }

  void DeliverEvents() {
    while (!events_.empty() && sink_(std::move(events_.front()))) {
      events_.pop_front();
    }
  }

  const Options options_;
  const Sink sink_;
  runtime::Ring<Command> commands_;
  std::atomic<bool> stop_ = false;
  CURLM* multi_ = nullptr;
  std::deque<Command> waiting_;
  std::map<CURL*, std::unique_ptr<Transfer>> transfers_;
  std::deque<Event> events_;
  runtime::DutyThread thread_;
};

HttpAdapter::HttpAdapter(Options options, Sink sink)
    : impl_(std::make_unique<Impl>(std::move(options), std::move(sink))) {}

HttpAdapter::~HttpAdapter() = default;

bool HttpAdapter::Send(Command&& command) {
  return impl_->Send(std::move(command));
}

}  // namespace hickoryusher::store

#ifndef HTTP_EXCHANGE_P_H_
#define HTTP_EXCHANGE_P_H_

#include <curl/curl.h>

#include <cstddef>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "http/byte_budget.h"
#include "http/upstream.h"

namespace hickoryusher::http {

struct EasyDeleter {
  void operator()(CURL* easy) const { curl_easy_cleanup(easy); }
};
using EasyHandle = std::unique_ptr<CURL, EasyDeleter>;

struct SlistDeleter {
  void operator()(curl_slist* list) const { curl_slist_free_all(list); }
};

/// One request on its way to an endpoint, with what is known about its answer.
class Exchange {
 public:
  /// @param command checked with IsValid().
  /// @param budget for the response; must outlive the exchange.
  /// @param started_answers this exchange is added when its answer begins.
  Exchange(StartExchange command,
           EasyHandle easy,
           std::size_t max_header_bytes,
           ByteBudget& budget,
           std::vector<Exchange*>& started_answers);

  Exchange(const Exchange&) = delete;
  Exchange& operator=(const Exchange&) = delete;

  /// @returns false if the command would corrupt the request on the wire.
  static bool IsValid(const StartExchange& command);

  /// Sets the handle up. @returns false if libcurl refuses an option.
  bool Prepare();

  CURL* easy() const { return easy_.get(); }
  /// @returns what the response holds of the budget.
  ByteCharge TakeCharge() { return std::move(charge_); }
  EasyHandle TakeEasy() { return std::move(easy_); }
  const StartExchange& command() const { return command_; }

  /// @returns how far the exchange got.
  /// @remarks kConnecting is returned only before libcurl's pre-request
  /// callback, which it calls after connecting and before it writes.
  Stage stage() const;

  /// @returns the event for a transfer that libcurl has ended.
  UpstreamEvent Finish(CURLcode code, core::TimePoint now);

  /// @returns the event for a transfer that is ended by this side.
  Failed Fail(std::string_view reason, core::TimePoint now) const;

  /// When to give up waiting for an answer.
  core::TimePoint first_byte_deadline = core::TimePoint::max();

 private:
  static int OnPreRequest(void* self, char*, char*, int, int);
  static std::size_t OnHeader(char* data,
                              std::size_t size,
                              std::size_t count,
                              void* self);
  static std::size_t OnBody(char* data,
                            std::size_t size,
                            std::size_t count,
                            void* self);
  static int OnSocketOpened(void* self, curl_socket_t socket, curlsocktype);

  void NoteAnswer();
  bool SetMethod();
  bool SetHeaders();
  bool AddHeader(const std::string& line);
  bool AcceptHeaderLine(std::string_view line);
  bool AcceptBody(std::string_view data);
  std::string_view CheckFraming() const;
  std::string_view ReasonFor(CURLcode code) const;

  StartExchange command_;
  EasyHandle easy_;
  std::size_t max_header_bytes_;
  std::vector<Exchange*>& started_answers_;
  std::unique_ptr<curl_slist, SlistDeleter> request_headers_;
  char error_[CURL_ERROR_SIZE] = {};

  bool socket_opened_ = false;
  bool may_have_written_ = false;
  bool answer_started_ = false;
  core::Duration write_delay_{};
  /// Why a callback ended the transfer; empty if none did.
  std::string_view own_reason_;
  std::vector<Header> headers_;
  std::size_t header_bytes_ = 0;
  ByteCharge charge_;
  std::string body_;
};

}  // namespace hickoryusher::http

#endif  // HTTP_EXCHANGE_P_H_

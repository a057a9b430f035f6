#include <curl/curl.h>

#include <memory>

#include "ctl/run.h"

namespace hickoryusher::ctl {
namespace {

std::size_t AppendBody(char* data,
                       std::size_t size,
                       std::size_t count,
                       void* user) {
  static_cast<std::string*>(user)->append(data, size * count);
  return size * count;
}

}  // namespace

Exchange MakeHttpExchange(const Invocation& invocation) {
  return [&invocation](const HttpRequest& request) -> HttpResult {
    // A fresh handle for each request has no connection that libcurl could
    // reuse and silently send the request on again.
    const std::unique_ptr<CURL, decltype(&curl_easy_cleanup)> easy(
        curl_easy_init(), &curl_easy_cleanup);
    const std::string url = invocation.url + request.path;
    const std::string bearer = "Authorization: Bearer " + invocation.bearer;
    curl_slist* list =
        curl_slist_append(nullptr, "Content-Type: application/json");
    const std::unique_ptr<curl_slist, decltype(&curl_slist_free_all)> headers(
        curl_slist_append(list, bearer.c_str()), &curl_slist_free_all);
    HttpResponse response;
    curl_easy_setopt(easy.get(), CURLOPT_URL, url.c_str());
    curl_easy_setopt(easy.get(), CURLOPT_PROTOCOLS_STR, "http,https");
    curl_easy_setopt(easy.get(), CURLOPT_PROXY, "");
    curl_easy_setopt(easy.get(), CURLOPT_HTTPHEADER, headers.get());
    curl_easy_setopt(easy.get(), CURLOPT_TIMEOUT_MS,
                     static_cast<long>(core::ToMillis(invocation.timeout)));
    curl_easy_setopt(easy.get(), CURLOPT_WRITEFUNCTION, AppendBody);
    curl_easy_setopt(easy.get(), CURLOPT_WRITEDATA, &response.body);
    if (request.body) {
      curl_easy_setopt(easy.get(), CURLOPT_POSTFIELDS, request.body->c_str());
    }
    const CURLcode result = curl_easy_perform(easy.get());
    if (result == CURLE_COULDNT_CONNECT ||
        result == CURLE_COULDNT_RESOLVE_HOST || result == CURLE_URL_MALFORMAT ||
        result == CURLE_UNSUPPORTED_PROTOCOL) {
      return NotConnected{curl_easy_strerror(result)};
    }
    if (result != CURLE_OK) {
      return NoResponse{curl_easy_strerror(result)};
    }
    curl_easy_getinfo(easy.get(), CURLINFO_RESPONSE_CODE, &response.status);
    return response;
  };
}

}  // namespace hickoryusher::ctl

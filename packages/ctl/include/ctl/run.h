#ifndef CTL_RUN_H_
#define CTL_RUN_H_

#include <functional>
#include <optional>
#include <ostream>
#include <string>
#include <variant>

#include "ctl/command.h"

namespace hickoryusher::ctl {

struct HttpRequest {
  std::string path;                 ///< With the query.
  std::optional<std::string> body;  ///< POST when present, otherwise GET.
};

struct HttpResponse {
  long status = 0;
  std::string body;
};

struct NotConnected {
  std::string reason;
};

/// The request may have been run.
struct NoResponse {
  std::string reason;
};

using HttpResult = std::variant<HttpResponse, NotConnected, NoResponse>;

/// Sends one request and waits for the result.
using Exchange = std::function<HttpResult(const HttpRequest&)>;

/// Runs one invocation.
/// @returns the exit code.
ExitCode Run(const Invocation& invocation,
             const Exchange& exchange,
             std::ostream& out,
             std::ostream& err);

/// @param invocation must outlive the exchange.
/// @returns an exchange over libcurl with the invocation's server.
Exchange MakeHttpExchange(const Invocation& invocation);

}  // namespace hickoryusher::ctl

#endif  // CTL_RUN_H_

#ifndef RPC_CODEC_H_
#define RPC_CODEC_H_

#include <json/value.h>

#include <functional>
#include <memory>
#include <string>

// This header is also read as C++14, which has no nested namespace definitions.
namespace hickoryusher {
namespace rpc {

/// Writes one JSON-RPC 2.0 call.
///
/// @param method name of the method, such as `peer.exchange`.
/// @param params a JSON object or array.
/// @returns the call's text, to be sent over any transport.
std::string EncodeCall(const std::string& method, const Json::Value& params);

/// Reads the response to one call.
///
/// @param response text received for the call.
/// @param result receives the method's result.
/// @param error receives the reason if the response is an error or malformed.
/// @returns true if @p result was set.
bool DecodeResponse(const std::string& response,
                    Json::Value& result,
                    std::string& error);

/// Answers calls to the methods that were added to it.
///
/// @remarks Not synchronised: one thread adds methods, then one thread at a
/// time calls Handle.
class Dispatcher {
 public:
  /// @returns false after setting the error text when the call is refused.
  using Method = std::function<
      bool(const Json::Value& params, Json::Value& result, std::string& error)>;

  Dispatcher();
  ~Dispatcher();
  Dispatcher(const Dispatcher&) = delete;
  Dispatcher& operator=(const Dispatcher&) = delete;

  void Add(const std::string& name, Method method);

  /// @param request text of one call; any text is accepted.
  /// @returns the response's text; a JSON-RPC error for a malformed call, an
  /// unknown method or a refusal.
  std::string Handle(const std::string& request);

 private:
  class Server;
  std::unique_ptr<Server> server_;
};

}  // namespace rpc
}  // namespace hickoryusher

#endif  // RPC_CODEC_H_

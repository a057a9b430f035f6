// Built as C++14: see the package's CMakeLists.txt.
#include <jsonrpccpp/client.h>
#include <jsonrpccpp/server.h>

#include <map>
#include <utility>

#include "rpc/codec.h"

namespace hickoryusher {
namespace rpc {
namespace {

// Error code of a call that a method refused; JSON-RPC leaves -32000 to -32099
// to applications.
constexpr int kRefused = -32000;

// Keeps the text of a call instead of sending it, so that the transport can be
// asynchronous.
class CapturingConnector : public jsonrpc::IClientConnector {
 public:
  void SendRPCMessage(const std::string& message, std::string& result) throw(
      jsonrpc::JsonRpcException) override {
    captured_ = message;
    result = R"({"jsonrpc":"2.0","id":1,"result":null})";
  }

  const std::string& captured() const { return captured_; }

 private:
  std::string captured_;
};

// Hands out a response that was received earlier.
class ReplayingConnector : public jsonrpc::IClientConnector {
 public:
  explicit ReplayingConnector(const std::string& response)
      : response_(response) {}

  void SendRPCMessage(const std::string&, std::string& result) throw(
      jsonrpc::JsonRpcException) override {
    result = response_;
  }

 private:
  const std::string& response_;
};

class CapturingServerConnector : public jsonrpc::AbstractServerConnector {
 public:
  bool StartListening() override { return true; }
  bool StopListening() override { return true; }
  bool SendResponse(const std::string& response, void*) override {
    response_ = response;
    return true;
  }

  std::string Take() { return std::exchange(response_, std::string()); }

 private:
  std::string response_;
};

// Base class, so that the connector is constructed before AbstractServer, which
// registers its handler there.
struct ConnectorHolder {
  CapturingServerConnector connector;
};

}  // namespace

std::string EncodeCall(const std::string& method, const Json::Value& params) {
  CapturingConnector connector;
  jsonrpc::Client client(connector);
  Json::Value ignored;
  client.CallMethod(method, params, ignored);
  return connector.captured();
}

bool DecodeResponse(const std::string& response,
                    Json::Value& result,
                    std::string& error) {
  ReplayingConnector connector(response);
  jsonrpc::Client client(connector);
  try {
    client.CallMethod(std::string(), Json::Value(Json::objectValue), result);
    return true;
  } catch (const std::exception& caught) {
    error = caught.what();
    return false;
  }
}

class Dispatcher::Server : private ConnectorHolder,
                           public jsonrpc::AbstractServer<Dispatcher::Server> {
 public:
  Server() : jsonrpc::AbstractServer<Server>(connector) {}

  void Add(const std::string& name, Method method) {
    methods_[name] = std::move(method);
    bindAndAddMethod(jsonrpc::Procedure(name, jsonrpc::PARAMS_BY_NAME,
                                        jsonrpc::JSON_OBJECT, nullptr),
                     &Server::Unused);
  }

  void HandleMethodCall(jsonrpc::Procedure& procedure,
                        const Json::Value& input,
                        Json::Value& output) override {
    std::string error;
    if (!methods_.at(procedure.GetProcedureName())(input, output, error)) {
      throw jsonrpc::JsonRpcException(kRefused, error);
    }
  }

  std::string Handle(const std::string& request) {
    connector.OnRequest(request);
    return connector.Take();
  }

 private:
  // AbstractServer wants a member function; HandleMethodCall bypasses it.
  void Unused(const Json::Value&, Json::Value&) {}

  std::map<std::string, Method> methods_;
};

Dispatcher::Dispatcher() : server_(std::make_unique<Server>()) {}
Dispatcher::~Dispatcher() = default;

void Dispatcher::Add(const std::string& name, Method method) {
  server_->Add(name, std::move(method));
}

std::string Dispatcher::Handle(const std::string& request) {
  return server_->Handle(request);
}

}  // namespace rpc
}  // namespace hickoryusher

#ifndef STANDINS_PLATFORM_TABLE_SERVER_H_
#define STANDINS_PLATFORM_TABLE_SERVER_H_

#include <json/json.h>

#include <cstdint>
#include <functional>
#include <map>
#include <mutex>
#include <string>
#include <string_view>

#include "platform/fault_server.h"

namespace hickoryusher::standins {

/// Stand-in for the transactional table service.
///
/// POST /v1/table/transact `{"conditions":[{"key","version"}],
///   "puts":[{"key","value"}],"deletes":["key"]}`: 200 `{"version"}`, or 409
///   `{"present":[{"key","version"}]}` when a condition does not hold.
/// POST /v1/table/read `{"key"}`: 200
/// `{"as_of","row":{"key","value","version"}}`
///   with null for an absent row.
/// POST /v1/table/range `{"prefix","after","limit"}`: 200
///   `{"as_of","more","rows":[...]}`.
/// 429 over the rate limit, 503 during an outage, 400 for a malformed body.
class TableServer {
 public:
  struct Options {
    std::uint16_t port = 0;
    std::uint32_t writes_per_second = 400;  ///< A transaction is one write.
    std::uint32_t reads_per_second = 2000;
    /// Clock of the rate limits; the monotonic clock when empty.
    std::function<std::int64_t()> now_ms;
  };

  explicit TableServer(Options options);

  FaultServer& server() { return server_; }

 private:
  struct Row {
    std::string value;
    std::uint64_t version = 0;
  };
  /// Tokens for one second of requests, refilled continuously.
  struct Bucket {
    double tokens = 0;
    std::int64_t refilled_ms = 0;
  };

  Reply Handle(const Request& request);
  bool TakeToken(Bucket& bucket, std::uint32_t per_second);
  Reply Transact(const Json::Value& body);
  Reply Read(const Json::Value& body) const;
  Reply Range(const Json::Value& body) const;
  std::uint64_t VersionOf(const std::string& key) const;
  static Json::Value ToJson(const std::string& key, const Row& row);

  Options options_;
  std::mutex mutex_;
  std::map<std::string, Row> rows_;
  std::uint64_t version_ = 0;
  Bucket writes_;
  Bucket reads_;
  FaultServer server_;  ///< Last, so that no request outlives the table.
};

}  // namespace hickoryusher::standins

#endif  // STANDINS_PLATFORM_TABLE_SERVER_H_

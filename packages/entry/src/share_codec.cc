#include "share_codec_p.h"

#include <string>

#include "core/overloaded.h"

namespace hickoryusher::entry {
namespace {

using routing::ShareMessage;

Json::Value EncodeAddress(const routing::SeatAddress& address,
                          const Directory& directory) {
  Json::Value value(Json::objectValue);
  value["domain"] = std::string(directory.DomainName(address.domain));
  value["seat"] = address.seat.value();
  return value;
}

std::optional<routing::SeatAddress> DecodeAddress(const Json::Value& value,
                                                  const Directory& directory) {
  if (!value.isObject() || !value["domain"].isString() ||
      !value["seat"].isUInt()) {
    return std::nullopt;
  }
  const routing::SeatAddress address{
      .domain = directory.FindDomain(value["domain"].asString()),
      .seat = routing::SeatId(value["seat"].asUInt())};
  return directory.EntryAt(address).valid() ? std::optional(address)
                                            : std::nullopt;
}

Json::UInt64 Number(std::uint64_t value) {
  return value;
}

Json::Value EncodeMessage(const ShareMessage& message,
                          const Directory& directory) {
  Json::Value value(Json::objectValue);
  std::visit(core::Overloaded{
                 [&](const routing::Hello&) { value["kind"] = "hello"; },
                 [&](const routing::ShareAsk& m) {
                   value["kind"] = "share_ask";
                   value["share"] = m.share.value();
                   value["round"] = Number(m.round);
                 },
                 [&](const routing::SharePermit& m) {
                   value["kind"] = "share_permit";
                   value["share"] = m.share.value();
                   value["round"] = Number(m.round);
                 },
                 [&](const routing::SharesReleased&) {
                   value["kind"] = "shares_released";
                 },
                 [&](const routing::LoanAsk& m) {
                   value["kind"] = "loan_ask";
                   value["loan"] = Number(m.loan.value());
                   value["endpoint"] = directory.endpoint(m.endpoint).name;
                   value["slots"] = m.slots;
                 },
                 [&](const routing::LoanGrant& m) {
                   value["kind"] = "loan_grant";
                   value["loan"] = Number(m.loan.value());
                   value["endpoint"] = directory.endpoint(m.endpoint).name;
                   value["slots"] = m.slots;
                   value["duration_ms"] =
                       static_cast<Json::Int64>(core::ToMillis(m.duration));
                 }},
             message);
  return value;
}

std::optional<ShareMessage> DecodeShare(const Json::Value& value, bool ask) {
  if (!value["share"].isUInt() || !value["round"].isUInt64()) {
    return std::nullopt;
  }
  const routing::SeatId share(value["share"].asUInt());
  const std::uint64_t round = value["round"].asUInt64();
  return ask ? ShareMessage(routing::ShareAsk{.share = share, .round = round})
             : ShareMessage(
                   routing::SharePermit{.share = share, .round = round});
}

std::optional<ShareMessage> DecodeLoan(const Json::Value& value,
                                       bool ask,
                                       const Directory& directory) {
  if (!value["loan"].isUInt64() || !value["endpoint"].isString() ||
      !value["slots"].isInt()) {
    return std::nullopt;
  }
  const routing::LoanId loan(value["loan"].asUInt64());
  const core::EndpointId endpoint =
      directory.FindEndpoint(value["endpoint"].asString());
  if (!endpoint.valid()) {
    return std::nullopt;
  }
  const int slots = value["slots"].asInt();
  if (ask) {
    return routing::LoanAsk{.loan = loan, .endpoint = endpoint, .slots = slots};
  }
  if (!value["duration_ms"].isInt64()) {
    return std::nullopt;
  }
  return routing::LoanGrant{
      .loan = loan,
      .endpoint = endpoint,
      .slots = slots,
      .duration = std::chrono::milliseconds(value["duration_ms"].asInt64())};
}

std::optional<ShareMessage> DecodeMessage(const Json::Value& value,
                                          const Directory& directory) {
  if (!value.isObject() || !value["kind"].isString()) {
    return std::nullopt;
  }
  const std::string kind = value["kind"].asString();
  if (kind == "hello") {
    return routing::Hello{};
  }
  if (kind == "shares_released") {
    return routing::SharesReleased{};
  }
  if (kind == "share_ask" || kind == "share_permit") {
    return DecodeShare(value, kind == "share_ask");
  }
  if (kind == "loan_ask" || kind == "loan_grant") {
    return DecodeLoan(value, kind == "loan_ask", directory);
  }
  return std::nullopt;
}

}  // namespace

Json::Value EncodeEnvelope(const routing::ShareEnvelope& envelope,
                           const Directory& directory,
                           const VmTable& vms) {
  Json::Value value(Json::objectValue);
  value["from"] = EncodeAddress(envelope.from.address, directory);
  value["incarnation"] = Number(envelope.from.incarnation.value());
  value["vm"] = std::string(vms.Name(envelope.from.vm));
  value["to"] = EncodeAddress(envelope.to, directory);
  if (envelope.to_incarnation.valid()) {
    value["to_incarnation"] = Number(envelope.to_incarnation.value());
  }
  value["message"] = EncodeMessage(envelope.message, directory);
  return value;
}

std::optional<routing::ShareEnvelope> DecodeEnvelope(const Json::Value& value,
                                                     const Directory& directory,
                                                     VmTable& vms) {
  if (!value.isObject() || !value["incarnation"].isUInt64() ||
      !value["vm"].isString()) {
    return std::nullopt;
  }
  const auto from = DecodeAddress(value["from"], directory);
  const auto to = DecodeAddress(value["to"], directory);
  const auto message = DecodeMessage(value["message"], directory);
  if (!from || !to || !message) {
    return std::nullopt;
  }
  routing::ShareEnvelope envelope{
      .from = {.address = *from,
               .incarnation =
                   core::Incarnation(value["incarnation"].asUInt64()),
               .vm = vms.Intern(value["vm"].asString())},
      .to = *to,
      .message = *message};
  if (value["to_incarnation"].isUInt64()) {
    envelope.to_incarnation =
        core::Incarnation(value["to_incarnation"].asUInt64());
  }
  return envelope;
}

}  // namespace hickoryusher::entry

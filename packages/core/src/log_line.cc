#include "core/log_line.h"

#include <algorithm>
#include <array>
#include <charconv>

namespace hickoryusher::core {
namespace {

constexpr std::string_view kHexDigits = "0123456789abcdef";

bool IsPlain(char c) {
  return c > ' ' && c < '\x7f' && c != '=' && c != '"' && c != '\\';
}

void AppendEscaped(char c, std::string& out) {
  const auto byte = static_cast<unsigned char>(c);
  if (c == '"' || c == '\\') {
    out += '\\';
    out += c;
  } else if (byte < 0x20 || byte >= 0x7f) {
    out += "\\x";
    out += kHexDigits[byte >> 4U];
    out += kHexDigits[byte & 0xfU];
  } else {
    out += c;
  }
}

}  // namespace

std::string_view ToString(LogLevel level) {
  constexpr std::array<std::string_view, 3> kNames = {"info", "warning",
                                                      "error"};
  return kNames.at(static_cast<std::size_t>(level));
}

LogLine::LogLine(std::string_view event, LogLevel level) : level_(level) {
  text_.reserve(160);
  text_ += "event=";
  text_ += event;
  event_size_ = text_.size();
}

std::string LogLine::TextWithLevel() const {
  std::string line;
  line.reserve(text_.size() + 16);
  line.append(text_, 0, event_size_);
  line += " level=";
  line += ToString(level_);
  line.append(text_, event_size_);
  return line;
}

LogLine& LogLine::Add(std::string_view key, std::string_view value) {
  if (!value.empty() && std::ranges::all_of(value, IsPlain)) {
    return Append(key, value);
  }
  std::string quoted = "\"";
  std::ranges::for_each(value, [&](char c) { AppendEscaped(c, quoted); });
  quoted += '"';
  return Append(key, quoted);
}

LogLine& LogLine::Add(std::string_view key, double value) {
  std::array<char, 32> buffer{};
  const auto result =
      std::to_chars(buffer.data(), buffer.data() + buffer.size(), value,
                    std::chars_format::general, 6);
  return Append(key, std::string_view(buffer.data(), result.ptr));
}

LogLine& LogLine::Append(std::string_view key, std::string_view value) {
  text_ += ' ';
  text_ += key;
  text_ += '=';
  text_ += value;
  return *this;
}

}  // namespace hickoryusher::core

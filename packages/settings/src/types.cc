#include "settings/types.h"

#include <algorithm>
#include <cstdio>

#include "core/overloaded.h"

namespace hickoryusher::settings {
namespace {

constexpr std::size_t kMaxPathBytes = 256;

bool IsNameCharacter(char c) {
  return (c >= 'a' && c <= 'z') || (c >= '0' && c <= '9') || c == '_' ||
         c == '-' || c == '.';
}

}  // namespace

std::string ToText(const Value& value) {
  return std::visit(
      core::Overloaded{[](bool v) { return std::string(v ? "true" : "false"); },
                       [](std::int64_t v) { return std::to_string(v); },
                       [](double v) { return std::to_string(v); },
                       [](const std::string& v) { return v; },
                       [](const std::vector<std::string>& v) {
                         std::string text = "[";
                         for (const std::string& item : v) {
                           text += (text.size() > 1 ? ", " : "") + item;
                         }
                         return text + "]";
                       }},
      value);
}

bool IsPath(std::string_view path) {
  return path.size() > 1 && path.size() <= kMaxPathBytes && path[0] == '/' &&
         path.back() != '/' && path.find("//") == std::string_view::npos &&
         std::ranges::all_of(
             path, [](char c) { return c == '/' || IsNameCharacter(c); });
}

bool IsWithin(std::string_view path, std::string_view subtree) {
  return subtree == "/" ||
         (path.starts_with(subtree) &&
          (path.size() == subtree.size() || path[subtree.size()] == '/'));
}

}  // namespace hickoryusher::settings

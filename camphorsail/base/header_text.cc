#include "camphorsail/base/header_text.h"

#include <algorithm>

namespace camphorsail {
namespace {

constexpr char kFirstVisible = '!';
constexpr char kLastVisible = '~';
constexpr char kDelete = 0x7f;

}  // namespace

bool IsHeaderText(std::string_view text) {
  return !text.empty() && text.size() <= kMaxHeaderTextBytes &&
         text.front() != ' ' && text.back() != ' ' &&
         std::none_of(text.begin(), text.end(), [](char c) {
           return static_cast<unsigned char>(c) < ' ' || c == kDelete;
         });
}

bool IsHeaderToken(std::string_view text) {
  return IsHeaderText(text) &&
         std::all_of(text.begin(), text.end(), [](char c) {
           return c >= kFirstVisible && c <= kLastVisible;
         });
}

}  // namespace camphorsail

#include "camphorsail/http/json_body.h"

#include <nlohmann/json.hpp>

namespace camphorsail {
namespace {

/// No document that the daemons read has more than ten levels.
constexpr int kMaxDepth = 64;

/// Reads a document without building it, and stops at the first level that is
/// too deep.
class DepthCheck : public nlohmann::json_sax<nlohmann::json> {
 public:
  bool null() override { return true; }
  bool boolean(bool) override { return true; }
  bool number_integer(number_integer_t) override { return true; }
  bool number_unsigned(number_unsigned_t) override { return true; }
  bool number_float(number_float_t, const string_t&) override { return true; }
  bool string(string_t&) override { return true; }
  bool binary(binary_t&) override { return true; }
  bool key(string_t&) override { return true; }
  bool start_object(std::size_t) override { return ++depth_ <= kMaxDepth; }
  bool end_object() override { return --depth_ >= 0; }
  bool start_array(std::size_t) override { return ++depth_ <= kMaxDepth; }
  bool end_array() override { return --depth_ >= 0; }
  bool parse_error(std::size_t,
                   const std::string&,
                   const nlohmann::detail::exception&) override {
    return false;
  }

  bool is_too_deep() const { return depth_ > kMaxDepth; }

 private:
  int depth_ = 0;
};

}  // namespace

Expected<nlohmann::json> ParseJsonBody(std::string_view text) {
  DepthCheck check;
  if (!nlohmann::json::sax_parse(text.begin(), text.end(), &check)) {
    return Fail(ErrorKind::kInvalidRequest,
                check.is_too_deep() ? "the JSON is nested too deeply"
                                    : "not valid JSON");
  }
  return nlohmann::json::parse(text.begin(), text.end(), nullptr,
                               /*allow_exceptions=*/false);
}

}  // namespace camphorsail

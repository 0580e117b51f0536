#include "camphorsail/quarantine/request_hash.h"

#include <openssl/evp.h>

#include <array>
#include <cstdint>
#include <memory>

namespace camphorsail {
namespace {

/// Adds a text with its length, so that no two lists of texts have one digest.
void Add(std::string_view text, EVP_MD_CTX* digest) {
  std::array<unsigned char, sizeof(uint64_t)> size;
  for (size_t i = 0; i < size.size(); ++i) {
    size[i] = static_cast<unsigned char>(text.size() >> (8 * i));
  }
  EVP_DigestUpdate(digest, size.data(), size.size());
  EVP_DigestUpdate(digest, text.data(), text.size());
}

}  // namespace

PromptPartHash RequestHash(const RequestContent& content) {
  const std::unique_ptr<EVP_MD_CTX, decltype(&EVP_MD_CTX_free)> digest(
      EVP_MD_CTX_new(), &EVP_MD_CTX_free);
  EVP_DigestInit_ex(digest.get(), EVP_sha256(), nullptr);
  for (const std::string_view text :
       {std::string_view(content.account.value()), content.method,
        content.target, content.model, content.body}) {
    Add(text, digest.get());
  }
  for (const PromptPart& part : content.prompt_parts) {
    Add(part.id, digest.get());
  }
  std::array<unsigned char, EVP_MAX_MD_SIZE> result = {};
  EVP_DigestFinal_ex(digest.get(), result.data(), nullptr);
  uint64_t hash = 0;
  for (size_t i = 0; i < sizeof(hash); ++i) {
    hash |= uint64_t{result[i]} << (8 * i);
  }
  return PromptPartHash(hash);
}

}  // namespace camphorsail

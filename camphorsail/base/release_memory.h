#ifndef CAMPHORSAIL_BASE_RELEASE_MEMORY_H_
#define CAMPHORSAIL_BASE_RELEASE_MEMORY_H_

#include <utility>

namespace camphorsail {

/// Empties a value and frees its memory. Assigning an empty string instead
/// keeps the memory: it is copied into the buffer that is there.
template <typename T>
void ReleaseMemory(T* value) {
  const T released = std::move(*value);
  *value = T();
}

}  // namespace camphorsail

#endif  // CAMPHORSAIL_BASE_RELEASE_MEMORY_H_

#ifndef CAMPHORSAIL_STORAGE_DATA_FOLDER_H_
#define CAMPHORSAIL_STORAGE_DATA_FOLDER_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "camphorsail/base/error.h"

namespace camphorsail {

/// An open file descriptor, closed on destruction.
class FileDescriptor {
 public:
  FileDescriptor() = default;
  explicit FileDescriptor(int fd) : fd_(fd) {}
  FileDescriptor(FileDescriptor&& other) noexcept
      : fd_(std::exchange(other.fd_, -1)) {}
  FileDescriptor& operator=(FileDescriptor&& other) noexcept;
  ~FileDescriptor();

  int get() const { return fd_; }
  bool IsOpen() const { return fd_ >= 0; }

 private:
  int fd_ = -1;
};

/// Access to the files of one folder, with the file system syncs that make
/// changes durable. Holds an exclusive lock on the folder. Not thread-safe;
/// calls block.
class DataFolder {
 public:
  /// Opens the folder. Creates it when it does not exist.
  /// @return The folder, or `kStorageFailed` when it cannot be opened or
  ///     is already locked, by this process or another one.
  static Expected<DataFolder> Open(const std::string& path);

  /// @return Names of the files, sorted.
  Expected<std::vector<std::string>> List() const;
  /// @return The whole content of the file.
  Expected<std::string> Read(const std::string& name) const;
  /// Replaces the content of a file and makes the new content durable. After a
  /// crash during the call, the file has either the old or the new content.
  Expected<void> Replace(const std::string& name,
                         std::string_view content) const;
  /// Removes a file. The removal is durable after the next `Sync`.
  Expected<void> Remove(const std::string& name) const;
  /// Makes the creation, renaming and removal of files durable.
  Expected<void> Sync() const;

  /// Opens a file for appending. Creates it when it does not exist.
  Expected<FileDescriptor> OpenForAppend(const std::string& name) const;
  /// Appends `content` and syncs the data of the file.
  Expected<void> AppendDurably(const FileDescriptor& file,
                               std::string_view content) const;
  /// Truncates a file to `size` bytes and syncs it.
  Expected<void> Truncate(const std::string& name, uint64_t size) const;

 private:
  DataFolder() = default;

  std::string path_;
  FileDescriptor folder_;
};

}  // namespace camphorsail

#endif  // CAMPHORSAIL_STORAGE_DATA_FOLDER_H_

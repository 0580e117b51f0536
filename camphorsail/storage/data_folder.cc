#include "camphorsail/storage/data_folder.h"

#include <fcntl.h>
#include <sys/file.h>
#include <sys/stat.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <cstring>
#include <filesystem>
#include <system_error>

namespace camphorsail {
namespace {

constexpr char kTemporarySuffix[] = ".tmp";

tl::unexpected<Error> SystemCallError(const char* operation,
                                      const std::string& name) {
  return Fail(ErrorKind::kStorageFailed, "cannot " + std::string(operation) +
                                             " " + name + ": " +
                                             std::strerror(errno));
}

Expected<void> WriteAll(int fd,
                        std::string_view content,
                        const std::string& name) {
  while (!content.empty()) {
    const ssize_t written = write(fd, content.data(), content.size());
    if (written < 0) {
      if (errno == EINTR) {
        continue;
      }
      return SystemCallError("write", name);
    }
    content.remove_prefix(static_cast<size_t>(written));
  }
  return {};
}

}  // namespace

FileDescriptor& FileDescriptor::operator=(FileDescriptor&& other) noexcept {
  std::swap(fd_, other.fd_);
  return *this;
}

FileDescriptor::~FileDescriptor() {
  if (fd_ >= 0) {
    close(fd_);
  }
}

Expected<DataFolder> DataFolder::Open(const std::string& path) {
  std::error_code error;
  const bool created = std::filesystem::create_directories(path, error);
  if (error) {
    return Fail(ErrorKind::kStorageFailed,
                "cannot create folder " + path + ": " + error.message());
  }
  DataFolder folder;
  folder.path_ = path;
  folder.folder_ =
      FileDescriptor(open(path.c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC));
  if (!folder.folder_.IsOpen()) {
    return SystemCallError("open", path);
  }
  if (flock(folder.folder_.get(), LOCK_EX | LOCK_NB) != 0) {
    return Fail(ErrorKind::kStorageFailed,
                "data folder " + path + " cannot be locked; it may be in use");
  }
  if (created) {
    const std::string parent =
        std::filesystem::absolute(path).parent_path().string();
    const FileDescriptor fd(
        open(parent.c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC));
    if (!fd.IsOpen() || fsync(fd.get()) != 0) {
      return SystemCallError("sync", parent);
    }
  }
  return folder;
}

Expected<std::vector<std::string>> DataFolder::List() const {
  std::error_code error;
  std::vector<std::string> names;
  for (const auto& entry : std::filesystem::directory_iterator(path_, error)) {
    names.push_back(entry.path().filename().string());
  }
  if (error) {
    return Fail(ErrorKind::kStorageFailed,
                "cannot list folder " + path_ + ": " + error.message());
  }
  std::sort(names.begin(), names.end());
  return names;
}

Expected<std::string> DataFolder::Read(const std::string& name) const {
  const FileDescriptor fd(
      openat(folder_.get(), name.c_str(), O_RDONLY | O_CLOEXEC));
  struct stat status = {};
  if (!fd.IsOpen() || fstat(fd.get(), &status) != 0) {
    return SystemCallError("open", name);
  }
  std::string content(static_cast<size_t>(status.st_size), '\0');
  size_t size = 0;
  while (size < content.size()) {
    const ssize_t bytes_read =
        read(fd.get(), content.data() + size, content.size() - size);
    if (bytes_read < 0 && errno == EINTR) {
      continue;
    }
    if (bytes_read < 0) {
      return SystemCallError("read", name);
    }
    if (bytes_read == 0) {
      break;
    }
    size += static_cast<size_t>(bytes_read);
  }
  content.resize(size);
  return content;
}

Expected<void> DataFolder::Replace(const std::string& name,
                                   std::string_view content) const {
  const std::string temporary = name + kTemporarySuffix;
  const FileDescriptor fd(openat(folder_.get(), temporary.c_str(),
                                 O_WRONLY | O_CREAT | O_TRUNC | O_CLOEXEC,
                                 0600));
  if (!fd.IsOpen()) {
    return SystemCallError("create", temporary);
  }
  const Expected<void> written = WriteAll(fd.get(), content, temporary);
  if (!written.has_value()) {
    return written;
  }
  if (fsync(fd.get()) != 0) {
    return SystemCallError("sync", temporary);
  }
  if (renameat(folder_.get(), temporary.c_str(), folder_.get(), name.c_str()) !=
      0) {
    return SystemCallError("rename", temporary);
  }
  return Sync();
}

Expected<void> DataFolder::Remove(const std::string& name) const {
  if (unlinkat(folder_.get(), name.c_str(), 0) != 0) {
    return SystemCallError("remove", name);
  }
  return {};
}

Expected<void> DataFolder::Sync() const {
  if (fsync(folder_.get()) != 0) {
    return SystemCallError("sync", path_);
  }
  return {};
}

Expected<FileDescriptor> DataFolder::OpenForAppend(
    const std::string& name) const {
  FileDescriptor fd(openat(folder_.get(), name.c_str(),
                           O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0600));
  if (!fd.IsOpen()) {
    return SystemCallError("open", name);
  }
  return fd;
}

Expected<void> DataFolder::AppendDurably(const FileDescriptor& file,
                                         std::string_view content) const {
  const Expected<void> written = WriteAll(file.get(), content, path_);
  if (!written.has_value()) {
    return written;
  }
  // `fdatasync` also syncs the file size, because the data cannot be read
  // without it.
  if (fdatasync(file.get()) != 0) {
    return SystemCallError("sync", path_);
  }
  return {};
}

Expected<void> DataFolder::Truncate(const std::string& name,
                                    uint64_t size) const {
  const FileDescriptor fd(
      openat(folder_.get(), name.c_str(), O_WRONLY | O_CLOEXEC));
  if (!fd.IsOpen() || ftruncate(fd.get(), static_cast<off_t>(size)) != 0 ||
      fsync(fd.get()) != 0) {
    return SystemCallError("truncate", name);
  }
  return {};
}

}  // namespace camphorsail

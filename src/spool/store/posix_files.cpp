#include <dirent.h>
#include <fcntl.h>
#include <sys/stat.h>
#include <sys/uio.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <cstring>
#include <stdexcept>

#include "spool/store/files.h"

namespace steprail::spool {
namespace {

constexpr std::size_t kMaxIovecs = 64;

IoStatus status_from_errno() {
  return errno == ENOSPC || errno == EDQUOT ? IoStatus::kNoSpace : IoStatus::kFailed;
}

class Descriptor {
 public:
  explicit Descriptor(int number) : number_(number) {}
  ~Descriptor() {
    if (number_ >= 0) ::close(number_);
  }
  Descriptor(const Descriptor&) = delete;
  Descriptor& operator=(const Descriptor&) = delete;
  int get() const { return number_; }

 private:
  int number_;
};

class PosixFile : public File {
 public:
  explicit PosixFile(int number) : file_(number) {}

  IoStatus append(std::span<const std::string_view> pieces) override {
    std::vector<iovec> parts;
    for (const std::string_view piece : pieces) {
      if (!piece.empty()) parts.push_back({const_cast<char*>(piece.data()), piece.size()});
    }
    std::size_t first = 0;
    while (first < parts.size()) {
      const auto count = static_cast<int>(std::min(parts.size() - first, kMaxIovecs));
      const ssize_t written = ::writev(file_.get(), parts.data() + first, count);
      if (written < 0 && errno == EINTR) continue;
      if (written <= 0) return status_from_errno();
      auto remaining = static_cast<std::size_t>(written);
      while (first < parts.size() && remaining >= parts[first].iov_len) remaining -= parts[first++].iov_len;
      if (first < parts.size() && remaining > 0) {
        parts[first].iov_base = static_cast<char*>(parts[first].iov_base) + remaining;
        parts[first].iov_len -= remaining;
      }
    }
    return IoStatus::kOk;
  }

  bool read(std::uint64_t offset, std::span<char> buffer) override {
    while (!buffer.empty()) {
      const ssize_t count = ::pread(file_.get(), buffer.data(), buffer.size(), static_cast<off_t>(offset));
      if (count < 0 && errno == EINTR) continue;
      if (count <= 0) return false;
      offset += static_cast<std::uint64_t>(count);
      buffer = buffer.subspan(static_cast<std::size_t>(count));
    }
    return true;
  }

  IoStatus sync() override { return ::fdatasync(file_.get()) == 0 ? IoStatus::kOk : status_from_errno(); }

 private:
  Descriptor file_;
};

class PosixFiles : public Files {
 public:
  explicit PosixFiles(std::string folder) : folder_(std::move(folder)) {
    if (::mkdir(folder_.c_str(), 0700) != 0 && errno != EEXIST)
      throw std::runtime_error("folder " + folder_ + " cannot be made: " + std::strerror(errno));
    if (::access(folder_.c_str(), R_OK | W_OK | X_OK) != 0)
      throw std::runtime_error("folder " + folder_ + " cannot be used: " + std::strerror(errno));
  }
  std::unique_ptr<File> create(const std::string& name) override {
    return wrap(::open(path(name).c_str(), O_RDWR | O_CREAT | O_EXCL | O_APPEND | O_CLOEXEC, 0600));
  }
  std::unique_ptr<File> open(const std::string& name, bool& missing) override {
    const int number = ::open(path(name).c_str(), O_RDONLY | O_CLOEXEC);
    missing = number < 0 && errno != EMFILE && errno != ENFILE && errno != ENOMEM;
    return wrap(number);
  }
  bool remove(const std::string& name) override { return ::unlink(path(name).c_str()) == 0; }
  std::vector<std::string> list() override {
    std::vector<std::string> names;
    DIR* folder = ::opendir(folder_.c_str());
    if (folder == nullptr) return names;
    while (const dirent* entry = ::readdir(folder)) {
      if (entry->d_name[0] != '.') names.emplace_back(entry->d_name);
    }
    ::closedir(folder);
    std::sort(names.begin(), names.end());
    return names;
  }
  IoStatus sync_directory() override {
    const Descriptor folder(::open(folder_.c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC));
    return folder.get() >= 0 && ::fsync(folder.get()) == 0 ? IoStatus::kOk : status_from_errno();
  }

 private:
  std::string path(const std::string& name) const { return folder_ + '/' + name; }
  static std::unique_ptr<File> wrap(int number) {
    return number < 0 ? nullptr : std::make_unique<PosixFile>(number);
  }
  std::string folder_;
};

}  // namespace

std::unique_ptr<Files> open_posix_files(const std::string& folder) {
  return std::make_unique<PosixFiles>(folder);
}

}  // namespace steprail::spool

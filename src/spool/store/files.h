// Interfaces to the disk tier's files and to its index, which tests replace by a faulty disk.
//
// Every call can fail and reports it by its result; none throws. A short write counts as failed.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace steprail::spool {

enum class IoStatus { kOk, kNoSpace, kFailed };

class File {
 public:
  virtual ~File() = default;
  // Appends at the end of the file.
  virtual IoStatus append(std::span<const std::string_view> pieces) = 0;
  // Reads exactly this many bytes; false if they do not exist or cannot be read.
  virtual bool read(std::uint64_t offset, std::span<char> buffer) = 0;
  // After kOk all that was appended is durable. After kFailed the state of the data is unknown.
  virtual IoStatus sync() = 0;
};

class Files {
 public:
  virtual ~Files() = default;
  virtual std::unique_ptr<File> create(const std::string& name) = 0;  // null on failure
  // Opens a file for reading; null on failure. `missing` tells a file that does not exist from a lack of file
  // descriptors.
  virtual std::unique_ptr<File> open(const std::string& name, bool& missing) = 0;
  virtual bool remove(const std::string& name) = 0;
  virtual std::vector<std::string> list() = 0;
  // Makes the names of created files durable.
  virtual IoStatus sync_directory() = 0;
};

// One change to the index, which holds one value per result. The changes of one commit() are applied
// atomically and are durable when it returns kOk.
struct Change {
  std::uint64_t key{};
  std::string value;  // empty: erase the key
};

class Index {
 public:
  virtual ~Index() = default;
  virtual IoStatus commit(const std::vector<Change>& changes) = 0;
  // False if the index cannot be read.
  virtual bool scan(const std::function<void(std::uint64_t, std::string_view)>& each) = 0;
};

// Files in one folder, which is created if it does not exist. Throws std::runtime_error if that fails.
std::unique_ptr<Files> open_posix_files(const std::string& folder);

// An LMDB index in the folder's file `index`, which may grow to `max_bytes`. Throws std::runtime_error.
std::unique_ptr<Index> open_lmdb_index(const std::string& folder, std::uint64_t max_bytes);

}  // namespace steprail::spool

// The files of the disk tier, behind an interface that tests put a faulty disk under, and the index beside
// them.
//
// Every call may fail, and says so; none throws. A write may be short, and then it has failed.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace steprail::spool {

enum class Io { kGood, kNoSpace, kFailed };

class File {
 public:
  virtual ~File() = default;
  // Behind what is there.
  virtual Io append(std::span<const std::string_view> pieces) = 0;
  // Exactly so many bytes; false where they are not there or cannot be read.
  virtual bool read(std::uint64_t from, std::span<char> into) = 0;
  // What was appended is on the disk when this returns kGood. After kFailed nothing is known of it.
  virtual Io sync() = 0;
};

class Files {
 public:
  virtual ~Files() = default;
  virtual std::unique_ptr<File> create(const std::string& name) = 0;  // null where it cannot be had
  // To be read; null where it cannot be had. `missing`: because it is not there, and not for want of
  // descriptors.
  virtual std::unique_ptr<File> open(const std::string& name, bool& missing) = 0;
  virtual bool remove(const std::string& name) = 0;
  virtual std::vector<std::string> list() = 0;
  // A file's own name is on the disk once this is.
  virtual Io sync_names() = 0;
};

// What the index knows of a result: one value a result, put and erased in transactions that hold whole or not
// at all, and are on the disk when commit() returns kGood.
struct Change {
  std::uint64_t key{};
  std::string value;  // empty: erase
};

class Index {
 public:
  virtual ~Index() = default;
  virtual Io commit(const std::vector<Change>& changes) = 0;
  // False where it cannot be read.
  virtual bool scan(const std::function<void(std::uint64_t, std::string_view)>& each) = 0;
};

// Files of one folder, which is made if it is not there. Throws std::runtime_error where that cannot be.
std::unique_ptr<Files> posix_files(const std::string& folder);

// LMDB in the folder's file `index`. `most` is the size it may grow to. Throws std::runtime_error.
std::unique_ptr<Index> lmdb_index(const std::string& folder, std::uint64_t most);

}  // namespace steprail::spool

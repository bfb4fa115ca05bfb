#include <lmdb.h>

#include <cstring>
#include <stdexcept>

#include "spool/store/files.h"

namespace steprail::spool {
namespace {

class LmdbIndex : public Index {
 public:
  LmdbIndex(const std::string& folder, std::uint64_t max_bytes) {
    const std::string path = folder + "/index";
    check(mdb_env_create(&env_), "made");
    // One file beside the segments. No lock file: a single process owns the folder.
    const int opened = mdb_env_set_mapsize(env_, max_bytes) == 0
                           ? mdb_env_open(env_, path.c_str(), MDB_NOSUBDIR | MDB_NOLOCK, 0600)
                           : EINVAL;
    if (opened != 0) {
      mdb_env_close(env_);
      throw std::runtime_error("index " + path + " cannot be opened: " + mdb_strerror(opened));
    }
    MDB_txn* txn = nullptr;
    int error = mdb_txn_begin(env_, nullptr, 0, &txn);
    if (error == 0) error = mdb_dbi_open(txn, nullptr, MDB_INTEGERKEY, &table_);
    if (error == 0) error = mdb_txn_commit(txn);
    if (error != 0) {
      mdb_env_close(env_);
      throw std::runtime_error("index " + path + " cannot be used: " + mdb_strerror(error));
    }
  }
  ~LmdbIndex() override { mdb_env_close(env_); }

  IoStatus commit(const std::vector<Change>& changes) override {
    MDB_txn* txn = nullptr;
    int error = mdb_txn_begin(env_, nullptr, 0, &txn);
    if (error != 0) return to_status(error);
    for (const Change& change : changes) {
      std::uint64_t number = change.key;
      MDB_val key{sizeof number, &number};
      MDB_val value{change.value.size(), const_cast<char*>(change.value.data())};
      error =
          change.value.empty() ? mdb_del(txn, table_, &key, nullptr) : mdb_put(txn, table_, &key, &value, 0);
      if (error != 0 && error != MDB_NOTFOUND) {
        mdb_txn_abort(txn);
        return to_status(error);
      }
    }
    error = mdb_txn_commit(txn);
    return error == 0 ? IoStatus::kOk : to_status(error);
  }

  bool scan(const std::function<void(std::uint64_t, std::string_view)>& each) override {
    MDB_txn* txn = nullptr;
    if (mdb_txn_begin(env_, nullptr, MDB_RDONLY, &txn) != 0) return false;
    MDB_cursor* cursor = nullptr;
    int error = mdb_cursor_open(txn, table_, &cursor);
    if (error == 0) {
      MDB_val key{}, value{};
      while ((error = mdb_cursor_get(cursor, &key, &value, MDB_NEXT)) == 0) {
        std::uint64_t number = 0;
        if (key.mv_size != sizeof number) continue;
        std::memcpy(&number, key.mv_data, sizeof number);
        each(number, {static_cast<const char*>(value.mv_data), value.mv_size});
      }
      mdb_cursor_close(cursor);
    }
    mdb_txn_abort(txn);
    return error == MDB_NOTFOUND;
  }

 private:
  static void check(int error, const char* what) {
    if (error != 0)
      throw std::runtime_error(std::string("index cannot be ") + what + ": " + mdb_strerror(error));
  }
  static IoStatus to_status(int error) {
    return error == MDB_MAP_FULL || error == ENOSPC ? IoStatus::kNoSpace : IoStatus::kFailed;
  }

  MDB_env* env_{};
  MDB_dbi table_{};
};

}  // namespace

std::unique_ptr<Index> open_lmdb_index(const std::string& folder, std::uint64_t max_bytes) {
  return std::make_unique<LmdbIndex>(folder, max_bytes);
}

}  // namespace steprail::spool

// Finds the page of a result that holds a given row, and where each page begins in rows and bytes.
//
// Built once and read often, so it holds two flat arrays of prefix sums. The pages of one result hold nearly
// equal numbers of rows: linear interpolation gives a first guess, and an exponential search from there finds
// the page.
#pragma once

#include <algorithm>
#include <cstdint>
#include <vector>

namespace steprail::spool {

class PageIndex {
 public:
  void reserve(std::size_t pages) {
    row_starts_.reserve(pages + 1);
    byte_starts_.reserve(pages + 1);
  }
  void append(std::uint64_t rows, std::uint64_t bytes) {
    row_starts_.push_back(row_starts_.back() + rows);
    byte_starts_.push_back(byte_starts_.back() + bytes);
  }
  void clear() { row_starts_.assign(1, 0), byte_starts_.assign(1, 0); }

  std::size_t page_count() const { return row_starts_.size() - 1; }
  std::uint64_t row_count() const { return row_starts_.back(); }
  std::uint64_t byte_count() const { return byte_starts_.back(); }
  std::uint64_t first_row(std::size_t page) const { return row_starts_[page]; }
  std::uint64_t rows_of(std::size_t page) const { return row_starts_[page + 1] - row_starts_[page]; }
  std::uint64_t bytes_of(std::size_t page) const { return byte_starts_[page + 1] - byte_starts_[page]; }
  std::uint64_t bytes_before(std::size_t page) const { return byte_starts_[page]; }

  // The page that holds the row; page_count() for row_count() and beyond. Pages without rows are never
  // returned.
  std::size_t page_of(std::uint64_t row) const {
    if (row >= row_count()) return page_count();
    const std::size_t n = page_count();
    auto guess = static_cast<std::size_t>(static_cast<double>(row) / static_cast<double>(row_count()) *
                                          static_cast<double>(n));
    guess = std::min(guess, n - 1);
    std::size_t low = guess, high = guess + 1, step = 1;
    while (row_starts_[low] > row) {
      high = low;
      low = low > step ? low - step : 0;
      step *= 2;
    }
    step = 1;
    while (high < n && row_starts_[high] <= row) {
      low = high;
      high = std::min(n, high + step);
      step *= 2;
    }
    const auto from = row_starts_.begin() + static_cast<std::ptrdiff_t>(low);
    const auto to = row_starts_.begin() + static_cast<std::ptrdiff_t>(high);
    return static_cast<std::size_t>(std::upper_bound(from, to, row) - row_starts_.begin()) - 1;
  }

  // The end (exclusive) of the pages from `page` on that fit into a window of this many bytes; at least one
  // page.
  std::size_t window_end(std::size_t page, std::uint64_t window) const {
    const std::uint64_t until = byte_starts_[page] + window;
    const auto at =
        std::upper_bound(byte_starts_.begin() + static_cast<std::ptrdiff_t>(page), byte_starts_.end(), until);
    return std::max(page + 1, static_cast<std::size_t>(at - byte_starts_.begin()) - 1);
  }

  // The end (exclusive) of the pages that hold the bytes of a window which begins with any row of `page`; at
  // least one page. The last of them may be needed in part only.
  std::size_t row_window_end(std::size_t page, std::uint64_t window) const {
    if (page + 1 >= page_count()) return page + 1;
    const std::uint64_t until = byte_starts_[page + 1] + window;
    const auto at = std::lower_bound(byte_starts_.begin() + static_cast<std::ptrdiff_t>(page + 1),
                                     byte_starts_.end(), until);
    return std::min(page_count(), static_cast<std::size_t>(at - byte_starts_.begin()));
  }

 private:
  std::vector<std::uint64_t> row_starts_{0}, byte_starts_{0};
};

}  // namespace steprail::spool

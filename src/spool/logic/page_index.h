// Which page of a result holds a row, and where pages begin in rows and bytes.
//
// Built once, read often: two flat arrays of running sums. Pages of one result hold nearly equal numbers of
// rows, so that a straight line through the ends guesses the page; from the guess, steps that double find it.
#pragma once

#include <algorithm>
#include <cstdint>
#include <vector>

namespace steprail::spool {

class PageIndex {
 public:
  void reserve(std::size_t pages) {
    rows_.reserve(pages + 1);
    bytes_.reserve(pages + 1);
  }
  void add(std::uint64_t rows, std::uint64_t bytes) {
    rows_.push_back(rows_.back() + rows);
    bytes_.push_back(bytes_.back() + bytes);
  }
  void clear() { rows_.assign(1, 0), bytes_.assign(1, 0); }

  std::size_t pages() const { return rows_.size() - 1; }
  std::uint64_t rows() const { return rows_.back(); }
  std::uint64_t bytes() const { return bytes_.back(); }
  std::uint64_t first_row(std::size_t page) const { return rows_[page]; }
  std::uint64_t rows_in(std::size_t page) const { return rows_[page + 1] - rows_[page]; }
  std::uint64_t bytes_in(std::size_t page) const { return bytes_[page + 1] - bytes_[page]; }
  std::uint64_t bytes_before(std::size_t page) const { return bytes_[page]; }

  // The page that holds the row; rows() and beyond: pages(). Pages without rows hold none.
  std::size_t page_of(std::uint64_t row) const {
    if (row >= rows()) return pages();
    const std::size_t n = pages();
    auto guess = static_cast<std::size_t>(static_cast<double>(row) / static_cast<double>(rows()) *
                                          static_cast<double>(n));
    guess = std::min(guess, n - 1);
    std::size_t low = guess, high = guess + 1, step = 1;
    while (rows_[low] > row) {
      high = low;
      low = low > step ? low - step : 0;
      step *= 2;
    }
    step = 1;
    while (high < n && rows_[high] <= row) {
      low = high;
      high = std::min(n, high + step);
      step *= 2;
    }
    const auto from = rows_.begin() + static_cast<std::ptrdiff_t>(low);
    const auto to = rows_.begin() + static_cast<std::ptrdiff_t>(high);
    return static_cast<std::size_t>(std::upper_bound(from, to, row) - rows_.begin()) - 1;
  }

  // The pages from `page` on that a window of so many bytes takes, at least one; the end is not within.
  std::size_t end_of_window(std::size_t page, std::uint64_t window) const {
    const std::uint64_t until = bytes_[page] + window;
    const auto at = std::upper_bound(bytes_.begin() + static_cast<std::ptrdiff_t>(page), bytes_.end(), until);
    return std::max(page + 1, static_cast<std::size_t>(at - bytes_.begin()) - 1);
  }

 private:
  std::vector<std::uint64_t> rows_{0}, bytes_{0};
};

}  // namespace steprail::spool

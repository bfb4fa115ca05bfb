// Counters, gauges and histograms of the whole program, on prometheus-cpp's core. There is no listener: the
// text form is written to a file at SIGUSR1, and tests read it directly.
#pragma once

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>

#include <memory>
#include <string>
#include <vector>

namespace steprail {

class Metrics {
 public:
  using Labels = std::map<std::string, std::string>;
  Metrics();
  // The same name and labels give the same object; it lives as long as this registry. Names and help are the
  // operators' reference: name the unit (`_bytes`, `_seconds`, `_total`).
  prometheus::Counter& counter(const std::string& name, const std::string& help, const Labels& labels = {});
  prometheus::Gauge& gauge(const std::string& name, const std::string& help, const Labels& labels = {});
  prometheus::Histogram& histogram(const std::string& name, const std::string& help,
                                   const std::vector<double>& bounds, const Labels& labels = {});
  // The text exposition format.
  std::string text() const;

 private:
  std::shared_ptr<prometheus::Registry> registry_;
};

// Replaces the file as a whole: a reader sees the old text or the new one. Empty where it worked, else why
// not.
std::string replace_file(const std::string& path, const std::string& text);

}  // namespace steprail

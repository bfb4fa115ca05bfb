// Counters, gauges and histograms of the whole process, based on prometheus-cpp's core. There is no HTTP
// endpoint: the text format is written to a file on SIGUSR1, and tests read it directly.
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
  // The same name and labels return the same object, which lives as long as this registry. Names and help
  // texts are the operators' reference: end the name with its unit (`_bytes`, `_seconds`, `_total`).
  prometheus::Counter& counter(const std::string& name, const std::string& help, const Labels& labels = {});
  prometheus::Gauge& gauge(const std::string& name, const std::string& help, const Labels& labels = {});
  prometheus::Histogram& histogram(const std::string& name, const std::string& help,
                                   const std::vector<double>& bounds, const Labels& labels = {});
  // All metrics in the Prometheus text exposition format.
  std::string serialize() const;

 private:
  std::shared_ptr<prometheus::Registry> registry_;
};

// Replaces the file atomically: a reader sees either the old or the new text. Returns an empty string, or the
// error message.
std::string replace_file(const std::string& path, const std::string& text);

}  // namespace steprail

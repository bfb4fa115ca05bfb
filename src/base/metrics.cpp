#include "base/metrics.h"

#include <prometheus/text_serializer.h>

#include <cerrno>
#include <cstdio>
#include <cstring>
#include <fstream>

namespace steprail {

Metrics::Metrics()
    : registry_(std::make_shared<prometheus::Registry>(prometheus::Registry::InsertBehavior::Merge)) {}

prometheus::Counter& Metrics::counter(const std::string& name, const std::string& help,
                                      const Labels& labels) {
  return prometheus::BuildCounter().Name(name).Help(help).Register(*registry_).Add(labels);
}

prometheus::Gauge& Metrics::gauge(const std::string& name, const std::string& help, const Labels& labels) {
  return prometheus::BuildGauge().Name(name).Help(help).Register(*registry_).Add(labels);
}

prometheus::Histogram& Metrics::histogram(const std::string& name, const std::string& help,
                                          const std::vector<double>& bounds, const Labels& labels) {
  return prometheus::BuildHistogram().Name(name).Help(help).Register(*registry_).Add(labels, bounds);
}

std::string Metrics::serialize() const {
  return prometheus::TextSerializer().Serialize(registry_->Collect());
}

std::string replace_file(const std::string& path, const std::string& text) {
  const std::string temporary_path = path + ".new";
  {
    std::ofstream out(temporary_path, std::ios::trunc);
    out << text;
    out.flush();
    if (!out) return temporary_path + " cannot be written: " + std::strerror(errno);
  }
  if (std::rename(temporary_path.c_str(), path.c_str()) != 0)
    return path + " cannot be replaced: " + std::strerror(errno);
  return {};
}

}  // namespace steprail

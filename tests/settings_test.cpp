#include <limits>
#include <stdexcept>

#include "harness.h"

namespace steprail::testing {
namespace {

struct Fault {
  const char* field;
  void (*spoil)(Settings&);
};

void PrintTo(const Fault& fault, std::ostream* out) { *out << fault.field; }

class Faulty : public ::testing::TestWithParam<Fault> {};

TEST_P(Faulty, IsRefusedByName) {
  Settings settings = basic_settings();
  settings.tenants.push_back({.quota_rps = 10, .share = 0.5});
  EXPECT_NO_THROW(Gateway(1, settings));
  GetParam().spoil(settings);
  try {
    Gateway gateway(1, settings);
    FAIL() << "accepted a wrong " << GetParam().field;
  } catch (const std::invalid_argument& fault) {
    EXPECT_NE(std::string(fault.what()).find(GetParam().field), std::string::npos) << fault.what();
  }
}

INSTANTIATE_TEST_SUITE_P(
    Settings, Faulty,
    ::testing::Values(Fault{"classes", [](Settings& s) { s.classes.clear(); }},
                      Fault{"kinds", [](Settings& s) { s.kinds.clear(); }},
                      Fault{"gateways", [](Settings& s) { s.gateways = 0; }},
                      Fault{"own_zone", [](Settings& s) { s.own_zone = 2; }},
                      Fault{"classes[0].hard_limit", [](Settings& s) { s.classes[0].hard_limit = -1s; }},
                      Fault{"classes[1].zones", [](Settings& s) { s.classes[1].zones = {5}; }},
                      Fault{"classes[0].kinds", [](Settings& s) { s.classes[0].kinds = {-1}; }},
                      Fault{"classes[0].threads", [](Settings& s) { s.classes[0].threads = 0; }},
                      Fault{"classes[2].late_share", [](Settings& s) { s.classes[2].late_share = 1.5; }},
                      Fault{"tenants[0].share", [](Settings& s) { s.tenants[0].share = -0.1; }},
                      Fault{"tenants[0].quota_rps",
                            [](Settings& s) {
                              s.tenants[0].quota_rps = std::numeric_limits<double>::quiet_NaN();
                            }},
                      Fault{"cold_from", [](Settings& s) { s.cold_from = 2; }},
                      Fault{"most_tries", [](Settings& s) { s.most_tries = 0; }},
                      Fault{"fall_after", [](Settings& s) { s.fall_after = -1us; }}));

}  // namespace
}  // namespace steprail::testing

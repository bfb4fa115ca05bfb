#include <limits>
#include <stdexcept>

#include "harness.h"

namespace steprail::testing {
namespace {

struct InvalidField {
  const char* field;
  void (*make_invalid)(Settings&);
};

void PrintTo(const InvalidField& invalid, std::ostream* out) { *out << invalid.field; }

class SettingsValidation : public ::testing::TestWithParam<InvalidField> {};

TEST_P(SettingsValidation, ErrorNamesTheInvalidField) {
  Settings settings = basic_settings();
  settings.tenants.push_back({.quota_rps = 10, .share = 0.5});
  EXPECT_NO_THROW(Gateway(1, settings));
  GetParam().make_invalid(settings);
  try {
    Gateway gateway(1, settings);
    FAIL() << "accepted an invalid " << GetParam().field;
  } catch (const std::invalid_argument& thrown) {
    EXPECT_NE(std::string(thrown.what()).find(GetParam().field), std::string::npos) << thrown.what();
  }
}

INSTANTIATE_TEST_SUITE_P(
    Settings, SettingsValidation,
    ::testing::Values(
        InvalidField{"classes", [](Settings& s) { s.classes.clear(); }},
        InvalidField{"kinds", [](Settings& s) { s.kinds.clear(); }},
        InvalidField{"gateways", [](Settings& s) { s.gateways = 0; }},
        InvalidField{"own_zone", [](Settings& s) { s.own_zone = 2; }},
        InvalidField{"classes[0].hard_limit", [](Settings& s) { s.classes[0].hard_limit = -1s; }},
        InvalidField{"classes[1].zones", [](Settings& s) { s.classes[1].zones = {5}; }},
        InvalidField{"classes[0].kinds", [](Settings& s) { s.classes[0].kinds = {-1}; }},
        InvalidField{"classes[0].threads", [](Settings& s) { s.classes[0].threads = 0; }},
        InvalidField{"classes[2].late_share", [](Settings& s) { s.classes[2].late_share = 1.5; }},
        InvalidField{"tenants[0].share", [](Settings& s) { s.tenants[0].share = -0.1; }},
        InvalidField{"tenants[0].quota_rps",
                     [](Settings& s) { s.tenants[0].quota_rps = std::numeric_limits<double>::quiet_NaN(); }},
        InvalidField{"cold_from", [](Settings& s) { s.slow_start_share = 2; }},
        InvalidField{"most_tries", [](Settings& s) { s.max_attempts = 0; }},
        InvalidField{"overload_window", [](Settings& s) { s.overload_window = -1us; }}));

}  // namespace
}  // namespace steprail::testing

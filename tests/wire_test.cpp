// The adapter alone: lines in, lines out.
#include <gtest/gtest.h>
#include <sys/wait.h>

#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <nlohmann/json.hpp>
#include <sstream>

namespace {

using nlohmann::json;

struct Played {
  int code{};
  std::vector<json> lines;
  std::string fault;
};

std::string slurp(const std::string& path) {
  std::ifstream file(path);
  std::stringstream text;
  text << file.rdbuf();
  return text.str();
}

Played play(const std::string& input) {
  char path[] = "/tmp/steprail-wire-XXXXXX";
  const std::string dir = mkdtemp(path);
  std::ofstream(dir + "/in") << input;
  const std::string command =
      std::string(STEPRAIL_WIREHOST) + " <" + dir + "/in >" + dir + "/out 2>" + dir + "/err";
  Played result;
  result.code = WEXITSTATUS(std::system(command.c_str()));
  std::stringstream out(slurp(dir + "/out"));
  for (std::string line; std::getline(out, line);) result.lines.push_back(json::parse(line));
  result.fault = slurp(dir + "/err");
  for (const char* name : {"/in", "/out", "/err"}) std::remove((dir + name).c_str());
  std::remove(dir.c_str());
  return result;
}

json settings() {
  return {{"balancers", 1},
          {"rank", 0},
          {"localities", {"here"}},
          {"locality", "here"},
          {"host_types", {"box"}},
          {"registry_mode", "push"},
          {"reporting", {{"how", "piggyback"}, {"names", {"concurrent"}}}},
          {"family_info", {{"cores_by_kind", {8}}, {"threads_by_class", {1}}, {"says_cost", true}}},
          {"limits", {{"most_tries", 3}, {"may_cancel", true}}},
          {"rules", {{"cold_from", 0.3}, {"overload_factor", 2.0}}},
          {"unheard_of", true},
          {"profiles",
           {{{"name", "small"},
             {"effect", "repeatable"},
             {"objective_us", 500000},
             {"hard_limit_us", 3000000}}}}};
}

std::string opening(const json& params = settings()) {
  const json start = {{"start", {{"who", "dispatcher/0"}, {"salt", 5}, {"params", params}}}};
  return R"({"begin_batch":{"at_time_us":1000,"turn":1}})"
         "\n" +
         start.dump() + "\n" +
         R"({"snapshot_rows":{"roster_id":0,"entries":[{"node":"10.0.0.1:1","zone":"here","machine":"box","health":"ready"}]}})"
         "\n"
         R"({"sync":{"who":"dispatcher/0","mode":"SAVED","seq_no":1,"roster_id":0}})"
         "\n"
         R"({"commit":{}})"
         "\n";
}

std::string batch(const std::string& event) {
  return R"({"begin_batch":{"at_time_us":2000,"turn":2}})"
         "\n" +
         event + "\n" + R"({"commit":{}})" + "\n";
}

const std::string kArrival =
    R"({"arrival":{"who":"dispatcher/0","op_id":42,"type":"small","left_us":3000000,"guess_us":9000,"odd":1}})";

TEST(Wire, AQueryIsSentToTheListedEngine) {
  const Played result = play(opening() + batch(kArrival));
  EXPECT_EQ(result.code, 0) << result.fault;
  ASSERT_EQ(result.lines.size(), 4U);
  EXPECT_EQ(result.lines[1]["yield"]["turn"], 1);
  EXPECT_EQ(result.lines[2]["hand_off"]["op_id"], 42);
  EXPECT_EQ(result.lines[2]["hand_off"]["node"], "10.0.0.1:1");
  EXPECT_EQ(result.lines[2]["hand_off"]["who"], "dispatcher/0");
  EXPECT_EQ(result.lines[3]["yield"]["turn"], 2);
}

TEST(Wire, AnOutcomeWithItsReportIsUnderstood) {
  const Played result = play(
      opening() + batch(kArrival) +
      batch(
          R"({"closed_attempt":{"who":"dispatcher/0","op_id":42,"status":"delivered","node":"10.0.0.1:1",)"
          R"("round_no":0,"stats":36867,"delay_seen_us":9500,"closed":true,"health_info":{"concurrent":3}}})"));
  EXPECT_EQ(result.code, 0) << result.fault;
  EXPECT_EQ(result.lines.size(), 5U);
}

TEST(Wire, AnEmptyBatchYields) {
  const Played result = play("{\"begin_batch\":{\"at_time_us\":1,\"turn\":9}}\n{\"commit\":{}}\n");
  EXPECT_EQ(result.code, 0);
  ASSERT_EQ(result.lines.size(), 1U);
  EXPECT_EQ(result.lines[0]["yield"]["turn"], 9);
}

TEST(Wire, BadSettingsBecomeAnInternalError) {
  json params = settings();
  params["limits"]["most_tries"] = 0;
  const Played result = play(opening(params));
  EXPECT_EQ(result.code, 0) << result.fault;
  ASSERT_FALSE(result.lines.empty());
  EXPECT_NE(result.lines[0]["internal_error"]["what"].get<std::string>().find("most_tries"),
            std::string::npos);
}

struct BadLine {
  const char* line;
  const char* fault;
};
void PrintTo(const BadLine& bad, std::ostream* out) { *out << bad.fault; }
class Malformed : public ::testing::TestWithParam<BadLine> {};

TEST_P(Malformed, EndsWithTheLineAndTheFault) {
  const Played result = play(opening() + batch(GetParam().line));
  EXPECT_NE(result.code, 0);
  EXPECT_NE(result.fault.find("line 7"), std::string::npos) << result.fault;
  EXPECT_NE(result.fault.find(GetParam().fault), std::string::npos) << result.fault;
}

INSTANTIATE_TEST_SUITE_P(
    Wire, Malformed,
    ::testing::Values(
        BadLine{"nonsense", "parse"}, BadLine{R"({"arrival":{"op_id":1}})", "who"},
        BadLine{R"({"arrival":{"who":"dispatcher/0","op_id":1,"type":"huge"}})", "huge"},
        BadLine{R"({"sync":{"who":"dispatcher/0","mode":"FULL","seq_no":2,"roster_id":9}})", "list"},
        BadLine{R"({"alarm":{"who":"dispatcher/8","label":1}})", "dispatcher/8"},
        BadLine{R"({"mystery":{"who":"dispatcher/0","op_id":1,"round_no":0,"node":"10.0.0.1:1"}})",
                "mystery"}));

}  // namespace

// The adapter for the simulator, run as a program: JSON lines on standard input, JSON lines on standard
// output.
#include <gtest/gtest.h>
#include <sys/wait.h>

#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <nlohmann/json.hpp>
#include <sstream>

namespace {

using nlohmann::json;

struct Output {
  int code{};  // exit code
  std::vector<json> lines;
  std::string stderr_text;
};

std::string read_file(const std::string& path) {
  std::ifstream file(path);
  std::stringstream text;
  text << file.rdbuf();
  return text.str();
}

Output run_adapter(const std::string& input) {
  char path[] = "/tmp/steprail-wire-XXXXXX";
  const std::string dir = mkdtemp(path);
  std::ofstream(dir + "/in") << input;
  const std::string command =
      std::string(STEPRAIL_WIREHOST) + " <" + dir + "/in >" + dir + "/out 2>" + dir + "/err";
  Output result;
  result.code = WEXITSTATUS(std::system(command.c_str()));
  std::stringstream out(read_file(dir + "/out"));
  for (std::string line; std::getline(out, line);) result.lines.push_back(json::parse(line));
  result.stderr_text = read_file(dir + "/err");
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

// One batch that starts a gateway and lists one engine: five lines.
std::string start_messages(const json& params = settings()) {
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
  const Output result = run_adapter(start_messages() + batch(kArrival));
  EXPECT_EQ(result.code, 0) << result.stderr_text;
  ASSERT_EQ(result.lines.size(), 4U);
  EXPECT_EQ(result.lines[1]["yield"]["turn"], 1);
  EXPECT_EQ(result.lines[2]["hand_off"]["op_id"], 42);
  EXPECT_EQ(result.lines[2]["hand_off"]["node"], "10.0.0.1:1");
  EXPECT_EQ(result.lines[2]["hand_off"]["who"], "dispatcher/0");
  EXPECT_EQ(result.lines[3]["yield"]["turn"], 2);
}

TEST(Wire, AnAttemptsEndWithALoadReportIsAccepted) {
  const Output result = run_adapter(
      start_messages() + batch(kArrival) +
      batch(
          R"({"closed_attempt":{"who":"dispatcher/0","op_id":42,"status":"delivered","node":"10.0.0.1:1",)"
          R"("round_no":0,"stats":36867,"delay_seen_us":9500,"closed":true,"health_info":{"concurrent":3}}})"));
  EXPECT_EQ(result.code, 0) << result.stderr_text;
  EXPECT_EQ(result.lines.size(), 5U);
}

TEST(Wire, AnEmptyBatchIsAcknowledged) {
  const Output result = run_adapter("{\"begin_batch\":{\"at_time_us\":1,\"turn\":9}}\n{\"commit\":{}}\n");
  EXPECT_EQ(result.code, 0);
  ASSERT_EQ(result.lines.size(), 1U);
  EXPECT_EQ(result.lines[0]["yield"]["turn"], 9);
}

TEST(Wire, InvalidSettingsAreReportedAsAnInternalError) {
  json params = settings();
  params["limits"]["most_tries"] = 0;
  const Output result = run_adapter(start_messages(params));
  EXPECT_EQ(result.code, 0) << result.stderr_text;
  ASSERT_FALSE(result.lines.empty());
  EXPECT_NE(result.lines[0]["internal_error"]["what"].get<std::string>().find("most_tries"),
            std::string::npos);
}

struct MalformedMessage {
  const char* line;
  const char* expected_text;  // that standard error must contain
};
void PrintTo(const MalformedMessage& message, std::ostream* out) { *out << message.expected_text; }
class MalformedInput : public ::testing::TestWithParam<MalformedMessage> {};

TEST_P(MalformedInput, EndsWithTheLineNumberAndTheError) {
  const Output result = run_adapter(start_messages() + batch(GetParam().line));
  EXPECT_NE(result.code, 0);
  EXPECT_NE(result.stderr_text.find("line 7"), std::string::npos) << result.stderr_text;
  EXPECT_NE(result.stderr_text.find(GetParam().expected_text), std::string::npos) << result.stderr_text;
}

INSTANTIATE_TEST_SUITE_P(
    Wire, MalformedInput,
    ::testing::Values(
        MalformedMessage{"nonsense", "parse"}, MalformedMessage{R"({"arrival":{"op_id":1}})", "who"},
        MalformedMessage{R"({"arrival":{"who":"dispatcher/0","op_id":1,"type":"huge"}})", "huge"},
        MalformedMessage{R"({"sync":{"who":"dispatcher/0","mode":"FULL","seq_no":2,"roster_id":9}})", "list"},
        MalformedMessage{R"({"alarm":{"who":"dispatcher/8","label":1}})", "dispatcher/8"},
        MalformedMessage{R"({"mystery":{"who":"dispatcher/0","op_id":1,"round_no":0,"node":"10.0.0.1:1"}})",
                         "mystery"}));

}  // namespace

#include "routes/plan/plan.h"

#include <glpk.h>

#include <algorithm>
#include <cmath>
#include <memory>
#include <optional>

namespace steprail::routes {
namespace {

constexpr double kFullLoad = 0.85;    // of the cores: beyond it queues grow without end
constexpr double kLimitMargin = 1.5;  // a limit's most over the mean that is open by Little's law
constexpr double kGridStep = 1.25;    // between one patience that is weighed and the next

// The log-normal with this mean and deviation.
struct LogNormal {
  double mu{}, sigma{}, mean{};
  LogNormal(double mean_, double spread) : mean(mean_) {
    const double s2 = std::log(1 + spread * spread);
    sigma = std::sqrt(s2);
    mu = std::log(mean) - s2 / 2;
  }
  static double phi(double z) { return 0.5 * std::erfc(-z / std::sqrt(2.0)); }
  double below(double x) const { return x <= 0 ? 0 : phi((std::log(x) - mu) / sigma); }
  double mean_up_to(double x) const {  // E[min(X, x)]
    return x <= 0 ? 0 : mean * phi((std::log(x) - mu - sigma * sigma) / sigma) + x * (1 - below(x));
  }
};

double ms(Micros time) { return static_cast<double>(time.count()) / 1e3; }

struct Option {
  int attempts{1};
  Micros patience{0};
  Expected expected;
};

// All options that keep to the limit: patience on a geometric grid, up to what is left for each attempt.
std::vector<Option> options(const Stream& stream, const ClassSettings& cls, int most_tries) {
  std::vector<Option> found;
  const int most = cls.idempotency == Idempotency::kNone ? 1 : most_tries;
  for (int n = 1; n <= most; ++n) {
    const Micros longest{cls.hard_limit.count() / n};
    found.push_back({n, longest, expected(stream, cls, n, longest)});
    for (double p = std::max(10.0, stream.time_ms / 4); p < ms(longest); p *= kGridStep) {
      const Micros patience{static_cast<std::int64_t>(p) * 1000};
      found.push_back({n, patience, expected(stream, cls, n, patience)});
    }
  }
  return found;
}

struct ProblemEnd {
  void operator()(glp_prob* problem) const { glp_delete_prob(problem); }
};

}  // namespace

Expected expected(const Stream& stream, const ClassSettings& cls, int attempts, Micros patience) {
  const LogNormal time(stream.time_ms, stream.spread);
  const double p = ms(patience), aim = ms(cls.objective) + cls.aim_stretch * stream.time_ms,
               good = 1 - stream.lost;
  const double answered = good * time.below(p);
  Expected out;
  double comes_to = 1;  // the chance that this attempt is made
  for (int k = 0; k < attempts; ++k) {
    const double in_time = good * time.below(std::min(p, aim - k * p));
    out.worth += comes_to * cls.worth * (in_time + (answered - in_time) * cls.late_share);
    out.busy_ms += comes_to * (good * time.mean_up_to(p) + stream.lost * p) * cls.threads;
    if (k > 0) out.extra += comes_to;
    comes_to *= 1 - answered;
  }
  return out;
}

Plan plan(const Traffic& traffic, const Settings& settings, const NameTables& tables) {
  Plan out;
  struct Row {
    const Stream* stream;
    const ClassSettings* cls;
    std::vector<Option> options;
    std::optional<std::size_t> taken;
    double admitted{0};
  };
  std::vector<Row> rows;
  for (const Stream& stream : traffic.streams) {
    const int cls = tables.classes.index(stream.cls);
    if (cls < 0 || (!stream.tenant.empty() && tables.tenants.index(stream.tenant) < 0)) {
      out.fault = "line " + std::to_string(stream.line) + ": traffic '" + stream.name +
                  "' is of a class or tenant that nobody has";
      return out;
    }
    const ClassSettings& settings_of = settings.classes[static_cast<std::size_t>(cls)];
    rows.push_back({&stream, &settings_of, options(stream, settings_of, settings.max_attempts), {}, 0});
  }
  if (rows.empty()) {
    out.fault = "there is no traffic to plan for";
    return out;
  }
  const double capacity = traffic.cores * 1000 * kFullLoad;  // thread milliseconds a second

  // x: this option is the stream's; y: the part of the stream that it lets in. Worth is linear in y.
  glp_term_out(GLP_OFF);
  const std::unique_ptr<glp_prob, ProblemEnd> problem(glp_create_prob());
  glp_prob* lp = problem.get();
  glp_set_obj_dir(lp, GLP_MAX);
  std::vector<int> row_of{0}, column_of{0};
  std::vector<double> value{0};
  const auto put = [&](int row, int column, double of) {
    row_of.push_back(row), column_of.push_back(column), value.push_back(of);
  };
  const int load = glp_add_rows(lp, 1);
  glp_set_row_bnds(lp, load, GLP_UP, 0, capacity);
  const int extra = settings.retry_budget_ratio ? glp_add_rows(lp, 1) : 0;
  if (extra > 0) glp_set_row_bnds(lp, extra, GLP_UP, 0, 0);
  std::vector<int> first_column;
  for (const Row& row : rows) {
    const int count = static_cast<int>(row.options.size());
    const int x = glp_add_cols(lp, 2 * count), one = glp_add_rows(lp, 1);
    first_column.push_back(x);
    glp_set_row_bnds(lp, one, GLP_FX, 1, 1);
    for (int o = 0; o < count; ++o) {
      const Expected& e = row.options[static_cast<std::size_t>(o)].expected;
      const int chosen = x + o, let_in = x + count + o, within = glp_add_rows(lp, 1);
      glp_set_col_kind(lp, chosen, GLP_BV);
      glp_set_col_bnds(lp, let_in, GLP_DB, 0, 1);
      glp_set_obj_coef(lp, let_in, row.stream->rate * e.worth);
      put(one, chosen, 1);
      glp_set_row_bnds(lp, within, GLP_UP, 0, 0);
      put(within, let_in, 1), put(within, chosen, -1);
      put(load, let_in, row.stream->rate * e.busy_ms);
      if (extra > 0) put(extra, let_in, row.stream->rate * (e.extra - *settings.retry_budget_ratio));
    }
  }
  glp_load_matrix(lp, static_cast<int>(value.size()) - 1, row_of.data(), column_of.data(), value.data());
  glp_iocp parameters;
  glp_init_iocp(&parameters);
  parameters.presolve = GLP_ON;
  parameters.msg_lev = GLP_MSG_OFF;
  parameters.mip_gap = 0.001;
  parameters.tm_lim = 20'000;  // the best so far will do
  glp_intopt(lp, &parameters);
  const int status = glp_mip_status(lp);
  if (status != GLP_OPT && status != GLP_FEAS) {
    out.fault = "no plan keeps to the rules";
    return out;
  }
  out.worth = glp_mip_obj_val(lp);
  double busy_before = 0;
  for (std::size_t r = 0; r < rows.size(); ++r) {
    Row& row = rows[r];
    const int count = static_cast<int>(row.options.size());
    for (int o = 0; o < count; ++o) {
      if (glp_mip_col_val(lp, first_column[r] + o) < 0.5) continue;
      row.taken = static_cast<std::size_t>(o);
      row.admitted = glp_mip_col_val(lp, first_column[r] + count + o);
    }
    busy_before += row.stream->rate * expected(*row.stream, *row.cls, 1, row.cls->hard_limit).busy_ms;
  }
  // Without routes: one attempt for as long as the client waits, and all alike go short where the cores do.
  const double all_alike = std::min(1.0, capacity / std::max(1.0, busy_before));
  for (const Row& row : rows)
    out.worth_before +=
        row.stream->rate * all_alike * expected(*row.stream, *row.cls, 1, row.cls->hard_limit).worth;

  for (const Row& row : rows) {
    if (!row.taken) continue;
    const Option& option = row.options[*row.taken];
    const Stream& stream = *row.stream;
    PlannedRoute route{stream.name,  stream.cls, stream.tenant, option.attempts, option.patience,
                       row.admitted, {}};
    const double worth = stream.rate * row.admitted * option.expected.worth;
    const auto without = [&](int attempts, Micros patience) {
      return worth - stream.rate * row.admitted * expected(stream, *row.cls, attempts, patience).worth;
    };
    if (row.cls->idempotency != Idempotency::kNone)
      route.lines.push_back({"attempts " + std::to_string(option.attempts), without(1, option.patience)});
    if (option.patience < row.cls->hard_limit)
      route.lines.push_back({"patience " + std::to_string(option.patience.count() / 1000) + "ms",
                             without(1, row.cls->hard_limit)});
    const double open = stream.rate * row.admitted * option.expected.busy_ms / row.cls->threads / 1000;
    const int most = std::max(1, static_cast<int>(std::ceil(kLimitMargin * open)));
    route.lines.push_back({"limit " + std::to_string(std::max(1, most / 4)) + ' ' + std::to_string(most), 0});
    if (row.admitted < 0.999) {
      const int rate = std::max(1, static_cast<int>(std::floor(stream.rate * row.admitted)));
      // What all the others would lose, if this one came in whole and all went short alike.
      const double more = stream.rate * (1 - row.admitted) * option.expected.busy_ms;
      const double short_by = more / (capacity + more);
      route.lines.push_back(
          {"rate " + std::to_string(rate) + ' ' + std::to_string(rate),
           std::max(0.0, out.worth * short_by - stream.rate * (1 - row.admitted) * option.expected.worth)});
    }
    out.routes.push_back(std::move(route));
  }
  return out;
}

}  // namespace steprail::routes

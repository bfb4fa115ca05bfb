#include "routes/check/check.h"

#include <z3++.h>

#include <algorithm>
#include <cstdio>

namespace steprail::routes {
namespace {

std::string seconds(double us) {
  char text[32];
  std::snprintf(text, sizeof text, "%.3f", us / 1e6);
  std::string out = text;
  while (out.back() == '0') out.pop_back();
  if (out.back() == '.') out.pop_back();
  return out + " s";
}

std::string percent(double share) {
  char text[32];
  std::snprintf(text, sizeof text, "%g%%", share * 100);
  return text;
}

// A decimal figure as a fraction that the solver reads exactly.
z3::expr real(z3::context& z, double value) {
  char text[64];
  std::snprintf(text, sizeof text, "%.9f", value);
  return z.real_val(text);
}

std::int64_t whole(const z3::model& model, const z3::expr& of) {
  const z3::expr value = model.eval(of, true);
  if (value.is_int()) return value.get_numeral_int64();
  return value.numerator().get_numeral_int64() / value.denominator().get_numeral_int64();
}

class Checker {
 public:
  Checker(const RouteConf& conf, const RouteSet& set, const Settings& settings, const NameTables& tables)
      : conf_(conf), set_(set), s_(settings), tables_(tables) {}

  std::vector<Finding> run() {
    for (std::size_t r = 0; r < set_.routes.size(); ++r) {
      const Match& match = set_.routes[r].match;
      for (int cls = 0; cls < static_cast<int>(s_.classes.size()); ++cls) {
        if (match.cls >= 0 && match.cls != cls) continue;
        if (hidden(r, cls)) continue;
        second_run(r, cls);
        two_out(r, cls);
        beyond_limit(r, cls);
        empty_pool(r, cls);
      }
    }
    cold_starts();
    rations();
    // One line is told once, whatever the number of classes it is wrong for.
    std::vector<Finding> told;
    for (Finding& finding : found_) {
      const bool known = std::any_of(told.begin(), told.end(), [&](const Finding& other) {
        return other.line == finding.line && other.rule == finding.rule;
      });
      if (!known) told.push_back(std::move(finding));
    }
    return told;
  }

 private:
  const ClassSettings& of(int cls) const { return s_.classes[static_cast<std::size_t>(cls)]; }
  std::string name(int cls) const { return tables_.classes.name(cls); }
  const Terms& terms(std::size_t route) const { return set_.routes[route].terms; }
  static std::size_t or_else(std::size_t line, std::size_t otherwise) { return line != 0 ? line : otherwise; }

  // Requests of this class never take this route: a more specific one holds for all of them.
  bool hidden(std::size_t route, int cls) const {
    Match own = set_.routes[route].match;
    own.cls = cls;
    return std::any_of(set_.routes.begin(), set_.routes.end(), [&](const Route& other) {
      return &other != &set_.routes[route] && own.within(other.match) &&
             other.match.within(set_.routes[route].match);
    });
  }
  int most_tries(std::size_t route) const {
    return terms(route).attempts > 0 ? std::min(terms(route).attempts, s_.max_attempts) : s_.max_attempts;
  }
  Micros patience(std::size_t route, std::size_t attempt, int cls) const {
    const auto& all = terms(route).patience;
    return all.empty() ? of(cls).hard_limit : all[std::min(attempt, all.size() - 1)];
  }

  // A second attempt of what must not run twice. The module would not make it; a file that asks for it is
  // wrong.
  void second_run(std::size_t r, int cls) {
    if (of(cls).idempotency != Idempotency::kNone || terms(r).attempts < 2) return;
    z3::context& z = z_;
    z3::expr_vector holds(z);
    const z3::expr attempts = z.int_const("attempts"), first_ran = z.bool_const("first_ran");
    holds.push_back(attempts >= 1 && attempts <= terms(r).attempts && attempts >= 2 && first_ran);
    if (!possible(holds)) return;
    Finding finding{
        or_else(conf_.routes[r].attempts_line, set_.routes[r].line), Finding::Rule::kSecondRun, "", cls, {}};
    const Micros out = patience(r, 0, cls);
    finding.attempts = {{Micros{0}, out}, {out + terms(r).pause, out + terms(r).pause + patience(r, 1, cls)}};
    finding.text = name(cls) + " may be tried " + std::to_string(terms(r).attempts) +
                   " times, though it must not run twice: its first attempt ran and was silent for " +
                   seconds(static_cast<double>(out.count())) + ", its second one runs again";
    found_.push_back(std::move(finding));
  }

  // A later copy leaves while the first attempt may still be out.
  void two_out(std::size_t r, int cls) {
    if (terms(r).copy_after.count() == 0 || most_tries(r) < 2) return;
    z3::context& z = z_;
    z3::optimize solver(z);
    const z3::expr ends = z.int_const("ends"), copy = z.int_const("copy");
    solver.add(ends > 0 && ends <= z.int_val(static_cast<std::int64_t>(patience(r, 0, cls).count())));
    solver.add(copy == z.int_val(static_cast<std::int64_t>(terms(r).copy_after.count())) && copy < ends);
    solver.minimize(ends);
    if (solver.check() != z3::sat) return;
    const Micros at{whole(solver.get_model(), copy)}, until = patience(r, 0, cls);
    Finding finding{
        or_else(conf_.routes[r].copy_line, set_.routes[r].line), Finding::Rule::kTwoOut, "", cls, {}};
    finding.attempts = {{Micros{0}, until}, {at, until}};
    finding.text = name(cls) + " may have two attempts out at once: a copy leaves after " +
                   seconds(static_cast<double>(at.count())) + ", and the first attempt may be out for " +
                   seconds(static_cast<double>(until.count()));
    found_.push_back(std::move(finding));
  }

  // Patience and pauses together go beyond the time at which the client gives up.
  void beyond_limit(std::size_t r, int cls) {
    if (terms(r).patience.empty() && terms(r).pause.count() == 0) return;
    const bool once = of(cls).idempotency == Idempotency::kNone;
    const int most = once ? 1 : most_tries(r);
    z3::context& z = z_;
    z3::expr_vector holds(z);
    std::vector<z3::expr> out, pause;
    z3::expr used = z.real_val(0), attempts = z.int_const("attempts");
    holds.push_back(attempts >= 1 && attempts <= most);
    const auto nominal = static_cast<double>(terms(r).pause.count());
    const auto low = static_cast<std::int64_t>(nominal * (1 - terms(r).jitter));
    const auto high = static_cast<std::int64_t>(nominal * (1 + terms(r).jitter));
    for (int i = 0; i < most; ++i) {
      out.push_back(z.real_const(("out" + std::to_string(i)).c_str()));
      pause.push_back(z.real_const(("pause" + std::to_string(i)).c_str()));
      // Where the file leaves the patience to the module it is bound by the time that is left.
      const std::int64_t longest =
          terms(r).patience.empty() ? 0 : patience(r, static_cast<std::size_t>(i), cls).count();
      holds.push_back(out.back() >= 0 && out.back() <= z.real_val(longest));
      holds.push_back(pause.back() >= z.real_val(low) && pause.back() <= z.real_val(high));
      used = used + z3::ite(attempts > i, out.back(), z.real_val(0));
      if (i > 0) used = used + z3::ite(attempts > i, pause.back(), z.real_val(0));
    }
    holds.push_back(used > z.real_val(static_cast<std::int64_t>(of(cls).hard_limit.count())));
    // Whether there is such a history is quickly said; to look for the shortest one takes longer, and is
    // rarely needed.
    if (!possible(holds)) return;
    // The fewest attempts first, and of those histories the longest: that is what the operator has to bring
    // down. One question after the other: asked both at once the solver may stop short of the second one's
    // best.
    z3::optimize fewest(z), solver(z);
    fewest.add(holds);
    fewest.minimize(attempts);
    if (fewest.check() != z3::sat) return;
    solver.add(holds);
    solver.add(attempts == z.int_val(whole(fewest.get_model(), attempts)));
    solver.maximize(used);
    if (solver.check() != z3::sat) return;
    const z3::model model = solver.get_model();
    const auto n = static_cast<std::size_t>(whole(model, attempts));
    Finding finding{
        or_else(conf_.routes[r].patience_line, or_else(conf_.routes[r].pause_line, set_.routes[r].line)),
        Finding::Rule::kBeyondLimit,
        "",
        cls,
        {}};
    Micros at{0};
    std::int64_t pauses = 0;
    bool equal = true;
    for (std::size_t i = 0; i < n; ++i) {
      if (i > 0) {
        const Micros wait{whole(model, pause[i])};
        pauses += wait.count();
        at += wait;
      }
      const Micros longest{whole(model, out[i])};
      equal = equal && longest.count() == whole(model, out[0]);
      finding.attempts.push_back({at, at + longest});
      at += longest;
    }
    std::string sum;
    if (equal && n > 1) {
      sum = std::to_string(n) + " x " + seconds(static_cast<double>(whole(model, out[0])));
    } else {
      for (std::size_t i = 0; i < n; ++i)
        sum += (i ? " + " : "") + seconds(static_cast<double>(whole(model, out[i])));
    }
    if (pauses > 0) sum += " + " + seconds(static_cast<double>(pauses));
    if (n > 1) sum += " = " + seconds(static_cast<double>(at.count()));
    finding.text = name(cls) + " may be out for " + sum + ", given up after " +
                   seconds(static_cast<double>(of(cls).hard_limit.count()));
    found_.push_back(std::move(finding));
  }

  // No engine can ever be in the pool, as far as the class may go there at all.
  void empty_pool(std::size_t r, int cls) {
    const auto pool = std::find_if(set_.pools.begin(), set_.pools.end(),
                                   [&](const Pool& p) { return p.name == terms(r).pool; });
    if (pool == set_.pools.end()) return;
    z3::context& z = z_;
    z3::expr_vector holds(z);
    const z3::expr zone = z.int_const("zone"), kind = z.int_const("kind");
    const auto among = [&](const z3::expr& one, const std::vector<int>& of, int count) {
      holds.push_back(one >= 0 && one < count);
      if (of.empty()) return;
      z3::expr any = z.bool_val(false);
      for (const int value : of) any = any || one == value;
      holds.push_back(any);
    };
    among(zone, pool->zones, s_.zone_count);
    among(kind, pool->kinds, static_cast<int>(s_.kinds.size()));
    among(zone, of(cls).zones, s_.zone_count);
    among(kind, of(cls).kinds, static_cast<int>(s_.kinds.size()));
    if (possible(holds)) return;
    found_.push_back({or_else(conf_.routes[r].pool_line, set_.routes[r].line),
                      Finding::Rule::kEmptyPool,
                      "no engine can ever serve " + name(cls) + " in pool '" + pool->name +
                          "': where the pool's engines are, the class may not go",
                      cls,
                      {}});
  }

  // A pool that returns cold gets more than the rule on cold engines leaves them at some moment.
  void cold_starts() {
    if (s_.slow_start_time.count() <= 0 || s_.slow_start_share >= 1) return;
    for (std::size_t p = 0; p < set_.pools.size(); ++p) {
      const Pool& pool = set_.pools[p];
      if (pool.slow_start.count() == 0) continue;
      z3::context& z = z_;
      z3::optimize solver(z);
      const z3::expr age = z.real_const("age"),
                     time = real(z, static_cast<double>(pool.slow_start.count()) / 1e6);
      const z3::expr cold = real(z, static_cast<double>(s_.slow_start_time.count()) / 1e6);
      const z3::expr from = real(z, pool.slow_from);
      solver.add(age >= 0 && age < cold);
      const z3::expr share = z3::ite(age >= time, z.real_val(1), from + (z.real_val(1) - from) * age / time);
      solver.add(share > real(z, s_.slow_start_share * std::max(1.0, s_.overload_factor)));
      solver.minimize(age);
      if (solver.check() != z3::sat) continue;
      found_.push_back({or_else(conf_.pools[p].start_line, pool.line),
                        Finding::Rule::kColdStart,
                        "pool '" + pool.name + "' starts from " + percent(pool.slow_from) +
                            " and is full after " + seconds(static_cast<double>(pool.slow_start.count())) +
                            "; its engines are cold for " +
                            seconds(static_cast<double>(s_.slow_start_time.count())) + " and can do " +
                            percent(s_.slow_start_share) + " then",
                        -1,
                        {}});
    }
  }

  // Any mix of traffic over the routes: together they may not make more further attempts than the rule
  // allows.
  void rations() {
    if (!s_.retry_budget_ratio) return;
    z3::context& z = z_;
    z3::optimize solver(z);
    z3::expr all = z.real_val(0), extra = z.real_val(0);
    std::vector<z3::expr> parts;
    for (std::size_t r = 0; r < set_.routes.size(); ++r) {
      parts.push_back(z.real_const(("part" + std::to_string(r)).c_str()));
      solver.add(parts.back() >= 0);
      all = all + parts.back();
      if (terms(r).ration) extra = extra + parts.back() * real(z, *terms(r).ration);
    }
    if (parts.empty()) return;
    solver.add(all == 1 && extra > real(z, *s_.retry_budget_ratio));
    solver.maximize(extra);
    if (solver.check() != z3::sat) return;
    const z3::model model = solver.get_model();
    for (std::size_t r = 0; r < parts.size(); ++r) {
      if (!z3::eq(model.eval(parts[r] > 0, true).simplify(), z.bool_val(true)) || !terms(r).ration) continue;
      found_.push_back({or_else(conf_.routes[r].ration_line, set_.routes[r].line),
                        Finding::Rule::kRation,
                        "route '" + set_.routes[r].name + "' may try again for " + percent(*terms(r).ration) +
                            " of its requests, the rule allows " + percent(*s_.retry_budget_ratio) +
                            ": broken where all requests take this route",
                        -1,
                        {}});
    }
  }

  const RouteConf& conf_;
  const RouteSet& set_;
  const Settings& s_;
  const NameTables& tables_;
  // Whether all of it can be at once. One solver for all questions: to make one takes longer than to ask it.
  bool possible(const z3::expr_vector& holds) {
    solver_.push();
    solver_.add(holds);
    const bool sat = solver_.check() != z3::unsat;  // what it cannot rule out is not let pass
    solver_.pop();
    return sat;
  }

  std::vector<Finding> found_;
  z3::context z_;
  z3::solver solver_{z_};
};

}  // namespace

std::vector<Finding> check(const RouteConf& conf, const RouteSet& set, const Settings& settings,
                           const NameTables& tables) {
  return Checker(conf, set, settings, tables).run();
}

}  // namespace steprail::routes

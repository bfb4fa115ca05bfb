#include "routes/checked.h"

#include <dlfcn.h>

#include <filesystem>

namespace steprail::routes {
namespace {

using Check = void (*)(const RouteConf*, const RouteSet*, const Settings*, const Tables*, std::vector<Finding>*);

// Loaded once and kept: it is needed again at every reload.
Check load(std::string& fault) {
  static void* library = nullptr;
  if (library == nullptr) {
    std::error_code error;
    const auto program = std::filesystem::read_symlink("/proc/self/exe", error);
    for (const auto& folder : {program.parent_path(), program.parent_path().parent_path()}) {
      library = ::dlopen((folder / "libsteprail_check.so").c_str(), RTLD_NOW | RTLD_LOCAL);
      if (library != nullptr) break;
    }
  }
  const char* told = library == nullptr ? ::dlerror() : nullptr;
  const auto found = library == nullptr ? nullptr : reinterpret_cast<Check>(::dlsym(library, "steprail_check_routes"));
  if (found == nullptr) fault = std::string("routes cannot be checked, and so not used: ") + (told ? told : "no such function");
  return found;
}

}  // namespace

RouteSet checked(const RouteConf& conf, const Settings& settings, const Tables& tables, std::vector<Wrong>& wrong) {
  RouteSet set = resolve(conf, tables, wrong);
  if (!wrong.empty() || !conf.on()) return set;
  std::string fault;
  const Check check = load(fault);
  if (check == nullptr) {
    wrong.push_back({conf.routes.front().route.line, fault});
    return set;
  }
  std::vector<Finding> findings;
  check(&conf, &set, &settings, &tables, &findings);
  for (const Finding& finding : findings) wrong.push_back({finding.line, finding.text});
  return set;
}

}  // namespace steprail::routes

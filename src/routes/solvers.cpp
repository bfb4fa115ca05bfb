#include "routes/solvers.h"

#include <dlfcn.h>

#include <filesystem>

namespace steprail::routes {

void* solver_function(const char* name, std::string& fault) {
  static void* library = nullptr;
  if (library == nullptr) {
    std::error_code error;
    const auto program = std::filesystem::read_symlink("/proc/self/exe", error);
    // Beside the program; tests lie one folder deeper.
    for (const auto& folder : {program.parent_path(), program.parent_path().parent_path()}) {
      library = ::dlopen((folder / "libsteprail_check.so").c_str(), RTLD_NOW | RTLD_LOCAL);
      if (library != nullptr) break;
    }
  }
  void* const found = library == nullptr ? nullptr : ::dlsym(library, name);
  if (found == nullptr) {
    const char* told = ::dlerror();
    fault = told != nullptr ? told : "there is no such function";
  }
  return found;
}

}  // namespace steprail::routes

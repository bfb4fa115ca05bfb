// The library libsteprail_check.so beside the program: what needs a solver, loaded where it is first asked
// for and kept from then on.
#pragma once

#include <string>

namespace steprail::routes {

// The function of that name; null where the library cannot be loaded, and then `fault` says why.
void* solver_function(const char* name, std::string& fault);

}  // namespace steprail::routes

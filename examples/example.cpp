// Smallest use of the library: one engine and one query. Prints where the query is sent.
#include <steprail/gateway.h>

#include <cstdio>

int main() {
  using namespace steprail;
  using namespace std::chrono_literals;

  Settings settings;
  settings.classes.push_back({.objective = 500ms, .hard_limit = 3s});
  settings.kinds.push_back({.cores = 8});
  Gateway gateway(1, settings);

  std::vector<Action> actions;
  gateway.handle(0us, Started{}, actions);
  gateway.handle(0us, ListUpdate{.mode = ListMode::kFull, .entries = {EngineEntry{}}}, actions);
  gateway.handle(1ms, Arrival{.id = 7, .remaining = 3s, .estimate_ms = 40}, actions);
  for (const Action& action : actions) {
    if (const auto* send = std::get_if<Send>(&action)) {
      std::printf("send %llu to engine %d\n", static_cast<unsigned long long>(send->id), send->engine);
      return 0;
    }
  }
  return 1;
}

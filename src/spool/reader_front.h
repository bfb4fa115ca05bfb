// The second service: results by handle, for readers that take their time or lose their connection. The same
// codec and framing as the platform's service, on a listener of its own. docs/protocol/spool.md has the
// calls.
#pragma once

#include <unordered_map>

#include "net/framed.h"
#include "settings_json.h"
#include "spool/spool.h"

namespace steprail::spool {

class ReaderFront : public Front, public FramedServer {
 public:
  ReaderFront(Strand strand, Coordinator& coordinator, EventLog& log, const NameTables& tables, Spool& spool,
              Limits limits);

  void answer(const ReplyTarget& ticket, Answer answer) override;
  void flush() override { write_dirty(); }

 private:
  class Reader;
  // Who waits for a request's answer. The request goes on without: its result is kept.
  struct Waiting {
    std::uint64_t session{};  // 0: nobody
    std::int32_t call{};
    bool resumed{};  // by `resume`, else by `submit`
    bool spooled{};
    bool repeatable{};
  };
  std::shared_ptr<Session> create_session(tcp::socket socket, std::uint64_t number) override;
  void tell(const Waiting& to, const Opened& opened);

  const NameTables& tables_;
  Spool& spool_;
  const int number_;  // among the coordinator's fronts
  std::unordered_map<RequestId, Waiting> waiting_;
};

}  // namespace steprail::spool

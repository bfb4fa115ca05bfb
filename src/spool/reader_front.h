// The second service: results by handle, for readers that are slow or lose their connection. It uses the
// codec and framing of the platform's service on a listener of its own. docs/protocol/spool.md describes the
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
              Limits limits, std::shared_ptr<MemoryBudget> request_memory);

  void answer(const ReplyTarget& ticket, Answer answer) override;
  void flush() override { write_dirty(); }

 private:
  class ReaderSession;
  // The call that waits for a request's answer. The request continues without it: its result is kept.
  struct PendingAnswer {
    std::uint64_t session{};  // 0: the reader has disconnected
    std::int32_t call{};
    bool resumed{};  // by `resume` instead of `submit`
    bool spooled{};
    bool repeatable{};
  };
  std::shared_ptr<Session> create_session(tcp::socket socket, std::uint64_t number) override;
  void deliver(const PendingAnswer& to, RequestId id, const Delivery& delivery);

  const NameTables& tables_;
  Spool& spool_;
  const int front_number_;  // this front's number at the coordinator
  std::unordered_map<RequestId, PendingAnswer> pending_;
};

}  // namespace steprail::spool

// The Thrift front: the calls of the platform's service and their answers.
#pragma once

#include "net/framed.h"
#include "settings_json.h"

namespace steprail {

class ThriftFront : public Front, public FramedServer {
 public:
  ThriftFront(Strand strand, Coordinator& coordinator, EventLog& log, const NameTables& tables, Limits limits,
              std::shared_ptr<MemoryBudget> request_memory);

  void answer(const ReplyTarget& ticket, Answer answer) override;
  void flush() override { write_dirty(); }

 private:
  class Client;
  std::shared_ptr<Session> create_session(tcp::socket socket, std::uint64_t number) override;

  const NameTables& tables_;
  const int front_number_;  // index among the coordinator's fronts
};

}  // namespace steprail

// The Thrift front: clients' calls of the platform's service, and the answers to them.
#pragma once

#include "net/framed.h"
#include "settings_json.h"

namespace steprail {

class ThriftFront : public Front, public FramedServer {
 public:
  ThriftFront(Strand strand, Coordinator& coordinator, EventLog& log, const NameTables& tables,
              Limits limits);

  void answer(const Ticket& ticket, Answer answer) override;
  void flush() override { write_dirty(); }

 private:
  class Client;
  std::shared_ptr<Session> open(tcp::socket socket, std::uint64_t number) override;

  const NameTables& tables_;
  const int number_;  // among the coordinator's fronts
};

}  // namespace steprail

#include "net/front.h"

#include "net/query_fields.h"
#include "net/statement.h"
#include "net/thrift.h"

namespace steprail {

class ThriftFront::Client : public Session {
 public:
  Client(ThriftFront& front, tcp::socket socket, std::uint64_t number)
      : Session(front, std::move(socket), number), front_(front) {}

  void done(std::int32_t call) {
    open_.erase(call);
    answered();
  }

 protected:
  bool busy() const override { return !open_.empty(); }

  void gone() override {
    for (const auto& [call, id] : open_) front_.coordinator_.client_gone(id);
    open_.clear();
  }

  bool take(std::string_view frame) override {
    thrift::Reader reader(frame);
    thrift::Message message;
    if (!thrift::read_head(reader, message)) return false;
    const bool call = message.kind == thrift::Kind::kCall;
    if (!call && message.kind != thrift::Kind::kOneway) return false;
    if (message.method == "execute") {
      thrift::Fields fields;
      std::string_view body;
      if (!thrift::read_execute(reader, fields, body)) return false;
      execute(message.call, fields, body);
    } else if (message.method == "interrupt") {
      std::int32_t which = 0;
      if (!thrift::read_interrupt(reader, which)) return false;
      interrupt(which);
    } else if (message.method == "check") {
      push(thrift::served_head(message.call, "check", 0));
      push(thrift::served_tail(front_.ready_));
      mark();
    } else if (call) {
      push(thrift::application_exception(message.call, message.method, thrift::Fault::kUnknownMethod,
                                         "unknown method"));
      mark();
    }
    return true;
  }

 private:
  void execute(std::int32_t call, const thrift::Fields& fields, std::string_view body) {
    Query query;
    query.statement = body;
    const char* fault = open_.contains(call) ? "call number in use"
                                             : read_query(fields, front_.tables_, front_.coordinator_, query);
    if (fault != nullptr) {
      push(thrift::thrown(call, "execute", 2, {{"reason", fault}}));
      return mark();
    }
    if (front_.refusing_ || open_.size() >= front_.limits_.calls) {
      push(thrift::thrown(call, "execute", 1, {}));
      return mark();
    }
    query.ticket = {number(), call, front_.number_};
    query.group = table_group(body);
    open_[call] = query.id;
    front_.coordinator_.arrived(std::move(query));
  }

  void interrupt(std::int32_t call) {
    const auto at = open_.find(call);
    if (at == open_.end()) return;  // its answer has crossed it
    const RequestId id = at->second;
    open_.erase(at);
    front_.coordinator_.client_gone(id);
  }

  ThriftFront& front_;
  std::unordered_map<std::int32_t, RequestId> open_;
};

ThriftFront::ThriftFront(Strand strand, Coordinator& coordinator, EventLog& log, const NameTables& tables,
                         Limits limits)
    : FramedServer(strand, coordinator, log, limits), tables_(tables), number_(coordinator.attach(*this)) {}

std::shared_ptr<FramedServer::Session> ThriftFront::open(tcp::socket socket, std::uint64_t number) {
  return std::make_shared<Client>(*this, std::move(socket), number);
}

void ThriftFront::answer(const Ticket& ticket, Answer answer) {
  auto* client = static_cast<Client*>(find(ticket.session));
  if (client == nullptr) return;
  client->done(ticket.call);
  if (answer.verdict == Verdict::kServed) {
    std::size_t bytes = 0;
    for (const std::string& page : answer.pages) bytes += page.size();
    client->push(thrift::served_head(ticket.call, "execute", bytes));
    for (std::string& page : answer.pages) client->push(std::move(page));
    client->push(thrift::served_tail(true));
  } else if (answer.verdict == Verdict::kRefused) {
    std::vector<std::pair<std::string, std::string>> fields;
    const std::int64_t wait = answer.come_back.count() / 1000;
    if (wait > 0) fields.emplace_back("later", std::to_string(wait));
    client->push(thrift::thrown(ticket.call, "execute", 1, fields));
  } else {
    client->push(thrift::thrown(ticket.call, "execute", 2, {}));
  }
  client->mark();
}

}  // namespace steprail

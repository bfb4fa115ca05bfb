#include "net/front.h"

#include "net/query_fields.h"
#include "net/statement.h"
#include "net/thrift.h"

namespace steprail {

class ThriftFront::Client : public Session {
 public:
  Client(ThriftFront& front, tcp::socket socket, std::uint64_t number)
      : Session(front, std::move(socket), number), front_(front) {}

  void end_call(std::int32_t call) {
    open_calls_.erase(call);
    restart_idle_timer();
  }

 protected:
  std::size_t open_call_count() const override { return open_calls_.size(); }

  void on_closed() override {
    for (const auto& [call, id] : open_calls_) front_.coordinator_.client_gone(id);
    open_calls_.clear();
  }

  bool handle_frame(std::string_view frame) override {
    thrift::Reader reader(frame);
    thrift::Message message;
    if (!thrift::read_message_head(reader, message)) return false;
    if (!is_request(message)) return false;
    if (message.method == "execute") {
      thrift::Fields fields;
      std::string_view body;
      const thrift::CallArgs args = thrift::read_call_args(reader, fields, body);
      if (args == thrift::CallArgs::kMalformed) return false;
      if (args == thrift::CallArgs::kTooManyFields) return fail(message.call, "too many fields"), true;
      execute(message.call, fields, body);
    } else if (message.method == "interrupt") {
      std::int32_t interrupted_call = 0;
      if (!thrift::read_interrupt_args(reader, interrupted_call)) return false;
      interrupt(interrupted_call);
    } else if (message.method == "check") {
      push(thrift::reply_head(message.call, "check", 0));
      push(thrift::reply_tail(front_.ready_));
      schedule_write();
    } else {
      reject_unknown_method(message);
    }
    return true;
  }

  FrameRefusal refuse_frame(std::string_view beginning) override {
    thrift::Reader reader(beginning);
    thrift::Message message;
    if (!thrift::read_message_head(reader, message) || !is_request(message)) return FrameRefusal::kMalformed;
    if (message.method == "interrupt" || message.method == "check") return FrameRefusal::kMalformed;
    if (message.method != "execute") {
      reject_unknown_method(message);
      return FrameRefusal::kAnswered;
    }
    thrift::Fields fields;
    std::string_view body;
    const thrift::CallArgs args =
        thrift::read_call_args(reader, fields, body);  // as far as it has been received
    if (args == thrift::CallArgs::kTooManyFields)
      return fail(message.call, "too many fields"), FrameRefusal::kAnswered;
    if (!request_id(fields)) return FrameRefusal::kUndecided;
    refuse_for_memory(message.call, fields);
    return FrameRefusal::kAnswered;
  }

 private:
  static bool is_request(const thrift::Message& message) {
    return message.kind == thrift::Kind::kCall || message.kind == thrift::Kind::kOneway;
  }

  void reject_unknown_method(const thrift::Message& message) {
    if (message.kind != thrift::Kind::kCall) return;
    push(thrift::application_exception(message.call, message.method, thrift::ApplicationError::kUnknownMethod,
                                       "unknown method"));
    schedule_write();
  }

  void execute(std::int32_t call, const thrift::Fields& fields, std::string_view body) {
    auto charge = charge_request(body.size());
    if (!charge) return refuse_for_memory(call, fields);
    Query query;
    query.statement = share_statement(body, std::move(*charge));
    const char* fault = open_calls_.contains(call)
                            ? "call number in use"
                            : read_query(fields, front_.tables_, front_.coordinator_, query);
    if (fault != nullptr) return fail(call, fault);
    if (front_.refusing_ || open_calls_.size() >= front_.limits_.max_open_calls ||
        !front_.coordinator_.has_room_for(query.cls))
      return refuse(call);
    query.reply_to = {number(), call, front_.front_number_};
    query.table_group = table_group(body);
    open_calls_[call] = query.id;
    front_.coordinator_.arrived(std::move(query));
  }

  // A request that may have run is not refused: its client would send it again.
  void refuse_for_memory(std::int32_t call, const thrift::Fields& fields) {
    const auto id = request_id(fields);
    if (id && front_.coordinator_.may_have_run(*id)) return fail(call, "txn may have run");
    refuse(call);
  }

  void fail(std::int32_t call, const char* reason) {
    push(thrift::declared_exception(call, "execute", 2, {{"reason", reason}}));
    schedule_write();
  }

  void refuse(std::int32_t call) {
    push(thrift::declared_exception(call, "execute", 1, {}));
    schedule_write();
  }

  void interrupt(std::int32_t call) {
    const auto at = open_calls_.find(call);
    if (at == open_calls_.end()) return;  // the answer has crossed it
    const RequestId id = at->second;
    open_calls_.erase(at);
    front_.coordinator_.client_gone(id);
  }

  ThriftFront& front_;
  std::unordered_map<std::int32_t, RequestId> open_calls_;
};

ThriftFront::ThriftFront(Strand strand, Coordinator& coordinator, EventLog& log, const NameTables& tables,
                         Limits limits, std::shared_ptr<MemoryBudget> request_memory)
    : FramedServer(strand, coordinator, log, limits, std::move(request_memory)),
      tables_(tables),
      front_number_(coordinator.attach(*this)) {}

std::shared_ptr<FramedServer::Session> ThriftFront::create_session(tcp::socket socket, std::uint64_t number) {
  return std::make_shared<Client>(*this, std::move(socket), number);
}

void ThriftFront::answer(const ReplyTarget& ticket, Answer answer) {
  auto* client = static_cast<Client*>(find_session(ticket.session));
  if (client == nullptr) return;
  client->end_call(ticket.call);
  if (answer.verdict == Verdict::kServed) {
    std::size_t bytes = 0;
    for (const std::string& page : answer.pages) bytes += page.size();
    client->push(thrift::reply_head(ticket.call, "execute", bytes));
    for (std::string& page : answer.pages) client->push(std::move(page));
    client->push(thrift::reply_tail(true));
  } else if (answer.verdict == Verdict::kRefused) {
    std::vector<std::pair<std::string, std::string>> fields;
    const std::int64_t retry_after_ms = answer.retry_after.count() / 1000;
    if (retry_after_ms > 0) fields.emplace_back("later", std::to_string(retry_after_ms));
    client->push(thrift::declared_exception(ticket.call, "execute", 1, fields));
  } else {
    client->push(thrift::declared_exception(ticket.call, "execute", 2, {}));
  }
  client->schedule_write();
}

}  // namespace steprail

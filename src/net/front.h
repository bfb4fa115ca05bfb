// The Thrift front: clients' connections, their calls, and the answers to them.
#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <memory>
#include <unordered_map>
#include <vector>

#include "core/coordinator.h"
#include "settings_json.h"

namespace steprail {

using boost::asio::ip::tcp;

class ThriftFront : public Front {
 public:
  struct Limits {
    std::size_t sessions{};  // connections at a time
    std::size_t store{};     // bytes of long frames and unread answers, of all connections together
    std::size_t calls{32};   // open at a time on one connection
  };

  ThriftFront(Strand strand, Coordinator& coordinator, EventLog& log, const Settings& settings,
              const Tables& tables, Limits limits);
  ~ThriftFront() override;

  // Throws boost::system::system_error where the address cannot be had.
  tcp::endpoint listen(const tcp::endpoint& at);
  // What `check` answers.
  void set_ready(bool ready) { ready_ = ready; }
  // From now on requests are refused at once: only what was taken before is still served.
  void refuse_new() { refusing_ = true; }
  // Nothing is left to be written.
  bool written_out() const;

  void answer(const Ticket& ticket, Answer answer) override;
  void flush() override;

 private:
  class Session;
  void accept();
  void ended(std::uint64_t session);
  bool make_room();
  void told_off(const char* reason);
  bool over_store() const;
  void sweep();

  Strand strand_;
  Coordinator& coordinator_;
  EventLog& log_;
  const Settings& settings_;
  const Tables& tables_;
  Limits limits_;
  tcp::acceptor acceptor_;
  boost::asio::steady_timer pause_, sweep_;
  bool accepting_{false}, ready_{false}, refusing_{false};
  std::uint64_t last_session_{0};
  std::size_t closed_since_{0};  // for what their clients did, since the last sweep
  std::unordered_map<std::uint64_t, std::shared_ptr<Session>> sessions_;
  std::vector<std::shared_ptr<Session>> dirty_;
};

}  // namespace steprail

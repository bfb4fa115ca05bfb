// Thrift's framed connections, whatever service is spoken on them: listening, whole frames in, gathered
// writes out, and the bounds on how long and how much a client may keep.
#pragma once

#include <boost/asio/coroutine.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <memory>
#include <optional>
#include <unordered_map>
#include <vector>

#include "core/coordinator.h"
#include "net/buffers.h"

namespace steprail {

using boost::asio::ip::tcp;

class FramedServer {
 public:
  struct Limits {
    std::size_t sessions{};  // connections at a time
    std::size_t store{};     // bytes of long frames and unread answers, of all connections together
    std::size_t calls{32};   // open at a time on one connection
    Micros idle{6'000'000};  // clients close what has been idle for 4 s by themselves
    // Bytes queued on a connection from which on its next calls wait; 0: they never do.
    std::size_t pause_at{0};
  };

  FramedServer(Strand strand, Coordinator& coordinator, EventLog& log, Limits limits);
  virtual ~FramedServer();
  FramedServer(const FramedServer&) = delete;
  FramedServer& operator=(const FramedServer&) = delete;

  // Throws boost::system::system_error where the address cannot be had.
  tcp::endpoint listen(const tcp::endpoint& at);
  // The same where the caller can wait for it; after an error it may be called again.
  tcp::endpoint listen(const tcp::endpoint& at, boost::system::error_code& error);
  // What `check` answers.
  void set_ready(bool ready) { ready_ = ready; }
  // From now on requests are refused at once: only what was taken before is still served.
  void refuse_new() { refusing_ = true; }
  // Nothing is left to be written.
  bool written_out() const;
  std::size_t sessions() const { return sessions_.size(); }
  void set_limits(const Limits& limits) { limits_ = limits; }

 protected:
  class Session : public std::enable_shared_from_this<Session>, boost::asio::coroutine {
   public:
    Session(FramedServer& server, tcp::socket socket, std::uint64_t number);
    virtual ~Session() = default;

    std::uint64_t number() const { return number_; }
    template <typename... Piece>
    void push(Piece&&... piece) {
      out_.push(std::forward<Piece>(piece)...);
    }
    // Has this turn write what was pushed.
    void mark();
    // With a reason: the connection is ended for what its client did.
    void close(const char* reason);
    bool closed() const { return closed_; }

   protected:
    // One message; false if it is none, which ends the connection.
    virtual bool take(std::string_view frame) = 0;
    // The connection has ended.
    virtual void gone() = 0;
    // A call is open: the connection is not idle.
    virtual bool busy() const = 0;
    // Calls that wait for something else than the queue; resume() once it is there.
    virtual bool held() const { return false; }
    void resume();
    // The client's clock of idleness begins anew.
    void answered();

   private:
    friend class FramedServer;
    void read(boost::system::error_code error = {}, std::size_t count = 0);
    void write();
    bool take_frames();
    bool begun(bool partial);
    bool paused() const;
    void sweep(Micros now);
    std::optional<std::pair<bool, Micros>> spare(Micros now) const;
    std::size_t stored() const;

    FramedServer& server_;
    tcp::socket socket_;
    std::uint64_t number_;
    InBuffer in_;
    OutQueue out_;
    bool dirty_{false}, waiting_{false}, closed_{false}, parked_{false};
    bool asked_{false}, partial_{false};  // a whole frame has come; a part of the next one has
    Micros since_{0};                     // when it connected, last asked, was last answered or began a frame
    Micros stuck_{0};
  };

  virtual std::shared_ptr<Session> open(tcp::socket socket, std::uint64_t number) = 0;
  Session* find(std::uint64_t session) const;
  void write_dirty();

  Strand strand_;
  Coordinator& coordinator_;
  EventLog& log_;
  Limits limits_;
  bool ready_{false}, refusing_{false};

 private:
  void accept();
  void ended(std::uint64_t session);
  bool make_room();
  void told_off(const char* reason);
  bool over_store() const;
  void sweep();

  tcp::acceptor acceptor_;
  boost::asio::steady_timer pause_, sweep_;
  bool accepting_{false};
  std::uint64_t last_session_{0};
  std::size_t closed_since_{0};  // for what their clients did, since the last sweep
  std::unordered_map<std::uint64_t, std::shared_ptr<Session>> sessions_;
  std::vector<std::shared_ptr<Session>> dirty_;
};

}  // namespace steprail

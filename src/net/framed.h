// A server for framed Thrift connections, whatever service runs on them: accepts connections, splits input
// into frames, gathers writes, and limits how long and how much a client may occupy.
#pragma once

#include <boost/asio/coroutine.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <memory>
#include <optional>
#include <unordered_map>
#include <vector>

#include "base/memory_budget.h"
#include "core/coordinator.h"
#include "net/buffers.h"
#include "net/frame_space.h"

namespace steprail {

using boost::asio::ip::tcp;

class FramedServer {
 public:
  struct Limits {
    std::size_t max_sessions{};          // open connections
    std::size_t max_long_frame_bytes{};  // buffers of long frames, of all connections together
    std::size_t max_unread_bytes{};      // unread answers of all connections together
    std::size_t max_open_calls{32};      // per connection
    Micros idle_timeout{6'000'000};      // clients themselves close a connection that was idle for 4 s
    // While more bytes than this are queued on a connection, no further calls are read from it; 0: no limit.
    std::size_t pause_threshold{0};
  };

  // Open requests are charged to `request_memory`, to an account for each connection.
  FramedServer(Strand strand, Coordinator& coordinator, EventLog& log, Limits limits,
               std::shared_ptr<MemoryBudget> request_memory);
  virtual ~FramedServer();
  FramedServer(const FramedServer&) = delete;
  FramedServer& operator=(const FramedServer&) = delete;

  // Throws boost::system::system_error if the address cannot be bound.
  tcp::endpoint listen(const tcp::endpoint& at);
  // Reports the error instead, for callers that wait for the address; may be called again after an error.
  tcp::endpoint listen(const tcp::endpoint& at, boost::system::error_code& error);
  // The answer to `check`.
  void set_ready(bool ready) { ready_ = ready; }
  // From now on new requests are refused at once; requests already accepted are still served.
  void refuse_new() { refusing_ = true; }
  // True if no connection has output left to write.
  bool written_out() const;
  std::size_t session_count() const { return sessions_.size(); }
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
    // Writes the output queue at the end of this event loop iteration.
    void schedule_write();
    // A reason means that the connection is closed because of what its client did; it is logged.
    void close(const char* reason);
    bool closed() const { return closed_; }

   protected:
    // Handles one message. Returns false if it is malformed, which closes the connection.
    virtual bool handle_frame(std::string_view frame) = 0;
    // Called with the beginning of a frame for which there is no memory: answers its call, as the rest of the
    // frame will be skipped. kUndecided if the beginning does not tell yet how to answer.
    enum class FrameRefusal { kAnswered, kUndecided, kMalformed };
    virtual FrameRefusal refuse_frame(std::string_view beginning) = 0;
    // Charges the client's share of the memory; nothing, and a log line in a while, if it does not hold so
    // much.
    std::optional<MemoryCharge> charge_memory(std::size_t bytes);
    // The charge of a request with a statement of that length.
    std::optional<MemoryCharge> charge_request(std::size_t statement_bytes) {
      return charge_memory(statement_bytes + kRequestOverheadBytes);
    }
    // Called when all that was pushed has been written to the socket.
    virtual void on_written_out() {}
    // Called when the connection has been closed.
    virtual void on_closed() = 0;
    // Calls received whole that have no answer yet.
    virtual std::size_t open_call_count() const = 0;
    // A connection with open calls is not idle.
    bool has_open_calls() const { return open_call_count() > 0; }
    // True if further calls have to wait for something other than the output queue; the derived class calls
    // resume_reading() when that has happened.
    virtual bool calls_blocked() const { return false; }
    void resume_reading();
    // Called by the derived class when it has answered a call.
    void restart_idle_timer();

   private:
    friend class FramedServer;
    void read(boost::system::error_code error = {}, std::size_t count = 0);
    void write();
    // Closes the connection, or others, if too much waits to be read by their clients.
    void limit_unread();
    bool handle_frames();
    bool note_partial_frame(bool partial);
    // Refuses the frame that has begun if its client's share of the memory does not hold it.
    enum class Admission { kAdmitted, kRefused, kUndecided, kMalformed };
    Admission admit_frame(std::size_t frame_bytes);
    void skip_input();
    bool reading_paused() const;
    void sweep(Micros now);
    std::optional<std::pair<bool, Micros>> eviction_rank(Micros now) const;
    // Space of a long frame: bytes held, bytes that the frame still needs, and its standing against others.
    std::size_t long_frame_bytes() const;
    std::size_t missing_frame_bytes() const;
    std::optional<LongFrame> long_frame(Micros now) const;
    // Takes the space for the whole frame that has begun.
    void take_frame_space(Micros now);
    void continue_reading();
    // Drops all input from now on; the connection ends when its open calls are answered.
    void discard_input();
    bool client_has_closed();

    FramedServer& server_;
    tcp::socket socket_;
    std::uint64_t number_;
    InputBuffer in_;
    OutputQueue out_;
    bool dirty_{false}, write_blocked_{false}, closed_{false}, reading_suspended_{false};
    // a whole frame has been received; part of the next one has been
    bool received_frame_{false}, partial_frame_{false};
    std::size_t partial_frame_bytes_{0};  // length of that frame with its header; 0 while it is not known
    std::size_t bytes_to_skip_{0};        // of a refused frame, not received yet
    std::shared_ptr<MemoryAccount> account_;
    // reading waits for the space of a long frame
    bool waiting_for_space_{false};
    Micros space_taken_at_{0};
    bool discard_requested_{false}, discarding_{false};
    // time of connect, of the last request or answer, or of the first byte of an incomplete frame
    Micros last_activity_at_{0};
    Micros write_blocked_since_{0};
  };

  virtual std::shared_ptr<Session> create_session(tcp::socket socket, std::uint64_t number) = 0;
  Session* find_session(std::uint64_t session) const;
  void write_dirty();

  Strand strand_;
  Coordinator& coordinator_;
  EventLog& log_;
  Limits limits_;
  bool ready_{false}, refusing_{false};

 private:
  void accept();
  void remove_session(std::uint64_t session);
  bool evict_session();
  void log_client_closed(const char* reason, std::size_t open_calls);
  void sweep();
  // Takes space for the long frame that the session has begun to receive, if it needs any. If there is none,
  // the session has to wait_for_space(), and reads on once it has its space.
  bool reserve_frame_space(Session& session);
  void wait_for_space(std::shared_ptr<Session> session);
  void serve_waiting();
  bool make_frame_space(std::size_t bytes);
  std::shared_ptr<Session> next_to_release(Micros now) const;
  void limit_unread_answers();
  // Every session may buffer this much; more counts against max_long_frame_bytes.
  std::size_t small_frame_bytes() const;

  std::shared_ptr<MemoryBudget> request_memory_;
  std::size_t refused_for_memory_{0};  // since the last sweep
  tcp::acceptor acceptor_;
  boost::asio::steady_timer accept_pause_timer_, sweep_timer_, space_timer_;
  bool accepting_{false};
  std::uint64_t last_session_number_{0};
  // because of their clients' behaviour, and the calls of those that are not logged one by one
  std::size_t closed_since_sweep_{0}, unlogged_open_calls_{0};
  std::unordered_map<std::uint64_t, std::shared_ptr<Session>> sessions_;
  std::vector<std::shared_ptr<Session>> dirty_;
  std::vector<std::shared_ptr<Session>> waiting_for_space_;  // in the order of their requests
};

}  // namespace steprail

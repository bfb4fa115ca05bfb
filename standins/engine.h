// A stand-in for a query engine: it speaks the platform's engine protocol on loopback, makes results of any
// length by rule, and fails at the moments that a script names.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace steprail::standin {

using boost::asio::ip::tcp;

enum class Fault {
  kNone,
  kDie,     // every connection is reset and no new one is taken, as when the process ends
  kReset,   // this connection is reset
  kSilent,  // no answer, now or later
  kEio,     // an error in place of the answer
  kAgain,   // "full: it never ran"
  kSpoil    // the answer is sent, with a byte of it that makes it unreadable
};

// When a fault is asked for: at the statement's arrival, before it has run; before its ACK; before a page.
struct Moment {
  enum class At { kServe, kAck, kPage } at{};
  std::string id;
  int run{};           // of this id at all engines that share the script, from 1
  std::size_t page{};  // kPage: its number
};

struct Script {
  std::size_t rows{3}, row_bytes{40};
  std::size_t page_bytes{6000};
  std::chrono::milliseconds runs_for{0};
  std::function<Fault(const Moment&)> fault;
  // Ids may have results of their own length.
  std::function<std::size_t(const std::string& id)> rows_of;
};

// How long an engine's session for a request was open.
struct Span {
  std::string id;
  std::chrono::steady_clock::time_point opened{}, freed{};
  bool open{true};
};

// The text of a result: the same for every run of an id, with the run in each row where runs must be told
// apart.
std::vector<std::string> make_pages(const Script& script, const std::string& id, int run);
std::string whole(const Script& script, const std::string& id, int run);

class Engine {
 public:
  Engine(boost::asio::io_context& io, std::shared_ptr<Script> script,
         std::shared_ptr<std::map<std::string, int>> runs);
  ~Engine();
  Engine(const Engine&) = delete;
  Engine& operator=(const Engine&) = delete;

  std::string address() const;
  void die();
  const std::vector<Span>& spans() const { return spans_; }
  std::size_t open_sessions() const;
  std::size_t connections() const;
  // Commands heard so far, by their verb.
  std::size_t heard(const std::string& verb) const;

 private:
  class Line;
  void accept();

  boost::asio::io_context& io_;
  std::shared_ptr<Script> script_;
  std::shared_ptr<std::map<std::string, int>> runs_;
  tcp::acceptor acceptor_;
  std::string address_;
  std::vector<std::weak_ptr<Line>> lines_;
  std::vector<Span> spans_;
  std::map<std::string, std::size_t> heard_;
  std::shared_ptr<bool> alive_;
};

}  // namespace steprail::standin

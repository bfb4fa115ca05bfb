#include "standins/engine.h"

#include <boost/asio/read.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>
#include <deque>
#include <sstream>

namespace steprail::standin {

namespace asio = boost::asio;
using boost::system::error_code;

std::vector<std::string> make_pages(const Script& script, const std::string& id, int run) {
  const std::size_t rows = script.rows_for ? script.rows_for(id) : script.rows;
  std::vector<std::string> pages(1);
  for (std::size_t row = 0; row < rows; ++row) {
    std::string text = std::to_string(row) + '\t' + id + '.' + std::to_string(run) + '\t';
    // All rows differ, and no row is a shifted copy of another.
    for (std::size_t at = 0; text.size() + 1 < script.row_bytes; ++at)
      text.push_back(static_cast<char>('a' + (row * 7 + at * 3 + row / 13) % 26));
    text.push_back('\n');
    if (pages.back().size() + text.size() > script.page_bytes) pages.emplace_back();
    pages.back() += text;
  }
  return pages;
}

std::string full_result(const Script& script, const std::string& id, int run) {
  std::string all;
  for (const std::string& page : make_pages(script, id, run)) all += page;
  return all;
}

class Engine::Connection : public std::enable_shared_from_this<Connection> {
 public:
  Connection(Engine& engine, tcp::socket socket)
      : engine_(engine), alive_(engine.alive_), socket_(std::move(socket)) {}

  void read() {
    asio::async_read_until(socket_, asio::dynamic_buffer(in_), "\r\n",
                           [self = shared_from_this()](error_code error, std::size_t count) {
                             if (error || !*self->alive_) return self->close();
                             self->handle_command(count);
                           });
  }
  void reset() {
    error_code ignored;
    socket_.set_option(asio::socket_base::linger(true, 0), ignored);
    close();
  }
  void close() {
    if (!socket_.is_open()) return;
    error_code ignored;
    socket_.close(ignored);
    if (!*alive_) return;
    for (const auto& [id, execution] : executions_) mark_closed(execution.session);
    executions_.clear();
  }
  bool open() const { return socket_.is_open(); }

 private:
  struct Execution {
    std::vector<std::string> pages;
    std::size_t remaining{};  // pages that were not read yet
    std::size_t session{};
    int run{};
  };

  void handle_command(std::size_t count) {
    std::istringstream words(in_.substr(0, count));
    std::string verb, id, word;
    words >> verb >> id >> word;
    ++engine_.commands_received_[verb];
    if (verb == "serve") {
      std::size_t length = 0;
      words >> length;
      // The statement and its line ending follow.
      const std::size_t need = count + length + 2;
      if (in_.size() < need) {
        asio::async_read(socket_, asio::dynamic_buffer(in_), asio::transfer_exactly(need - in_.size()),
                         [self = shared_from_this(), id, need](error_code error, std::size_t) {
                           if (error || !*self->alive_) return self->close();
                           self->in_.erase(0, need);
                           self->serve(id);
                           self->read_next();
                         });
        return;
      }
      in_.erase(0, need);
      serve(id);
      return read_next();
    }
    in_.erase(0, count);
    if (verb == "read") {
      send_page(id, std::stoul(word));
    } else if (verb == "cancel" || verb == "release") {
      end_execution(id);
    } else if (verb == "health" || verb == "gauges") {
      send(id + " READY - 0\r\n\r\n");
    }
    read_next();
  }
  void read_next() {
    if (socket_.is_open()) read();
  }

  Fault fault(FaultPoint::Stage stage, const std::string& id, int run, std::size_t number) const {
    const auto& script = *engine_.script_;
    return script.fault ? script.fault({stage, id, run, number}) : Fault::kNone;
  }

  // Returns true if the command is to be answered as usual.
  bool apply_fault(Fault fault, const std::string& id) {
    switch (fault) {
      case Fault::kCrash:
        engine_.crash();
        return false;
      case Fault::kReset:
        reset();
        return false;
      case Fault::kSilent:
        return false;
      case Fault::kEio:
        send(id + " EIO - 0\r\n\r\n");
        end_execution(id);
        return false;
      case Fault::kAgain:
        send(id + " AGAIN - 0\r\n\r\n");
        end_execution(id);
        return false;
      case Fault::kMalformed:
        send(id + " ACK count=x 0\r\n\r\n");
        return false;
      default:
        return true;
    }
  }

  void serve(const std::string& id) {
    Execution execution;
    execution.session = engine_.sessions_.size();
    engine_.sessions_.push_back({id, std::chrono::steady_clock::now(), {}, true});
    const Fault early = fault(FaultPoint::Stage::kServe, id, (*engine_.run_counts_)[id] + 1, 0);
    if (early != Fault::kNone) {
      executions_[id] = execution;
      apply_fault(early, id);
      return;
    }
    execution.run = ++(*engine_.run_counts_)[id];
    execution.pages = make_pages(*engine_.script_, id, execution.run);
    execution.remaining = execution.pages.size();
    executions_[id] = std::move(execution);
    if (engine_.script_->run_time.count() == 0) return acknowledge(id);
    auto timer = std::make_shared<asio::steady_timer>(socket_.get_executor(), engine_.script_->run_time);
    timer->async_wait([self = shared_from_this(), timer, id](error_code error) {
      if (!error && *self->alive_ && self->socket_.is_open()) self->acknowledge(id);
    });
  }

  void acknowledge(const std::string& id) {
    const auto at = executions_.find(id);
    if (at == executions_.end()) return;
    if (!apply_fault(fault(FaultPoint::Stage::kAck, id, at->second.run, 0), id)) return;
    const std::string& first = at->second.pages.front();
    send(id + " ACK count=" + std::to_string(at->second.pages.size()) + ' ' + std::to_string(first.size()) +
         "\r\n" + first + "\r\n");
    count_page_read(at);
  }

  void send_page(const std::string& id, std::size_t number) {
    const auto at = executions_.find(id);
    if (at == executions_.end() || number >= at->second.pages.size()) return send(id + " EIO - 0\r\n\r\n");
    if (!apply_fault(fault(FaultPoint::Stage::kPage, id, at->second.run, number), id)) return;
    const std::string& bytes = at->second.pages[number];
    send(id + " BLOCK pos=" + std::to_string(number) + ' ' + std::to_string(bytes.size()) + "\r\n" + bytes +
         "\r\n");
    count_page_read(at);
  }

  void count_page_read(std::map<std::string, Execution>::iterator at) {
    if (--at->second.remaining == 0) end_execution(at->first);
  }
  void end_execution(const std::string id) {
    const auto at = executions_.find(id);
    if (at == executions_.end()) return;
    mark_closed(at->second.session);
    executions_.erase(at);
  }
  void mark_closed(std::size_t session) {
    engine_.sessions_[session].open = false;
    engine_.sessions_[session].closed_at = std::chrono::steady_clock::now();
  }

  void send(std::string bytes) {
    out_.push_back(std::move(bytes));
    if (out_.size() == 1) write();
  }
  void write() {
    asio::async_write(socket_, asio::buffer(out_.front()),
                      [self = shared_from_this()](error_code error, std::size_t) {
                        if (error || !*self->alive_) return self->close();
                        self->out_.pop_front();
                        if (!self->out_.empty()) self->write();
                      });
  }

  Engine& engine_;
  std::shared_ptr<bool> alive_;  // false after the engine's end, as handlers may outlive the engine
  tcp::socket socket_;
  std::string in_;
  std::deque<std::string> out_;
  std::map<std::string, Execution> executions_;
};

Engine::Engine(asio::io_context& io, std::shared_ptr<Script> script,
               std::shared_ptr<std::map<std::string, int>> run_counts)
    : io_(io),
      script_(std::move(script)),
      run_counts_(std::move(run_counts)),
      acceptor_(io, {asio::ip::address_v4::loopback(), 0}),
      alive_(std::make_shared<bool>(true)) {
  address_ = "127.0.0.1:" + std::to_string(acceptor_.local_endpoint().port());
  accept();
}

Engine::~Engine() {
  crash();
  *alive_ = false;
}

std::string Engine::address() const { return address_; }

void Engine::accept() {
  acceptor_.async_accept([this, alive = alive_](error_code error, tcp::socket socket) {
    if (error || !*alive) return;
    error_code ignored;
    socket.set_option(tcp::no_delay(true), ignored);
    const auto connection = std::make_shared<Connection>(*this, std::move(socket));
    std::erase_if(connections_, [](const auto& weak_connection) { return weak_connection.expired(); });
    connections_.push_back(connection);
    connection->read();
    accept();
  });
}

void Engine::crash() {
  error_code ignored;
  acceptor_.close(ignored);
  for (const auto& weak_connection : connections_) {
    if (const auto connection = weak_connection.lock()) connection->reset();
  }
}

std::size_t Engine::open_sessions() const {
  std::size_t count = 0;
  for (const Session& session : sessions_) count += session.open;
  return count;
}

std::size_t Engine::connections() const {
  std::size_t count = 0;
  for (const auto& weak_connection : connections_) {
    const auto connection = weak_connection.lock();
    count += connection && connection->open();
  }
  return count;
}

std::size_t Engine::commands_received(const std::string& verb) const {
  const auto at = commands_received_.find(verb);
  return at == commands_received_.end() ? 0 : at->second;
}

}  // namespace steprail::standin

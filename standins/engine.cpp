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
  const std::size_t rows = script.rows_of ? script.rows_of(id) : script.rows;
  std::vector<std::string> pages(1);
  for (std::size_t row = 0; row < rows; ++row) {
    std::string text = std::to_string(row) + '\t' + id + '.' + std::to_string(run) + '\t';
    // No two rows are alike, and none is a shift of another.
    for (std::size_t at = 0; text.size() + 1 < script.row_bytes; ++at)
      text.push_back(static_cast<char>('a' + (row * 7 + at * 3 + row / 13) % 26));
    text.push_back('\n');
    if (pages.back().size() + text.size() > script.page_bytes) pages.emplace_back();
    pages.back() += text;
  }
  return pages;
}

std::string whole(const Script& script, const std::string& id, int run) {
  std::string all;
  for (const std::string& page : make_pages(script, id, run)) all += page;
  return all;
}

class Engine::Line : public std::enable_shared_from_this<Line> {
 public:
  Line(Engine& engine, tcp::socket socket)
      : engine_(engine), alive_(engine.alive_), socket_(std::move(socket)) {}

  void read() {
    asio::async_read_until(socket_, asio::dynamic_buffer(in_), "\r\n",
                           [self = shared_from_this()](error_code error, std::size_t count) {
                             if (error || !*self->alive_) return self->close();
                             self->command(count);
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
    for (const auto& [id, work] : works_) freed(work.span);
    works_.clear();
  }
  bool open() const { return socket_.is_open(); }

 private:
  struct Work {
    std::vector<std::string> pages;
    std::size_t left{};  // pages not read yet
    std::size_t span{};
    int run{};
  };

  void command(std::size_t count) {
    std::istringstream line(in_.substr(0, count));
    std::string verb, id, word;
    line >> verb >> id >> word;
    ++engine_.heard_[verb];
    if (verb == "serve") {
      std::size_t length = 0;
      line >> length;
      // The statement and its line end follow.
      const std::size_t need = count + length + 2;
      if (in_.size() < need) {
        asio::async_read(socket_, asio::dynamic_buffer(in_), asio::transfer_exactly(need - in_.size()),
                         [self = shared_from_this(), id, need](error_code error, std::size_t) {
                           if (error || !*self->alive_) return self->close();
                           self->in_.erase(0, need);
                           self->serve(id);
                           self->next();
                         });
        return;
      }
      in_.erase(0, need);
      serve(id);
      return next();
    }
    in_.erase(0, count);
    if (verb == "read") {
      page(id, std::stoul(word));
    } else if (verb == "cancel" || verb == "release") {
      end(id);
    } else if (verb == "health" || verb == "gauges") {
      say(id + " READY - 0\r\n\r\n");
    }
    next();
  }
  void next() {
    if (socket_.is_open()) read();
  }

  Fault fault(Moment::At at, const std::string& id, int run, std::size_t number) const {
    const auto& script = *engine_.script_;
    return script.fault ? script.fault({at, id, run, number}) : Fault::kNone;
  }

  // True where the answer is to be given as usual.
  bool suffer(Fault fault, const std::string& id) {
    switch (fault) {
      case Fault::kDie:
        engine_.die();
        return false;
      case Fault::kReset:
        reset();
        return false;
      case Fault::kSilent:
        return false;
      case Fault::kEio:
        say(id + " EIO - 0\r\n\r\n");
        end(id);
        return false;
      case Fault::kAgain:
        say(id + " AGAIN - 0\r\n\r\n");
        end(id);
        return false;
      case Fault::kSpoil:
        say(id + " ACK count=x 0\r\n\r\n");
        return false;
      default:
        return true;
    }
  }

  void serve(const std::string& id) {
    Work work;
    work.span = engine_.spans_.size();
    engine_.spans_.push_back({id, std::chrono::steady_clock::now(), {}, true});
    const Fault early = fault(Moment::At::kServe, id, (*engine_.runs_)[id] + 1, 0);
    if (early != Fault::kNone) {
      works_[id] = work;
      suffer(early, id);
      return;
    }
    work.run = ++(*engine_.runs_)[id];
    work.pages = make_pages(*engine_.script_, id, work.run);
    work.left = work.pages.size();
    works_[id] = std::move(work);
    if (engine_.script_->runs_for.count() == 0) return acknowledge(id);
    auto timer = std::make_shared<asio::steady_timer>(socket_.get_executor(), engine_.script_->runs_for);
    timer->async_wait([self = shared_from_this(), timer, id](error_code error) {
      if (!error && *self->alive_ && self->socket_.is_open()) self->acknowledge(id);
    });
  }

  void acknowledge(const std::string& id) {
    const auto at = works_.find(id);
    if (at == works_.end()) return;
    if (!suffer(fault(Moment::At::kAck, id, at->second.run, 0), id)) return;
    const std::string& first = at->second.pages.front();
    say(id + " ACK count=" + std::to_string(at->second.pages.size()) + ' ' + std::to_string(first.size()) +
        "\r\n" + first + "\r\n");
    read_one(at);
  }

  void page(const std::string& id, std::size_t number) {
    const auto at = works_.find(id);
    if (at == works_.end() || number >= at->second.pages.size()) return say(id + " EIO - 0\r\n\r\n");
    if (!suffer(fault(Moment::At::kPage, id, at->second.run, number), id)) return;
    const std::string& bytes = at->second.pages[number];
    say(id + " BLOCK pos=" + std::to_string(number) + ' ' + std::to_string(bytes.size()) + "\r\n" + bytes +
        "\r\n");
    read_one(at);
  }

  void read_one(std::map<std::string, Work>::iterator at) {
    if (--at->second.left == 0) end(at->first);
  }
  void end(const std::string id) {
    const auto at = works_.find(id);
    if (at == works_.end()) return;
    freed(at->second.span);
    works_.erase(at);
  }
  void freed(std::size_t span) {
    engine_.spans_[span].open = false;
    engine_.spans_[span].freed = std::chrono::steady_clock::now();
  }

  void say(std::string bytes) {
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
  std::shared_ptr<bool> alive_;  // the engine's: handlers may outlive it
  tcp::socket socket_;
  std::string in_;
  std::deque<std::string> out_;
  std::map<std::string, Work> works_;
};

Engine::Engine(asio::io_context& io, std::shared_ptr<Script> script,
               std::shared_ptr<std::map<std::string, int>> runs)
    : io_(io),
      script_(std::move(script)),
      runs_(std::move(runs)),
      acceptor_(io, {asio::ip::address_v4::loopback(), 0}),
      alive_(std::make_shared<bool>(true)) {
  address_ = "127.0.0.1:" + std::to_string(acceptor_.local_endpoint().port());
  accept();
}

Engine::~Engine() {
  die();
  *alive_ = false;
}

std::string Engine::address() const { return address_; }

void Engine::accept() {
  acceptor_.async_accept([this, alive = alive_](error_code error, tcp::socket socket) {
    if (error || !*alive) return;
    error_code ignored;
    socket.set_option(tcp::no_delay(true), ignored);
    const auto line = std::make_shared<Line>(*this, std::move(socket));
    std::erase_if(lines_, [](const auto& held) { return held.expired(); });
    lines_.push_back(line);
    line->read();
    accept();
  });
}

void Engine::die() {
  error_code ignored;
  acceptor_.close(ignored);
  for (const auto& held : lines_) {
    if (const auto line = held.lock()) line->reset();
  }
}

std::size_t Engine::open_sessions() const {
  std::size_t count = 0;
  for (const Span& span : spans_) count += span.open;
  return count;
}

std::size_t Engine::connections() const {
  std::size_t count = 0;
  for (const auto& held : lines_) {
    const auto line = held.lock();
    count += line && line->open();
  }
  return count;
}

std::size_t Engine::heard(const std::string& verb) const {
  const auto at = heard_.find(verb);
  return at == heard_.end() ? 0 : at->second;
}

}  // namespace steprail::standin

// Stand-ins for the scripts in this folder: a store, servers, clients and the
// start of nodes. Each connection has its own thread and blocking sockets, so
// that a script decides when each byte is sent.

#ifndef REVIEW_STAND_INS_RIG_H_
#define REVIEW_STAND_INS_RIG_H_

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <sstream>
#include <string>
#include <string_view>
#include <thread>
#include <tuple>
#include <utility>
#include <vector>

#include <boost/json.hpp>

namespace rig {

using Clock = std::chrono::steady_clock;
using Time = Clock::time_point;
using namespace std::chrono_literals;

// Exit codes of a script.
inline constexpr int kHeld = 0;
inline constexpr int kBroken = 1;
inline constexpr int kCouldNotRun = 2;

inline const Time kStart = Clock::now();

inline double Seconds(Clock::duration duration) {
  return std::chrono::duration<double>(duration).count();
}

// --- Record -----------------------------------------------------------------

// Writes one line for each event to the record of the script.
class Record {
 public:
  static Record& Get() {
    static Record record;
    return record;
  }
  void Open(const std::string& file) { m_file = std::fopen(file.c_str(), "w"); }
  template <typename... Parts>
  void Line(const Parts&... parts) {
    std::ostringstream text;
    (text << ... << parts);
    const std::lock_guard lock(m_mutex);
    if (m_file) {
      std::fprintf(m_file, "%9.3f %s\n", Seconds(Clock::now() - kStart),
                   text.str().c_str());
      std::fflush(m_file);
    }
  }

 private:
  std::mutex m_mutex;
  std::FILE* m_file = nullptr;
};

template <typename... Parts>
void Log(const Parts&... parts) {
  Record::Get().Line(parts...);
}

// --- Sockets ----------------------------------------------------------------

struct Endpoint {
  std::string ip;
  int port = 0;
  std::string Text() const { return ip + ":" + std::to_string(port); }
};

inline sockaddr_in AddressOf(const Endpoint& endpoint) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(static_cast<std::uint16_t>(endpoint.port));
  inet_pton(AF_INET, endpoint.ip.c_str(), &address.sin_addr);
  return address;
}

// Returns a listening socket; fills in the port if it is 0.
inline int Listen(Endpoint& endpoint) {
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int on = 1;
  setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
  sockaddr_in address = AddressOf(endpoint);
  if (bind(fd, reinterpret_cast<sockaddr*>(&address), sizeof(address)) != 0 ||
      listen(fd, 512) != 0) {
    close(fd);
    return -1;
  }
  socklen_t size = sizeof(address);
  getsockname(fd, reinterpret_cast<sockaddr*>(&address), &size);
  endpoint.port = ntohs(address.sin_port);
  return fd;
}

// A port that is free for TCP and UDP; returns each port only once.
inline int FreePort(const std::string& ip) {
  static std::set<std::pair<std::string, int>> given;
  for (;;) {
    Endpoint endpoint{ip, 0};
    const int fd = Listen(endpoint);
    const int udp = socket(AF_INET, SOCK_DGRAM | SOCK_CLOEXEC, 0);
    sockaddr_in address = AddressOf(endpoint);
    const bool is_free =
        fd >= 0 &&
        bind(udp, reinterpret_cast<sockaddr*>(&address), sizeof(address)) == 0;
    close(fd);
    close(udp);
    if (is_free && given.insert({ip, endpoint.port}).second)
      return endpoint.port;
  }
}

inline int Connect(const Endpoint& endpoint) {
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in address = AddressOf(endpoint);
  if (connect(fd, reinterpret_cast<sockaddr*>(&address), sizeof(address)) !=
      0) {
    close(fd);
    return -1;
  }
  const int on = 1;
  setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
  return fd;
}

inline bool SendAll(int fd, std::string_view bytes) {
  while (!bytes.empty()) {
    const ssize_t sent = send(fd, bytes.data(), bytes.size(), MSG_NOSIGNAL);
    if (sent <= 0)
      return false;
    bytes.remove_prefix(static_cast<std::size_t>(sent));
  }
  return true;
}

// --- HTTP -------------------------------------------------------------------

struct Head {
  std::string first_line;
  std::vector<std::pair<std::string, std::string>> fields;

  std::string Get(const char* name) const {
    for (const auto& [key, value] : fields) {
      if (strcasecmp(key.c_str(), name) == 0)
        return value;
    }
    return {};
  }
  std::string Word(int index) const {
    std::istringstream words(first_line);
    std::string word;
    for (int at = 0; at <= index; ++at)
      words >> word;
    return word;
  }
};

enum class Ended { kComplete, kClosed, kReset, kTimeout };

// A connection and the bytes read from it but not used yet.
class Connection {
 public:
  explicit Connection(int fd) : m_fd(fd) {}
  ~Connection() {
    if (m_fd >= 0)
      close(m_fd);
  }
  Connection(const Connection&) = delete;
  Connection& operator=(const Connection&) = delete;

  int fd() const { return m_fd; }
  bool Send(std::string_view bytes) { return SendAll(m_fd, bytes); }

  // Resets the connection instead of closing it in order.
  void Reset() {
    const linger now{1, 0};
    setsockopt(m_fd, SOL_SOCKET, SO_LINGER, &now, sizeof(now));
    close(m_fd);
    m_fd = -1;
  }

  Ended ReadMore(Time until) {
    const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(
        until - Clock::now());
    pollfd wait{m_fd, POLLIN, 0};
    const int ready =
        poll(&wait, 1, std::max<int>(0, static_cast<int>(left.count())));
    if (ready == 0)
      return Ended::kTimeout;
    char bytes[65536];
    const ssize_t size = recv(m_fd, bytes, sizeof(bytes), 0);
    if (size > 0) {
      m_read.append(bytes, static_cast<std::size_t>(size));
      return Ended::kComplete;
    }
    return size == 0 ? Ended::kClosed : Ended::kReset;
  }

  Ended ReadHead(Head& head, Time until) {
    std::size_t end = 0;
    while ((end = m_read.find("\r\n\r\n")) == std::string::npos) {
      if (const Ended ended = ReadMore(until); ended != Ended::kComplete)
        return ended;
    }
    std::istringstream lines(m_read.substr(0, end + 2));
    m_read.erase(0, end + 4);
    head = Head();
    std::string line;
    while (std::getline(lines, line)) {
      if (!line.empty() && line.back() == '\r')
        line.pop_back();
      if (head.first_line.empty()) {
        head.first_line = line;
        continue;
      }
      const std::size_t colon = line.find(':');
      if (colon == std::string::npos)
        continue;
      std::string value = line.substr(colon + 1);
      value.erase(0, value.find_first_not_of(' '));
      head.fields.emplace_back(line.substr(0, colon), value);
    }
    return Ended::kComplete;
  }

  Ended ReadExactly(std::size_t size, std::string& to, Time until) {
    while (m_read.size() < size) {
      if (const Ended ended = ReadMore(until); ended != Ended::kComplete) {
        to += m_read;
        m_read.clear();
        return ended;
      }
    }
    to += m_read.substr(0, size);
    m_read.erase(0, size);
    return Ended::kComplete;
  }

  // Reads the body that `head` announces; none without a length or chunks.
  Ended ReadBody(const Head& head, std::string& body, Time until) {
    if (strcasecmp(head.Get("Transfer-Encoding").c_str(), "chunked") != 0) {
      const std::string length = head.Get("Content-Length");
      return length.empty() ? Ended::kComplete
                            : ReadExactly(std::stoul(length), body, until);
    }
    for (;;) {
      std::size_t end = 0;
      while ((end = m_read.find("\r\n")) == std::string::npos) {
        if (const Ended ended = ReadMore(until); ended != Ended::kComplete)
          return ended;
      }
      const std::size_t size = std::stoul(m_read.substr(0, end), nullptr, 16);
      m_read.erase(0, end + 2);
      std::string chunk;
      if (const Ended ended = ReadExactly(size + 2, chunk, until);
          ended != Ended::kComplete) {
        body += chunk.substr(0, std::min(size, chunk.size()));
        return ended;
      }
      body += chunk.substr(0, size);
      if (size == 0)
        return Ended::kComplete;
    }
  }

 private:
  int m_fd;
  std::string m_read;
};

inline const char* NameOf(Ended ended) {
  switch (ended) {
    case Ended::kComplete:
      return "complete";
    case Ended::kClosed:
      return "closed";
    case Ended::kReset:
      return "reset";
    case Ended::kTimeout:
      return "timeout";
  }
  return "";
}

struct Answer {
  // How the answer ended: only kComplete is a whole answer.
  Ended ended = Ended::kReset;
  int status = 0;
  Head head;
  std::string body;
};

// Reads one answer until `until`.
inline Answer ReadAnswer(Connection& connection, Time until) {
  Answer answer;
  answer.ended = connection.ReadHead(answer.head, until);
  if (answer.ended != Ended::kComplete)
    return answer;
  answer.status = std::atoi(answer.head.Word(1).c_str());
  answer.ended = connection.ReadBody(answer.head, answer.body, until);
  return answer;
}

// A listener that serves each connection on a thread of its own. The threads
// end with the process.
inline void Serve(int listener,
                  std::function<void(std::shared_ptr<Connection>)> serve) {
  std::thread([listener, serve = std::move(serve)] {
    for (;;) {
      const int fd = accept4(listener, nullptr, nullptr, SOCK_CLOEXEC);
      if (fd < 0)
        continue;
      const int on = 1;
      setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
      std::thread([serve, connection = std::make_shared<Connection>(fd)] {
        serve(connection);
      }).detach();
    }
  }).detach();
}

// --- Store ------------------------------------------------------------------

// The platform's store: rows-get, rows-feed and rows-tx, without faults.
class Store {
 public:
  explicit Store(const std::string& ip) : m_endpoint{ip, 0} {
    Serve(Listen(m_endpoint), [this](std::shared_ptr<Connection> connection) {
      ServeConnection(*connection);
    });
  }

  const Endpoint& endpoint() const { return m_endpoint; }

  // Writes the operator's configuration.
  void WriteConfig(const std::string& text) {
    const std::lock_guard lock(m_mutex);
    ++m_version;
    Put({"op", "", "config"}, Base64(text));
    m_changed.notify_all();
  }

 private:
  using Name = std::tuple<std::string, std::string, std::string>;
  struct Row {
    std::string value;
    std::uint64_t version = 0;
  };

  static std::string Base64(std::string_view bytes) {
    static const char digits[] =
        "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string text;
    for (std::size_t at = 0; at < bytes.size(); at += 3) {
      std::uint32_t group = 0;
      for (std::size_t byte = 0; byte < 3; ++byte) {
        group = group << 8 | (at + byte < bytes.size()
                                  ? static_cast<unsigned char>(bytes[at + byte])
                                  : 0U);
      }
      for (int digit = 0; digit < 4; ++digit)
        text += digits[group >> (18 - 6 * digit) & 63];
    }
    for (std::size_t pad = (3 - bytes.size() % 3) % 3; pad > 0; --pad)
      text[text.size() - pad] = '=';
    return text;
  }

  static std::string Plain(std::string_view text) {
    std::string plain;
    for (std::size_t at = 0; at < text.size(); ++at) {
      if (text[at] != '%') {
        plain += text[at];
        continue;
      }
      plain += static_cast<char>(
          std::stoi(std::string(text.substr(at + 1, 2)), nullptr, 16));
      at += 2;
    }
    return plain;
  }

  static std::map<std::string, std::string> Query(const std::string& target) {
    std::map<std::string, std::string> query;
    const std::size_t mark = target.find('?');
    std::istringstream pairs(
        mark == std::string::npos ? "" : target.substr(mark + 1));
    std::string pair;
    while (std::getline(pairs, pair, '&')) {
      const std::size_t equals = pair.find('=');
      query[pair.substr(0, equals)] = Plain(pair.substr(equals + 1));
    }
    return query;
  }

  void Put(const Name& name, std::string value) {
    m_rows[name] = {std::move(value), m_version};
    m_history.push_back({m_version, name});
  }

  boost::json::object RowOf(const Name& name) const {
    boost::json::object row{{"table", std::get<0>(name)},
                            {"part", std::get<1>(name)},
                            {"key", std::get<2>(name)}};
    const auto found = m_rows.find(name);
    row["ver"] = found == m_rows.end() ? 0 : found->second.version;
    if (found != m_rows.end())
      row["value"] = found->second.value;
    return row;
  }

  bool Reply(Connection& connection, int status, boost::json::object body) {
    body["ver"] = m_version;
    body["now_s"] = Seconds(Clock::now() - kStart);
    const std::string text = boost::json::serialize(body);
    return connection.Send("HTTP/1.1 " + std::to_string(status) +
                           " X\r\nContent-Type: application/json\r\n"
                           "Content-Length: " +
                           std::to_string(text.size()) + "\r\n\r\n" + text);
  }

  void ServeConnection(Connection& connection) {
    Head head;
    while (connection.ReadHead(head, Time::max() - 1h) == Ended::kComplete) {
      std::string body;
      if (connection.ReadBody(head, body, Clock::now() + 5s) !=
          Ended::kComplete)
        return;
      if (!Handle(connection, head.Word(1), body))
        return;
    }
  }

  bool Handle(Connection& connection,
              const std::string& target,
              const std::string& body) {
    const std::string path = target.substr(0, target.find('?'));
    std::map<std::string, std::string> query = Query(target);
    std::unique_lock lock(m_mutex);
    if (path == "/v1/rows-get")
      return Read(connection, query);
    if (path == "/v1/rows-feed")
      return Feed(connection, query, lock);
    if (path == "/v1/rows-tx")
      return Transact(connection, body);
    return Reply(connection, 404, {});
  }

  bool Read(Connection& connection, std::map<std::string, std::string>& query) {
    const std::size_t limit =
        query["limit"].empty() ? 500 : std::stoul(query["limit"]);
    boost::json::array rows;
    bool has_more = false;
    for (auto row =
             m_rows.lower_bound({query["table"], query["part"], query["from"]});
         row != m_rows.end(); ++row) {
      const auto& [table, part, key] = row->first;
      if (table != query["table"] || part != query["part"] ||
          (!query["to"].empty() && key >= query["to"]))
        break;
      if (rows.size() == limit) {
        has_more = true;
        break;
      }
      rows.push_back(RowOf(row->first));
    }
    return Reply(connection, 200, {{"rows", rows}, {"has_more", has_more}});
  }

  bool Feed(Connection& connection,
            std::map<std::string, std::string>& query,
            std::unique_lock<std::mutex>& lock) {
    const std::uint64_t after = std::stoull(query["after"]);
    const Time until =
        Clock::now() + std::chrono::milliseconds(std::stoi(query["wait_ms"]));
    boost::json::array rows;
    for (;;) {
      std::set<Name> names;
      for (const auto& [version, name] : m_history) {
        if (version > after && std::get<0>(name) == query["table"] &&
            names.insert(name).second) {
          boost::json::object row = RowOf(name);
          if (!m_rows.contains(name))
            row["removed"] = true;
          rows.push_back(row);
        }
      }
      if (!rows.empty() ||
          m_changed.wait_until(lock, until) == std::cv_status::timeout)
        return Reply(connection, 200, {{"rows", rows}});
    }
  }

  bool Transact(Connection& connection, const std::string& text) {
    const boost::json::value parsed = boost::json::parse(text);
    const auto each = [&parsed](const char* list, const auto& use) {
      const auto* const rows = parsed.as_object().if_contains(list);
      if (!rows)
        return;
      for (const boost::json::value& row : rows->as_array()) {
        const auto field = [&row](const char* name) {
          return std::string(row.at(name).as_string());
        };
        use(Name{field("table"), field("part"), field("key")}, row);
      }
    };
    bool is_met = true;
    boost::json::array current;
    each("precondition", [&](const Name& name, const boost::json::value& row) {
      const boost::json::object known = RowOf(name);
      is_met = is_met && row.at("ver").to_number<std::uint64_t>() ==
                             known.at("ver").to_number<std::uint64_t>();
      current.push_back(known);
    });
    if (!is_met)
      return Reply(connection, 412, {{"rows", current}});
    ++m_version;
    each("puts", [&](const Name& name, const boost::json::value& row) {
      Put(name, std::string(row.at("value").as_string()));
    });
    each("deletes", [&](const Name& name, const boost::json::value&) {
      if (m_rows.erase(name) > 0)
        m_history.push_back({m_version, name});
    });
    m_changed.notify_all();
    return Reply(connection, 200, {});
  }

  Endpoint m_endpoint;
  std::mutex m_mutex;
  std::condition_variable m_changed;
  std::uint64_t m_version = 1;
  std::map<Name, Row> m_rows;
  std::vector<std::pair<std::uint64_t, Name>> m_history;
};

// --- Nodes ------------------------------------------------------------------

// One machine: its addresses, its node's process and its settings.
struct Machine {
  std::string name;
  std::string ip;
  std::string zone;
  std::string service;
  Endpoint outbound;
  Endpoint ready;
  Endpoint control;
  // Where the node sends the work for the server.
  Endpoint server;
  pid_t pid = 0;
};

// All processes that this script started; ended at its end.
inline std::vector<pid_t>& Children() {
  static std::vector<pid_t> children;
  return children;
}

inline void EndChildren() {
  for (const pid_t child : Children()) {
    kill(child, SIGCONT);
    kill(child, SIGKILL);
  }
  for (const pid_t child : Children())
    waitpid(child, nullptr, 0);
  Children().clear();
}

inline void ReplaceAll(std::string& text,
                       const std::string& from,
                       const std::string& to) {
  for (std::size_t at = 0; (at = text.find(from, at)) != std::string::npos;
       at += to.size())
    text.replace(at, from.size(), to);
}

// Fills in the deployment's template for a site without cold starts, quotas,
// keys and evacuations.
inline std::string SettingsOf(const Machine& machine,
                              const Endpoint& store,
                              std::string text) {
  for (std::size_t at = 0;
       (at = text.find("{{#bounds.")) != std::string::npos;) {
    const std::size_t name_end = text.find("}}", at);
    const std::string name = text.substr(at + 3, name_end - at - 3);
    const std::string end = "{{/" + name + "}}";
    text.erase(at, text.find(end) + end.size() - at);
  }
  const std::size_t zones = text.find("{{#zones}}");
  const std::string zones_end = "{{/zones}}";
  text.replace(zones, text.find(zones_end) + zones_end.size() - zones,
               "z-a, z-b, z-c");
  const std::vector<std::pair<std::string, std::string>> values = {
      {"zone", machine.zone},
      {"region", "r"},
      {"ip", machine.ip},
      {"listen.outbound", machine.outbound.Text()},
      {"listen.ready", machine.ready.Text()},
      {"listen.control", machine.control.Text()},
      {"port_range.0", std::to_string(FreePort(machine.ip))},
      {"port_range.1", std::to_string(FreePort(machine.ip))},
      {"service", machine.service},
      {"platform.address", store.Text()},
      {"bootstrap|json", "true"},
      {"bounds.retry_budget_ratio", "0.2"},
      {"bounds.retry_window_s", "10"},
      {"bounds.retry_budget_slack", "58"},
      {"bounds.grace_s", "6"}};
  for (const auto& [name, value] : values)
    ReplaceAll(text, "{{" + name + "}}", value);
  // On the platform each machine has ports of its own; here all share one.
  ReplaceAll(text, machine.ip + ":9464",
             machine.ip + ":" + std::to_string(FreePort(machine.ip)));
  ReplaceAll(text, "127.0.0.1:9465",
             machine.ip + ":" + std::to_string(FreePort(machine.ip)));
  return text;
}

inline std::string ReadFile(const std::string& name) {
  std::ifstream file(name);
  std::ostringstream text;
  text << file.rdbuf();
  return text.str();
}

// Starts the node with the deploy file's command and the given settings file.
inline void StartProcess(Machine& machine,
                         const std::string& program,
                         const std::string& folder) {
  const std::string settings = folder + "/" + machine.name + ".yaml";
  const std::string log = folder + "/" + machine.name + ".log";
  const pid_t child = fork();
  if (child == 0) {
    // Ends with this program, however that ends.
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    const int out =
        open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0600);
    dup2(out, 1);
    dup2(out, 2);
    setenv("BULRUSHMOUNT_CONFIG", settings.c_str(), 1);
    execl(program.c_str(), program.c_str(), "--settings", settings.c_str(),
          nullptr);
    _exit(127);
  }
  machine.pid = child;
  Children().push_back(child);
}

// Sends one request on a new connection and reads its answer.
inline Answer Ask(const Endpoint& to,
                  const std::string& request,
                  Clock::duration time) {
  Answer answer;
  const int fd = Connect(to);
  if (fd < 0)
    return answer;
  Connection connection(fd);
  connection.Send(request);
  return ReadAnswer(connection, Clock::now() + time);
}

inline bool IsReady(const Machine& machine) {
  return Ask(machine.ready, "GET /v1/readiness HTTP/1.1\r\nHost: node\r\n\r\n",
             1s)
             .status == 200;
}

inline bool IsRunning(const Machine& machine) {
  return waitpid(machine.pid, nullptr, WNOHANG) == 0;
}

// --- Servers ----------------------------------------------------------------

// A server beside a node: sends heartbeats, answers its health path, and passes
// each request to `run`, which returns whether the connection stays open.
class Server {
 public:
  using Run = std::function<bool(Connection& connection, const Head& head)>;

  Server(const Machine& machine, std::string id, int slots, Run run)
      : m_machine(machine), m_id(std::move(id)), m_slots(slots), m_run(run) {}

  // Listens on `at` and announces `announced`.
  bool Start(Endpoint at, const Endpoint& announced) {
    const int listener = Listen(at);
    if (listener < 0)
      return false;
    m_announced = announced;
    Serve(listener, [this](std::shared_ptr<Connection> connection) {
      ServeConnection(*connection);
    });
    std::thread([this] { SendHeartbeats(); }).detach();
    return true;
  }

  const std::string& id() const { return m_id; }
  std::atomic<int> running = 0;
  // The health path answers 503.
  std::atomic<bool> is_leaving = false;

  // Heartbeats from now on are not sent but kept for TakeHeld.
  void HoldHeartbeats() { m_is_holding = true; }
  std::vector<std::string> TakeHeld() {
    const std::lock_guard lock(m_held_mutex);
    return std::exchange(m_held, {});
  }
  // Sends one call about this server to its node; returns the status.
  int Call(const std::string& method, const std::string& body) {
    return Ask(m_machine.control, RequestText(method, body), 1s).status;
  }

  std::string LoadField() const {
    return "X-Bulrushmount-Server-Load: " + std::to_string(running.load()) +
           ",0," + std::to_string(m_slots) + ",100\r\n";
  }

 private:
  void ServeConnection(Connection& connection) {
    Head head;
    while (connection.ReadHead(head, Time::max() - 1h) == Ended::kComplete) {
      if (head.Word(1) == "/health") {
        if (!connection.Send(
                std::string(is_leaving ? "HTTP/1.1 503 Service Unavailable"
                                       : "HTTP/1.1 200 OK") +
                "\r\nX-Bulrushmount-Instance-Id: " + m_id + "\r\n" +
                LoadField() + "Content-Length: 0\r\n\r\n"))
          return;
        continue;
      }
      const std::string expected = head.Get("X-Bulrushmount-Expect-Instance");
      if (!expected.empty() && expected != m_id) {
        connection.Send(
            "HTTP/1.1 421 Misdirected Request\r\n"
            "X-Bulrushmount-Instance-Id: " +
            m_id + "\r\nConnection: close\r\nContent-Length: 0\r\n\r\n");
        return;
      }
      if (!m_run(connection, head))
        return;
    }
  }

  std::string HeartbeatBody(int sequence) const {
    return "{\"service\":\"" + m_machine.service + "\",\"address\":\"" +
           m_announced.Text() + "\",\"zone\":\"" + m_machine.zone +
           "\",\"version\":\"v1\",\"slots\":" + std::to_string(m_slots) +
           ",\"state\":\"ready\",\"cold_remaining_s\":0,\"seq\":" +
           std::to_string(sequence) + "}";
  }

  std::string RequestText(const std::string& method,
                          const std::string& body) const {
    return method + " /v1/instances/" + m_id +
           " HTTP/1.1\r\nHost: node\r\nContent-Type: application/json\r\n"
           "Content-Length: " +
           std::to_string(body.size()) + "\r\n\r\n" + body;
  }

  void SendHeartbeats() {
    std::unique_ptr<Connection> connection;
    for (int sequence = 1;; ++sequence) {
      if (!connection) {
        if (const int fd = Connect(m_machine.control); fd >= 0)
          connection = std::make_unique<Connection>(fd);
      }
      const std::string body = HeartbeatBody(sequence);
      if (m_is_holding) {
        const std::lock_guard lock(m_held_mutex);
        m_held.push_back(body);
      } else if (connection) {
        connection->Send(RequestText("PUT", body));
        if (ReadAnswer(*connection, Clock::now() + 1s).status != 200)
          connection.reset();
      }
      std::this_thread::sleep_for(500ms);
    }
  }

  Machine m_machine;
  std::string m_id;
  int m_slots;
  Run m_run;
  Endpoint m_announced;
  std::atomic<bool> m_is_holding = false;
  std::mutex m_held_mutex;
  std::vector<std::string> m_held;
};

// --- A small deployment -----------------------------------------------------

// The paths that a script passes to its program, and what it asks for.
struct Options {
  std::string program;
  std::string settings_template;
  std::string folder;
  bool has_trouble = true;
};

// Reads NODE TEMPLATE FOLDER RECORD from the command line and TROUBLE from the
// environment.
inline Options ReadOptions(int count, char** words) {
  if (count != 5)
    std::exit(kCouldNotRun);
  Record::Get().Open(words[4]);
  const char* const trouble = std::getenv("TROUBLE");
  return {words[1], words[2], words[3],
          trouble == nullptr || std::string_view(trouble) != "0"};
}

class Fleet {
 public:
  explicit Fleet(const Options& options)
      : m_options(options), m_store("127.0.0.1") {}

  Store& store() { return m_store; }
  std::vector<Machine>& machines() { return m_machines; }

  // Adds a machine with its own loopback address.
  Machine& Add(const std::string& service) {
    const std::size_t index = m_machines.size();
    Machine machine;
    machine.name = "side-" + std::to_string(index);
    machine.ip = "127.77.0." + std::to_string(index + 1);
    machine.zone = std::string("z-") + static_cast<char>('a' + index % 3);
    machine.service = service;
    for (Endpoint* endpoint :
         {&machine.outbound, &machine.ready, &machine.control, &machine.server})
      *endpoint = {machine.ip, FreePort(machine.ip)};
    m_machines.push_back(machine);
    return m_machines.back();
  }

  void StartNodes() {
    const std::string text = ReadFile(m_options.settings_template);
    for (Machine& machine : m_machines) {
      std::ofstream(m_options.folder + "/" + machine.name + ".yaml")
          << SettingsOf(machine, m_store.endpoint(), text);
      StartProcess(machine, m_options.program, m_options.folder);
    }
  }

  bool WaitReady(Clock::duration time) {
    const Time until = Clock::now() + time;
    for (Machine& machine : m_machines) {
      while (!IsReady(machine)) {
        if (Clock::now() > until)
          return false;
        std::this_thread::sleep_for(50ms);
      }
    }
    return true;
  }

  // Whether all nodes still run; logs those that ended.
  bool AllRun() {
    bool all_run = true;
    for (const Machine& machine : m_machines) {
      if (!IsRunning(machine)) {
        Log("process of ", machine.name, " has ended by itself");
        all_run = false;
      }
    }
    return all_run;
  }

 private:
  Options m_options;
  Store m_store;
  std::vector<Machine> m_machines;
};

// An id for each attempt of a client.
inline std::string NextId() {
  static std::atomic<std::uint64_t> last = 0;
  char text[17];
  std::snprintf(
      text, sizeof(text), "%016llx",
      static_cast<unsigned long long>(0x9c41d07b00000000ULL + ++last));
  return text;
}

// A row of the configuration's routes.
inline std::string RouteRow(const std::string& name,
                            const std::string& prefix,
                            const std::string& kind,
                            double timeout_s,
                            const std::string& service,
                            int max_attempts) {
  std::ostringstream row;
  row << "[\"" << name << "\",\"site.example\",\"" << prefix << "\",\"" << kind
      << "\"," << timeout_s << "," << timeout_s / 2 << ",1,\"" << service
      << "\"," << max_attempts << ",null]";
  return row.str();
}

inline std::string Config(int version,
                          const std::vector<std::string>& routes,
                          const std::vector<std::string>& services) {
  std::string text = "{\"version\":" + std::to_string(version) +
                     ",\"routes\":{\"columns\":[\"name\",\"host\",\"prefix\","
                     "\"kind\",\"timeout_s\",\"target_latency_s\",\"priority\","
                     "\"service\",\"max_attempts\",\"traffic_split\"],"
                     "\"rows\":[";
  for (std::size_t at = 0; at < routes.size(); ++at)
    text += (at ? "," : "") + routes[at];
  text +=
      "]},\"services\":{\"columns\":[\"name\",\"health_path\","
      "\"max_connections\",\"protocol\",\"tls\"],\"rows\":[";
  for (std::size_t at = 0; at < services.size(); ++at) {
    text += std::string(at ? "," : "") + "[\"" + services[at] +
            "\",\"/health\",220,\"h1\",false]";
  }
  return text +
         "]},\"limits\":{\"max_header_bytes\":16384,"
         "\"max_body_bytes\":67108864,\"header_timeout_s\":3,"
         "\"idle_timeout_s\":15}}";
}

// Ends the script: ends its processes and leaves without waiting for threads.
[[noreturn]] inline void Finish(int code, const std::string& summary) {
  Log(summary);
  EndChildren();
  std::printf("%s\n", summary.c_str());
  std::fflush(nullptr);
  _exit(code);
}

}  // namespace rig

#endif  // REVIEW_STAND_INS_RIG_H_

// Stand-ins for the cases in review/: the platform's store, replicas and clients, each with threads
// and plain sockets, and the boxes, which are processes of the deployed program. Loopback only.
//
// They follow PROTOCOL.md. Only what is needed for the cases is here.
#pragma once

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <deque>
#include <filesystem>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <sstream>
#include <string>
#include <thread>
#include <vector>

namespace review {

// Milliseconds since the start of the case, on the steady clock.
inline long Now() {
    static const auto start = std::chrono::steady_clock::now();
    return std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::steady_clock::now() -
                                                                 start)
        .count();
}

inline void SleepMs(long ms) {
    std::this_thread::sleep_for(std::chrono::milliseconds(std::max(0L, ms)));
}

inline void SleepUntil(long at) {
    SleepMs(at - Now());
}

// What was sent, answered and run: the record.txt of a case.
class Record {
public:
    explicit Record(const std::string& path) : m_out(path) {}
    void line(const std::string& text) {
        const std::lock_guard lock(m_mutex);
        m_out << Now() << " " << text << "\n" << std::flush;
    }

private:
    std::mutex m_mutex;
    std::ofstream m_out;
};

struct Address {
    std::string ip;
    uint16_t port = 0;
    std::string text() const { return ip + ":" + std::to_string(port); }
};

inline sockaddr_in SocketAddress(const Address& address) {
    sockaddr_in out{};
    out.sin_family = AF_INET;
    out.sin_port = htons(address.port);
    inet_pton(AF_INET, address.ip.c_str(), &out.sin_addr);
    return out;
}

// A socket that listens at `ip`, on `port` or on one that the kernel chooses. Exits with 2 where it
// can't.
inline int ListenAt(const std::string& ip, Address& bound, uint16_t port = 0) {
    const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    sockaddr_in address = SocketAddress({ip, port});
    socklen_t size = sizeof address;
    if (bind(fd, reinterpret_cast<sockaddr*>(&address), size) != 0 || listen(fd, 512) != 0 ||
        getsockname(fd, reinterpret_cast<sockaddr*>(&address), &size) != 0) {
        std::perror("listen");
        std::exit(2);
    }
    bound = {ip, ntohs(address.sin_port)};
    return fd;
}

// A port that is free at `ip` now, for a process that is about to start.
inline uint16_t FreePort(const std::string& ip) {
    Address bound;
    close(ListenAt(ip, bound));
    return bound.port;
}

// One HTTP message as it came: the first line, the headers with names in lower case, the body.
struct Message {
    std::string first;
    std::vector<std::pair<std::string, std::string>> headers;
    std::string body;
    bool complete = false;

    std::string header(const std::string& name) const {
        for (const auto& [key, value] : headers) {
            if (key == name) {
                return value;
            }
        }
        return {};
    }
    int status() const { return first.size() > 12 ? std::atoi(first.c_str() + 9) : 0; }
    std::string target() const {
        const size_t from = first.find(' ') + 1;
        return first.substr(from, first.find(' ', from) - from);
    }
};

// A connection: reads messages with a length, in chunks or up to its end, and writes bytes.
class Wire {
public:
    explicit Wire(int fd) : m_fd(fd) {
        const int on = 1;
        setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    }
    Wire(const Wire&) = delete;
    Wire& operator=(const Wire&) = delete;
    ~Wire() { end(); }

    void end() {
        if (m_fd >= 0) {
            close(m_fd);
            m_fd = -1;
        }
    }
    void reset() {
        const linger now{1, 0};
        setsockopt(m_fd, SOL_SOCKET, SO_LINGER, &now, sizeof now);
        end();
    }
    void setReadTimeout(long ms) {
        const timeval time{ms / 1000, (ms % 1000) * 1000};
        setsockopt(m_fd, SOL_SOCKET, SO_RCVTIMEO, &time, sizeof time);
    }
    bool write(const std::string& bytes) {
        size_t sent = 0;
        while (sent < bytes.size()) {
            const ssize_t done = send(m_fd, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
            if (done <= 0) {
                return false;
            }
            sent += static_cast<size_t>(done);
        }
        return true;
    }
    // Whether the other end has closed or reset.
    bool ended() const {
        char byte = 0;
        const ssize_t got = recv(m_fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
        return got == 0 || (got < 0 && errno != EAGAIN && errno != EWOULDBLOCK);
    }
    // False if the connection ended before a head. `untilEnd`: a body without a length is read to
    // the end of the connection, as of an answer.
    bool read(Message& message, bool untilEnd = false) {
        size_t end = 0;
        while ((end = m_buffer.find("\r\n\r\n")) == std::string::npos) {
            if (!more()) {
                return false;
            }
        }
        parseHead(message, m_buffer.substr(0, end));
        m_buffer.erase(0, end + 4);
        if (message.header("transfer-encoding").find("chunked") != std::string::npos) {
            message.complete = readChunks(message.body);
        } else if (!message.header("content-length").empty()) {
            const size_t length = std::stoul(message.header("content-length"));
            while (m_buffer.size() < length && more()) {
            }
            message.complete = m_buffer.size() >= length;
            message.body = m_buffer.substr(0, length);
            m_buffer.erase(0, length);
        } else if (untilEnd) {
            while (more()) {
            }
            message.body = std::move(m_buffer);
            m_buffer.clear();
            message.complete = !m_broken;
        } else {
            message.complete = true;
        }
        return true;
    }

private:
    bool more() {
        char bytes[16384];
        const ssize_t got = recv(m_fd, bytes, sizeof bytes, 0);
        if (got <= 0) {
            m_broken = got < 0;
            return false;
        }
        m_buffer.append(bytes, static_cast<size_t>(got));
        return true;
    }
    bool readChunks(std::string& body) {
        while (true) {
            size_t line = 0;
            while ((line = m_buffer.find("\r\n")) == std::string::npos) {
                if (!more()) {
                    return false;
                }
            }
            const size_t length = std::stoul(m_buffer.substr(0, line), nullptr, 16);
            while (m_buffer.size() < line + 2 + length + 2) {
                if (!more()) {
                    body += m_buffer.substr(std::min(m_buffer.size(), line + 2), length);
                    return false;
                }
            }
            body += m_buffer.substr(line + 2, length);
            m_buffer.erase(0, line + 2 + length + 2);
            if (length == 0) {
                return true;
            }
        }
    }
    static void parseHead(Message& message, const std::string& head) {
        std::istringstream lines(head);
        std::string line;
        std::getline(lines, message.first);
        while (!message.first.empty() && message.first.back() == '\r') {
            message.first.pop_back();
        }
        while (std::getline(lines, line)) {
            while (!line.empty() && line.back() == '\r') {
                line.pop_back();
            }
            const size_t colon = line.find(':');
            std::string name = line.substr(0, colon);
            std::transform(name.begin(), name.end(), name.begin(), ::tolower);
            const size_t value = line.find_first_not_of(' ', colon + 1);
            message.headers.emplace_back(name,
                                         value == std::string::npos ? "" : line.substr(value));
        }
    }

    int m_fd;
    bool m_broken = false;
    std::string m_buffer;
};

// Accepts connections and serves each on a thread of its own, until it is stopped.
class Listener {
public:
    using Serve = std::function<void(std::shared_ptr<Wire>)>;

    Listener(const std::string& ip, Serve serve, uint16_t port = 0) : m_serve(std::move(serve)) {
        m_fd = ListenAt(ip, m_address, port);
        std::thread([this] { accept(); }).detach();
    }
    const Address& address() const { return m_address; }
    // Refuses connections from now on.
    void stop() {
        if (!m_stopped.exchange(true)) {
            shutdown(m_fd, SHUT_RDWR);
            close(m_fd);
        }
    }

private:
    void accept() {
        while (!m_stopped) {
            const int fd = ::accept4(m_fd, nullptr, nullptr, SOCK_CLOEXEC);
            if (fd < 0) {
                return;
            }
            std::thread([this, fd] { m_serve(std::make_shared<Wire>(fd)); }).detach();
        }
    }

    Serve m_serve;
    int m_fd = -1;
    Address m_address;
    std::atomic<bool> m_stopped = false;
};

// The platform's metadata store: lists by page, watches, and reads that may be seconds old.
// Objects are kept as JSON text, and go out as they were written.
class Store {
public:
    explicit Store(const std::string& ip)
        : m_listener(ip, [this](std::shared_ptr<Wire> wire) { serve(*wire); }) {}

    const Address& address() const { return m_listener.address(); }

    // Makes or replaces an object; returns when it was acknowledged.
    long put(const std::string& kind, const std::string& name, const std::string& spec) {
        const std::lock_guard lock(m_mutex);
        ++m_revision;
        record(kind, name, false,
               "{\"metadata\":{\"name\":\"" + name +
                   "\",\"revision\":" + std::to_string(m_revision) + "},\"spec\":" + spec + "}");
        return Now();
    }
    long remove(const std::string& kind, const std::string& name) {
        const std::lock_guard lock(m_mutex);
        ++m_revision;
        record(kind, name, true,
               "{\"metadata\":{\"name\":\"" + name +
                   "\",\"revision\":" + std::to_string(m_revision) + "}}");
        return Now();
    }
    // How old a stale read is, in milliseconds, by the name that its list continues after (empty:
    // the first page).
    void setStaleness(std::function<long(const std::string& after)> staleness) {
        const std::lock_guard lock(m_mutex);
        m_staleness = std::move(staleness);
    }
    // Called for each call of a box, with its target.
    void setObserver(std::function<void(const std::string&)> observer) {
        const std::lock_guard lock(m_mutex);
        m_observer = std::move(observer);
    }

private:
    static constexpr size_t kPage = 500;
    struct Change {
        uint64_t revision = 0;
        long at = 0;
        std::string kind;
        std::string name;
        bool gone = false;
        std::string object;
    };

    void record(const std::string& kind, const std::string& name, bool gone, std::string object) {
        m_history.push_back({m_revision, Now(), kind, name, gone, std::move(object)});
        m_changed.notify_all();
    }
    static std::string field(const std::string& target, const std::string& name) {
        size_t from = target.find('?');
        while (from != std::string::npos) {
            const size_t end = target.find('&', from + 1);
            const std::string part = target.substr(
                from + 1, end == std::string::npos ? std::string::npos : end - from - 1);
            if (part.rfind(name + "=", 0) == 0) {
                return part.substr(name.size() + 1);
            }
            from = end;
        }
        return {};
    }
    void serve(Wire& wire) {
        while (true) {
            Message request;
            if (!wire.read(request)) {
                return;
            }
            const std::string target = request.target();
            {
                const std::lock_guard lock(m_mutex);
                if (m_observer) {
                    m_observer(target);
                }
            }
            const std::string prefix = "/v1/objects/";
            std::string answer;
            if (target.rfind(prefix, 0) == 0) {
                const std::string kind =
                    target.substr(prefix.size(), target.find('?') - prefix.size());
                answer = field(target, "watch").empty() ? list(kind, target) : watch(kind, target);
            }
            SleepMs(4);
            if (!wire.write("HTTP/1.1 " + std::string(answer.empty() ? "404" : "200") +
                            " Status\r\nContent-Type: application/json\r\nContent-Length: " +
                            std::to_string(answer.size()) + "\r\n\r\n" + answer)) {
                return;
            }
        }
    }
    std::string list(const std::string& kind, const std::string& target) {
        const std::lock_guard lock(m_mutex);
        const std::string after = field(target, "since_revision");
        const long age = field(target, "stale").empty() || !m_staleness ? 0 : m_staleness(after);
        const long asOf = Now() - age;
        uint64_t revision = 1;
        std::map<std::string, const std::string*> objects;
        for (const Change& change : m_history) {
            if (age > 0 && change.at > asOf) {
                break;
            }
            revision = change.revision;
            if (change.kind != kind) {
                continue;
            }
            if (change.gone) {
                objects.erase(change.name);
            } else {
                objects[change.name] = &change.object;
            }
        }
        std::string items;
        size_t count = 0;
        auto it = after.empty() ? objects.begin() : objects.upper_bound(after);
        for (; it != objects.end() && count < kPage; ++it, ++count) {
            items += (items.empty() ? "" : ",") + *it->second;
        }
        return "{\"items\":[" + items + "],\"more\":" + (it != objects.end() ? "true" : "false") +
               ",\"at\":" + std::to_string(revision) + "}";
    }
    std::string watch(const std::string& kind, const std::string& target) {
        const uint64_t since = std::stoull(field(target, "watch"));
        const long wait = std::stol("0" + field(target, "wait_ms"));
        std::unique_lock lock(m_mutex);
        std::string events;
        m_changed.wait_for(lock, std::chrono::milliseconds(wait), [&] {
            for (const Change& change : m_history) {
                if (change.kind == kind && change.revision > since) {
                    events += std::string(events.empty() ? "" : ",") +
                              "{\"object\":" + change.object +
                              ",\"gone\":" + (change.gone ? "true" : "false") + "}";
                }
            }
            return !events.empty();
        });
        return "{\"events\":[" + events + "],\"at\":" + std::to_string(m_revision) + "}";
    }

    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::deque<Change> m_history;
    uint64_t m_revision = 1;
    std::function<long(const std::string&)> m_staleness;
    std::function<void(const std::string&)> m_observer;
    Listener m_listener;
};

// One request that a replica began to run.
struct Run {
    std::string id;
    long at = 0;
};

// A replica of a plain service: works for a while and answers whole bodies, signed.
class Replica {
public:
    Replica(std::string id, std::string service, std::string zone, const std::string& ip,
            Record& record, uint16_t port = 0)
        : m_id(std::move(id)),
          m_service(std::move(service)),
          m_zone(std::move(zone)),
          m_record(record),
          m_listener(
              ip, [this](std::shared_ptr<Wire> wire) { serve(std::move(wire)); }, port) {}

    const Address& address() const { return m_listener.address(); }
    const std::string& id() const { return m_id; }
    void setWork(long ms) { m_work = ms; }
    // Its entry in the store.
    std::string entry(const std::string& state) const {
        return "{\"service\":\"" + m_service + "\",\"address\":\"" + m_listener.address().text() +
               "\",\"zone\":\"" + m_zone + "\",\"config_version\":1,\"slots\":6,\"state\":\"" +
               state + "\",\"cold_remaining_ms\":0,\"sequence\":1}";
    }
    // Its process ends: connections are reset and new ones refused.
    void end() {
        m_listener.stop();
        const std::lock_guard lock(m_mutex);
        m_ended = true;
        for (const auto& wire : m_open) {
            wire->reset();
        }
        m_open.clear();
    }
    std::vector<Run> runs() const {
        const std::lock_guard lock(m_mutex);
        return m_runs;
    }
    // Requests that were cut in the middle of their work by end().
    std::vector<std::string> cut() const {
        const std::lock_guard lock(m_mutex);
        return m_cut;
    }

private:
    void serve(std::shared_ptr<Wire> wire) {
        {
            const std::lock_guard lock(m_mutex);
            if (m_ended) {
                return;
            }
            m_open.insert(wire);
        }
        Message request;
        while (wire->read(request) && answer(*wire, request)) {
            request = Message();
        }
        const std::lock_guard lock(m_mutex);
        m_open.erase(wire);
    }
    bool answer(Wire& wire, const Message& request) {
        const std::string id = request.header("request-id");
        const std::string head = "Request-Id: " + id + "\r\n";
        if (request.header("expected-instance") != m_id) {
            return wire.write("HTTP/1.1 421 Misdirected Request\r\n" + head +
                              "Instance-Id: " + m_id + "\r\nContent-Length: 0\r\n\r\n");
        }
        size_t number = 0;
        {
            const std::lock_guard lock(m_mutex);
            m_runs.push_back({id, Now()});
            number = m_runs.size();
        }
        m_record.line("run " + id + " at " + m_id);
        SleepMs(m_work);
        {
            const std::lock_guard lock(m_mutex);
            if (m_ended) {
                m_cut.push_back(id);
                return false;
            }
        }
        const std::string body = "answer of " + m_id + " to " + id;
        return wire.write("HTTP/1.1 200 OK\r\n" + head + "Upstream-Signature: " + m_id + "." +
                          std::to_string(number) +
                          "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body);
    }

    std::string m_id;
    std::string m_service;
    std::string m_zone;
    Record& m_record;
    std::atomic<long> m_work = 15;
    mutable std::mutex m_mutex;
    bool m_ended = false;
    std::set<std::shared_ptr<Wire>> m_open;
    std::vector<Run> m_runs;
    std::vector<std::string> m_cut;
    Listener m_listener;
};

// What a client got: status 0 if the connection ended without a whole answer.
struct Answer {
    int status = 0;
    std::string body;
    bool signedByReplica = false;
    bool complete = false;
    long sent = 0;
    long ended = 0;
};

inline int Connect(const Address& to) {
    const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const sockaddr_in address = SocketAddress(to);
    if (connect(fd, reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0) {
        close(fd);
        return -1;
    }
    return fd;
}

// Sends one request on a connection of its own, and waits for its answer until the deadline and a
// little longer.
inline Answer Call(const Address& to, const std::string& text, long deadline) {
    Answer answer;
    answer.sent = Now();
    const int fd = Connect(to);
    if (fd >= 0) {
        Wire wire(fd);
        wire.setReadTimeout(deadline + 500);
        Message message;
        if (wire.write(text) && wire.read(message, true)) {
            answer.complete = message.complete;
            answer.status = message.status();
            answer.body = message.body;
            answer.signedByReplica = !message.header("upstream-signature").empty();
        }
    }
    answer.ended = Now();
    return answer;
}

inline std::string RequestText(const std::string& method, const std::string& path,
                               const std::string& id, long deadline,
                               const std::string& more = std::string(),
                               const std::string& body = std::string()) {
    return method + " " + path + " HTTP/1.1\r\nHost: desk.example\r\nRequest-Id: " + id +
           "\r\nDeadline-Ms: " + std::to_string(deadline) + "\r\nCredential: key-of-north\r\n" +
           more +
           (method == "GET" ? std::string()
                            : "Content-Length: " + std::to_string(body.size()) + "\r\n") +
           "Connection: close\r\n\r\n" + body;
}

// A box: the deployed program with settings as the platform fills them in for a small site.
class Box {
public:
    Box(std::string name, std::string zone, const std::string& ip, const Address& store,
        std::string dir)
        : m_name(std::move(name)), m_zone(std::move(zone)), m_ip(ip), m_dir(std::move(dir)) {
        m_store = store;
        for (uint16_t* port : {&m_callers, &m_readiness, &m_peers, &m_metrics}) {
            *port = FreePort(ip);
        }
    }
    Address callers() const { return {m_ip, m_callers}; }
    Address peers() const { return {m_ip, m_peers}; }
    Address readiness() const { return {m_ip, m_readiness}; }
    const std::string& name() const { return m_name; }

    void writeSettings(const std::vector<Address>& seeds, const std::string& bounds) {
        std::ofstream out(path());
        out << "[box]\nname = \"" << m_name << "\"\nzone = \"" << m_zone << "\"\n"
            << "[regions]\n\"bio-hall\" = \"es-norte\"\n\"sdr-hall\" = \"es-norte\"\n"
            << "[listen]\ncallers = \"" << callers().text() << "\"\nreadiness = \""
            << readiness().text() << "\"\npeers = \"" << peers().text() << "\"\nmetrics = \""
            << Address{m_ip, m_metrics}.text() << "\"\n"
            << "[store]\naddress = \"" << m_store.text() << "\"\n"
            << bounds << "[peers]\nseeds = [";
        for (size_t i = 0; i < seeds.size(); ++i) {
            out << (i == 0 ? "" : ", ") << "\"" << seeds[i].text() << "\"";
        }
        out << "]\n[retry]\nwindow_s = 10\nshare = 0.2\nslack = 54\n[drain]\ngrace_s = 8\n";
    }
    // Starts the program with the command of the deploy file. It ends with this process at the
    // latest.
    void start() {
        const std::string log = m_dir + "/" + m_name + ".log";
        const std::string settings = path();
        const pid_t parent = getpid();
        m_pid = fork();
        if (m_pid == 0) {
            prctl(PR_SET_PDEATHSIG, SIGKILL);
            const int out = open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
            if (getppid() != parent || out < 0) {
                _exit(2);
            }
            dup2(out, STDOUT_FILENO);
            dup2(out, STDERR_FILENO);
            execl("target/onyx-gateway", "target/onyx-gateway", "--settings", settings.c_str(),
                  static_cast<char*>(nullptr));
            _exit(2);
        }
    }
    void signal(int number) const {
        if (m_pid > 0) {
            ::kill(m_pid, number);
        }
    }
    void kill() {
        if (m_pid > 0) {
            ::kill(m_pid, SIGKILL);
            waitpid(m_pid, nullptr, 0);
            m_pid = -1;
        }
    }
    // The end of the process by itself, if it came: its wait status.
    std::optional<int> ended() {
        int status = 0;
        if (m_pid > 0 && waitpid(m_pid, &status, WNOHANG) == m_pid) {
            m_pid = -1;
            return status;
        }
        return std::nullopt;
    }
    bool isReady() const {
        const Answer answer = Call(
            readiness(), "GET /v1/ready HTTP/1.1\r\nHost: box\r\nConnection: close\r\n\r\n", 500);
        return answer.status == 200;
    }
    bool awaitReady(long ms) const {
        const long until = Now() + ms;
        while (Now() < until) {
            if (isReady()) {
                return true;
            }
            SleepMs(20);
        }
        return false;
    }

private:
    std::string path() const { return m_dir + "/" + m_name + ".toml"; }

    std::string m_name;
    std::string m_zone;
    std::string m_ip;
    std::string m_dir;
    Address m_store;
    uint16_t m_callers = 0;
    uint16_t m_readiness = 0;
    uint16_t m_peers = 0;
    uint16_t m_metrics = 0;
    pid_t m_pid = -1;
};

// The configuration of a small site: a lookup that may be repeated and an order that may not, and
// two kinds of streams.
inline std::string Configuration(int version) {
    const auto route = [](const char* name, const char* prefix, const char* kind,
                          const char* service, int attempts, int timeout, const char* resumable) {
        return std::string("{\"name\":\"") + name +
               "\",\"host\":\"desk.example\",\"path_prefix\":\"" + prefix + "\",\"kind\":\"" +
               kind + "\",\"timeout_ms\":" + std::to_string(timeout) +
               ",\"target_latency_ms\":100,\"priority\":1,\"service\":\"" + service +
               "\",\"max_attempts\":" + std::to_string(attempts) +
               ",\"public\":false,\"resumable\":" + resumable + "}";
    };
    return "{\"config_version\":" + std::to_string(version) + ",\"routes\":[" +
           route("lookup", "/lookup/", "idempotent", "desk-api", 2, 1000, "false") + "," +
           route("order", "/order/", "non_idempotent", "desk-api", 1, 1000, "false") + "," +
           route("digest", "/digest/", "streaming", "llm", 2, 12000, "true") +
           "],\"services\":[{\"name\":\"desk-api\",\"max_connections\":100},"
           "{\"name\":\"archive\",\"max_connections\":100},"
           "{\"name\":\"llm\",\"max_connections\":360,\"engine\":{\"slots\":64,"
           "\"kv_capacity_tokens\":423882,\"kv_bytes\":18432}}],"
           "\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":100000,"
           "\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000},"
           "\"tenants\":[{\"name\":\"north\",\"api_keys\":[\"key-of-north\"]}]}";
}

// A folder of its own under the temporary folder.
inline std::string MakeFolder() {
    const char* base = std::getenv("TMPDIR");
    std::string path = std::string(base != nullptr ? base : "/tmp") + "/review-XXXXXX";
    if (mkdtemp(path.data()) == nullptr) {
        std::perror("mkdtemp");
        std::exit(2);
    }
    return path;
}

// Ends the case: nothing of it is left but its record. Threads may still run, so nothing is taken
// apart.
[[noreturn]] inline void Finish(const std::vector<std::unique_ptr<Box>>& boxes,
                                const std::string& folder, int code) {
    for (const auto& box : boxes) {
        box->kill();
    }
    if (std::getenv("KEEP_LOGS") == nullptr) {
        std::error_code ec;
        std::filesystem::remove_all(folder, ec);
    }
    std::_Exit(code);
}

inline bool WithTrouble() {
    const char* value = std::getenv("TROUBLE");
    return value == nullptr || std::string(value) != "0";
}

}  // namespace review

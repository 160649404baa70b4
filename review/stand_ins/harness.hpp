#ifndef HICKORYGAP_REVIEW_HARNESS_HPP
#define HICKORYGAP_REVIEW_HARNESS_HPP

// Stand-ins for the platform, the operator, the backend servers and the callers,
// and the start and end of the project's own processes. All of it is on loopback
// addresses.

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

#include <algorithm>
#include <atomic>
#include <chrono>
#include <cstdarg>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <filesystem>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <string_view>
#include <thread>
#include <utility>
#include <vector>

namespace review
{

// Exit codes of a case.
constexpr int rule_held = 0;
constexpr int rule_broken = 1;
constexpr int not_run = 2;

inline std::string text(const char* format, ...)
{
    va_list arguments;
    va_start(arguments, format);
    char* output = nullptr;
    const int length = vasprintf(&output, format, arguments);
    va_end(arguments);
    std::string result{output, static_cast<std::size_t>(length)};
    std::free(output);
    return result;
}

inline std::int64_t now_ms()
{
    static const auto start = std::chrono::steady_clock::now();
    return std::chrono::duration_cast<std::chrono::milliseconds>(
               std::chrono::steady_clock::now() - start)
        .count();
}

inline void sleep_ms(std::int64_t time)
{
    std::this_thread::sleep_for(std::chrono::milliseconds{time});
}

// What was sent, answered and run, with the time since the start.
class record_file
{
public:
    void open(const std::string& path)
    {
        file_ = std::fopen(path.c_str(), "w");
        if (file_ == nullptr)
        {
            std::perror(path.c_str());
            std::exit(not_run);
        }
    }

    void line(const std::string& entry)
    {
        const std::lock_guard lock{mutex_};
        std::fprintf(
            file_, "%8.3f %s\n", static_cast<double>(now_ms()) / 1000,
            entry.c_str());
        std::fflush(file_);
    }

private:
    std::FILE* file_ = nullptr;
    std::mutex mutex_;
};

inline record_file& record()
{
    static record_file file;
    return file;
}

// A value without control characters, for the record.
inline std::string printable(std::string_view value)
{
    std::string result;
    for (const char c : value)
    {
        if (c == '\r')
        {
            result += "\\r";
        }
        else if (c == '\n')
        {
            result += "\\n";
        }
        else
        {
            result += c;
        }
    }
    return result;
}

struct address
{
    std::string host;
    int port = 0;

    std::string str() const
    {
        return text("%s:%d", host.c_str(), port);
    }
};

inline sockaddr_in socket_address(const address& where)
{
    sockaddr_in result{};
    result.sin_family = AF_INET;
    result.sin_port = htons(static_cast<std::uint16_t>(where.port));
    inet_pton(AF_INET, where.host.c_str(), &result.sin_addr);
    return result;
}

// A socket that is closed with its last owner.
class connection
{
public:
    explicit connection(int descriptor)
        : descriptor_{descriptor}
    {
        const int on = 1;
        setsockopt(descriptor_, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    }

    ~connection()
    {
        close();
    }

    connection(const connection&) = delete;
    connection& operator=(const connection&) = delete;

    // nullptr when the connection is refused or not established in time.
    // `receive_buffer`: bytes that wait in the socket at most; 0 for the default.
    static std::unique_ptr<connection>
    dial(const address& where, int timeout_ms = 1000, int receive_buffer = 0)
    {
        const int descriptor =
            ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
        if (receive_buffer > 0)
        {
            setsockopt(
                descriptor, SOL_SOCKET, SO_RCVBUF, &receive_buffer,
                sizeof receive_buffer);
        }
        const sockaddr_in target = socket_address(where);
        const int started = ::connect(
            descriptor, reinterpret_cast<const sockaddr*>(&target),
            sizeof target);
        pollfd wait{descriptor, POLLOUT, 0};
        int error = 0;
        socklen_t length = sizeof error;
        if ((started != 0 && errno != EINPROGRESS) ||
            ::poll(&wait, 1, timeout_ms) != 1 ||
            ::getsockopt(descriptor, SOL_SOCKET, SO_ERROR, &error, &length) !=
                0 ||
            error != 0)
        {
            ::close(descriptor);
            return nullptr;
        }
        ::fcntl(
            descriptor, F_SETFL, ::fcntl(descriptor, F_GETFL) & ~O_NONBLOCK);
        return std::make_unique<connection>(descriptor);
    }

    bool send(std::string_view bytes)
    {
        while (!bytes.empty())
        {
            const ssize_t count = ::send(
                descriptor_, bytes.data(), bytes.size(), MSG_NOSIGNAL);
            if (count <= 0)
            {
                return false;
            }
            bytes.remove_prefix(static_cast<std::size_t>(count));
        }
        return true;
    }

    // Waits for more input. False when the peer has closed or reset the
    // connection, or when nothing arrives in time.
    bool receive(std::int64_t timeout_ms)
    {
        pollfd wait{descriptor_, POLLIN, 0};
        const int ready =
            ::poll(&wait, 1, static_cast<int>(std::max<std::int64_t>(timeout_ms, 0)));
        if (ready <= 0)
        {
            timed_out_ = true;
            return false;
        }
        char buffer[16384];
        const ssize_t count = ::recv(descriptor_, buffer, sizeof buffer, 0);
        if (count <= 0)
        {
            ended_ = true;
            was_reset_ = count < 0;
            return false;
        }
        input.append(buffer, static_cast<std::size_t>(count));
        return true;
    }

    // Whether the peer has closed the connection, without reading from it.
    bool peer_has_closed() const
    {
        char next = 0;
        const ssize_t count =
            ::recv(descriptor_, &next, 1, MSG_PEEK | MSG_DONTWAIT);
        return count == 0 ||
               (count < 0 && errno != EAGAIN && errno != EWOULDBLOCK);
    }

    // Resets the connection, also while another thread uses it.
    void abort()
    {
        sockaddr none{};
        none.sa_family = AF_UNSPEC;
        ::connect(descriptor_, &none, sizeof none);
    }

    void reset()
    {
        const linger option{1, 0};
        setsockopt(descriptor_, SOL_SOCKET, SO_LINGER, &option, sizeof option);
        close();
    }

    void close()
    {
        if (descriptor_ >= 0)
        {
            ::close(descriptor_);
            descriptor_ = -1;
        }
    }

    int descriptor() const
    {
        return descriptor_;
    }

    bool ended() const
    {
        return ended_;
    }

    bool was_reset() const
    {
        return was_reset_;
    }

    std::string input;

private:
    int descriptor_;
    bool ended_ = false;
    bool was_reset_ = false;
    bool timed_out_ = false;
};

inline bool same_name(std::string_view left, std::string_view right)
{
    return left.size() == right.size() &&
           std::equal(
               left.begin(), left.end(), right.begin(),
               [](char a, char b) { return std::tolower(a) == std::tolower(b); });
}

// One HTTP/1.1 message.
struct message
{
    std::string start;
    std::vector<std::pair<std::string, std::string>> fields;
    std::string body;

    // Whether the head has arrived, and whether the message is complete.
    bool has_head = false;
    bool complete = false;

    std::string field(std::string_view name) const
    {
        for (const auto& [known, value] : fields)
        {
            if (same_name(known, name))
            {
                return value;
            }
        }
        return {};
    }

    bool has(std::string_view name) const
    {
        return std::any_of(
            fields.begin(), fields.end(),
            [&](const auto& item) { return same_name(item.first, name); });
    }

    // Words of the start line: method and target, or version and status.
    std::string word(int position) const
    {
        std::size_t begin = 0;
        for (int i = 0; i < position; ++i)
        {
            begin = start.find(' ', begin);
            if (begin == std::string::npos)
            {
                return {};
            }
            ++begin;
        }
        return start.substr(begin, start.find(' ', begin) - begin);
    }

    int status() const
    {
        return std::atoi(word(1).c_str());
    }
};

inline bool parse_head(std::string_view head, message& output)
{
    bool first = true;
    while (!head.empty())
    {
        const std::size_t end = head.find("\r\n");
        const std::string_view line = head.substr(0, end);
        head.remove_prefix(end == std::string_view::npos ? head.size() : end + 2);
        if (line.empty())
        {
            break;
        }
        if (std::exchange(first, false))
        {
            output.start = line;
            continue;
        }
        const std::size_t colon = line.find(':');
        if (colon == std::string_view::npos)
        {
            return false;
        }
        std::string_view value = line.substr(colon + 1);
        while (!value.empty() && value.front() == ' ')
        {
            value.remove_prefix(1);
        }
        output.fields.emplace_back(line.substr(0, colon), value);
    }
    output.has_head = true;
    return true;
}

// Reads the next message. `until_close`: a message without a length ends with
// the connection, as responses do; otherwise it has no body. A message that is
// not complete in time has `complete` unset.
inline message
read_message(connection& peer, std::int64_t deadline, bool until_close)
{
    message result;
    std::size_t end = 0;
    while ((end = peer.input.find("\r\n\r\n")) == std::string::npos)
    {
        if (!peer.receive(deadline - now_ms()))
        {
            return result;
        }
    }
    if (!parse_head(std::string_view{peer.input}.substr(0, end + 4), result))
    {
        return result;
    }
    peer.input.erase(0, end + 4);
    if (same_name(result.field("Transfer-Encoding"), "chunked"))
    {
        while (true)
        {
            while ((end = peer.input.find("\r\n")) == std::string::npos)
            {
                if (!peer.receive(deadline - now_ms()))
                {
                    return result;
                }
            }
            const std::size_t size =
                std::strtoul(peer.input.c_str(), nullptr, 16);
            while (peer.input.size() < end + 2 + size + 2)
            {
                if (!peer.receive(deadline - now_ms()))
                {
                    const std::size_t here =
                        std::min(size, peer.input.size() - end - 2);
                    result.body += peer.input.substr(end + 2, here);
                    return result;
                }
            }
            result.body += peer.input.substr(end + 2, size);
            peer.input.erase(0, end + 2 + size + 2);
            if (size == 0)
            {
                result.complete = true;
                return result;
            }
        }
    }
    if (result.has("Content-Length"))
    {
        const std::size_t size =
            std::strtoul(result.field("Content-Length").c_str(), nullptr, 10);
        while (peer.input.size() < size)
        {
            if (!peer.receive(deadline - now_ms()))
            {
                result.body = std::exchange(peer.input, {});
                return result;
            }
        }
        result.body = peer.input.substr(0, size);
        peer.input.erase(0, size);
        result.complete = true;
        return result;
    }
    if (until_close)
    {
        while (peer.receive(deadline - now_ms()))
        {
        }
        result.body = std::exchange(peer.input, {});
        result.complete = peer.ended() && !peer.was_reset();
        return result;
    }
    result.complete = true;
    return result;
}

// Accepts connections and serves each in a thread.
class server
{
public:
    using handler = std::function<void(std::shared_ptr<connection>)>;

    bool open(const address& where, handler on_connection)
    {
        where_ = where;
        on_connection_ = std::move(on_connection);
        descriptor_ = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        const int on = 1;
        setsockopt(descriptor_, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
        const sockaddr_in own = socket_address(where);
        if (::bind(
                descriptor_, reinterpret_cast<const sockaddr*>(&own),
                sizeof own) != 0 ||
            ::listen(descriptor_, 512) != 0)
        {
            ::close(descriptor_.exchange(-1));
            return false;
        }
        std::thread{[this] { run(); }}.detach();
        return true;
    }

    const address& where() const
    {
        return where_;
    }

    // Resets the open connections and refuses new ones.
    void crash()
    {
        const int descriptor = descriptor_.exchange(-1);
        if (descriptor >= 0)
        {
            ::shutdown(descriptor, SHUT_RDWR);
            ::close(descriptor);
        }
        const std::lock_guard lock{mutex_};
        for (const auto& known : open_)
        {
            if (const auto peer = known.lock())
            {
                peer->abort();
            }
        }
        open_.clear();
    }

private:
    void run()
    {
        while (true)
        {
            const int listener = descriptor_;
            if (listener < 0)
            {
                return;
            }
            const int accepted =
                ::accept4(listener, nullptr, nullptr, SOCK_CLOEXEC);
            if (accepted < 0)
            {
                if (errno == EINTR || errno == ECONNABORTED)
                {
                    continue;
                }
                return;
            }
            auto peer = std::make_shared<connection>(accepted);
            {
                const std::lock_guard lock{mutex_};
                std::erase_if(
                    open_, [](const auto& known) { return known.expired(); });
                open_.push_back(peer);
            }
            std::thread{[this, peer] { on_connection_(peer); }}.detach();
        }
    }

    address where_;
    handler on_connection_;
    std::atomic<int> descriptor_ = -1;
    std::mutex mutex_;
    std::vector<std::weak_ptr<connection>> open_;
};

// A backend server as the list of the platform shows it.
struct listed_replica
{
    std::string id;
    std::string service;
    address where;
    std::string zone;
    int slots = 0;
    std::string state = "ready";
    std::string version = "v1";
};

// The platform's list of backend servers.
class platform_list
{
public:
    bool open(const address& where)
    {
        return server_.open(
            where,
            [this](const std::shared_ptr<connection>& peer)
            {
                while (true)
                {
                    const message request =
                        read_message(*peer, now_ms() + 30000, false);
                    if (!request.complete)
                    {
                        return;
                    }
                    const std::string body = list();
                    if (!peer->send(
                            text(
                                "HTTP/1.1 200 OK\r\nContent-Type: "
                                "application/json\r\nContent-Length: "
                                "%zu\r\n\r\n",
                                body.size()) +
                            body))
                    {
                        return;
                    }
                    if (same_name(request.field("Connection"), "close"))
                    {
                        return;
                    }
                }
            });
    }

    void set(const listed_replica& replica)
    {
        const std::lock_guard lock{mutex_};
        replicas_[replica.id] = replica;
    }

    void remove(const std::string& id)
    {
        const std::lock_guard lock{mutex_};
        replicas_.erase(id);
    }

private:
    std::string list()
    {
        const std::lock_guard lock{mutex_};
        std::string body = "{\"instances\":[";
        bool first = true;
        for (const auto& [id, replica] : replicas_)
        {
            body += std::exchange(first, false) ? "" : ",";
            body += text(
                "{\"service\":\"%s\",\"address\":\"%s\",\"zone\":\"%s\","
                "\"version\":\"%s\",\"slots\":%d,\"state\":\"%s\","
                "\"cold_remaining_ms\":0,\"id\":\"%s\"}",
                replica.service.c_str(), replica.where.str().c_str(),
                replica.zone.c_str(), replica.version.c_str(), replica.slots,
                replica.state.c_str(), id.c_str());
        }
        return body + "],\"next\":null}";
    }

    server server_;
    std::mutex mutex_;
    std::map<std::string, listed_replica> replicas_;
};

// A backend server. It answers for itself what it can't read and what expects
// another server, and passes everything else to the handler, which writes the
// answer and returns whether the connection may go on.
class replica_server
{
public:
    using request_handler =
        std::function<bool(const message& request, connection& peer)>;

    bool open(const listed_replica& own, request_handler on_request)
    {
        own_ = own;
        on_request_ = std::move(on_request);
        return server_.open(
            own.where, [this](const std::shared_ptr<connection>& peer)
            { serve(*peer); });
    }

    void crash()
    {
        server_.crash();
    }

    const std::string& id() const
    {
        return own_.id;
    }

    const listed_replica& listed() const
    {
        return own_;
    }

private:
    void serve(connection& peer)
    {
        while (true)
        {
            const message request = read_message(peer, now_ms() + 60000, false);
            if (!request.complete)
            {
                return;
            }
            if (request.word(2) != "HTTP/1.1")
            {
                record().line(text(
                    "server=%s unreadable start=\"%s\"", own_.id.c_str(),
                    printable(request.start).c_str()));
                peer.send("HTTP/1.1 400 Bad Request\r\nNot-Run: 1\r\n"
                          "Content-Length: 0\r\nConnection: close\r\n\r\n");
                return;
            }
            const std::string expected = request.field("Expect-Instance");
            if (!expected.empty() && expected != own_.id)
            {
                peer.send(text(
                    "HTTP/1.1 421 Misdirected Request\r\nNot-Run: 1\r\n"
                    "Instance-Id: %s\r\nContent-Length: 0\r\n\r\n",
                    own_.id.c_str()));
                continue;
            }
            if (!on_request_(request, peer))
            {
                return;
            }
        }
    }

    listed_replica own_;
    request_handler on_request_;
    server server_;
};

// Sends a success with the body.
inline bool
send_success(connection& peer, const std::string& id, const std::string& body)
{
    return peer.send(
        text(
            "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nReply-Seal: seal-%s\r\n"
            "Content-Length: %zu\r\n\r\n",
            id.c_str(), id.c_str(), body.size()) +
        body);
}

// A process of the project.
class process
{
public:
    process(std::string name, std::vector<std::string> command, std::string log)
        : name_{std::move(name)}
        , command_{std::move(command)}
        , log_{std::move(log)}
    {
    }

    ~process()
    {
        end();
    }

    process(const process&) = delete;
    process& operator=(const process&) = delete;

    void start()
    {
        const pid_t parent = ::getpid();
        pid_ = ::fork();
        if (pid_ == 0)
        {
            ::prctl(PR_SET_PDEATHSIG, SIGKILL);
            if (::getppid() != parent)
            {
                ::_exit(not_run);
            }
            const int log = ::open(
                log_.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
            ::dup2(log, STDOUT_FILENO);
            ::dup2(log, STDERR_FILENO);
            std::vector<char*> words;
            for (std::string& word : command_)
            {
                words.push_back(word.data());
            }
            words.push_back(nullptr);
            ::execv(words[0], words.data());
            ::_exit(not_run);
        }
    }

    void signal(int number) const
    {
        if (pid_ > 0)
        {
            ::kill(pid_, number);
        }
    }

    // Whether the process has ended; `status` gets the status of waitpid.
    bool has_ended(int* status = nullptr)
    {
        if (pid_ <= 0)
        {
            return true;
        }
        int state = 0;
        if (::waitpid(pid_, &state, WNOHANG) != pid_)
        {
            return false;
        }
        pid_ = -1;
        status_ = state;
        if (status != nullptr)
        {
            *status = state;
        }
        return true;
    }

    int exit_status() const
    {
        return status_;
    }

    void end()
    {
        if (pid_ > 0)
        {
            ::kill(pid_, SIGKILL);
            ::waitpid(pid_, &status_, 0);
            pid_ = -1;
        }
    }

    const std::string& name() const
    {
        return name_;
    }

    const std::string& log() const
    {
        return log_;
    }

private:
    std::string name_;
    std::vector<std::string> command_;
    std::string log_;
    pid_t pid_ = -1;
    int status_ = 0;
};

struct fleet_options
{
    int voters = 5;
    int routers = 2;

    // Voters beyond these that are not started at first, see fleet::add_voter.
    int spare_voters = 0;
    double link_megabits = 1000;
    int grace_s = 8;
    double retry_slack = 56;

    // Routers reach the voters and each other through proxies, see
    // fleet::cut_off. Each router then has an internal port of its own, which
    // is how a proxy knows whose connection it passes on.
    bool proxied = false;
};

// Passes connections on to another address. While it is cut, it resets what is
// open and refuses what is new.
class proxy
{
public:
    proxy(address own, address target)
        : own_{std::move(own)}
        , target_{std::move(target)}
    {
    }

    bool open()
    {
        auto next = std::make_shared<server>();
        const bool is_open = next->open(
            own_, [target = target_](const std::shared_ptr<connection>& peer)
            { pass_on(*peer, target); });
        current_ = std::move(next);
        return is_open;
    }

    void cut()
    {
        if (current_)
        {
            current_->crash();
            // Its thread may still use it.
            retired_.push_back(std::move(current_));
        }
    }

private:
    static void pass_on(connection& peer, const address& target)
    {
        const auto other = connection::dial(target);
        if (other == nullptr)
        {
            peer.reset();
            return;
        }
        while (true)
        {
            pollfd wait[2] = {
                {peer.descriptor(), POLLIN, 0}, {other->descriptor(), POLLIN, 0}};
            if (::poll(wait, 2, -1) <= 0)
            {
                return;
            }
            for (int i = 0; i < 2; ++i)
            {
                connection& from = i == 0 ? peer : *other;
                connection& to = i == 0 ? *other : peer;
                if (wait[i].revents != 0 &&
                    (!from.receive(0) || !to.send(std::exchange(from.input, {}))))
                {
                    peer.reset();
                    other->reset();
                    return;
                }
            }
        }
    }

    address own_;
    address target_;
    std::shared_ptr<server> current_;
    std::vector<std::shared_ptr<server>> retired_;
};

// The project's processes, each at a loopback address of its own, with the
// settings of a small deployment.
class fleet
{
public:
    static constexpr int control_port = 8229;
    static constexpr int front_port = 8227;
    static constexpr int readiness_port = 8220;
    static constexpr int internal_port = 7340;
    static constexpr int list_port = 8223;
    static constexpr int replica_port = 8080;

    explicit fleet(const fleet_options& options)
        : options_{options}
    {
        find_free_network();
        folder_ = text("/tmp/hickorygap-review-%d", ::getpid());
        std::filesystem::create_directories(folder_);
    }

    ~fleet()
    {
        processes_.clear();
        if (std::getenv("KEEP_LOGS") == nullptr)
        {
            std::error_code error;
            std::filesystem::remove_all(folder_, error);
        }
    }

    fleet(const fleet&) = delete;
    fleet& operator=(const fleet&) = delete;

    std::string voter_host(int number) const
    {
        return text("127.%d.1.%d", network_, number + 10);
    }

    std::string router_host(int number) const
    {
        return text("127.%d.2.%d", network_, number + 10);
    }

    address list_address() const
    {
        return {text("127.%d.3.10", network_), list_port};
    }

    address replica_address(int number) const
    {
        return {text("127.%d.4.%d", network_, number + 10), replica_port};
    }

    address front(int router) const
    {
        return {router_host(router), front_port};
    }

    const std::string& folder() const
    {
        return folder_;
    }

    process& router(int number)
    {
        return *processes_.at(text("router-%d", number));
    }

    process& voter(int number)
    {
        return *processes_.at(text("voter-%d", number));
    }

    static std::string zone(int number)
    {
        return text("thess-%c", 'a' + number % 3);
    }

    void start()
    {
        const char* binary = std::getenv("HICKORYGAP");
        open_proxies();
        for (int i = 0; i < options_.voters + options_.spare_voters; ++i)
        {
            const bool is_spare = i >= options_.voters;
            add(text("voter-%d", i), "vote", settings(true, i, !is_spare),
                binary);
        }
        for (int i = 0; i < options_.routers; ++i)
        {
            add(text("router-%d", i), "route", settings(false, i, true), binary);
        }
        for (int i = 0; i < options_.voters; ++i)
        {
            voter(i).start();
        }
        for (int i = 0; i < options_.routers; ++i)
        {
            router(i).start();
        }
    }

    // Starts a spare voter, as a new machine with an empty disk.
    void add_voter(int number)
    {
        voter(number).start();
    }

    // Starts a voter that has ended again, with an empty disk.
    void start_without_disk(int number)
    {
        const std::string name = text("voter-%d", number);
        std::error_code error;
        std::filesystem::remove_all(
            text("%s/core-%d", folder_.c_str(), number), error);
        write_settings(name, settings(true, number, false));
        voter(number).start();
    }

    // Reads the configuration at a voter. The answer has no head when none comes.
    message read_configuration(int voter) const
    {
        return call(
            {voter_host(voter), control_port},
            "GET /config HTTP/1.1\r\nHost: control\r\n\r\n", 1000);
    }

    // Cuts the router off from all voters, or ends the cut.
    void cut_off(int router, bool is_cut)
    {
        for (const auto& each : to_voters_[router])
        {
            if (is_cut)
            {
                each->cut();
            }
            else
            {
                each->open();
            }
        }
    }

    // Files the configuration until a voter acknowledges it. False when none
    // does in time.
    bool file(const std::string& configuration, std::int64_t timeout_ms = 20000)
    {
        const std::int64_t deadline = now_ms() + timeout_ms;
        for (int voter = 0; now_ms() < deadline;
             voter = (voter + 1) % options_.voters)
        {
            address where{voter_host(voter), control_port};
            int status = 0;
            for (int redirects = 0; redirects <= 2; ++redirects)
            {
                const message answer = call(
                    where,
                    text(
                        "PUT /config HTTP/1.1\r\nHost: %s\r\nContent-Type: "
                        "application/json\r\nContent-Length: %zu\r\n\r\n",
                        where.str().c_str(), configuration.size()) +
                        configuration,
                    1000);
                status = answer.has_head ? answer.status() : 0;
                if (status != 307)
                {
                    break;
                }
                std::string location = answer.field("Location");
                location.erase(0, std::strlen("http://"));
                const std::size_t colon = location.find(':');
                where = {
                    location.substr(0, colon),
                    std::atoi(location.c_str() + colon + 1)};
            }
            if (status == 200)
            {
                return true;
            }
            if (status >= 400 && status < 500 && status != 408 && status != 429)
            {
                record().line(text("configuration refused status=%d", status));
                return false;
            }
            sleep_ms(200);
        }
        return false;
    }

    static message call(
        const address& where, const std::string& request,
        std::int64_t timeout_ms)
    {
        const auto peer = connection::dial(where);
        if (peer == nullptr || !peer->send(request))
        {
            return {};
        }
        return read_message(*peer, now_ms() + timeout_ms, true);
    }

    bool is_ready(int router) const
    {
        const message answer = call(
            {router_host(router), readiness_port},
            "GET /ready HTTP/1.1\r\nHost: ready\r\nConnection: close\r\n\r\n",
            1000);
        return answer.has_head && answer.status() == 200;
    }

    bool wait_until_ready(std::int64_t timeout_ms = 20000) const
    {
        const std::int64_t deadline = now_ms() + timeout_ms;
        for (int i = 0; i < options_.routers;)
        {
            if (is_ready(i))
            {
                ++i;
            }
            else if (now_ms() > deadline)
            {
                return false;
            }
            else
            {
                sleep_ms(100);
            }
        }
        return true;
    }

private:
    static bool is_free(const address& where)
    {
        const int descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        const sockaddr_in own = socket_address(where);
        const bool result = ::bind(
                                descriptor,
                                reinterpret_cast<const sockaddr*>(&own),
                                sizeof own) == 0;
        ::close(descriptor);
        return result;
    }

    int router_port(int router) const
    {
        return options_.proxied ? internal_port + 1 + router : internal_port;
    }

    void open_proxies()
    {
        for (int i = 0; options_.proxied && i < options_.routers; ++i)
        {
            for (int voter = 0; voter < options_.voters; ++voter)
            {
                open_proxy(
                    to_voters_[i], {voter_host(voter), router_port(i)},
                    {voter_host(voter), internal_port});
            }
            for (int other = 0; other < options_.routers; ++other)
            {
                if (other != i)
                {
                    open_proxy(
                        to_routers_[i], {router_host(other), router_port(i)},
                        {router_host(other), router_port(other)});
                }
            }
        }
    }

    static void open_proxy(
        std::vector<std::unique_ptr<proxy>>& proxies, const address& own,
        const address& target)
    {
        proxies.push_back(std::make_unique<proxy>(own, target));
        if (!proxies.back()->open())
        {
            std::fprintf(stderr, "no proxy at %s\n", own.str().c_str());
            std::exit(not_run);
        }
    }

    // Finds a network 127.N.0.0 in which all ports that are used are free.
    void find_free_network()
    {
        for (int attempt = 0; attempt < 100; ++attempt)
        {
            network_ = 20 + (::getpid() + attempt * 7) % 200;
            bool free = is_free(list_address());
            for (int i = 0; i < options_.voters + options_.spare_voters; ++i)
            {
                free = free && is_free({voter_host(i), control_port}) &&
                       is_free({voter_host(i), internal_port}) &&
                       is_free({voter_host(i), 9464});
            }
            for (int i = 0; i < options_.routers; ++i)
            {
                free = free && is_free(front(i)) &&
                       is_free({router_host(i), readiness_port}) &&
                       is_free({router_host(i), internal_port}) &&
                       is_free({router_host(i), 9464});
            }
            if (free)
            {
                return;
            }
        }
        std::fprintf(stderr, "no free loopback network\n");
        std::exit(not_run);
    }

    // The template of the deploy file, filled in as the platform does.
    std::string settings(bool is_voter, int number, bool bootstrap) const
    {
        const std::string host =
            is_voter ? voter_host(number) : router_host(number);
        const std::string name =
            text("%s-%d", is_voter ? "core" : "front", number);
        std::string seeds;
        for (int i = 0; i < std::min(options_.voters, 3); ++i)
        {
            seeds += text(
                "%s\"%s:%d\"", i == 0 ? "" : ",", voter_host(i).c_str(),
                control_port);
        }
        std::string result = "{\n";
        result += text(
            "  \"instance\": {\"name\": \"%s\", \"host\": \"%s\", "
            "\"failure_domain\": \"%s\" },\n",
            name.c_str(), host.c_str(), zone(number).c_str());
        result += text(
            "  \"callers\": {\"address\": \"%s\"},\n",
            is_voter ? "" : address{host, front_port}.str().c_str());
        result += text(
            "  \"readiness\": {\"address\": \"%s\"},\n",
            is_voter ? "" : address{host, readiness_port}.str().c_str());
        result += "  \"metrics\": {\"port\": 9464},\n";
        result += text(
            "  \"operators\": {\"address\": \"%s\"},\n",
            is_voter ? address{host, control_port}.str().c_str() : "");
        result += text(
            "  \"peers\": {\"port\": %d, \"seeds\": [%s], "
            "\"link_megabits_per_second\": %.1f },\n",
            is_voter ? internal_port : router_port(number), seeds.c_str(),
            is_voter ? 6.0 : 1000.0);
        result += text(
            "  \"storage\": {\"folder\": \"%s\", \"bootstrap\": %s, "
            "\"lost_disks\": 2 },\n",
            is_voter ? text("%s/%s", folder_.c_str(), name.c_str()).c_str()
                     : "",
            bootstrap ? "true" : "false");
        result += text(
            "  \"backend_list\": {\"address\": \"%s\", "
            "\"calls_per_second\": 44.0 },\n",
            list_address().str().c_str());
        result += text(
            "  \"retry\": {\"ratio\": 0.2, \"slack\": %.0f, "
            "\"window_s\": 10 },\n",
            options_.retry_slack);
        result +=
            text("  \"shutdown\": {\"limit_s\": %d }\n}\n", options_.grace_s);
        return result;
    }

    // Returns the path of the file.
    std::string
    write_settings(const std::string& name, const std::string& settings) const
    {
        const std::string file =
            text("%s/%s.json", folder_.c_str(), name.c_str());
        std::ofstream{file} << settings;
        return file;
    }

    void add(
        const std::string& name, const std::string& command,
        const std::string& settings, const char* binary)
    {
        const std::string file = write_settings(name, settings);
        processes_[name] = std::make_unique<process>(
            name,
            std::vector<std::string>{binary, command, "--settings", file},
            text("%s/%s.log", folder_.c_str(), name.c_str()));
    }

    fleet_options options_;
    int network_ = 0;
    std::string folder_;
    std::map<std::string, std::unique_ptr<process>> processes_;
    std::map<int, std::vector<std::unique_ptr<proxy>>> to_voters_;
    std::map<int, std::vector<std::unique_ptr<proxy>>> to_routers_;
};

// Whether the case is played with its disruption.
inline bool has_trouble()
{
    const char* value = std::getenv("TROUBLE");
    return value == nullptr || std::string_view{value} != "0";
}

// Opens the record in the folder of the case and checks the environment.
inline void set_up(int argc, char** argv)
{
    if (argc != 2 || std::getenv("HICKORYGAP") == nullptr)
    {
        std::fprintf(stderr, "usage: HICKORYGAP=binary %s folder\n", argv[0]);
        std::exit(not_run);
    }
    ::signal(SIGPIPE, SIG_IGN);
    now_ms();
    record().open(std::string{argv[1]} + "/record.txt");
}

[[noreturn]] inline void
finish(std::unique_ptr<fleet> processes, int code, const std::string& reason)
{
    record().line(text("result=%d %s", code, reason.c_str()));
    std::printf("%s\n", reason.c_str());
    std::fflush(stdout);
    processes.reset();
    std::_Exit(code);
}

} // namespace review

#endif

// What the scripts of this review share: processes of the deploy file on
// loopback addresses, a client of HTTP/1.1 and a record of what happened.
#ifndef REVIEW_STAND_INS_2_FLEET_HPP
#define REVIEW_STAND_INS_2_FLEET_HPP

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
#include <cstdarg>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <filesystem>
#include <fstream>
#include <functional>
#include <map>
#include <mutex>
#include <optional>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace review
{

namespace fs = std::filesystem;
using steady = std::chrono::steady_clock;
using std::chrono::milliseconds;

inline const steady::time_point started = steady::now();

inline double now_s()
{
    return std::chrono::duration<double>(steady::now() - started).count();
}

inline void sleep_until(double at_s)
{
    while (now_s() < at_s)
    {
        std::this_thread::sleep_for(milliseconds{2});
    }
}

// Writes lines with the time since the start to a file and to standard output.
class record
{
public:
    explicit record(const std::string& path)
        : file_{std::fopen(path.c_str(), "w")}
    {
        if (file_ == nullptr)
        {
            std::perror("record");
            std::exit(2);
        }
    }

    __attribute__((format(printf, 2, 3))) void
    line(const char* format, ...)
    {
        char text[1024];
        va_list arguments;
        va_start(arguments, format);
        std::vsnprintf(text, sizeof text, format, arguments);
        va_end(arguments);
        const std::lock_guard lock{mutex_};
        std::fprintf(file_, "%8.3f %s\n", now_s(), text);
        std::fflush(file_);
        std::printf("%8.3f %s\n", now_s(), text);
        std::fflush(stdout);
    }

private:
    std::mutex mutex_;
    std::FILE* file_;
};

inline sockaddr_in address_of(const std::string& host, int port)
{
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<std::uint16_t>(port));
    ::inet_pton(AF_INET, host.c_str(), &address.sin_addr);
    return address;
}

// A port that is free on all of the addresses; zero if none was found.
inline int free_port(const std::vector<std::string>& hosts)
{
    static std::mt19937 random{std::random_device{}()};
    for (int attempt = 0; attempt < 200; ++attempt)
    {
        const int port = std::uniform_int_distribution<>{20000, 32000}(random);
        bool is_free = true;
        for (const std::string& host : hosts)
        {
            const int probe = ::socket(AF_INET, SOCK_STREAM, 0);
            const sockaddr_in address = address_of(host, port);
            is_free = is_free && ::bind(
                                     probe,
                                     reinterpret_cast<const sockaddr*>(&address),
                                     sizeof address) == 0;
            ::close(probe);
        }
        if (is_free)
        {
            return port;
        }
    }
    return 0;
}

// Random loopback addresses of one run.
inline std::string loopback_prefix()
{
    std::mt19937 random{std::random_device{}()};
    std::uniform_int_distribution<> octet{20, 220};
    return "127." + std::to_string(octet(random)) + "." +
           std::to_string(octet(random)) + ".";
}

struct http_answer
{
    int status = 0;
    std::string head;
    std::string body;

    std::string field(const std::string& name) const
    {
        const std::size_t at = head.find("\r\n" + name + ": ");
        if (at == std::string::npos)
        {
            return {};
        }
        const std::size_t begin = at + name.size() + 4;
        return head.substr(begin, head.find("\r\n", begin) - begin);
    }
};

// Connects within the time; -1 on failure.
inline int
connect_to(const std::string& host, int port, int limit_ms)
{
    const int descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
    const sockaddr_in address = address_of(host, port);
    if (::connect(
            descriptor, reinterpret_cast<const sockaddr*>(&address),
            sizeof address) != 0 &&
        errno != EINPROGRESS)
    {
        ::close(descriptor);
        return -1;
    }
    pollfd wait{descriptor, POLLOUT, 0};
    int error = 0;
    socklen_t length = sizeof error;
    if (::poll(&wait, 1, limit_ms) <= 0 ||
        ::getsockopt(descriptor, SOL_SOCKET, SO_ERROR, &error, &length) != 0 ||
        error != 0)
    {
        ::close(descriptor);
        return -1;
    }
    ::fcntl(descriptor, F_SETFL, ::fcntl(descriptor, F_GETFL) & ~O_NONBLOCK);
    const int on = 1;
    ::setsockopt(descriptor, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    return descriptor;
}

inline bool send_all(int descriptor, const std::string& text)
{
    std::size_t sent = 0;
    while (sent < text.size())
    {
        const ssize_t count = ::send(
            descriptor, text.data() + sent, text.size() - sent, MSG_NOSIGNAL);
        if (count <= 0)
        {
            return false;
        }
        sent += static_cast<std::size_t>(count);
    }
    return true;
}

// Reads one answer with a Content-Length. Nothing if the connection ends or
// the time is over before it is complete.
inline std::optional<http_answer> read_answer(int descriptor, int limit_ms)
{
    const auto limit = steady::now() + milliseconds{limit_ms};
    std::string input;
    while (true)
    {
        const std::size_t end = input.find("\r\n\r\n");
        if (end != std::string::npos)
        {
            http_answer answer;
            answer.head = input.substr(0, end + 2);
            answer.status = std::atoi(answer.head.c_str() + 9);
            const auto size = static_cast<std::size_t>(
                std::atol(answer.field("Content-Length").c_str()));
            if (input.size() >= end + 4 + size)
            {
                answer.body = input.substr(end + 4, size);
                return answer;
            }
        }
        const auto left = std::chrono::duration_cast<milliseconds>(
            limit - steady::now());
        pollfd wait{descriptor, POLLIN, 0};
        if (left.count() <= 0 ||
            ::poll(&wait, 1, static_cast<int>(left.count())) <= 0)
        {
            return std::nullopt;
        }
        char buffer[65536];
        const ssize_t count = ::recv(descriptor, buffer, sizeof buffer, 0);
        if (count <= 0)
        {
            return std::nullopt;
        }
        input.append(buffer, static_cast<std::size_t>(count));
    }
}

inline std::optional<http_answer> call(
    const std::string& host, int port, const std::string& method,
    const std::string& path, const std::string& body, int limit_ms = 1000)
{
    const int descriptor = connect_to(host, port, limit_ms);
    if (descriptor < 0)
    {
        return std::nullopt;
    }
    std::string text = method + " " + path + " HTTP/1.1\r\nHost: " + host +
                       ":" + std::to_string(port) + "\r\n";
    if (!body.empty())
    {
        text += "Content-Type: application/json\r\nContent-Length: " +
                std::to_string(body.size()) + "\r\n";
    }
    text += "\r\n" + body;
    auto answer = send_all(descriptor, text)
                      ? read_answer(descriptor, limit_ms)
                      : std::nullopt;
    ::close(descriptor);
    return answer;
}

// A server of one request a connection or more, a thread for each connection.
class http_server
{
public:
    using handler = std::function<std::string(const std::string& request)>;

    http_server(const std::string& host, int port, handler on_request)
        : on_request_{std::move(on_request)}
        , listener_{::socket(AF_INET, SOCK_STREAM, 0)}
    {
        const int on = 1;
        ::setsockopt(listener_, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
        const sockaddr_in address = address_of(host, port);
        if (::bind(
                listener_, reinterpret_cast<const sockaddr*>(&address),
                sizeof address) != 0 ||
            ::listen(listener_, 128) != 0)
        {
            std::perror("listen");
            std::exit(2);
        }
        std::thread{[this] { accept_all(); }}.detach();
    }

private:
    void accept_all()
    {
        while (true)
        {
            const int descriptor = ::accept(listener_, nullptr, nullptr);
            if (descriptor < 0)
            {
                return;
            }
            std::thread{[this, descriptor] { serve(descriptor); }}.detach();
        }
    }

    void serve(int descriptor)
    {
        std::string input;
        char buffer[16384];
        while (true)
        {
            const std::size_t end = input.find("\r\n\r\n");
            if (end == std::string::npos)
            {
                const ssize_t count =
                    ::recv(descriptor, buffer, sizeof buffer, 0);
                if (count <= 0)
                {
                    break;
                }
                input.append(buffer, static_cast<std::size_t>(count));
                continue;
            }
            const std::string request = input.substr(0, end + 4);
            input.erase(0, end + 4);
            if (!send_all(descriptor, on_request_(request)))
            {
                break;
            }
        }
        ::close(descriptor);
    }

    handler on_request_;
    int listener_;
};

inline std::string json_answer(const std::string& body)
{
    return "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
           "Content-Length: " +
           std::to_string(body.size()) + "\r\n\r\n" + body;
}

// The value of a field in the head of a request; empty without one.
inline std::string field_of(const std::string& head, const std::string& name)
{
    const std::size_t at = head.find("\r\n" + name + ": ");
    if (at == std::string::npos)
    {
        return {};
    }
    const std::size_t begin = at + name.size() + 4;
    return head.substr(begin, head.find("\r\n", begin) - begin);
}

// A stand-in for a backend server: a thread for each connection, which reads
// whole requests with a Content-Length and passes them to the handler.
class backend_stand_in
{
public:
    using handler = std::function<void(int descriptor, const std::string& head)>;

    backend_stand_in(std::string host, int port, handler on_request)
        : host_{std::move(host)}
        , port_{port}
        , on_request_{std::move(on_request)}
    {
        start();
    }

    ~backend_stand_in()
    {
        crash();
    }

    void start()
    {
        listener_ = ::socket(AF_INET, SOCK_STREAM, 0);
        const int on = 1;
        ::setsockopt(listener_, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
        const sockaddr_in address = address_of(host_, port_);
        if (::bind(
                listener_, reinterpret_cast<const sockaddr*>(&address),
                sizeof address) != 0 ||
            ::listen(listener_, 128) != 0)
        {
            std::perror("listen");
            std::exit(2);
        }
        accepting_ = std::thread{[this, listener = listener_]
                                 { accept_all(listener); }};
    }

    // Resets all connections and refuses new ones, as a process that has
    // crashed.
    void crash()
    {
        if (listener_ < 0)
        {
            return;
        }
        ::shutdown(listener_, SHUT_RDWR);
        accepting_.join();
        ::close(std::exchange(listener_, -1));
        const std::lock_guard lock{mutex_};
        for (const int descriptor : open_)
        {
            const linger reset{1, 0};
            ::setsockopt(
                descriptor, SOL_SOCKET, SO_LINGER, &reset, sizeof reset);
            // Ends the reads and writes of its thread, which closes it.
            const sockaddr unspecified{AF_UNSPEC, {}};
            ::connect(descriptor, &unspecified, sizeof unspecified);
            ::shutdown(descriptor, SHUT_RDWR);
        }
    }

private:
    void accept_all(int listener)
    {
        while (true)
        {
            const int descriptor = ::accept(listener, nullptr, nullptr);
            if (descriptor < 0)
            {
                return;
            }
            {
                const std::lock_guard lock{mutex_};
                open_.push_back(descriptor);
            }
            std::thread{[this, descriptor] { serve(descriptor); }}.detach();
        }
    }

    void serve(int descriptor)
    {
        std::string input;
        char buffer[16384];
        while (true)
        {
            const std::size_t end = input.find("\r\n\r\n");
            const std::size_t size =
                end == std::string::npos
                    ? 0
                    : end + 4 +
                          static_cast<std::size_t>(std::atol(
                              field_of(input.substr(0, end + 2), "Content-Length")
                                  .c_str()));
            if (end == std::string::npos || input.size() < size)
            {
                const ssize_t count =
                    ::recv(descriptor, buffer, sizeof buffer, 0);
                if (count <= 0)
                {
                    break;
                }
                input.append(buffer, static_cast<std::size_t>(count));
                continue;
            }
            const std::string head = input.substr(0, end + 2);
            input.erase(0, size);
            on_request_(descriptor, head);
        }
        const std::lock_guard lock{mutex_};
        std::erase(open_, descriptor);
        ::close(descriptor);
    }

    std::string host_;
    int port_;
    handler on_request_;
    int listener_ = -1;
    std::thread accepting_;
    std::mutex mutex_;
    std::vector<int> open_;
};

// One process of the deploy file.
struct process
{
    std::string name;
    std::string command;
    std::string host;
    std::string folder;
    pid_t pid = -1;
};

// The processes of one run, and the temporary folder that holds their settings,
// data and logs. Both are gone when it is destroyed.
class fleet
{
public:
    explicit fleet(std::string binary)
        : binary_{std::move(binary)}
    {
        std::string pattern =
            (fs::temp_directory_path() / "review-2-XXXXXX").string();
        if (::mkdtemp(pattern.data()) == nullptr)
        {
            std::perror("mkdtemp");
            std::exit(2);
        }
        folder_ = pattern;
    }

    ~fleet()
    {
        end();
    }

    void end()
    {
        for (auto& [name, each] : processes_)
        {
            kill(each, SIGKILL);
        }
        if (std::getenv("KEEP") == nullptr)
        {
            std::error_code error;
            fs::remove_all(folder_, error);
        }
    }

    const std::string& folder() const
    {
        return folder_;
    }

    process& add(
        const std::string& name, const std::string& command,
        const std::string& host)
    {
        process& added = processes_[name];
        added = {name, command, host, folder_ + "/" + name, -1};
        fs::create_directories(added.folder + "/data");
        return added;
    }

    process& at(const std::string& name)
    {
        return processes_.at(name);
    }

    // Starts the process with these settings.
    void start(process& each, const std::string& settings)
    {
        const std::string path = each.folder + "/node.json";
        std::ofstream{path} << settings;
        const pid_t pid = ::fork();
        if (pid == 0)
        {
            // It ends with this program, also when that is killed.
            ::prctl(PR_SET_PDEATHSIG, SIGKILL);
            const int log = ::open(
                (each.folder + "/log").c_str(), O_WRONLY | O_CREAT | O_APPEND,
                0600);
            ::dup2(log, 1);
            ::dup2(log, 2);
            ::setenv("HICKORYGAP_SETTINGS", path.c_str(), 1);
            ::execl(
                binary_.c_str(), binary_.c_str(), each.command.c_str(),
                "--settings", path.c_str(), static_cast<char*>(nullptr));
            std::_Exit(127);
        }
        each.pid = pid;
    }

    static bool is_running(process& each)
    {
        if (each.pid <= 0)
        {
            return false;
        }
        if (::waitpid(each.pid, nullptr, WNOHANG) == each.pid)
        {
            each.pid = -1;
            return false;
        }
        return true;
    }

    // Sends the signal and waits until the process has ended.
    static void kill(process& each, int signal_number)
    {
        if (is_running(each))
        {
            ::kill(each.pid, signal_number);
            ::waitpid(each.pid, nullptr, 0);
            each.pid = -1;
        }
    }

    // A lost disk: the folder is empty afterwards.
    static void wipe(const process& each)
    {
        fs::remove_all(each.folder + "/data");
        fs::create_directories(each.folder + "/data");
    }

private:
    std::string binary_;
    std::string folder_;
    std::map<std::string, process> processes_;
};

} // namespace review

#endif

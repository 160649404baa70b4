#ifndef HICKORYGAP_REVIEW_STAND_INS_3_NETWORK_HPP
#define HICKORYGAP_REVIEW_STAND_INS_3_NETWORK_HPP

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <cctype>
#include <chrono>
#include <cstdint>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <utility>

// Blocking sockets and HTTP/1.1 for the stand-ins of the review. Each
// connection has a thread of its own.
namespace review
{

using clock_type = std::chrono::steady_clock;
using milliseconds = std::chrono::milliseconds;

struct address
{
    std::string host;
    std::uint16_t port = 0;

    std::string text() const
    {
        return host + ":" + std::to_string(port);
    }
};

inline sockaddr_in socket_address(const address& at)
{
    sockaddr_in result{};
    result.sin_family = AF_INET;
    result.sin_port = htons(at.port);
    ::inet_pton(AF_INET, at.host.c_str(), &result.sin_addr);
    return result;
}

// Whether a server could listen on the address now.
inline bool is_free(const address& at)
{
    const int file = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    ::setsockopt(file, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    const sockaddr_in name = socket_address(at);
    const bool free = ::bind(
                          file, reinterpret_cast<const sockaddr*>(&name),
                          sizeof name) == 0 &&
                      ::listen(file, 1) == 0;
    ::close(file);
    return free;
}

// Start line and fields of a message; names of fields in lower case.
struct http_head
{
    std::string start;
    std::map<std::string, std::string> fields;

    std::string field(const std::string& name) const
    {
        const auto found = fields.find(name);
        return found == fields.end() ? std::string{} : found->second;
    }

    int status() const
    {
        return start.size() < 12 ? 0 : std::atoi(start.c_str() + 9);
    }
};

class connection
{
public:
    explicit connection(int file)
        : file_{file}
    {
        const int on = 1;
        ::setsockopt(file_, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    }

    connection(const connection&) = delete;
    connection& operator=(const connection&) = delete;

    ~connection()
    {
        ::close(file_);
    }

    // nullptr when the peer refuses the connection.
    static std::unique_ptr<connection>
    dial(const address& to, std::optional<std::string> from = {})
    {
        const int file = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        if (from)
        {
            const sockaddr_in own = socket_address({*from, 0});
            ::bind(file, reinterpret_cast<const sockaddr*>(&own), sizeof own);
        }
        const sockaddr_in name = socket_address(to);
        if (::connect(
                file, reinterpret_cast<const sockaddr*>(&name), sizeof name) !=
            0)
        {
            ::close(file);
            return nullptr;
        }
        return std::make_unique<connection>(file);
    }

    void set_deadline(clock_type::time_point deadline)
    {
        deadline_ = deadline;
    }

    // Ends all reads and writes, from any thread.
    void shut_down()
    {
        ::shutdown(file_, SHUT_RDWR);
    }

    // Waits for the time. False as soon as the peer has closed the connection.
    bool wait(milliseconds time)
    {
        const auto end = clock_type::now() + time;
        while (clock_type::now() < end)
        {
            char next = 0;
            if (::recv(file_, &next, 1, MSG_PEEK | MSG_DONTWAIT) == 0)
            {
                return false;
            }
            std::this_thread::sleep_for(milliseconds{10});
        }
        return true;
    }

    bool write(const std::string& bytes)
    {
        std::size_t sent = 0;
        while (sent < bytes.size())
        {
            const ssize_t count = ::send(
                file_, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
            if (count <= 0)
            {
                return false;
            }
            sent += static_cast<std::size_t>(count);
        }
        return true;
    }

    bool read_head(http_head& head)
    {
        std::size_t end = std::string::npos;
        while ((end = input_.find("\r\n\r\n")) == std::string::npos)
        {
            if (!receive())
            {
                return false;
            }
        }
        head = {};
        std::size_t begin = 0;
        while (begin < end + 2)
        {
            const std::size_t stop = input_.find("\r\n", begin);
            const std::string line = input_.substr(begin, stop - begin);
            begin = stop + 2;
            const std::size_t colon = line.find(':');
            if (head.start.empty())
            {
                head.start = line;
            }
            else if (colon != std::string::npos)
            {
                std::string name = line.substr(0, colon);
                std::ranges::transform(
                    name, name.begin(), [](unsigned char c)
                    { return static_cast<char>(std::tolower(c)); });
                const std::size_t value = line.find_first_not_of(' ', colon + 1);
                head.fields[name] =
                    value == std::string::npos ? "" : line.substr(value);
            }
        }
        input_.erase(0, end + 4);
        return true;
    }

    bool read_bytes(std::size_t count, std::string& output)
    {
        while (input_.size() < count)
        {
            if (!receive())
            {
                return false;
            }
        }
        output.append(input_, 0, count);
        input_.erase(0, count);
        return true;
    }

    bool read_line(std::string& line)
    {
        std::size_t end = std::string::npos;
        while ((end = input_.find("\r\n")) == std::string::npos)
        {
            if (!receive())
            {
                return false;
            }
        }
        line = input_.substr(0, end);
        input_.erase(0, end + 2);
        return true;
    }

    // One chunk of a chunked body; an empty one is the end.
    bool read_chunk(std::string& chunk)
    {
        std::string line;
        chunk.clear();
        if (!read_line(line))
        {
            return false;
        }
        const auto size = std::strtoul(line.c_str(), nullptr, 16);
        return read_bytes(size, chunk) && read_line(line);
    }

    // The whole body of a message with a length or in chunks.
    bool read_body(const http_head& head, std::string& body)
    {
        if (head.field("transfer-encoding") == "chunked")
        {
            std::string chunk;
            while (read_chunk(chunk))
            {
                if (chunk.empty())
                {
                    return true;
                }
                body += chunk;
            }
            return false;
        }
        return read_bytes(
            std::strtoul(
                head.field("content-length").c_str(), nullptr, 10),
            body);
    }

private:
    bool receive()
    {
        pollfd waited{file_, POLLIN, 0};
        const auto left = deadline_ ? std::chrono::duration_cast<milliseconds>(
                                          *deadline_ - clock_type::now())
                                    : milliseconds{60'000};
        if (left <= milliseconds{0} ||
            ::poll(&waited, 1, static_cast<int>(left.count())) <= 0)
        {
            return false;
        }
        char buffer[16384];
        const ssize_t count = ::recv(file_, buffer, sizeof buffer, 0);
        if (count <= 0)
        {
            return false;
        }
        input_.append(buffer, static_cast<std::size_t>(count));
        return true;
    }

    int file_;
    std::string input_;
    std::optional<clock_type::time_point> deadline_;
};

// Accepts connections and runs the handler for each in a thread of its own.
class server
{
public:
    using handler = std::function<void(connection&)>;

    ~server()
    {
        stop();
    }

    bool start(const address& at, handler on_connection)
    {
        handler_ = std::move(on_connection);
        file_ = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        const int on = 1;
        ::setsockopt(file_, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
        const sockaddr_in name = socket_address(at);
        if (::bind(
                file_, reinterpret_cast<const sockaddr*>(&name),
                sizeof name) != 0 ||
            ::listen(file_, 512) != 0)
        {
            ::close(std::exchange(file_, -1));
            return false;
        }
        stopping_ = false;
        acceptor_ = std::thread{[this] { accept(); }};
        return true;
    }

    // Closes the port and all connections.
    void stop()
    {
        if (file_ < 0)
        {
            return;
        }
        stopping_ = true;
        ::shutdown(file_, SHUT_RDWR);
        acceptor_.join();
        ::close(std::exchange(file_, -1));
        {
            const std::lock_guard lock{mutex_};
            for (auto& each : open_)
            {
                each.link->shut_down();
            }
        }
        for (auto& each : open_)
        {
            each.thread.join();
        }
        open_.clear();
    }

private:
    struct item
    {
        std::unique_ptr<connection> link;
        std::thread thread;
        std::atomic<bool> done = false;
    };

    void accept()
    {
        while (!stopping_)
        {
            const int file = ::accept4(file_, nullptr, nullptr, SOCK_CLOEXEC);
            if (file < 0)
            {
                continue;
            }
            const std::lock_guard lock{mutex_};
            for (auto each = open_.begin(); each != open_.end();)
            {
                if (each->done)
                {
                    each->thread.join();
                    each = open_.erase(each);
                }
                else
                {
                    ++each;
                }
            }
            item& added = open_.emplace_back();
            added.link = std::make_unique<connection>(file);
            added.thread = std::thread{[this, &added]
                                       {
                                           handler_(*added.link);
                                           added.link->shut_down();
                                           added.done = true;
                                       }};
        }
    }

    handler handler_;
    int file_ = -1;
    std::atomic<bool> stopping_ = false;
    std::thread acceptor_;
    std::mutex mutex_;
    std::list<item> open_;
};

} // namespace review

#endif

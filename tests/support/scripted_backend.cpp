#include "support/scripted_backend.hpp"

#include <Poco/Exception.h>
#include <fmt/format.h>

#include <array>
#include <utility>

namespace hickorygap::testing
{

namespace
{

std::string header_value(const std::string& text, const std::string& name)
{
    const auto start = text.find("\r\n" + name + ": ");
    if (start == std::string::npos)
    {
        return {};
    }
    const auto value = start + name.size() + 4;
    return text.substr(value, text.find("\r\n", value) - value);
}

std::string read_request(Poco::Net::StreamSocket& socket)
{
    std::string text;
    std::array<char, 4096> buffer{};
    while (true)
    {
        const auto end = text.find("\r\n\r\n");
        const std::string length = header_value(text, "Content-Length");
        if (end != std::string::npos &&
            text.size() >= end + 4 + (length.empty() ? 0 : std::stoul(length)))
        {
            return text;
        }
        const int count =
            socket.receiveBytes(buffer.data(), static_cast<int>(buffer.size()));
        if (count <= 0)
        {
            return {};
        }
        text.append(buffer.data(), static_cast<std::size_t>(count));
    }
}

} // namespace

std::string scripted_backend::exchange::attempt() const
{
    return header_value(text, "X-Attempt");
}

std::string scripted_backend::exchange::body() const
{
    return text.substr(text.find("\r\n\r\n") + 4);
}

void scripted_backend::exchange::send(std::string_view bytes)
{
    socket.sendBytes(bytes.data(), static_cast<int>(bytes.size()));
}

void scripted_backend::exchange::answer(
    int status, std::string_view body, std::string_view attempt)
{
    send(fmt::format(
        "HTTP/1.1 {} X\r\nContent-Type: application/json\r\nX-Attempt: {}\r\n"
        "Content-Length: {}\r\n\r\n{}",
        status, attempt, body.size(), body));
}

void scripted_backend::exchange::start_stream()
{
    send(fmt::format(
        "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
        "X-Attempt: {}\r\nTransfer-Encoding: chunked\r\n\r\n",
        attempt()));
}

void scripted_backend::exchange::send_event(std::string_view event)
{
    send(fmt::format("{:x}\r\n{}\r\n", event.size(), event));
}

void scripted_backend::exchange::simulate_crash()
{
    backend.stopping_ = true;
    backend.listener_.close();
    socket.setLinger(true, 0);
    socket.close();
}

scripted_backend::scripted_backend(script run)
    : run_(std::move(run))
    , listener_(Poco::Net::SocketAddress{"127.0.0.1", 0})
    , port_(listener_.address().port())
    , thread_([this] { serve(); })
{
}

scripted_backend::~scripted_backend()
{
    stopping_ = true;
    thread_.join();
}

void scripted_backend::serve()
{
    const Poco::Timespan interval{0, 20000};
    while (!stopping_)
    {
        if (listener_.poll(interval, Poco::Net::Socket::SELECT_READ))
        {
            try
            {
                serve_one(listener_.acceptConnection());
            }
            catch (const Poco::Exception&)
            {
                // The router has closed the connection.
            }
        }
    }
}

void scripted_backend::serve_one(Poco::Net::StreamSocket socket)
{
    exchange current{*this, socket, read_request(socket)};
    if (current.text.starts_with("GET /load "))
    {
        current.answer(200, "{}", "");
    }
    else if (!current.text.empty())
    {
        ++requests_;
        run_(current);
    }
}

} // namespace hickorygap::testing

#include "connection/http/raw_client.hpp"

#include <Poco/Exception.h>
#include <Poco/String.h>
#include <fmt/format.h>

#include <array>

namespace hickorygap::testing
{

raw_client::raw_client(std::uint16_t port)
    : raw_client(
          Poco::Net::StreamSocket{Poco::Net::SocketAddress{"127.0.0.1", port}})
{
}

raw_client::raw_client(
    const Poco::Net::StreamSocket& socket,
    const Poco::Timespan& receive_timeout)
    : socket_(socket)
{
    socket_.setReceiveTimeout(receive_timeout);
}

void raw_client::send(std::string_view text)
{
    socket_.sendBytes(text.data(), static_cast<int>(text.size()));
}

bool raw_client::read_more()
{
    std::array<char, 4096> buffer{};
    int count = 0;
    try
    {
        count = socket_.receiveBytes(
            buffer.data(), static_cast<int>(buffer.size()));
    }
    catch (const Poco::TimeoutException&)
    {
        timed_out_ = true;
        return false;
    }
    catch (const Poco::Exception&)
    {
        // A connection that was reset has ended.
        return false;
    }
    received_.append(buffer.data(), static_cast<std::size_t>(count));
    return count > 0;
}

bool raw_client::read_line(std::string& line)
{
    std::size_t end = 0;
    while ((end = received_.find("\r\n")) == std::string::npos)
    {
        if (!read_more())
        {
            return false;
        }
    }
    line = received_.substr(0, end);
    received_.erase(0, end + 2);
    return true;
}

bool raw_client::read_bytes(std::size_t count, std::string& bytes)
{
    while (received_.size() < count)
    {
        if (!read_more())
        {
            return false;
        }
    }
    bytes = received_.substr(0, count);
    received_.erase(0, count);
    return true;
}

bool raw_client::read_chunks(std::string& body)
{
    std::string line;
    while (read_line(line))
    {
        const std::size_t size = std::stoul(line, nullptr, 16);
        std::string chunk;
        if (!read_bytes(size, chunk) || !read_line(line))
        {
            return false;
        }
        body += chunk;
        if (size == 0)
        {
            return true;
        }
    }
    return false;
}

raw_response raw_client::read_response()
{
    raw_response response;
    std::string line;
    if (!read_line(line))
    {
        return response;
    }
    response.status = std::stoi(line.substr(line.find(' ')));
    while (read_line(line) && !line.empty())
    {
        const auto colon = line.find(':');
        response.headers[Poco::toLower(line.substr(0, colon))] =
            Poco::trim(line.substr(colon + 1));
    }
    if (response.headers.contains("transfer-encoding"))
    {
        response.complete = read_chunks(response.body);
    }
    else if (response.headers.contains("content-length"))
    {
        response.complete = read_bytes(
            std::stoul(response.headers["content-length"]), response.body);
    }
    return response;
}

bool raw_client::read_until(std::string_view text)
{
    while (received_.find(text) == std::string::npos)
    {
        if (!read_more())
        {
            return false;
        }
    }
    return true;
}

bool raw_client::has_input()
{
    return socket_.poll(Poco::Timespan{}, Poco::Net::Socket::SELECT_READ);
}

bool raw_client::at_end()
{
    while (read_more())
    {
    }
    return !timed_out_;
}

void raw_client::close()
{
    socket_.close();
}

std::string make_request(
    std::string_view method, std::string_view path, std::string_view headers,
    std::string_view body)
{
    return fmt::format(
        "{} {} HTTP/1.1\r\nHost: test\r\n{}Content-Length: {}\r\n\r\n{}",
        method, path, headers, body.size(), body);
}

std::string chat_request_text(
    std::string_view body, std::string_view headers, std::string_view key)
{
    return make_request(
        "POST", "/v1/chat/completions",
        fmt::format("Authorization: Bearer {}\r\n{}", key, headers), body);
}

std::string
booking_request_text(std::string_view body, std::string_view idempotency_key)
{
    return make_request(
        "POST", "/services/booking/vans",
        fmt::format(
            "Authorization: Bearer key-diarroi\r\nIdempotency-Key: {}\r\n",
            idempotency_key),
        body);
}

} // namespace hickorygap::testing

#include "process/gateway/gateway_fixture.hpp"

#include <catch2/catch.hpp>

#include <set>
#include <string>
#include <vector>

using namespace hickorygap;
using namespace hickorygap::test;
using namespace std::chrono_literals;

namespace
{

using connection = backend_double::connection;

const std::string refusal = "HTTP/1.1 503 Service Unavailable\r\n"
                            "Not-Run: 1\r\nServer-Load: 1,2,3\r\n"
                            "Request-Id: a1\r\nContent-Length: 0\r\n\r\n";
const std::string too_many = "HTTP/1.1 429 Too Many Requests\r\n"
                             "Request-Id: a1\r\nNot-Run: 1\r\n"
                             "Server-Load: 1,2,3\r\nContent-Length: 0\r\n\r\n";
const std::string misdirected = "HTTP/1.1 421 Misdirected Request\r\n"
                                "Server-Load: 1,2,3\r\nRequest-Id: a1\r\n"
                                "Content-Length: 0\r\n\r\n";
const std::string unnamed = "HTTP/1.1 503 Service Unavailable\r\n"
                            "Not-Run: 1\r\nServer-Load: 1,2,3\r\n"
                            "Content-Length: 0\r\n\r\n";

const std::string ended_stream =
    "HTTP/1.1 200 OK\r\nRequest-Id: a1\r\nReply-Seal: s\r\n"
    "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
    "11\r\nid: 1\ndata: one\n\n\r\n0\r\n\r\n";

std::string success_for(std::string_view id, call_kind kind)
{
    const std::string head = fmt::format(
        "HTTP/1.1 200 OK\r\nRequest-Id: {}\r\nReply-Seal: s\r\n", id);
    return kind == call_kind::streaming
               ? head + "Transfer-Encoding: chunked\r\n\r\n"
                        "11\r\nid: 1\ndata: two\n\n\r\n0\r\n\r\n"
               : head + "Content-Length: 4\r\n\r\nfine";
}

// When the server writes the refusal once more.
enum class repetition
{
    with_first_response,
    while_idle,

    // The router has not read it when it sends the next request.
    while_idle_unread,
    after_next_request,
    in_two_parts,
    before_real_response
};

struct row
{
    std::string label;
    call_kind kind;
    std::string first_response;
    std::string copy;
    repetition when;
    std::string status;
    std::string next_id = "a2";
};

std::string status_of(const caller_double& caller)
{
    constexpr std::size_t start = 9;
    constexpr std::size_t length = 3;
    return caller.received().size() < start + length
               ? std::string{}
               : caller.received().substr(start, length);
}

bool is_answered(const caller_double& caller)
{
    return !caller.received().empty() || caller.ended();
}

// Two servers that give the first response to the first request, and repeat a
// refusal on their kept connections. They run the next request.
class repeating_servers
{
public:
    explicit repeating_servers(const row& tested)
        : tested_{tested}
        , fixture_{gateway_fixture::make_route(tested.kind, 2)}
    {
        const auto script = [this](connection& to, const received_request&)
        { on_request(to); };
        fixture_.add_backend(script);
        fixture_.add_backend(script);
    }

    // Status of the response to the next request, after both servers have
    // given the first response.
    std::string call_next()
    {
        constexpr std::size_t servers = 2;
        while (kept_.size() < servers)
        {
            const caller_double& first = fixture_.call(request("a1"));
            REQUIRE(fixture_.run_until([&] { return is_answered(first); }));
        }
        caller_double& next = fixture_.call("");
        fixture_.run_for(5ms);
        is_next_ = true;
        if (tested_.when == repetition::while_idle)
        {
            repeat();
            fixture_.run_for(5ms);
        }
        next.send(request(tested_.next_id));
        if (tested_.when == repetition::while_idle_unread)
        {
            repeat();
        }
        REQUIRE(fixture_.run_until([&] { return is_answered(next); }));
        return status_of(next);
    }

    // How often the servers got the next request, each of which they run.
    std::size_t runs() const
    {
        return runs_;
    }

private:
    static std::string request(std::string_view id)
    {
        return gateway_fixture::request_text("", "body", "POST", id);
    }

    void repeat()
    {
        for (connection* each : kept_)
        {
            each->write(tested_.copy);
        }
    }

    void on_request(connection& to)
    {
        if (!is_next_)
        {
            kept_.insert(&to);
            to.write(
                tested_.first_response +
                (tested_.when == repetition::with_first_response ? tested_.copy
                                                                 : ""));
            return;
        }
        ++runs_;
        const std::string real = success_for(tested_.next_id, tested_.kind);
        if (!kept_.contains(&to))
        {
            to.write(real);
            return;
        }
        const std::size_t half = tested_.copy.size() / 2;
        switch (tested_.when)
        {
        case repetition::after_next_request:
            to.write(tested_.copy);
            break;
        case repetition::in_two_parts:
            to.write(tested_.copy.substr(0, half));
            fixture_.context().loop().after(
                10ms,
                [this, &to, half] { to.write(tested_.copy.substr(half)); });
            break;
        case repetition::before_real_response:
            to.write(tested_.copy + real);
            break;
        default:
            to.write(real);
            break;
        }
    }

    row tested_;
    gateway_fixture fixture_;
    std::set<connection*> kept_;
    std::size_t runs_ = 0;
    bool is_next_ = false;
};

} // namespace

// Guards against a false "not run" for a request that a server has run, and
// against a second run of it: a server writes an earlier refusal once more on a
// kept connection. A copy that arrives before the next request is sent must not
// cost it its response.
TEST_CASE("a refusal that is written once more refuses no other request")
{
    constexpr auto once = call_kind::non_repeatable;
    const auto tested = GENERATE(
        row{"in one segment", once, refusal, refusal,
            repetition::with_first_response, "200"},
        row{"in one segment, unnamed", once, refusal, unnamed,
            repetition::with_first_response, "200"},
        row{"idle", once, refusal, refusal, repetition::while_idle, "200"},
        row{"idle, part of it", once, refusal, refusal.substr(0, 20),
            repetition::while_idle, "200"},
        row{"idle, unread", once, refusal, refusal,
            repetition::while_idle_unread, "200"},
        row{"503", once, refusal, refusal, repetition::after_next_request,
            "502"},
        row{"503, unnamed", once, refusal, unnamed,
            repetition::after_next_request, "502"},
        row{"429", once, refusal, too_many, repetition::after_next_request,
            "502"},
        row{"421", once, refusal, misdirected, repetition::after_next_request,
            "502"},
        row{"after 100 Continue", once,
            "HTTP/1.1 100 Continue\r\n\r\n" + refusal,
            "HTTP/1.1 100 Continue\r\n\r\n" + refusal,
            repetition::after_next_request, "502"},
        row{"in two parts", once, refusal, refusal, repetition::in_two_parts,
            "502"},
        row{"421 in two parts", once, refusal, misdirected,
            repetition::in_two_parts, "502"},
        row{"before the response", once, refusal, refusal,
            repetition::before_real_response, "502"},
        row{"before the response, unnamed", once, refusal, unnamed,
            repetition::before_real_response, "502"},
        row{"after a stream", call_kind::streaming, ended_stream, refusal,
            repetition::after_next_request, "502"},
        row{"after a stream, unnamed", call_kind::streaming, ended_stream,
            unnamed, repetition::after_next_request, "502"});
    CAPTURE(tested.label);
    repeating_servers servers{tested};
    CHECK(servers.call_next() == tested.status);
    CHECK(servers.runs() == 1);
}

// Guards against a copy that is taken for the refusal of the caller's next
// attempt because that has the same identifier.
TEST_CASE("a refusal that is written once more refuses no attempt of its name")
{
    const std::string copy = GENERATE(refusal, too_many, misdirected, unnamed);
    const repetition when = GENERATE(
        repetition::after_next_request, repetition::in_two_parts,
        repetition::before_real_response);
    CAPTURE(copy, when);
    repeating_servers servers{
        {"", call_kind::non_repeatable, refusal, copy, when, "", "a1"}};
    CHECK(servers.call_next() == "200");
    CHECK(servers.runs() == 1);
}

// Guards against a copy that breaks off inside its head, so that the head of
// the real response seems to be the rest of it: the status and the statement of
// the copy, and the identifier of the next request.
TEST_CASE("a cut refusal is not joined with the response after it")
{
    const std::string copy = GENERATE(refusal, too_many, misdirected, unnamed);
    for (std::size_t size = 1; size < copy.size(); ++size)
    {
        CAPTURE(copy.substr(0, size));
        repeating_servers servers{
            {"", call_kind::non_repeatable, refusal, copy.substr(0, size),
             repetition::before_real_response, ""}};
        CHECK(servers.call_next() == "502");
        CHECK(servers.runs() == 1);
    }
}

// Guards against a refusal that names no request and is believed on a
// connection that was opened earlier, to check whether the server accepts it.
TEST_CASE("an unnamed refusal on an older connection refuses no request")
{
    gateway_fixture fixture{
        gateway_fixture::make_route(call_kind::non_repeatable, 2)};
    const auto script = [](connection& to, const received_request&)
    { to.write(unnamed); };
    std::vector<const backend_double*> servers;
    for (int i = 0; i < 2; ++i)
    {
        servers.push_back(&fixture.add_backend(script));
    }
    for (const backend_record* each :
         fixture.context().table().members("reports"))
    {
        fixture.context().pool().probe(*each, [](bool) {});
    }
    fixture.run_for(20ms);
    const caller_double& caller = fixture.call(gateway_fixture::request_text());
    REQUIRE(fixture.run_until([&] { return is_answered(caller); }));
    CHECK(status_of(caller) == "502");
    CHECK(servers[0]->requests().size() + servers[1]->requests().size() == 1);
}

#include "scenarios/runner/runner.hpp"

#include "common/hashing.hpp"

#include <Poco/JSON/Object.h>
#include <Poco/JSON/Parser.h>
#include <absl/strings/str_split.h>
#include <fmt/format.h>

#include <chrono>
#include <csignal>
#include <set>
#include <thread>

namespace hickorygap::testing
{

namespace
{

using Poco::JSON::Object;

constexpr std::chrono::seconds wait_limit{90};

Object::Ptr parse_object(const std::string& text)
{
    try
    {
        return Poco::JSON::Parser{}.parse(text).extract<Object::Ptr>();
    }
    catch (const Poco::Exception&)
    {
        return new Object;
    }
}

std::string error_field(const std::string& body, const std::string& field)
{
    const Object::Ptr error = parse_object(body)->getObject("error");
    return error.isNull() || !error->has(field)
               ? ""
               : error->get(field).convert<std::string>();
}

// Whether a streamed response has every token in order and the final [DONE].
bool is_complete(const std::string& body)
{
    std::size_t position = 0;
    std::size_t index = 0;
    while ((position = body.find("content\":\"t", position)) !=
           std::string::npos)
    {
        position += std::string_view{"content\":\"t"}.size();
        if (std::stoul(body.substr(position)) != index++)
        {
            return false;
        }
    }
    return index > 0 && body.find("data: [DONE]") != std::string::npos;
}

std::string describe(const http_result& result)
{
    constexpr std::size_t max_body_bytes = 300;
    return fmt::format(
        "status {}, body {}", result.status,
        result.body.substr(0, max_body_bytes));
}

} // namespace

runner::runner(fleet_options defaults)
    : defaults_(std::move(defaults))
{
}

absl::Status runner::run(const std::vector<script_line>& lines)
{
    for (const script_line& line : lines)
    {
        fmt::print("{:4} {}\n", line.number, line.text);
        std::fflush(stdout);
        const absl::Status status = run_line(line);
        if (!status.ok())
        {
            return status;
        }
    }
    return absl::OkStatus();
}

absl::Status runner::run_line(const script_line& line)
{
    if (line.verb == "fleet")
    {
        fleet_options options = defaults_;
        options.instances = std::stoul(line.option("instances", "6"));
        options.voters = std::stoul(line.option("voters", "3"));
        options.freshness_ms = line.option("freshness_ms", "10000");
        fleet_ = std::make_unique<fleet>(std::move(options));
        return absl::OkStatus();
    }
    if (fleet_ == nullptr)
    {
        return line_error(line, "the first line must use the verb fleet");
    }
    const std::map<std::string, std::function<absl::Status(const script_line&)>>
        actions{
            {"start", [this](const auto& each) { return start(each); }},
            {"stop", [this](const auto& each) { return stop(each); }},
            {"kill",
             [this](const auto& each) { return signal(each, SIGKILL); }},
            {"hang",
             [this](const auto& each) { return signal(each, SIGSTOP); }},
            {"resume",
             [this](const auto& each) { return signal(each, SIGCONT); }},
            {"cut", [this](const auto& each) { return cut(each); }},
            {"heal",
             [this](const auto&)
             {
                 fleet_->heal();
                 return absl::OkStatus();
             }},
            {"wipe",
             [this](const auto& each)
             {
                 fleet_->wipe(each.words.at(0));
                 return absl::OkStatus();
             }},
            {"file", [this](const auto& each) { return file(each); }},
            {"send", [this](const auto& each) { return send(each); }},
            {"expect", [this](const auto& each) { return expect(each); }}};
    try
    {
        return actions.at(line.verb)(line);
    }
    catch (const std::exception& error)
    {
        return line_error(line, error.what());
    }
}

std::vector<std::string>
runner::expand_names(const std::vector<std::string>& words, std::size_t first)
{
    std::vector<std::string> names;
    for (std::size_t i = first; i < words.size(); ++i)
    {
        if (words[i] == "all")
        {
            const auto running = fleet_->running_instances();
            names.insert(names.end(), running.begin(), running.end());
        }
        else if (words[i] == "leader")
        {
            names.push_back(find_leader());
        }
        else
        {
            names.push_back(words[i]);
        }
    }
    return names;
}

std::string runner::find_leader()
{
    const auto limit = std::chrono::steady_clock::now() + wait_limit;
    while (std::chrono::steady_clock::now() < limit)
    {
        for (const std::string& name : fleet_->running_instances())
        {
            const http_result result =
                get_from_operator_port(name, "/operator/status");
            if (parse_object(result.body)->optValue<std::string>("role", "") ==
                "leader")
            {
                return name;
            }
        }
        std::this_thread::sleep_for(std::chrono::milliseconds{100});
    }
    throw std::runtime_error{
        "no running instance reports the role leader in time"};
}

http_result runner::get_from_operator_port(
    const std::string& instance, const std::string& path)
{
    http_call call;
    call.port = fleet_->operator_port(instance);
    call.path = path;
    call.headers["Authorization"] =
        fmt::format("Bearer {}", fleet::operator_token);
    return exchange(call);
}

absl::Status runner::start(const script_line& line)
{
    for (const std::string& name : expand_names(line.words, 0))
    {
        fleet_->start(name, line.options);
    }
    return absl::OkStatus();
}

absl::Status runner::stop(const script_line& line)
{
    for (const std::string& name : expand_names(line.words, 0))
    {
        child_process* process = fleet_->find(name);
        process->signal(SIGTERM);
        const auto status =
            process->wait(std::chrono::duration<double>{wait_limit}.count());
        if (status != 0)
        {
            return line_error(
                line,
                fmt::format(
                    "{} exited with {} after SIGTERM; expected 0", name,
                    status ? std::to_string(*status) : "no status in time"));
        }
    }
    return absl::OkStatus();
}

absl::Status runner::signal(const script_line& line, int number)
{
    for (const std::string& name : expand_names(line.words, 0))
    {
        fleet_->find(name)->signal(number);
        if (number == SIGKILL)
        {
            constexpr double limit_seconds = 10;
            fleet_->find(name)->wait(limit_seconds);
        }
    }
    return absl::OkStatus();
}

absl::Status runner::cut(const script_line& line)
{
    std::set<std::string> left;
    std::set<std::string> right;
    std::set<std::string>* side = &left;
    for (const std::string& name : expand_names(line.words, 0))
    {
        if (name == "from")
        {
            side = &right;
            continue;
        }
        side->insert(name);
    }
    if (right.empty())
    {
        for (const std::string& name : fleet_->instances())
        {
            if (!left.contains(name))
            {
                right.insert(name);
            }
        }
    }
    fleet_->cut(left, right);
    return absl::OkStatus();
}

// file NUMBER [through=LAST] [via=] [as=] [status=] and options for the content
// of the ticket: comment, weight, voters, leaving.
absl::Status runner::file(const script_line& line)
{
    const std::uint64_t first = std::stoull(line.words.at(0));
    const std::uint64_t last =
        std::stoull(line.option("through", line.words.at(0)));
    for (std::uint64_t number = first; number <= last; ++number)
    {
        script_line single = line;
        single.words.at(0) = std::to_string(number);
        const absl::Status status = file_single_ticket(single);
        if (!status.ok())
        {
            return status;
        }
    }
    return absl::OkStatus();
}

absl::Status runner::file_single_ticket(const script_line& line)
{
    http_call call;
    call.port = fleet_->operator_port(line.option("via", "i1"));
    call.method = "POST";
    call.path = "/operator/tickets";
    call.headers["Authorization"] =
        fmt::format("Bearer {}", fleet::operator_token);
    call.body = fleet_->make_ticket(line);
    const std::string name = line.option("as", "last");
    if (line.options.contains("as"))
    {
        pending_responses_[name] =
            std::async(std::launch::async, [call] { return exchange(call); });
        return absl::OkStatus();
    }
    // Like an operator, repeats the same ticket until the expected response.
    const int expected = std::stoi(line.option("status", "200"));
    return wait_until(
        line,
        [this, call, expected]
        {
            const http_result result = exchange(call);
            responses_["last"] = result;
            return result.status == expected ? "" : describe(result);
        });
}

http_call runner::make_chat(const script_line& line) const
{
    http_call call;
    call.port = fleet_->caller_port(line.option("via", "i1"));
    call.method = "POST";
    call.path = "/v1/chat/completions";
    call.headers["X-Chat-Id"] = line.words.at(1);
    call.headers["X-Rank"] = line.option("rank", "normal");
    call.body = fmt::format(
        R"({{"model": "{}", "stream": true, "max_tokens": {}, )"
        R"("messages": [{{"role": "user", "content": "{}"}}]}})",
        line.option("model", "report-7b"), line.option("tokens", "8"),
        line.option("body", line.words.at(1)));
    return call;
}

http_call runner::make_booking(const script_line& line) const
{
    http_call call;
    call.port = fleet_->caller_port(line.option("via", "i1"));
    call.method = "POST";
    call.path = "/services/booking/vans";
    call.headers["Idempotency-Key"] = line.words.at(1);
    call.body = line.option("body", line.words.at(1));
    return call;
}

absl::Status runner::send(const script_line& line)
{
    http_call call =
        line.words.at(0) == "chat" ? make_chat(line) : make_booking(line);
    call.headers["Authorization"] = fmt::format(
        "Bearer {}", line.option("org", "alpha") == "alpha"
                         ? fleet::api_key_of_alpha
                         : fleet::api_key_of_beta);
    const std::string name = line.option("as", "last");
    pending_responses_[name] =
        std::async(std::launch::async, [call] { return exchange(call); });
    if (!line.options.contains("as"))
    {
        await_response(name);
    }
    return absl::OkStatus();
}

http_result& runner::await_response(const std::string& name)
{
    const auto found = pending_responses_.find(name);
    if (found != pending_responses_.end())
    {
        responses_[name] = found->second.get();
        pending_responses_.erase(found);
    }
    return responses_[name];
}

absl::Status runner::wait_until(
    const script_line& line, const std::function<std::string()>& problem)
{
    const auto limit = std::chrono::steady_clock::now() + wait_limit;
    std::string last = problem();
    while (!last.empty() && std::chrono::steady_clock::now() < limit)
    {
        std::this_thread::sleep_for(std::chrono::milliseconds{100});
        last = problem();
    }
    return last.empty() ? absl::OkStatus() : line_error(line, last);
}

absl::Status runner::expect(const script_line& line)
{
    const std::string& what = line.words.at(0);
    if (what == "in-force")
    {
        return expect_in_force(line);
    }
    if (what == "runs")
    {
        return expect_runs(line);
    }
    if (what == "ready" || what == "not-ready")
    {
        return expect_ready(line);
    }
    if (what == "fleet-ready")
    {
        return expect_fleet_ready(line);
    }
    if (what == "same-ticket")
    {
        return expect_same_ticket(line);
    }
    if (what == "one-engine")
    {
        return expect_one_engine(line);
    }
    if (what == "group")
    {
        return expect_group(line);
    }
    if (what == "voters")
    {
        return expect_voters(line);
    }
    if (what == "served")
    {
        return expect_served(line);
    }
    if (what == "no-new-work")
    {
        return expect_no_new_work(line);
    }
    return expect_response(line);
}

// expect group IDS via=INSTANCE: the voters are exactly these, e.g. 1,2,3.
absl::Status runner::expect_group(const script_line& line)
{
    const std::string& expected = line.words.at(1);
    return wait_until(
        line,
        [&]() -> std::string
        {
            const http_result result = get_from_operator_port(
                line.option("via", "i1"), "/operator/status");
            const auto voters = parse_object(result.body)->getArray("voters");
            std::vector<std::string> ids;
            for (std::size_t i = 0; !voters.isNull() && i < voters->size(); ++i)
            {
                ids.push_back(voters->get(static_cast<unsigned>(i))
                                  .convert<std::string>());
            }
            std::sort(ids.begin(), ids.end());
            const std::string found = fmt::format("{}", fmt::join(ids, ","));
            return found == expected ? "" : "the voters are " + found;
        });
}

// expect voters INSTANCE...: each of them is a voter by its own status.
absl::Status runner::expect_voters(const script_line& line)
{
    for (const std::string& name : expand_names(line.words, 1))
    {
        const absl::Status status = wait_until(
            line,
            [&]() -> std::string
            {
                const http_result result =
                    get_from_operator_port(name, "/operator/status");
                const std::string role =
                    parse_object(result.body)
                        ->optValue<std::string>("role", "");
                const bool votes = role == "leader" || role == "follower" ||
                                   role == "candidate";
                return votes ? "" : name + " has the role " + role;
            });
        if (!status.ok())
        {
            return status;
        }
    }
    return absl::OkStatus();
}

// expect in-force VERSION INSTANCE...: each of them serves this configuration
// version.
absl::Status runner::expect_in_force(const script_line& line)
{
    const std::string& version = line.words.at(1);
    for (const std::string& name : expand_names(line.words, 2))
    {
        const absl::Status status = wait_until(
            line,
            [&]() -> std::string
            {
                const http_result result =
                    get_from_operator_port(name, "/operator/status");
                const std::string found =
                    parse_object(result.body)
                        ->optValue<std::string>("version", "none");
                return found == version
                           ? ""
                           : fmt::format("{} has version {}", name, found);
            });
        if (!status.ok())
        {
            return status;
        }
    }
    return absl::OkStatus();
}

// expect runs TEXT COUNT: the services logged this many runs whose line
// contains the text.
absl::Status runner::expect_runs(const script_line& line)
{
    const std::size_t expected = std::stoul(line.words.at(2));
    return wait_until(
        line,
        [&]() -> std::string
        {
            const std::size_t found = fleet_->count_runs(line.words.at(1));
            return found == expected
                       ? ""
                       : fmt::format("{} runs, expected {}", found, expected);
        });
}

std::uint64_t runner::engine_requests(const std::string& name)
{
    http_call call;
    call.port = fleet_->stand_in_port(name);
    call.path = "/stats";
    return parse_object(exchange(call).body)
        ->optValue<Poco::UInt64>("requests", 0);
}

// expect served COUNT: the engines have started at least this many requests.
absl::Status runner::expect_served(const script_line& line)
{
    const std::uint64_t expected = std::stoul(line.words.at(1));
    return wait_until(
        line,
        [&]() -> std::string
        {
            std::uint64_t served = 0;
            for (int i = 1; fleet_->find("e" + std::to_string(i)) != nullptr;
                 ++i)
            {
                served += engine_requests("e" + std::to_string(i));
            }
            return served >= expected
                       ? ""
                       : fmt::format(
                             "{} requests, expected {}", served, expected);
        });
}

// expect ready INSTANCE..., expect not-ready INSTANCE...: /readyz gives status
// 200, or another status.
absl::Status runner::expect_ready(const script_line& line)
{
    const bool expected = line.words.at(0) == "ready";
    for (const std::string& name : expand_names(line.words, 1))
    {
        http_call call;
        call.port = fleet_->caller_port(name);
        call.path = "/readyz";
        constexpr int ok = 200;
        const absl::Status status = wait_until(
            line,
            [&]() -> std::string
            {
                const http_result result = exchange(call);
                return (result.status == ok) == expected
                           ? ""
                           : name + ": " + describe(result);
            });
        if (!status.ok())
        {
            return status;
        }
    }
    return absl::OkStatus();
}

// expect fleet-ready INSTANCE...: each of them knows that all running instances
// are ready. Only then they agree on the owners of cells.
absl::Status runner::expect_fleet_ready(const script_line& line)
{
    for (const std::string& name : expand_names(line.words, 1))
    {
        const absl::Status status = wait_until(
            line,
            [&]() -> std::string
            {
                const http_result result =
                    get_from_operator_port(name, "/operator/in-force");
                const auto rows =
                    parse_object(result.body)->getArray("instances");
                std::set<std::string> ready;
                for (std::size_t i = 0; !rows.isNull() && i < rows->size(); ++i)
                {
                    const auto row = rows->getObject(static_cast<unsigned>(i));
                    if (row->optValue<bool>("ready", false))
                    {
                        ready.insert(
                            "i" + row->optValue<std::string>("id", ""));
                    }
                }
                for (const std::string& other : fleet_->running_instances())
                {
                    if (!ready.contains(other))
                    {
                        return fmt::format(
                            "{} does not know that {} is ready", name, other);
                    }
                }
                return "";
            });
        if (!status.ok())
        {
            return status;
        }
    }
    // An instance derives the owners of cells from what it knows within a tick
    // of 20 ms.
    constexpr std::chrono::milliseconds owner_update_time{100};
    std::this_thread::sleep_for(owner_update_time);
    return absl::OkStatus();
}

// expect same-ticket NUMBER INSTANCE...: all return the same content for the
// ticket.
absl::Status runner::expect_same_ticket(const script_line& line)
{
    const std::string path = "/operator/tickets/" + line.words.at(1);
    std::string first;
    for (const std::string& name : expand_names(line.words, 2))
    {
        const http_result result = get_from_operator_port(name, path);
        constexpr int ok = 200;
        if (result.status != ok || (!first.empty() && first != result.body))
        {
            return line_error(line, name + ": " + describe(result));
        }
        first = result.body;
    }
    return absl::OkStatus();
}

// expect one-engine CHAT COUNT: the chat had this many prefix cache hits.
absl::Status runner::expect_one_engine(const script_line& line)
{
    // Routers send engines the hashed identifier of the chat.
    const std::string chat =
        fmt::format("{:016x}", hash_chat(hash_name("alpha"), line.words.at(1)));
    std::uint64_t hits = 0;
    for (int i = 1; fleet_->find("e" + std::to_string(i)) != nullptr; ++i)
    {
        http_call call;
        call.port = fleet_->stand_in_port("e" + std::to_string(i));
        call.path = "/stats";
        const Object::Ptr stats = parse_object(exchange(call).body);
        const Object::Ptr by_chat = stats->getObject("hits_by_chat");
        hits += by_chat.isNull() ? 0 : by_chat->optValue<Poco::UInt64>(chat, 0);
    }
    return hits == std::stoul(line.words.at(2))
               ? absl::OkStatus()
               : line_error(
                     line, fmt::format(
                               "{} cache hits, expected {}; {}", hits,
                               line.words.at(2),
                               describe_placements(line.words.at(1))));
}

// The decision records of a chat of alpha as the voters have stored them, to
// trace a failed check. Instances send their records in batches, so this waits
// first.
std::string runner::describe_placements(const std::string& chat)
{
    constexpr std::chrono::seconds record_delay{3};
    std::this_thread::sleep_for(record_delay);
    std::string text;
    for (const std::string& name : fleet_->running_instances())
    {
        const http_result result = get_from_operator_port(
            name, "/operator/decisions?organisation=alpha&chat=" + chat);
        text += fmt::format("\ndecisions at {}: {}", name, result.body);
    }
    return text;
}

// expect no-new-work ENGINE mark: stores the number of requests of the engine.
// expect no-new-work ENGINE: the engine got no request since the mark.
absl::Status runner::expect_no_new_work(const script_line& line)
{
    const std::string& name = line.words.at(1);
    const std::uint64_t served = engine_requests(name);
    const bool sets_mark = line.words.size() > 2;
    if (sets_mark)
    {
        marked_requests_[name] = served;
        return absl::OkStatus();
    }
    return served == marked_requests_.at(name)
               ? absl::OkStatus()
               : line_error(
                     line, fmt::format(
                               "{} requests, expected {} as at the mark",
                               served, marked_requests_.at(name)));
}

// expect NAME [complete] [status=] [kind=] [not_run=] [same=OTHER]: checks the
// response to the request that was sent with as=NAME.
absl::Status runner::expect_response(const script_line& line)
{
    const http_result& result = await_response(line.words.at(0));
    for (const auto& [key, value] : line.options)
    {
        std::string found;
        if (key == "status")
        {
            found = std::to_string(result.status);
        }
        else if (key == "same")
        {
            found = await_response(value).body == result.body ? value
                                                              : "another body";
        }
        else
        {
            found = error_field(result.body, key);
        }
        const std::vector<std::string> allowed = absl::StrSplit(value, '|');
        if (std::find(allowed.begin(), allowed.end(), found) == allowed.end())
        {
            return line_error(
                line, fmt::format(
                          "{} is {}, expected {}; {}", key, found, value,
                          describe(result)));
        }
    }
    const bool expects_complete =
        line.words.size() > 1 && line.words.at(1) == "complete";
    if (expects_complete && !is_complete(result.body))
    {
        return line_error(line, "incomplete stream: " + describe(result));
    }
    return absl::OkStatus();
}

} // namespace hickorygap::testing

#include "common/error.hpp"
#include "platform/configuration_document.hpp"
#include "platform/control_calls.hpp"
#include "platform/replica_list.hpp"
#include "platform/request_fields.hpp"

#include <catch2/catch.hpp>
#include <fmt/format.h>

#include <cstdint>
#include <limits>
#include <string>

using namespace hickorygap;
using namespace hickorygap::platform;
using namespace std::chrono_literals;
using Poco::Net::HTTPRequest;
using Poco::Net::HTTPResponse;

namespace
{

const std::string valid_document = R"({"version":7,"routes":[
    {"name":"r1","host":"h.example","path_prefix":"/a/","kind":"streaming",
     "timeout_ms":12000,"target_latency_ms":800,"priority":1,
     "service":"llm","max_attempts":2,"public":false,"sticky":true,
     "resumable":true,"gap_target_ms":300},
    {"name":"r2","host":"h.example","path_prefix":"/b/","kind":"unsafe",
     "timeout_ms":600,"traffic_split":[{"service":"llm","weight":90},
     {"service":"app","weight":10}],"public":true}],
    "services":[{"name":"llm","health_path":"/health","max_connections":500,
     "protocol":"h1","tls":false,"engine":{"slots":96,
     "kv_capacity_tokens":692737,"kv_token_bytes":18432,"models":[]}},
     {"name":"app","max_connections":110}],
    "limits":{"max_header_bytes":8192,"max_body_bytes":1000,
     "header_timeout_ms":3000,"idle_timeout_ms":15000},
    "tenants":[{"name":"t1","api_keys":["k1","k2"],"priority":1}]})";

std::string replace_first(
    const std::string& text, const std::string& from, const std::string& to)
{
    std::string changed = text;
    changed.replace(changed.find(from), from.size(), to);
    return changed;
}

HTTPRequest caller_request()
{
    HTTPRequest request{"POST", "/a/x?q=1", "HTTP/1.1"};
    request.set("Host", "h.example");
    request.set("Request-Id", "9c41d07be2a35f68");
    request.set("Deadline-Ms", "12000");
    request.set("Authorization", "Bearer k1");
    request.set("Token-Count", "1460,80");
    request.set("Prompt-Prefix", "5c1e07a2:800,91bd3f06:410,e4402b7d:250");
    return request;
}

// `text` repeated `count` times.
std::string repeated(std::string_view text, std::size_t count)
{
    std::string result;
    for (std::size_t i = 0; i < count; ++i)
    {
        result += text;
    }
    return result;
}

// Deep enough that a parser which recurses for each level exhausts the stack.
constexpr std::size_t excessive_depth = 120000;

// Entries of the backend list: one with id (quoted), port, slots and further
// members to fill in, and one that is valid with any id.
constexpr std::string_view entry_format =
    R"({{"id":{},"address":"10.0.0.7:{}","slots":{},"state":"ready",)"
    R"("service":"s","zone":"z","version":"v1"{}}})";
constexpr std::string_view valid_format =
    R"({{"id":"{}","service":"s","address":"10.0.0.9:80","zone":"z",)"
    R"("slots":8,"state":"ready","version":"v1"}})";

} // namespace

// Guards against a member of the document that is stored in the wrong field of
// the configuration.
TEST_CASE("a configuration document is read in full")
{
    const auto decoded = configuration_document{}.decode(valid_document);
    INFO(std::string{decoded.status().message()});
    REQUIRE(decoded.ok());
    const routing_configuration& read = **decoded;
    CHECK(read.version() == 7);
    CHECK(read.limits().header_bytes == 8192);
    CHECK(read.limits().body_bytes == 1000);
    CHECK(read.limits().header_timeout == 3s);
    CHECK(read.limits().idle_timeout == 15s);
    const route& first = *read.find_route("h.example", "/a/x");
    CHECK(first.kind == call_kind::streaming);
    CHECK(first.timeout == 12s);
    CHECK(first.target_latency == 800ms);
    CHECK(first.target_gap == 300ms);
    CHECK(first.priority == 1);
    CHECK(first.max_attempts == 2);
    CHECK(first.prompt_affinity);
    CHECK(first.resumable);
    CHECK_FALSE(first.open_to_all);
    const route& second = *read.find_route("h.example", "/b/");
    CHECK(second.kind == call_kind::non_repeatable);
    CHECK(second.max_attempts == 1);
    CHECK(second.open_to_all);
    REQUIRE(second.targets.size() == 2);
    CHECK(second.targets[1].weight == 10);
    CHECK(read.find_service("llm")->engine->cache_tokens == 692737);
    CHECK(read.find_service("app")->max_connections == 110);
    CHECK(read.find_organisation("k2")->priority == 1U);
}

// Guards against a malformed or inconsistent document that is accepted.
TEST_CASE("an invalid configuration document is rejected")
{
    const auto [from, to] = GENERATE(table<std::string, std::string>({
        {"\"keys\"", "\"keys\""},
        {"{\"version\":7,", "{\"version\":\"x\","},
        {"{\"version\":7,", "{"},
        {"\"kind\":\"unsafe\"", "\"kind\":\"other\""},
        {"\"timeout_ms\":600", "\"timeout_ms\":0"},
        {"\"timeout_ms\":600,", ""},
        {"\"service\":\"llm\",\"max", "\"service\":\"gone\",\"max"},
        {"\"weight\":90", "\"weight\":-1"},
        {"\"path_prefix\":\"/b/\"", "\"path_prefix\":\"/a/\""},
        {"\"routes\":[", "\"routes\":7,\"x\":["},
        {"\"api_keys\":[\"k1\"", "\"api_keys\":[7"},
        {"]})", ""},
    }));
    CAPTURE(from, to);
    std::string text = valid_document;
    if (from == "\"keys\"")
    {
        text = replace_first(
            text, "\"tenants\":[",
            "\"tenants\":[{\"name\":\"t2\",\"api_keys\":[\"k1\"]},");
    }
    else if (from == "]})")
    {
        text.resize(text.size() - 3);
    }
    else
    {
        text = replace_first(text, from, to);
    }
    const auto decoded = configuration_document{}.decode(text);
    REQUIRE_FALSE(decoded.ok());
    CHECK(kind_of(decoded.status()) == error_kind::ticket_invalid);
}

// Guards against a document that ends the process or is accepted with other
// values than its own: it is answered with 400, and refused by routers that get
// it from a voter with another release.
TEST_CASE("an odd value makes a configuration document invalid")
{
    const std::string arrays =
        repeated("[", excessive_depth) + repeated("]", excessive_depth);
    const std::string objects = repeated("{\"a\":", excessive_depth) + "1" +
                                repeated("}", excessive_depth);
    const std::string digits(400, '9');
    const std::string last = "\"public\":true}],";
    const auto before_last = [&](const std::string& text) {
        return std::pair{last, text + last};
    };
    const auto [from, to] = GENERATE_COPY(
        as<std::pair<std::string, std::string>>{},
        before_last("\"x\":" + arrays + ","),
        before_last("\"x\":" + objects + ","), before_last("\"x\":[1e999],"),
        before_last("\"x\":" + digits + ","),
        before_last("\"x\":\"\xff\xfe\","), before_last("\"x\":\"y,"),
        before_last("\"host\":\"other\","),
        std::pair{"\"version\":7", "\"version\":18446744073709551616"},
        std::pair{"\"version\":7", "\"version\":7,\"version\":8"},
        std::pair{"\"timeout_ms\":600", "\"timeout_ms\":" + digits},
        std::pair{"\"name\":\"t1\"", "\"name\":\"t1\\r\\nHold: 1\""},
        std::pair{"\"name\":\"t1\"", "\"name\":\"t1\\u0000\""},
        std::pair{"\"name\":\"t1\"", "\"name\":\"t1\\udc00\""},
        std::pair{"}]}", std::string{"}]}\0x", 5}},
        std::pair{valid_document, arrays}, std::pair{valid_document, objects},
        std::pair{
            valid_document, R"({"version":7,"services":[],"routes":)"
                            R"({"columns":["x"],"rows":[[)" +
                                arrays + "]]}}"});
    CAPTURE(from, to.substr(0, 200));
    const auto decoded = configuration_document{}.decode(
        replace_first(valid_document, from, to));
    REQUIRE_FALSE(decoded.ok());
    CHECK(kind_of(decoded.status()) == error_kind::ticket_invalid);
}

// Guards against a figure that makes a configuration invalid though it can be
// read and breaks no rule, and against one that is read as another: figures
// above the highest that the router works with act as that one (review/7).
TEST_CASE("figures at their edges are valid and keep their meaning")
{
    const std::string text = R"({"version":7,"routes":[
        {"name":"r1","host":"h.example","path_prefix":"/a/","kind":"safe",
         "timeout_ms":TIMEOUT,"target_latency_ms":VALUE,"gap_target_ms":VALUE,
         "priority":VALUE,"max_attempts":VALUE,
         "traffic_split":[{"service":"s","weight":1},
                          {"service":"s","weight":VALUE}]}],
        "services":[{"name":"s","max_connections":VALUE,"cold_per_s":VALUE,
                     "engine":{"slots":VALUE,"kv_capacity_tokens":VALUE,
                               "kv_token_bytes":VALUE}}],
        "tenants":[{"name":"t","api_keys":["k"],"priority":VALUE}],
        "limits":{"max_header_bytes":VALUE,"max_body_bytes":VALUE,
                  "header_timeout_ms":VALUE,"idle_timeout_ms":VALUE}})";
    constexpr std::uint32_t highest32 =
        std::numeric_limits<std::uint32_t>::max();
    constexpr std::uint64_t highest64 =
        std::numeric_limits<std::uint64_t>::max();
    constexpr duration year = std::chrono::hours{24 * 365};
    struct figure
    {
        std::string text;
        std::uint32_t number;
        std::uint64_t size;
        duration time;
    };
    const auto [value, number, size, time] = GENERATE_REF(values<figure>(
        {{"0", 0, 0, 0ms},
         {"1", 1, 1, 1ms},
         {"0.4", 0, 0, 1ms},
         {"2147483648", 2147483648U, 2147483648U, 2147483648ms},
         {"4294967295", highest32, highest32, 4294967295ms},
         {"4294967296", highest32, 4294967296U, 4294967296ms},
         {"31536000001", highest32, 31536000001U, year},
         {"9007199254740993", highest32, 9007199254740993U, year},
         {"9300000000000000000", highest32, 9300000000000000000U, year},
         {"18446744073709551615", highest32, highest64, year},
         {"18446744073709551616", highest32, highest64, year},
         {"1e300", highest32, highest64, year}}));
    CAPTURE(value);
    std::string filled = text;
    for (std::size_t at = filled.find("VALUE"); at != std::string::npos;
         at = filled.find("VALUE"))
    {
        filled.replace(at, 5, value);
    }
    const bool is_zero = value == "0";
    const auto decoded = configuration_document{}.decode(
        replace_first(filled, "TIMEOUT", is_zero ? "1" : value));
    INFO(std::string{decoded.status().message()});
    REQUIRE(decoded.ok());
    const route& read = (*decoded)->routes()[0];
    CHECK(read.timeout == (is_zero ? 1ms : time));
    CHECK(read.target_latency == time);
    CHECK(read.target_gap == time);
    CHECK(read.priority == number);
    CHECK(read.max_attempts == number);
    CHECK(read.targets[1].weight == number);
    const routed_service& service = (*decoded)->services()[0];
    CHECK(service.max_connections == number);
    CHECK(service.engine->slots == number);
    CHECK(service.engine->cache_tokens == size);
    CHECK(service.engine->bytes_per_cached_token == size);
    CHECK((*decoded)->find_organisation("k")->priority == number);
    const caller_limits& limits = (*decoded)->limits();
    CHECK(limits.header_bytes == size);
    CHECK(limits.body_bytes == size);
    CHECK(limits.header_timeout == time);
    CHECK(limits.idle_timeout == time);
    // A time limit of 0 is invalid, whatever else the document says.
    CHECK_FALSE(configuration_document{}
                    .decode(replace_first(filled, "TIMEOUT", "0"))
                    .ok());
}

// Guards against a table value that is assigned to the wrong row or column, and
// against a malformed table that is accepted.
TEST_CASE("the table form of a configuration equals the list form")
{
    const std::string text = R"({"version":7,"routes":{
        "columns":["name","host","path_prefix","kind","timeout_ms",
                   "traffic_split","max_attempts","service"],
        "rows":[["r1","h.example","/a/","streaming",12000,null,2,"llm"],
                ["r2","h.example","/b/","unsafe",600,
                 [{"service":"llm","weight":90},{"service":"app","weight":10}],
                 1,null]]},
        "services":{"columns":["name","max_connections","engine"],
                    "rows":[["llm",500,{"slots":96}],["app",110,null]]},
        "tenants":{"columns":["name","api_keys","priority"],
                   "rows":[["t1",["k1"],1],["t2",["k2"],null]]}})";
    const auto decoded = configuration_document{}.decode(text);
    INFO(std::string{decoded.status().message()});
    REQUIRE(decoded.ok());
    const routing_configuration& read = **decoded;
    CHECK(read.find_route("h.example", "/a/")->max_attempts == 2);
    CHECK(read.find_route("h.example", "/a/")->targets.size() == 1);
    CHECK(read.find_route("h.example", "/b/")->timeout == 600ms);
    CHECK(read.find_route("h.example", "/b/")->targets[1].service == "app");
    CHECK(read.find_service("llm")->engine->slots == 96);
    CHECK_FALSE(read.find_service("app")->engine);
    CHECK(read.find_organisation("k1")->priority == 1U);
    CHECK_FALSE(read.find_organisation("k2")->priority);

    const auto [from, to] = GENERATE(table<std::string, std::string>({
        {"\"columns\":[\"name\",\"host\"", "\"columns\":[7,\"host\""},
        {"\"rows\":[[\"r1\"", "\"lines\":[[\"r1\""},
        {"[\"llm\",500,{\"slots\":96}]", "[\"llm\",500]"},
        {"[\"t1\",[\"k1\"],1]", "7"},
    }));
    CAPTURE(from, to);
    const auto refused =
        configuration_document{}.decode(replace_first(text, from, to));
    REQUIRE_FALSE(refused.ok());
    CHECK(kind_of(refused.status()) == error_kind::ticket_invalid);
    CHECK_THAT(
        std::string{refused.status().message()}, Catch::Contains("the table"));
}

// Guards against a configuration that takes the last key or tenant away and
// thereby opens all routes to every key (review/4).
TEST_CASE("a configuration with tenants requires a key whatever their number")
{
    const auto [tenants, requires_key] = GENERATE(table<std::string, bool>({
        {"", false},
        {R"(,"tenants":[])", true},
        {R"(,"tenants":{"columns":["name","api_keys"],"rows":[]})", true},
        {R"(,"tenants":{"columns":[],"rows":[]})", true},
        {R"(,"tenants":null)", true},
        {R"(,"tenants":[{"name":"t1"}])", true},
        {R"(,"tenants":[{"name":"t1","api_keys":[]}])", true},
        {R"(,"tenants":[{"name":"t1","api_keys":[""]}])", true},
        {R"(,"tenants":[{"name":"t1","api_keys":["k1"]}])", true},
    }));
    CAPTURE(tenants);
    const auto decoded = configuration_document{}.decode(
        R"({"version":7,"routes":[],"services":[])" + tenants + "}");
    INFO(std::string{decoded.status().message()});
    REQUIRE(decoded.ok());
    CHECK((*decoded)->requires_key() == requires_key);
    CHECK((*decoded)->find_organisation("") == nullptr);
    CHECK((*decoded)->find_organisation("k2") == nullptr);
}

// Guards against one malformed entry that makes the valid ones of the page be
// discarded.
TEST_CASE("malformed entries of the backend list are skipped and counted")
{
    const std::string valid_entry =
        R"({"service":"s","address":"10.0.0.9:80","zone":"z","slots":8,
            "state":"ready","id":"i-1","version":"v1","born":17})";
    const auto malformed = GENERATE(
        as<std::string>{}, R"({"service":"s"})", R"(7)", R"("x")", R"(null)",
        R"({"service":"s","address":"nowhere","zone":"z","slots":8,
            "state":"ready","id":"i-2","version":"v1"})",
        R"({"service":7,"address":"10.0.0.9:80","zone":"z","slots":8,
            "state":"ready","id":"i-2","version":"v1"})",
        R"({"service":"s","address":"10.0.0.9:80","zone":"z","slots":"8",
            "state":"ready","id":"i-2","version":"v1"})",
        R"({"service":"s","address":"10.0.0.9:80","zone":"z","slots":8,
            "state":"dreaming","id":"i-2","version":"v1"})",
        R"({"service":"s","address":"10.0.0.9:80","zone":"z","slots":8,
            "state":"ready","id":"i-2"})",
        "{\"service\":\"s\",\"address\":\"10.0.0.9:80\",\"zone\":\"z\","
        "\"slots\":8,\"state\":\"\xff\xfe\",\"id\":\"i-2\",\"version\":"
        "\"v1\"}");
    CAPTURE(malformed);
    const auto page = replica_list{}.decode_page(fmt::format(
        R"({{"instances":[{},{}],"next":"p-50"}})", malformed, valid_entry));
    REQUIRE(page.ok());
    CHECK(page->unreadable == 1);
    REQUIRE(page->backends.size() == 1);
    CHECK(page->backends[0].id == "i-1");
    CHECK(page->backends[0].version == "v1");
    CHECK(page->backends[0].address == numeric_address{"10.0.0.9", 80});
    CHECK(page->next_page == "p-50");
    CHECK(replica_list{}.page_target("p-50") == "/replicas?page_token=p-50");
    CHECK_FALSE(replica_list{}.decode_page("{\"instances\":").ok());
    CHECK_FALSE(replica_list{}.decode_page("[]").ok());
}

// Guards against one odd entry that ends the process, hides the other entries
// of its page or stops the paging, and against a value of such an entry that is
// used: a truncated number, or text that would end a line of a header.
TEST_CASE("an odd entry of the backend list costs only itself")
{
    const auto entry = [](std::string_view id, std::string_view port,
                          std::string_view slots, std::string_view members)
    { return fmt::format(entry_format, id, port, slots, members); };
    const std::string arrays =
        repeated("[", excessive_depth) + repeated("]", excessive_depth);
    const std::string objects = repeated("{\"a\":", excessive_depth) + "1" +
                                repeated("}", excessive_depth);
    const std::string digits(400, '9');
    const std::string zero_byte{"\"i\0 2\"", 6};
    const auto odd = GENERATE_COPY(
        as<std::string>{}, arrays, objects,
        entry("\"i-2\"", "80", "8", ",\"x\":" + arrays),
        entry("\"i-2\"", "80", "8", ",\"x\":" + objects),
        entry("\"i-2\"", "80", "1e999", ""),
        entry("\"i-2\"", "80", "8", ",\"born\":-1e999"),
        entry("\"i-2\"", "80", digits, ""),
        entry("\"i-2\"", "80", "8", ",\"x\":{\"y\":[" + digits + "]}"),
        entry("\"i-2\"", "80", "4294967297", ""),
        entry("\"i-2\"", "80", "-1", ""), entry("\"i-2\"", "80", "NaN", ""),
        entry("\"i-2\"", "0", "8", ""), entry("\"i-2\"", "65616", "8", ""),
        entry("\"i-2\"", "99999999999999999999", "8", ""),
        entry("\"i-2\"", "80\\u0000", "8", ""), entry("17", "80", "8", ""),
        entry("\"i\xff\xfe\"", "80", "8", ""),
        entry("\"i\\ud800\"", "80", "8", ""),
        entry("\"i\\u0000\"", "80", "8", ""), entry(zero_byte, "80", "8", ""),
        entry("\"i\\r\\nX: y\"", "80", "8", ""),
        entry("\"i-2\"", "80", "8", ",\"id\":\"i-3\""),
        entry("\"i-2", "80", "8", ""), entry("i-2\"", "80", "8", ""),
        entry("\"i-2\"", "80", "8", ",\"x\":[{\"y\":1},{\"z\":\"}]"),
        entry("\"i-2\"", "80", "8", ",\"x\":[1,2"), std::string{"{\"id\":"},
        std::string{"\xff\xfe{"}, std::string{});
    CAPTURE(odd.substr(0, 200));
    const std::string first = fmt::format(valid_format, "i-1");
    const std::string last = fmt::format(valid_format, "i-9");
    for (const auto& entries :
         {fmt::format("{},{},{}", odd, first, last),
          fmt::format("{},\n {},{}", first, odd, last),
          fmt::format("{},{},{}", first, last, odd)})
    {
        const auto page = replica_list{}.decode_page(fmt::format(
            R"({{"instances":[{}],"next":"p-50","total":1e999}})", entries));
        INFO(std::string{page.status().message()});
        REQUIRE(page.ok());
        CHECK(page->unreadable >= 1);
        REQUIRE(page->backends.size() == 2);
        CHECK(page->backends[0].id == "i-1");
        CHECK(page->backends[1].id == "i-9");
        CHECK(page->next_page == "p-50");
    }
}

// Guards against a token that ends the request line or the parameter, so that
// the next page is refused, or is another one.
TEST_CASE("the token of a page is encoded in the target of the call for it")
{
    const auto [token, target] = GENERATE(table<std::string, std::string>({
        {"", "/replicas"},
        {"p-50_a.b~c", "/replicas?page_token=p-50_a.b~c"},
        {"a b&c=d+e#f%", "/replicas?page_token=a%20b%26c%3Dd%2Be%23f%25"},
        {"/?=\xc3\xa4", "/replicas?page_token=%2F%3F%3D%C3%A4"},
    }));
    CHECK(replica_list{}.page_target(token) == target);
}

// Guards against a page that was cut off and is taken for a complete one, which
// would drop the servers of its other half and of all further pages.
TEST_CASE("a damaged page of the backend list is refused")
{
    const auto text = GENERATE(
        as<std::string>{}, R"({"instances":[],"next":"p)",
        R"({"instances":[]})"
        "x",
        R"({"instances":[],"instances":[],"next":null})",
        R"({"instances":[7,{"next":null})", R"({"instances":[{"id":"i],"next)",
        R"({"instances":[],"next":7})", R"({"instances":7,"next":null})",
        R"({"instances":[],"next":"p\n50"})", R"({"next":null})", "");
    CAPTURE(text);
    const auto page = replica_list{}.decode_page(text);
    REQUIRE_FALSE(page.ok());
    CHECK(kind_of(page.status()) == error_kind::invalid_request);
}

// Guards against a draining backend server that still counts as serving.
TEST_CASE("a draining entry of the backend list is leaving")
{
    const auto page = replica_list{}.decode_page(
        R"({"instances":[{"service":"s","address":"10.0.0.9:80","zone":"z",
            "slots":8,"state":"draining","id":"i-1","version":"v1"}],
            "next":null})");
    REQUIRE(page.ok());
    CHECK(page->backends.at(0).leaving);
    CHECK(page->next_page.empty());
}

// Guards against header fields that are stored in the wrong member or parsed
// incorrectly.
TEST_CASE("a caller's request is decoded")
{
    HTTPRequest request = caller_request();
    request.set("Last-Event-Id", "12");
    const auto call = request_fields{}.decode_request(request);
    REQUIRE(call.ok());
    CHECK(call->attempt_id == "9c41d07be2a35f68");
    CHECK(call->api_key == "k1");
    CHECK(call->caller_timeout == 12s);
    CHECK(call->prompt_tokens == 1460);
    CHECK(call->max_output_tokens == 80);
    REQUIRE(call->prompt.size() == 3);
    CHECK(call->prompt[1].id == 0x91bd3f06);
    CHECK(call->prompt[1].tokens == 410);
    CHECK(call->resume_after == 12U);
}

// Guards against unparsable header fields that are treated as zero.
TEST_CASE("errors name the unparsable header field")
{
    const auto [name, value] = GENERATE(table<std::string, std::string>({
        {"Request-Id", ""},
        {"Deadline-Ms", "soon"},
        {"Deadline-Ms", "-5"},
        {"Token-Count", "1,x"},
        {"Prompt-Prefix", "zz:1"},
        {"Prompt-Prefix", "5c"},
        {"Last-Event-Id", "1.5"},
    }));
    HTTPRequest request = caller_request();
    request.set(name, value);
    const auto call = request_fields{}.decode_request(request);
    REQUIRE_FALSE(call.ok());
    CHECK_THAT(std::string{call.status().message()}, Catch::Contains(name));
}

// Guards against API keys and reserved fields of callers that are forwarded to
// a backend server, and against other fields that are changed or dropped.
TEST_CASE("a dispatched request replaces only the reserved fields")
{
    HTTPRequest request = caller_request();
    for (const char* name :
         {"Tenant", "Hold", "Pin-Ms", "Kv-Fetch", "Kv-Backup", "Kv-From",
          "Expect-Instance", "Expect-Version", "Request-Priority", "X-Hop",
          "Keep-Alive", "Transfer-Encoding", "Expect"})
    {
        request.set(name, "from-caller");
    }
    request.set("Connection", "x-hop, keep-alive");
    request.set("Model", "m");
    dispatch_instructions instructions;
    instructions.backend_server = "i-7";
    instructions.organisation = "t1";
    instructions.time_left = 900ms;
    instructions.resume_after = 4;
    instructions.urgency = 12;
    instructions.prefix_source = numeric_address{"10.0.0.9", 80};
    const std::string head =
        request_fields{}.encode_dispatch(request, 5, instructions);
    CHECK(head.starts_with("POST /a/x?q=1 HTTP/1.1\r\nHost: h.example\r\n"));
    CHECK(head.ends_with("\r\n\r\n"));
    for (const char* line :
         {"Request-Id: 9c41d07be2a35f68", "Model: m", "Token-Count: 1460,80",
          "Prompt-Prefix: 5c1e07a2:800,91bd3f06:410,e4402b7d:250",
          "Content-Length: 5", "Expect-Instance: i-7", "Tenant: t1",
          "Deadline-Ms: 900", "Kv-Fetch: 10.0.0.9:80", "Last-Event-Id: 4",
          "Request-Priority: 9"})
    {
        CHECK_THAT(head, Catch::Contains(fmt::format("\r\n{}\r\n", line)));
    }
    CHECK_THAT(head, !Catch::Contains("from-caller"));
    CHECK_THAT(head, !Catch::Contains("k1"));
    CHECK_THAT(head, !Catch::Contains("Connection"));
}

// Guards against a response that counts as signed, not executed or misdirected
// without the field or status that says so.
TEST_CASE("a backend server's response is decoded")
{
    HTTPResponse response{HTTPResponse::HTTP_OK};
    response.set("Request-Id", "a1");
    CHECK_FALSE(request_fields{}.decode_response(response).sealed);
    response.set("Reply-Seal", "3e1b");
    response.set("Server-Load", "3,1,8");
    response.set("Keep-Alive", "max=100, timeout=5");
    const backend_response_info answer =
        request_fields{}.decode_response(response);
    CHECK(answer.attempt_id == "a1");
    CHECK(answer.sealed);
    CHECK_FALSE(answer.not_run);
    CHECK_FALSE(answer.wrong_server);
    CHECK_FALSE(answer.altered);
    CHECK(answer.load->running == 3);
    CHECK(answer.load->waiting == 1);
    CHECK(answer.load->work_time_percent == 100);
    // Some services also report the work time.
    response.set("Server-Load", "3,1,8,250");
    const auto load_with_work_time =
        request_fields{}.decode_response(response).load;
    REQUIRE(load_with_work_time);
    CHECK(load_with_work_time->slots == 8);
    CHECK(load_with_work_time->work_time_percent == 250);
    response.set("Server-Load", "3,1,8,x");
    CHECK_FALSE(request_fields{}.decode_response(response).load);
    CHECK(answer.idle_timeout == 5s);
    response.set("Server-Load", "3,x");
    response.set("Content-Encoding", "gzip");
    response.set("Not-Run", "1");
    CHECK_FALSE(request_fields{}.decode_response(response).load);
    CHECK(request_fields{}.decode_response(response).altered);
    CHECK(request_fields{}.decode_response(response).not_run);
    HTTPResponse misdirected{static_cast<HTTPResponse::HTTPStatus>(421)};
    CHECK(request_fields{}.decode_response(misdirected).wrong_server);
}

// Guards against ignoring a backend server that is leaving or declines requests
// for some time, and against using a malformed or irrelevant Retry-After.
TEST_CASE("Server-Leaving and Retry-After of a response are decoded")
{
    struct row
    {
        int status;
        std::string leaving;
        std::string retry_after;
        bool is_leaving;
        std::optional<duration> declines_for;
    };
    const auto tested = GENERATE(
        row{200, "1", "", true, {}}, row{503, "1", "2", true, 2s},
        row{503, "", "0.25", false, 250ms}, row{503, "0", " 3 ", false, 3s},
        row{429, "", "2", false, {}}, row{200, "", "2", false, {}},
        row{503, "", "-1", false, {}}, row{503, "", "soon", false, {}},
        row{503, "", "1e3", false, {}}, row{503, "", "nan", false, {}},
        row{503, "", "inf", false, {}},
        row{503, "", "99999999999999999999", false, 24h});
    CAPTURE(tested.status, tested.leaving, tested.retry_after);
    HTTPResponse response{static_cast<HTTPResponse::HTTPStatus>(tested.status)};
    for (const auto& [name, value] :
         {std::pair{"Server-Leaving", tested.leaving},
          std::pair{"Retry-After", tested.retry_after}})
    {
        if (!value.empty())
        {
            response.set(name, value);
        }
    }
    const backend_response_info answer =
        request_fields{}.decode_response(response);
    CHECK(answer.leaving == tested.is_leaving);
    CHECK(answer.declines_for == tested.declines_for);
}

// Guards against overlooking the limit of a backend server, and against taking
// a malformed one for none.
TEST_CASE("Server-Limit of a response is decoded")
{
    struct row
    {
        std::string text;
        bool names_limit;
        std::optional<double> limit;
    };
    const auto tested = GENERATE(
        row{"", false, {}}, row{"4.25", true, 4.25}, row{" 3 ", true, 3.0},
        row{"0", true, 0.0}, row{"-1", true, {}}, row{"many", true, {}},
        row{"inf", true, {}}, row{"infinity", true, {}}, row{"4.2;", true, {}});
    CAPTURE(tested.text);
    HTTPResponse response{HTTPResponse::HTTP_OK};
    if (!tested.text.empty())
    {
        response.set("Server-Limit", tested.text);
    }
    const backend_response_info answer =
        request_fields{}.decode_response(response);
    CHECK(answer.names_request_limit == tested.names_limit);
    CHECK(answer.request_limit == tested.limit);
}

// Guards against overlooking that a backend server is brittle, and against
// taking an unreadable number for the end of that state.
TEST_CASE("Server-Brittle of a response is decoded")
{
    struct row
    {
        std::string text;
        bool is_brittle;
        std::optional<double> tolerated;
    };
    const auto tested = GENERATE(
        row{"", false, {}}, row{"12", true, 12.0}, row{" 2.5", true, 2.5},
        row{"0", true, 0.0}, row{"-3", true, {}}, row{"nan", true, {}},
        row{"1e3", true, {}}, row{"5,", true, {}});
    CAPTURE(tested.text);
    HTTPResponse response{HTTPResponse::HTTP_SERVICE_UNAVAILABLE};
    if (!tested.text.empty())
    {
        response.set("Server-Brittle", tested.text);
    }
    const backend_response_info answer =
        request_fields{}.decode_response(response);
    CHECK(answer.names_rejections_tolerated == tested.is_brittle);
    CHECK(answer.rejections_tolerated == tested.tolerated);
}

// Guards against an operator's request that is mapped to the wrong action.
TEST_CASE("operator requests are mapped to actions")
{
    const auto [method, target, action] =
        GENERATE(table<std::string, std::string, operator_action>({
            {"PUT", "/config", operator_action::file_configuration},
            {"GET", "/config", operator_action::read_configuration},
            {"POST", "/config", operator_action::unknown},
            {"GET", "/configs", operator_action::unknown},
            {"POST", "/evacuation/zone-a", operator_action::evacuate},
            {"DELETE", "/evacuation/zone-a", operator_action::end_evacuation},
            {"PUT", "/evacuation/zone-a", operator_action::unknown},
            {"POST", "/evacuation/", operator_action::unknown},
        }));
    CHECK(
        control_calls{}.action_of(HTTPRequest{method, target, "HTTP/1.1"}) ==
        action);
}

// Guards against a cold server that is taken for a warm one, and against an
// entry that is used though the field can't be read.
TEST_CASE("the list says which servers are cold")
{
    const auto [remaining, is_cold, is_readable] =
        GENERATE(table<std::string, bool, bool>({
            {"0", false, true},
            {"1", true, true},
            {"2500", true, true},
            {"null", false, true},
            {"-1", false, false},
            {R"("soon")", false, false},
        }));
    CAPTURE(remaining);
    const auto page = replica_list{}.decode_page(fmt::format(
        R"({{"instances":[{{"id":"i-1","service":"s","address":"10.0.0.9:80",
"zone":"z","slots":8,"state":"ready","version":"v1",
"cold_remaining_ms":{}}}],"next":null}})",
        remaining));
    REQUIRE(page.ok());
    REQUIRE(page->backends.size() == (is_readable ? 1U : 0U));
    if (is_readable)
    {
        CHECK(page->backends[0].cold == is_cold);
    }
}

TEST_CASE("the rate for cold servers of a service is a number")
{
    const auto [rate, decoded_rate] = GENERATE(table<std::string, double>({
        {"8.7", 8.7},
        {"3", 3.0},
        {"0", 0.0},
        {"null", 0.0},
        {"-1", -1.0},
        {R"("8")", -1.0},
    }));
    CAPTURE(rate);
    const auto decoded = configuration_document{}.decode(fmt::format(
        R"({{"version":7,"routes":[],"services":[{{"name":"llm",
"max_connections":5,"cold_per_s":{}}}]}})",
        rate));
    REQUIRE(decoded.ok() == (decoded_rate >= 0));
    if (decoded.ok())
    {
        CHECK(
            (*decoded)->services()[0].cold_requests_per_second == decoded_rate);
    }
}

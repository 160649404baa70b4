#include "common/buffered_log_sink.hpp"

#include <catch2/catch.hpp>
#include <unistd.h>

#include <array>
#include <string>

using namespace hickorygap;

namespace
{

// A pipe whose read end the test uses.
struct log_pipe
{
    log_pipe()
    {
        REQUIRE(::pipe(ends.data()) == 0);
    }
    ~log_pipe()
    {
        ::close(ends[0]);
        ::close(ends[1]);
    }

    std::string read() const
    {
        std::string text(std::size_t{1} << 17U, '\0');
        const ssize_t count = ::read(ends[0], text.data(), text.size());
        text.resize(count > 0 ? static_cast<std::size_t>(count) : 0);
        return text;
    }

    std::array<int, 2> ends{};
};

} // namespace

// Guards against an unbounded buffer when the reader is too slow, against
// dropped lines that are not reported, and against info lines that displace
// warnings.
TEST_CASE(
    "lines beyond the capacity are dropped and counted with warnings last")
{
    log_pipe pipe;
    buffered_log_sink sink{pipe.ends[1], 1000};
    const std::string line = std::string(99, 'x') + "\n";
    for (int i = 0; i < 20; ++i)
    {
        sink.write(log_level::info, line);
    }
    CHECK(sink.dropped() == 13);
    sink.write(log_level::warning, "kept\n");
    CHECK(sink.dropped() == 13);
    sink.flush();
    CHECK_THAT(pipe.read(), Catch::EndsWith("kept\n"));
    sink.flush();
    CHECK_THAT(pipe.read(), Catch::Contains("log_lines_dropped count=13"));
}

// Guards against a thread that serves requests and is blocked by a full log
// pipe that nobody reads.
TEST_CASE("a full pipe does not block the writer")
{
    log_pipe pipe;
    buffered_log_sink sink{pipe.ends[1]};
    const std::string line = std::string(999, 'x') + "\n";
    for (int i = 0; i < 500; ++i)
    {
        sink.write(log_level::info, line);
        sink.flush();
    }
    CHECK(sink.dropped() > 0);
}

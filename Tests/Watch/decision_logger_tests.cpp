#include "Support/test_time.h"
#include "Watch/decision_logger.h"

#include <array>
#include <doctest/doctest.h>
#include <fcntl.h>
#include <nlohmann/json.hpp>
#include <sstream>
#include <unistd.h>

using namespace sagesaddle;

namespace {

using testing::start;

struct pipe_ends {
    std::array<int, 2> ends {};

    pipe_ends() { REQUIRE(::pipe2(ends.data(), O_CLOEXEC) == 0); }
    ~pipe_ends()
    {
        ::close(ends[0]);
        ::close(ends[1]);
    }
    pipe_ends(const pipe_ends&) = delete;
    pipe_ends& operator=(const pipe_ends&) = delete;

    std::vector<nlohmann::json> lines() const
    {
        fcntl(ends[0], F_SETFL, O_NONBLOCK);
        std::string text;
        std::array<char, 4096> part {};
        for (ssize_t taken = 0; (taken = ::read(ends[0], part.data(), part.size())) > 0;)
            text.append(part.data(), static_cast<std::size_t>(taken));
        std::vector<nlohmann::json> values;
        std::istringstream in(text);
        for (std::string line; std::getline(in, line);)
            values.push_back(nlohmann::json::parse(line));
        return values;
    }
};

} // namespace

TEST_CASE("decision log: each line is one JSON object with its kind and fields")
{
    const pipe_ends pipe;
    decision_logger lines(pipe.ends[1], log_level::Info);
    lines.write(log_level::Info, "answered", { { "id", "r1" }, { "status", 200 } }, start);
    lines.write(log_level::Debug, "sent", {}, start);
    const auto written = pipe.lines();
    REQUIRE(written.size() == 1);
    CHECK(written.at(0).at("message") == "answered");
    CHECK(written.at(0).at("status") == 200);
}

TEST_CASE("decision log: lines over the rate limit of their kind are dropped and counted, failures last")
{
    const pipe_ends pipe;
    decision_logger lines(pipe.ends[1], log_level::Info, { 1, 3 }, { 1, 50 });
    for (int line = 0; line < 20; ++line) {
        lines.write(log_level::Info, "answered", {}, start);
        lines.write(log_level::Warning, "ended", {}, start);
    }
    CHECK(lines.droppedLines() == 17);
    lines.write(log_level::Info, "answered", {}, start + seconds(2));
    const auto written = pipe.lines();
    CHECK(written.size() == 3 + 20 + 1);
    CHECK(written.back().at("left_out") == 17);
}

TEST_CASE("decision log: a reader that does not read never blocks the writer")
{
    const pipe_ends pipe;
    decision_logger lines(pipe.ends[1], log_level::Info, { 1e9, 1e9 });
    const std::string filler(1000, 'x');
    for (int line = 0; line < 1000; ++line)
        lines.write(log_level::Info, "answered", { { "filler", filler } }, start + milliseconds(line));
    CHECK(lines.droppedLines() > 0);
    const auto before = pipe.lines();
    CHECK_FALSE(before.empty());
    // The pipe has room again: the rest of the line that was cut is written first, so that each line stays
    // whole.
    lines.write(log_level::Info, "answered", {}, start + seconds(2));
    lines.write(log_level::Info, "answered", {}, start + seconds(2));
    CHECK_FALSE(pipe.lines().empty());
}

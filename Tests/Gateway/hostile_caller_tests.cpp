#include "Gateway/platform_checks.h"

#include <cstdlib>
#include <filesystem>
#include <fstream>

using namespace sagesaddle;

namespace {

// Stated memory of the gateway's host in MB: `limits.memory_mb`.
constexpr std::size_t memoryMegabytes = 48;
#ifdef __SANITIZE_ADDRESS__
// The address sanitizer keeps shadow memory and red zones beside each allocation.
constexpr std::size_t peakBoundKilobytes = 4 * memoryMegabytes * 1024;
#else
constexpr std::size_t peakBoundKilobytes = memoryMegabytes * 1024;
#endif
// The gateway's default for `limits.descriptors`.
constexpr std::size_t descriptorBound = 1024;
constexpr std::size_t maxBodyBytes = 1048576;
constexpr int bodyCrowd = 100;
constexpr int headCrowd = 300;
constexpr int fieldsOfHead = 5000;
constexpr int pipelineCrowd = 12;
// Time for which nothing moves any more once a crowd has settled, and the longest time for that.
constexpr milliseconds quietTime { 500 };
constexpr milliseconds longestLoad { 8000 };

/// A connection that sends what it is told and reads only if it is told to.
struct hostile_caller {
    hostile_caller(event_loop& loop, std::uint16_t port, bool reads)
        : stream(std::make_unique<tcp_stream>(loop, address { "127.0.0.1", port }, milliseconds(30000)))
    {
        stream->setHandlers({ {}, [this] { stream->consume(stream->readable().size()); }, {},
            [this](stream_end) {
                isClosed = true;
                stream->close();
            } });
        stream->setReadPaused(!reads);
    }

    std::unique_ptr<tcp_stream> stream;
    bool isClosed { false };
};

class hostile_crowd {
public:
    hostile_crowd()
    {
#ifdef __SANITIZE_ADDRESS__
        const char* const given = std::getenv("ASAN_OPTIONS");
        const std::string options = given == nullptr ? "" : std::string(given) + ":";
        setenv("ASAN_OPTIONS", (options + "quarantine_size_mb=1").c_str(), 1);
#endif
        fixture.maxBodyBytes = maxBodyBytes;
        // A build from before the setting existed is run without it.
        if (std::getenv("SAGESADDLE_NO_MEMORY_LIMIT") == nullptr)
            fixture.moreSettings = "[limits]\nmemory_mb = " + std::to_string(memoryMegabytes) + "\n";
        startPlatform(fixture, 1);
    }

    std::uint16_t callerPort()
    {
        return gateway().callers.port;
    }
    std::uint16_t readinessPort()
    {
        return gateway().readiness.port;
    }

    void add(std::uint16_t port, const std::string& bytes, bool reads = true)
    {
        m_callers.push_back(std::make_unique<hostile_caller>(fixture.loop, port, reads));
        m_callers.back()->stream->write(bytes);
    }

    /// Sends bytes on all connections that are still open.
    void sendAll(const std::string& bytes)
    {
        for (const auto& caller : m_callers) {
            if (!caller->isClosed)
                caller->stream->write(bytes);
        }
    }

    /// Runs until no more bytes are taken.
    void settle()
    {
        const monotonic_time end = monotonicNow() + longestLoad;
        std::size_t last = 0;
        monotonic_time changedAt = monotonicNow();
        while (monotonicNow() < end && monotonicNow() - changedAt < quietTime) {
            loopFor(fixture.loop, milliseconds(20));
            std::size_t pending = 0;
            for (const auto& caller : m_callers)
                pending += caller->isClosed ? 0 : caller->stream->unwritten();
            if (std::exchange(last, pending) != pending)
                changedAt = monotonicNow();
        }
    }

    /// Checks the process under the crowd, and that it still answers an ordinary request.
    void check()
    {
        settle();
        checkProcess();
        // The crowd is still connected.
        CHECK(loopUntil(fixture.loop, [&] {
            const auto& attempt = fixture.send(gateway(), "/safe/");
            return fixture.waitEnd(attempt) && attempt.caller->status() == 200;
        }));
        CHECK(loopUntil(fixture.loop, [&] { return fixture.readiness(gateway()) == 200; }));
        checkProcess();
        checkNoViolations(fixture);
    }

    platform_fixture fixture;

private:
    platform_fixture::gateway_process& gateway()
    {
        return fixture.gateways.at(0);
    }

    std::filesystem::path processFolder()
    {
        return std::filesystem::path("/proc") / std::to_string(gateway().process->pid());
    }

    /// \return the most memory that the process had resident so far; 0 if it is not known.
    std::size_t peakKilobytes()
    {
        std::ifstream status(processFolder() / "status");
        std::size_t peak = 0;
        for (std::string word; status >> word;) {
            if (word == "VmHWM:")
                status >> peak;
        }
        return peak;
    }

    std::size_t descriptorCount()
    {
        return static_cast<std::size_t>(
            std::distance(std::filesystem::directory_iterator(processFolder() / "fd"),
                std::filesystem::directory_iterator()));
    }

    void checkProcess()
    {
        REQUIRE(gateway().process->isRunning());
        const std::size_t peak = peakKilobytes();
        const std::size_t descriptors = descriptorCount();
        MESSAGE("peak " << peak << " kB, descriptors " << descriptors);
        CHECK((peak > 0 && peak <= peakBoundKilobytes));
        CHECK(descriptors <= descriptorBound);
    }

    std::vector<std::unique_ptr<hostile_caller>> m_callers;
};

std::string headOf(const std::string& path, const std::string& fields)
{
    return "POST " + path + " HTTP/1.1\r\nHost: h\r\nRequest-Id: x\r\nKey: key-1\r\n" + fields + "\r\n";
}

std::string lengthOf(std::size_t bytes)
{
    return "Content-Length: " + std::to_string(bytes) + "\r\n";
}

std::string repeated(const std::string& text, std::size_t times)
{
    std::string out;
    out.reserve(text.size() * times);
    for (std::size_t time = 0; time < times; ++time)
        out += text;
    return out;
}

std::string chunkOf(std::size_t bytes)
{
    std::string out;
    appendChunk(out, std::string(bytes, 'x'));
    return out;
}

const std::string shortFields = repeated("x: y\r\n", fieldsOfHead);

/// Where a load is sent: the path of a route, a path without one, and the readiness address.
enum class load_target { Route, NoRoute, Readiness };

void runOnEach(const std::function<void(hostile_crowd&, std::uint16_t port, const std::string& path)>& load)
{
    for (const auto target : { load_target::Route, load_target::NoRoute, load_target::Readiness }) {
        CAPTURE(static_cast<int>(target));
        hostile_crowd crowd;
        load(crowd, target == load_target::Readiness ? crowd.readinessPort() : crowd.callerPort(),
            target == load_target::Route ? "/safe/x" : "/nowhere/x");
        crowd.check();
    }
}

} // namespace

TEST_CASE("hostile callers: bodies sent in one piece that stop a byte short of the end stay in the budget")
{
    runOnEach([](hostile_crowd& crowd, std::uint16_t port, const std::string& path) {
        const std::string request = headOf(path, lengthOf(maxBodyBytes)) + std::string(maxBodyBytes - 1, 'x');
        for (int caller = 0; caller < bodyCrowd; ++caller)
            crowd.add(port, request);
    });
}

TEST_CASE("hostile callers: bodies sent in small pieces that stop a byte short of the end stay in the budget")
{
    runOnEach([](hostile_crowd& crowd, std::uint16_t port, const std::string& path) {
        constexpr std::size_t pieces = 64;
        for (int caller = 0; caller < bodyCrowd; ++caller)
            crowd.add(port, headOf(path, lengthOf(maxBodyBytes)));
        for (std::size_t piece = 0; piece < pieces; ++piece) {
            crowd.sendAll(std::string(maxBodyBytes / pieces - (piece == 0 ? 1 : 0), 'x'));
            loopFor(crowd.fixture.loop, milliseconds(10));
        }
    });
}

TEST_CASE("hostile callers: bodies in chunks without the last chunk stay in the budget")
{
    runOnEach([](hostile_crowd& crowd, std::uint16_t port, const std::string& path) {
        const std::string request
            = headOf(path, "Transfer-Encoding: chunked\r\n") + repeated(chunkOf(8192), maxBodyBytes / 8192);
        for (int caller = 0; caller < bodyCrowd; ++caller)
            crowd.add(port, request);
    });
}

TEST_CASE("hostile callers: bodies in chunks of one byte without the last chunk stay in the budget")
{
    runOnEach([](hostile_crowd& crowd, std::uint16_t port, const std::string& path) {
        const std::string request
            = headOf(path, "Transfer-Encoding: chunked\r\n") + repeated(chunkOf(1), maxBodyBytes / 16);
        for (int caller = 0; caller < bodyCrowd; ++caller)
            crowd.add(port, request);
    });
}

TEST_CASE("hostile callers: bodies over the limit and without end are refused within the budget")
{
    runOnEach([](hostile_crowd& crowd, std::uint16_t port, const std::string& path) {
        const std::string request
            = headOf(path, "Transfer-Encoding: chunked\r\n") + repeated(chunkOf(65536), 64);
        for (int caller = 0; caller < bodyCrowd / 4; ++caller) {
            crowd.add(port, request);
            crowd.add(port, headOf(path, lengthOf(8 * maxBodyBytes)) + std::string(2 * maxBodyBytes, 'x'));
        }
    });
}

TEST_CASE("hostile callers: unfinished heads of very many short fields are counted at their real cost")
{
    runOnEach([](hostile_crowd& crowd, std::uint16_t port, const std::string& path) {
        const std::string head = "POST " + path + " HTTP/1.1\r\n" + shortFields;
        for (int caller = 0; caller < headCrowd; ++caller)
            crowd.add(port, head);
    });
}

TEST_CASE(
    "hostile callers: complete heads of very many short fields are counted while their bodies are missing")
{
    runOnEach([](hostile_crowd& crowd, std::uint16_t port, const std::string& path) {
        const std::string request = headOf(path, lengthOf(10) + shortFields) + "x";
        for (int caller = 0; caller < headCrowd; ++caller)
            crowd.add(port, request);
    });
}

TEST_CASE("hostile callers: pipelined requests are not run while the answers before them are unread")
{
    runOnEach([](hostile_crowd& crowd, std::uint16_t port, const std::string& path) {
        const bool isReadiness = port == crowd.readinessPort();
        // The id comes back with each answer of the gateway itself; the readiness address answers without it.
        const std::string request = isReadiness
            ? "GET / HTTP/1.1\r\n\r\n"
            : "GET " + path + " HTTP/1.1\r\nHost: h\r\nRequest-Id: " + std::string(8000, 'i') + "\r\n\r\n";
        const std::string requests = repeated(request, isReadiness ? 300000 : 1500);
        for (int caller = 0; caller < pipelineCrowd; ++caller)
            crowd.add(port, requests, false);
    });
}

TEST_CASE("hostile callers: callers that send or read slowly or stop half-way leave room for others")
{
    runOnEach([](hostile_crowd& crowd, std::uint16_t port, const std::string& path) {
        for (int caller = 0; caller < bodyCrowd; ++caller) {
            crowd.add(port, "POST " + path + " HTT");
            crowd.add(port, headOf(path, lengthOf(maxBodyBytes)) + std::string(maxBodyBytes / 2, 'x'), false);
        }
        for (int round = 0; round < 20; ++round) {
            crowd.sendAll("x");
            loopFor(crowd.fixture.loop, milliseconds(20));
        }
    });
}

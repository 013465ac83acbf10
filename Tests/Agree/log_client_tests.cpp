#include "Agree/fake_log_server.h"
#include "Support/free_port.h"

#include <doctest/doctest.h>
#include <thread>

using namespace sagesaddle;
using namespace sagesaddle::testing;

namespace {

// Returns the error that a call throws.
template <typename Call> log_error errorOf(Call call)
{
    try {
        call();
    } catch (const log_error& error) {
        return error;
    }
    FAIL("the call did not fail");
    throw std::logic_error("not reached");
}

} // namespace

TEST_CASE("log client: reads what was appended")
{
    fake_log_server log;
    log_client client(log.first(), seconds(2));
    CHECK(client.append("s", { "a", "b" }) == log_range { 0, 2 });
    CHECK(client.append("s", { "c" }) == log_range { 2, 3 });
    CHECK(client.read("s", 1, 10, milliseconds(0)) == log_batch { 1, 3, 3, 0, { "b", "c" } });
}

TEST_CASE("log client: an append whose answer is lost may have run, a rejected one has not")
{
    fake_log_server log;
    log_client client(log.first(), seconds(2));
    log.setFaults(R"({"lose_answers":1})");
    CHECK(errorOf([&] { client.append("s", { "a" }); }).ran() == verdict::MayHaveRun);
    log.setFaults(R"({"away":true})");
    const log_error unavailable = errorOf([&] { client.append("s", { "b" }); });
    CHECK(unavailable.failure() == log_failure::Unreachable);
    CHECK(unavailable.ran() == verdict::NotRun);
    log.setFaults(R"({"away":false})");
    CHECK(client.read("s", 0, 10, milliseconds(0)).records == std::vector<std::string> { "a" });
}

TEST_CASE("log client: a refused connection is unreachable and not run")
{
    log_client client(freeAddress(), milliseconds(500));
    const log_error error = errorOf([&] { client.append("s", { "a" }); });
    CHECK(error.failure() == log_failure::Unreachable);
    CHECK(error.ran() == verdict::NotRun);
}

TEST_CASE("log client: a read of lapsed records reports the first offset left")
{
    fake_log_server log;
    log_client client(log.first(), seconds(2));
    log.setFaults(R"({"retain":2})");
    client.append("s", { "a", "b", "c" });
    const log_error error = errorOf([&] { client.read("s", 0, 10, milliseconds(0)); });
    CHECK(error.failure() == log_failure::Lapsed);
    CHECK(error.earliestOffset() == 1);
}

TEST_CASE("log client: may be used from several threads")
{
    fake_log_server log;
    log_client client(log.first(), seconds(5));
    std::vector<std::thread> threads;
    threads.reserve(4);
    for (int thread = 0; thread < 4; ++thread)
        threads.emplace_back([&] {
            for (int count = 0; count < 10; ++count)
                client.append("s", { "x" });
        });
    for (std::thread& thread : threads)
        thread.join();
    CHECK(client.read("s", 0, 100, milliseconds(0)).end == 40);
}

TEST_CASE("log client: stopping ends a waiting read")
{
    fake_log_server log;
    log_client client(log.first(), seconds(2));
    std::thread reader([&] { CHECK_THROWS_AS(client.read("s", 0, 10, seconds(60)), log_error); });
    client.stop();
    reader.join();
}

#include "Support/calls.h"
#include "Support/fleet.h"

#include <doctest/doctest.h>
#include <future>

using namespace sagesaddle;
using namespace sagesaddle::testing;

TEST_CASE("answers: a plain answer that breaks off is delivered whole or refused, never truncated")
{
    fleet fleet({ .engines = 1 });
    setFaults(fleet.engine(0).listen, { { "cut_answers", 1 } });
    const chat_call call { .prompt = "oak saddle with a long list of words", .tokens = 40 };
    const http_response answer = chat(fleet.entry(0).listen, "walkin", call);
    INFO(answer.body);
    if (answer.status == 200)
        CHECK(textOf(answer) == expectedText(call));
    else
        CHECK(problemMember(answer, "verdict") == "may_have_run");

    setFaults(fleet.service(0).listen, { { "cut_answers", 1 } });
    const http_response order = callService(fleet.entry(0).listen, "walkin", "/orders/a", "order-1");
    CHECK(order.status >= 500);
    CHECK(problemMember(order, "verdict") == "may_have_run");
}

TEST_CASE("answers: a stream that breaks ends with an error event and never looks complete")
{
    fleet fleet({ .engines = 2, .services = 0 });
    // The first engine breaks off the connection; the second ends its body regularly, but too early.
    for (const std::size_t i : { 0, 1 }) {
        setFaults(fleet.engine(i).listen, { { "cut_after_events", 3 }, { "cut_cleanly", i == 1 } });
        const std::string model = "model-" + std::to_string(i + 1);
        const http_response answer
            = chat(fleet.entry(0).listen, "walkin", { .model = model, .tokens = 20, .stream = true });
        INFO(answer.body);
        CHECK(answer.body.find("[DONE]") == std::string::npos);
        CHECK(answer.body.find("event: error") != std::string::npos);
        CHECK(answer.body.find("may_have_run") != std::string::npos);
    }
}

TEST_CASE("answers: of many callers with slow answers each gets its own")
{
    fleet fleet({ .engines = 1, .services = 0 });
    setFaults(fleet.engine(0).listen, { { "delay_answers_ms", 100 } });
    std::vector<std::pair<chat_call, std::future<http_response>>> answers;
    for (int i = 0; i < 24; ++i) {
        chat_call call { .prompt = "caller number " + std::to_string(i), .tokens = 6, .stream = i % 2 == 0 };
        const address& entry = fleet.entry(static_cast<std::size_t>(i) % 2).listen;
        answers.emplace_back(
            call, std::async(std::launch::async, [entry, call] { return chat(entry, "walkin", call); }));
    }
    for (auto& [call, answer] : answers)
        CHECK(textOf(answer.get()) == expectedText(call));
}

#include "Relay/event_splitter.h"

#include <doctest/doctest.h>

using sagesaddle::event_splitter;

TEST_CASE("event splitter: complete events are passed on and the rest waits, however the bytes are split")
{
    const std::string text = "id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\nid: 3\ndata: c";
    event_splitter cutter;
    std::string passed;
    for (const char byte : text)
        passed += cutter.feed({ &byte, 1 });
    CHECK(passed == "id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\n");
    CHECK(cutter.lastEventId() == "2");
    CHECK(cutter.hasPartial());
    cutter.dropPartial();
    CHECK(cutter.feed("id: 3\ndata: c\n\n") == "id: 3\ndata: c\n\n");
    CHECK(cutter.lastEventId() == "3");
    CHECK_FALSE(cutter.hasPartial());
}

TEST_CASE("event splitter: an event without an id keeps the last event id")
{
    event_splitter cutter;
    cutter.feed("id:9\ndata: a\n\ndata: b\n\n");
    CHECK(cutter.lastEventId() == "9");
}

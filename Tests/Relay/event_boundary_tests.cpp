#include "Relay/event_boundary.h"

#include <doctest/doctest.h>
#include <string>

using namespace sagesaddle;

TEST_CASE("event boundary: a stream is inside an event from its first byte to its blank line, in any pieces")
{
    for (const std::string& end : { std::string("\n\n"), std::string("\r\n\r\n") }) {
        const std::string stream = "id: 1" + end.substr(0, end.size() / 2) + "data: a" + end;
        event_boundary tested;
        CHECK_FALSE(tested.isInside());
        for (std::size_t index = 0; index < stream.size(); ++index) {
            tested.feed(std::string_view(stream).substr(index, 1));
            CHECK(tested.isInside() == (index + 1 < stream.size()));
        }
        tested.feed("\n\n");
        CHECK_FALSE(tested.isInside());
        tested.feed("data: b\n");
        CHECK(tested.isInside());
        tested.reset();
        CHECK_FALSE(tested.isInside());
    }
}

#include "Base/address.h"

#include <doctest/doctest.h>

#include <stdexcept>

using namespace sagesaddle;

TEST_CASE("address: parsing and formatting keep ip and port")
{
    CHECK(parseAddress("127.0.0.1:8080") == address { "127.0.0.1", 8080 });
    CHECK(formatAddress(parseAddress("10.1.2.3:65535")) == "10.1.2.3:65535");
}

TEST_CASE("address: invalid texts are rejected")
{
    for (const char* text :
        { "", "127.0.0.1", "127.0.0.1:", "127.0.0.1:0", "127.0.0.1:65536", "host:80", "127.0.0.1:80x" })
        CHECK_THROWS_AS(parseAddress(text), std::invalid_argument);
}

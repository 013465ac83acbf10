#include "Once/claim_rules.h"
#include "Once/key_time.h"

#include <doctest/doctest.h>

using namespace sagesaddle;

namespace {

// The example of RFC 9562, made at 1645557742000 ms.
constexpr const char* timedKey = "017f22e2-79b0-7cc3-98c4-dc0c0c07398f";
constexpr std::uint64_t timedKeyMs = 1645557742000;
constexpr std::uint64_t hourMs = 3600 * 1000;

} // namespace

TEST_CASE("key time: a version 7 UUID contains the time when it was made, other keys do not")
{
    CHECK(keyTimeMs(timedKey) == timedKeyMs);
    CHECK_FALSE(keyTimeMs("order-7"));
    CHECK_FALSE(keyTimeMs("017f22e2-79b0-4cc3-98c4-dc0c0c07398f"));
    CHECK_FALSE(keyTimeMs("017f22e2-79b0-7cc3-c8c4-dc0c0c07398f"));
    CHECK_FALSE(keyTimeMs("017f22e2x79b0-7cc3-98c4-dc0c0c07398f"));
}

TEST_CASE("claim rules: no key is too old while nothing is forgotten")
{
    CHECK_FALSE(isKeyTooOld(timedKey, timedKeyMs + 1000 * hourMs, 0));
    CHECK_FALSE(isKeyTooOld("order-7", timedKeyMs, 0));
}

TEST_CASE("claim rules: a key with a time before the last forgotten claim's is too old")
{
    CHECK(isKeyTooOld(timedKey, timedKeyMs + 1000 * hourMs, timedKeyMs));
    CHECK(isKeyTooOld(timedKey, timedKeyMs + 1000 * hourMs, timedKeyMs - 1));
    CHECK_FALSE(isKeyTooOld(timedKey, timedKeyMs + 1000 * hourMs, timedKeyMs - hourMs));
}

TEST_CASE("claim rules: a key without a time is too old while its window may contain forgotten claims")
{
    CHECK(isKeyTooOld("order-7", timedKeyMs + 23 * hourMs, timedKeyMs));
    CHECK_FALSE(isKeyTooOld("order-7", timedKeyMs + 24 * hourMs, timedKeyMs));
}

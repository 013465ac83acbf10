#include "Limit/credit_account.h"
#include "Limit/share_token_bucket.h"
#include "Support/test_time.h"

#include <doctest/doctest.h>

using namespace sagesaddle;

namespace {

using testing::start;

share_token_bucket fullBucket()
{
    return { 100, 1000, 1000, start };
}

credit_settlement askOf(std::uint64_t id, token_count settled = 0, token_count returned = 0)
{
    return { "entry-a/1", id, settled, returned };
}

} // namespace

TEST_CASE("share token bucket: refills exactly with time, up to its burst")
{
    share_token_bucket bucket(100.0 / 3, 1000, 0, start);
    CHECK(bucket.level(start + milliseconds(29)) == 0);
    CHECK(bucket.level(start + seconds(3)) == 99);
    CHECK(bucket.level(start + milliseconds(3001)) == 100);
    CHECK(bucket.level(start + seconds(3600)) == 1000);
}

TEST_CASE("share token bucket: many short refills add up to one long refill")
{
    share_token_bucket inShortSteps(333.3, 100000, 0, start);
    share_token_bucket inOneStep(333.3, 100000, 0, start);
    for (int step = 1; step <= 10007; ++step)
        inShortSteps.level(start + std::chrono::microseconds(997 * step));
    const auto end = start + std::chrono::microseconds(997 * 10007);
    CHECK(inShortSteps.level(end) == inOneStep.level(end));
}

TEST_CASE("share token bucket: outstanding credit caps the refill")
{
    share_token_bucket bucket = fullBucket();
    CHECK(bucket.grant(askOf(1), 600, 0, start) == credit_debit { 600, 600 });
    CHECK(bucket.level(start + seconds(100)) == 400);
    CHECK(bucket.grant(askOf(2, 500), 0, 0, start + seconds(100)) == credit_debit { 0, 600 });
    CHECK(bucket.outstanding() == 100);
    CHECK(bucket.level(start + seconds(200)) == 900);
}

TEST_CASE("share token bucket: returned credit raises the level once, however often it is reported")
{
    share_token_bucket bucket = fullBucket();
    bucket.grant(askOf(1), 600, 0, start);
    for (int copy = 0; copy < 3; ++copy)
        bucket.grant(askOf(2, 600, 250), 0, 0, start);
    CHECK(bucket.outstanding() == 0);
    CHECK(bucket.level(start) == 650);
}

TEST_CASE("share token bucket: a duplicate or late ask debits nothing")
{
    share_token_bucket bucket = fullBucket();
    CHECK(bucket.grant(askOf(5), 100, 0, start).tokens == 100);
    CHECK(bucket.grant(askOf(5), 100, 0, start) == credit_debit { 0, 100 });
    CHECK(bucket.grant(askOf(4), 100, 0, start) == credit_debit { 0, 100 });
}

TEST_CASE(
    "share token bucket: credit that is written off frees room for the refill without raising the level")
{
    share_token_bucket bucket = fullBucket();
    bucket.grant(askOf(1), 600, 0, start);
    bucket.writeOff("entry-a/1", start);
    CHECK(bucket.outstanding() == 0);
    CHECK(bucket.level(start) == 400);
}

TEST_CASE("credit account: a grant includes earlier grants that were lost")
{
    credit_account account(10);
    account.onGrant(11, 300);
    CHECK(account.unspent() == 300);
    account.onGrant(11, 300);
    account.onGrant(10, 100);
    CHECK(account.unspent() == 300);
    CHECK(account.spend(250) == 250);
    account.returnTokens(100);
    CHECK(account.unspent() == 0);
    CHECK(account.settledTotal() == 300);
    CHECK(account.returnedTotal() == 50);
}

TEST_CASE("credit account: a grant for an ask that was sent before the account was opened is ignored")
{
    credit_account account(10);
    account.onGrant(9, 300);
    CHECK(account.unspent() == 0);
}

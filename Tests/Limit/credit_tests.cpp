#include "Limit/credit_account.h"
#include "Limit/share_token_bucket.h"
#include "Support/test_time.h"

#include <doctest/doctest.h>

using namespace sagesaddle;

namespace {

using testing::start;

share_token_bucket fullHolder()
{
    return { 100, 1000, 1000, start };
}

credit_settlement askOf(std::uint64_t id, token_count settled = 0, token_count returned = 0)
{
    return { "entry-a/1", id, settled, returned };
}

} // namespace

TEST_CASE("credit holder: refills by time up to its burst, exactly")
{
    share_token_bucket holder(100.0 / 3, 1000, 0, start);
    CHECK(holder.level(start + milliseconds(29)) == 0);
    CHECK(holder.level(start + seconds(3)) == 99);
    CHECK(holder.level(start + milliseconds(3001)) == 100);
    CHECK(holder.level(start + seconds(3600)) == 1000);
}

TEST_CASE("credit holder: many short refills add up to one long one")
{
    share_token_bucket often(333.3, 100000, 0, start);
    share_token_bucket once(333.3, 100000, 0, start);
    for (int step = 1; step <= 10007; ++step)
        often.level(start + std::chrono::microseconds(997 * step));
    const auto end = start + std::chrono::microseconds(997 * 10007);
    CHECK(often.level(end) == once.level(end));
}

TEST_CASE("credit holder: outstanding credit caps the refill")
{
    share_token_bucket holder = fullHolder();
    CHECK(holder.grant(askOf(1), 600, 0, start) == credit_debit { 600, 600 });
    CHECK(holder.level(start + seconds(100)) == 400);
    CHECK(holder.grant(askOf(2, 500), 0, 0, start + seconds(100)) == credit_debit { 0, 600 });
    CHECK(holder.outstanding() == 100);
    CHECK(holder.level(start + seconds(200)) == 900);
}

TEST_CASE("credit holder: credit given back returns to the level, once")
{
    share_token_bucket holder = fullHolder();
    holder.grant(askOf(1), 600, 0, start);
    for (int copy = 0; copy < 3; ++copy)
        holder.grant(askOf(2, 600, 250), 0, 0, start);
    CHECK(holder.outstanding() == 0);
    CHECK(holder.level(start) == 650);
}

TEST_CASE("credit holder: a doubled or late ask debits nothing")
{
    share_token_bucket holder = fullHolder();
    CHECK(holder.grant(askOf(5), 100, 0, start).tokens == 100);
    CHECK(holder.grant(askOf(5), 100, 0, start) == credit_debit { 0, 100 });
    CHECK(holder.grant(askOf(4), 100, 0, start) == credit_debit { 0, 100 });
}

TEST_CASE("credit holder: what is written off makes room and is not put back")
{
    share_token_bucket holder = fullHolder();
    holder.grant(askOf(1), 600, 0, start);
    holder.writeOff("entry-a/1", start);
    CHECK(holder.outstanding() == 0);
    CHECK(holder.level(start) == 400);
}

TEST_CASE("credit account: a lost grant comes with the next one")
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

TEST_CASE("credit account: a grant for an ask of an earlier account is ignored")
{
    credit_account account(10);
    account.onGrant(9, 300);
    CHECK(account.unspent() == 0);
}

#include "Route/retry_budget.h"

#include <doctest/doctest.h>

using sagesaddle::retry_budget;

TEST_CASE("retry budget: the reserve is spent first, then a share of the requests")
{
    retry_budget budget(0.25, 2);
    CHECK(budget.tryRetry());
    CHECK(budget.tryRetry());
    CHECK_FALSE(budget.tryRetry());
    int retries = 0;
    for (int request = 0; request < 400; ++request) {
        budget.onRequest();
        retries += budget.tryRetry() ? 1 : 0;
    }
    CHECK(retries == 100);
}

TEST_CASE("retry budget: the budget never exceeds the reserve")
{
    retry_budget budget(0.5, 3);
    for (int request = 0; request < 100; ++request)
        budget.onRequest();
    int retries = 0;
    while (budget.tryRetry())
        ++retries;
    CHECK(retries == 3);
}

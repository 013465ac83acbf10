#include "Once/claim_record.h"

#include <doctest/doctest.h>

using namespace sagesaddle;

TEST_CASE("claim record: each kind is read back as written")
{
    const key_claim claim { "run/1", hashClaimKey("ledger", "order-7"), 12345 };
    for (const claim_record& record :
        { claim_record(claim), claim_record(claim_release { "run/1", claim.keyHash }),
            claim_record(claim_snapshot_part { 9, 1, 2, 77, { claim } }) }) {
        const bool same = parseClaimRecord(formatClaimRecord(record)) == record;
        CHECK(same);
    }
}

TEST_CASE("claim record: malformed texts are rejected")
{
    for (const char* text :
        { "", "{", "[]", "{}", R"({"schema":2,"kind":"claim","body":{}})",
            R"({"schema":1,"kind":"other","body":{}})", R"({"schema":1,"kind":"claim","body":{"id":1}})",
            R"({"schema":1,"kind":"snapshot","body":{"through":1,"part":2,"parts":2,"forgotten_through_ms":0,"claims":[]}})" })
        CHECK_THROWS_AS(parseClaimRecord(text), claim_record_error);
}

TEST_CASE("claim record: a key belongs to one team")
{
    CHECK(hashClaimKey("a", "bc") != hashClaimKey("ab", "c"));
    CHECK(hashClaimKey("a", "b") == hashClaimKey("a", "b"));
}

#include "Once/claim_reader.h"
#include "Once/claim_table.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <algorithm>
#include <set>

using namespace sagesaddle;

namespace {

constexpr std::size_t capacity = 6;

// Reference model: a list of claims in the order of their offsets, searched in full for each record.
class naive_table {
public:
    claim_effect fold(const claim_record& record)
    {
        if (const auto* claim = std::get_if<key_claim>(&record))
            return add(*claim);
        if (const auto* release = std::get_if<claim_release>(&record)) {
            const auto sizeBefore = m_claims.size();
            std::erase_if(m_claims, [&](const key_claim& held) {
                return held.id == release->claimId && held.keyHash == release->keyHash;
            });
            return m_claims.size() < sizeBefore ? claim_effect::Released : claim_effect::None;
        }
        return claim_effect::None;
    }

private:
    claim_effect add(const key_claim& claim)
    {
        for (const key_claim& held : m_claims) {
            if (held.keyHash == claim.keyHash)
                return held.id == claim.id ? claim_effect::Repeated : claim_effect::Lost;
        }
        m_claims.push_back(claim);
        if (m_claims.size() > capacity)
            m_claims.erase(m_claims.begin());
        return claim_effect::Won;
    }

    std::vector<key_claim> m_claims;
};

rc::Gen<key_claim> genClaim()
{
    return rc::gen::map(
        rc::gen::pair(rc::gen::inRange(0, 12), rc::gen::inRange(0, 9)), [](const std::pair<int, int>& drawn) {
            return key_claim { "run/" + std::to_string(drawn.first), "key" + std::to_string(drawn.second),
                static_cast<std::uint64_t>(1000 + drawn.first) };
        });
}

rc::Gen<claim_record> genRecord()
{
    return rc::gen::weightedOneOf<claim_record>(
        { { 6, rc::gen::map(genClaim(), [](const key_claim& value) { return claim_record(value); }) },
            { 2, rc::gen::map(genClaim(), [](const key_claim& value) {
                 return claim_record(claim_release { value.id, value.keyHash });
             }) } });
}

// Returns the history as records, with a snapshot of its first `taken` records appended after `appended` of
// them.
std::vector<std::string> recordsWithSnapshot(
    const std::vector<claim_record>& history, std::size_t taken, std::size_t appended)
{
    std::vector<std::string> texts;
    claim_table table(capacity);
    std::vector<claim_snapshot_part> parts;
    for (std::size_t i = 0; i <= history.size(); ++i) {
        if (i == taken)
            parts = table.snapshot();
        if (i == appended) {
            for (const claim_snapshot_part& part : parts)
                texts.push_back(formatClaimRecord(part));
        }
        if (i < history.size()) {
            table.fold(i, history[i]);
            texts.push_back(formatClaimRecord(history[i]));
        }
    }
    return texts;
}

} // namespace

TEST_CASE("claim table: decides like a search through all claims")
{
    CHECK(rc::check("claim_table against naive_table", [] {
        const auto history = *rc::gen::container<std::vector<claim_record>>(genRecord());
        claim_table table(capacity);
        naive_table naive;
        for (std::size_t i = 0; i < history.size(); ++i)
            RC_ASSERT(table.fold(i, history[i]) == naive.fold(history[i]));
    }));
}

TEST_CASE("claim table: a snapshot and the records after it give the table of the whole history")
{
    CHECK(rc::check("claim_reader from a later start", [] {
        const auto history = *rc::gen::container<std::vector<claim_record>>(genRecord());
        const auto taken = *rc::gen::inRange<std::size_t>(0, history.size() + 1);
        const auto appended = *rc::gen::inRange<std::size_t>(taken, history.size() + 1);
        const auto texts = recordsWithSnapshot(history, taken, appended);
        const auto start = *rc::gen::inRange<std::size_t>(0, taken + 1);

        claim_reader whole(capacity, 0);
        for (const std::string& text : texts)
            whole.read(text);
        claim_reader late(capacity, start);
        for (std::size_t i = start; i < texts.size(); ++i)
            late.read(texts[i]);
        RC_ASSERT(late.isComplete());
        RC_ASSERT(late.nextOffset() == whole.nextOffset());
        RC_ASSERT(late.table() == whole.table());
    }));
}

TEST_CASE("claim table: no key is won twice without a release or being forgotten in between")
{
    CHECK(rc::check("one winner a key", [] {
        const auto history = *rc::gen::container<std::vector<claim_record>>(genRecord());
        claim_table table(1000);
        std::set<std::string> held;
        for (std::size_t i = 0; i < history.size(); ++i) {
            const claim_effect effect = table.fold(i, history[i]);
            if (effect == claim_effect::Won)
                RC_ASSERT(held.insert(std::get<key_claim>(history[i]).keyHash).second);
            if (effect == claim_effect::Released)
                held.erase(std::get<claim_release>(history[i]).keyHash);
        }
    }));
}

TEST_CASE("claim reader: where no snapshot is left, the lapsed claims count as forgotten")
{
    claim_reader reader(capacity, 5);
    reader.read(formatClaimRecord(key_claim { "run/1", "key1", 10 }));
    CHECK_FALSE(reader.isComplete());
    const auto folded = reader.startWithoutSnapshot(5000);
    REQUIRE(folded.size() == 1);
    CHECK((folded[0].effect == claim_effect::Won));
    CHECK(reader.table().forgottenThroughMs() == 5000);
    CHECK(reader.table().nextOffset() == 6);
}

TEST_CASE("claim reader: a malformed record only advances the offset")
{
    claim_reader reader(capacity, 0);
    CHECK(reader.read("no record").empty());
    CHECK(reader.read(formatClaimRecord(key_claim { "run/1", "key1", 10 })).size() == 1);
    CHECK(reader.nextOffset() == 2);
}

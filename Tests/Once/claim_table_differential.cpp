#include "Once/claim_reader.h"
#include "Once/claim_table.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <algorithm>
#include <set>

using namespace sagesaddle;

namespace {

constexpr std::size_t capacity = 6;

// Keeps every claim of the history in order and looks through all of them each time.
class naive_book {
public:
    claim_effect fold(const claim_record& record)
    {
        if (const auto* wanted = std::get_if<key_claim>(&record))
            return add(*wanted);
        if (const auto* given = std::get_if<claim_release>(&record)) {
            const auto before = m_held.size();
            std::erase_if(m_held, [&](const key_claim& held) {
                return held.id == given->claimId && held.keyHash == given->keyHash;
            });
            return m_held.size() < before ? claim_effect::Released : claim_effect::None;
        }
        return claim_effect::None;
    }

private:
    claim_effect add(const key_claim& wanted)
    {
        for (const key_claim& held : m_held) {
            if (held.keyHash == wanted.keyHash)
                return held.id == wanted.id ? claim_effect::Repeated : claim_effect::Lost;
        }
        m_held.push_back(wanted);
        if (m_held.size() > capacity)
            m_held.erase(m_held.begin());
        return claim_effect::Won;
    }

    std::vector<key_claim> m_held;
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

std::vector<std::string> withSnapshotAt(
    const std::vector<claim_record>& history, std::size_t taken, std::size_t appended)
{
    std::vector<std::string> texts;
    claim_table book(capacity);
    std::vector<claim_snapshot_part> parts;
    for (std::size_t i = 0; i <= history.size(); ++i) {
        if (i == taken)
            parts = book.snapshot();
        if (i == appended) {
            for (const claim_snapshot_part& part : parts)
                texts.push_back(formatClaimRecord(part));
        }
        if (i < history.size()) {
            book.fold(i, history[i]);
            texts.push_back(formatClaimRecord(history[i]));
        }
    }
    return texts;
}

} // namespace

TEST_CASE("claim book: it decides as a search through the whole history does")
{
    CHECK(rc::check("claim_book against naive_book", [] {
        const auto history = *rc::gen::container<std::vector<claim_record>>(genRecord());
        claim_table book(capacity);
        naive_book naive;
        for (std::size_t i = 0; i < history.size(); ++i)
            RC_ASSERT(book.fold(i, history[i]) == naive.fold(history[i]));
    }));
}

TEST_CASE("claim book: a snapshot and the tail give the book of the whole history")
{
    CHECK(rc::check("claim_reader from a later start", [] {
        const auto history = *rc::gen::container<std::vector<claim_record>>(genRecord());
        const auto taken = *rc::gen::inRange<std::size_t>(0, history.size() + 1);
        const auto appended = *rc::gen::inRange<std::size_t>(taken, history.size() + 1);
        const auto texts = withSnapshotAt(history, taken, appended);
        const auto start = *rc::gen::inRange<std::size_t>(0, taken + 1);

        claim_reader whole(capacity, 0);
        for (const std::string& text : texts)
            whole.read(text);
        claim_reader late(capacity, start);
        for (std::size_t i = start; i < texts.size(); ++i)
            late.read(texts[i]);
        RC_ASSERT(late.isWhole());
        RC_ASSERT(late.nextOffset() == whole.nextOffset());
        RC_ASSERT(late.book() == whole.book());
    }));
}

TEST_CASE("claim book: no key is won twice without a release or being forgotten between")
{
    CHECK(rc::check("one winner a key", [] {
        const auto history = *rc::gen::container<std::vector<claim_record>>(genRecord());
        claim_table book(1000);
        std::set<std::string> held;
        for (std::size_t i = 0; i < history.size(); ++i) {
            const claim_effect effect = book.fold(i, history[i]);
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
    CHECK_FALSE(reader.isWhole());
    const auto folded = reader.acceptLoss(5000);
    REQUIRE(folded.size() == 1);
    CHECK((folded[0].effect == claim_effect::Won));
    CHECK(reader.book().forgottenThroughMs() == 5000);
    CHECK(reader.book().nextOffset() == 6);
}

TEST_CASE("claim reader: a text that cannot be read takes its offset and no more")
{
    claim_reader reader(capacity, 0);
    CHECK(reader.read("no record").empty());
    CHECK(reader.read(formatClaimRecord(key_claim { "run/1", "key1", 10 })).size() == 1);
    CHECK(reader.nextOffset() == 2);
}

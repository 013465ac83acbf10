#include "Record/fold.h"
#include "Record/history.h"
#include "Record/log_record.h"
#include "Record/record_error.h"
#include "Record/record_folder.h"
#include "Record/side_view.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

using namespace sagesaddle;
using namespace sagesaddle::testing;

namespace {

// The last record of a random history, with up to three random edits: a byte replaced, the rest cut off, or
// some bytes repeated.
std::string damagedRecord()
{
    const auto step = rc::gen::container<history_step>(
        choicesPerStep, rc::gen::resize(rc::kNominalSize, rc::gen::arbitrary<std::uint8_t>()));
    std::string text = makeHistory(*rc::gen::container<std::vector<history_step>>(4, step)).back();
    const auto edits = *rc::gen::inRange(0, 4);
    for (int edit = 0; edit < edits && !text.empty(); ++edit) {
        const auto at = *rc::gen::inRange<std::size_t>(0, text.size());
        if (*rc::gen::arbitrary<bool>())
            text[at] = *rc::gen::arbitrary<char>();
        else if (*rc::gen::arbitrary<bool>())
            text.resize(at);
        else
            text.insert(at, text.substr(at, 20));
    }
    return text;
}

template <typename Parse> void parseOrReject(Parse parse)
{
    try {
        parse();
    } catch (const record_error&) {
        return;
    }
}

} // namespace

TEST_CASE("fold: any bytes advance the next offset by one")
{
    CHECK(rc::check(
        "any bytes", [](const std::string& bytes) { RC_ASSERT(fold({}, 0, bytes).state.nextOffset == 1U); }));
    CHECK(
        rc::check("damaged records", [] { RC_ASSERT(fold({}, 0, damagedRecord()).state.nextOffset == 1U); }));
}

TEST_CASE("record parser: any bytes give a record, or an error that says what is wrong")
{
    CHECK(rc::check("records", [] { parseOrReject([] { parseRecord(damagedRecord()); }); }));
    CHECK(rc::check("files", [](const std::string& bytes) {
        parseOrReject([&] {
            record_folder folder;
            parseRecordFile(bytes, "any.toml", folder);
        });
    }));
    CHECK(rc::check("views", [](const std::string& bytes) { parseOrReject([&] { parseSideView(bytes); }); }));
}

TEST_CASE("record parser: deep nesting is rejected")
{
    const std::string text = R"({"id":"a","schema":1,"kind":"x","body":)" + std::string(200000, '[');
    CHECK(fold({}, 0, text).outcome == fold_outcome::Malformed);
}

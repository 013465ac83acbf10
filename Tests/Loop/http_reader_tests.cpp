#include "Loop/http_reader.h"
#include "Support/damaged_statuses.h"

#include <doctest/doctest.h>
#include <string>
#include <vector>

using namespace sagesaddle;

namespace {

constexpr std::size_t maxHeadBytes = 512;

/// A reader and all that it reported.
struct recording_reader {
    std::vector<http_head> heads;
    std::string body;
    int ends { 0 };
    http_reader reader;

    explicit recording_reader(http_reader::message kind)
        : reader(kind, maxHeadBytes,
            { [this](http_head head) { heads.push_back(std::move(head)); },
                [this](std::string_view bytes) { body.append(bytes); }, [this] { ++ends; } })
    {
    }

    /// \return whether the text was accepted as exactly one complete request.
    static bool isRequest(const std::string& text)
    {
        recording_reader it(http_reader::message::Requests);
        return it.reader.feed(text) == text.size() && it.ends == 1 && !it.reader.failed();
    }
};

} // namespace

TEST_CASE("http reader: a message is read in any pieces, and reading stops at its end")
{
    const std::string first = "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\n\r\nhello";
    const std::string text = first + "GET /b HTTP/1.1\r\n\r\n";
    recording_reader it(http_reader::message::Requests);
    CHECK(it.reader.feed(text) == first.size());
    CHECK(it.ends == 1);
    CHECK(it.body == "hello");
    CHECK(it.reader.feed(std::string_view(text).substr(first.size())) == text.size() - first.size());
    CHECK(it.ends == 2);
    CHECK(it.heads.at(1).target == "/b");

    recording_reader pieces(http_reader::message::Requests);
    for (const char byte : first)
        pieces.reader.feed({ &byte, 1 });
    CHECK(pieces.ends == 1);
    CHECK(pieces.body == "hello");
    CHECK(*pieces.heads.at(0).find("host") == "h");
}

TEST_CASE("http reader: requests with an ambiguous length are rejected")
{
    CHECK(recording_reader::isRequest("POST / HTTP/1.1\r\nContent-Length: 2\r\n\r\nab"));
    CHECK_FALSE(
        recording_reader::isRequest("POST / HTTP/1.1\r\nContent-Length: 2\r\nContent-Length: 2\r\n\r\nab"));
    CHECK_FALSE(
        recording_reader::isRequest("POST / HTTP/1.1\r\nContent-Length: 2\r\nContent-Length: 0\r\n\r\nab"));
    CHECK_FALSE(recording_reader::isRequest("POST / HTTP/1.1\r\nContent-Length: 2, 2\r\n\r\nab"));
    CHECK_FALSE(recording_reader::isRequest("POST / HTTP/1.1\r\nContent-Length: +2\r\n\r\nab"));
    CHECK_FALSE(recording_reader::isRequest(
        "POST / HTTP/1.1\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n"));
    CHECK_FALSE(
        recording_reader::isRequest("POST / HTTP/1.1\r\nTransfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n"));
    CHECK_FALSE(
        recording_reader::isRequest("POST / HTTP/1.1\r\nTransfer-Encoding: xchunked\r\n\r\n0\r\n\r\n"));
    CHECK(recording_reader::isRequest(
        "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n0\r\n\r\n"));
}

TEST_CASE("http reader: field names that are no tokens are rejected")
{
    CHECK_FALSE(recording_reader::isRequest("POST / HTTP/1.1\r\nContent-Length : 2\r\n\r\nab"));
    CHECK_FALSE(recording_reader::isRequest("GET / HTTP/1.1\r\nX A: 1\r\n\r\n"));
    CHECK_FALSE(recording_reader::isRequest("GET / HTTP/1.1\r\n: 1\r\n\r\n"));
}

TEST_CASE("http reader: a head over the size limit is rejected as too large")
{
    recording_reader it(http_reader::message::Requests);
    it.reader.feed("GET / HTTP/1.1\r\nX: " + std::string(maxHeadBytes, 'a') + "\r\n\r\n");
    CHECK(it.reader.failed());
    CHECK(it.reader.isHeadTooLarge());
    CHECK(it.ends == 0);
}

TEST_CASE("http reader: an answer without a length ends with its connection")
{
    recording_reader it(http_reader::message::Answers);
    it.reader.feed("HTTP/1.1 200 OK\r\n\r\nall of it");
    CHECK(it.ends == 0);
    CHECK_FALSE(it.heads.at(0).isDelimited);
    CHECK(it.reader.feedEnd());
    CHECK(it.ends == 1);
    CHECK(it.body == "all of it");
}

TEST_CASE("http reader: an answer that is cut short is not complete")
{
    for (const char* text : { "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nall",
             "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nall\r\n" }) {
        recording_reader it(http_reader::message::Answers);
        it.reader.feed(text);
        CHECK_FALSE(it.reader.feedEnd());
        CHECK(it.ends == 0);
    }
}

// Guards against an answer with a damaged status that reaches the caller as "HTTP/1.1 2".
TEST_CASE("http reader: an answer without a status of three digits from 100 to 599 is rejected")
{
    const auto isAnswer = [](const std::string& text, std::size_t pieceSize) {
        recording_reader it(http_reader::message::Answers);
        for (std::size_t at = 0; at < text.size() && !it.reader.failed(); at += pieceSize) {
            std::string_view piece = std::string_view(text).substr(at, pieceSize);
            while (!piece.empty() && !it.reader.failed())
                piece.remove_prefix(it.reader.feed(piece));
        }
        return it.ends == 1 && !it.reader.failed();
    };
    const std::string fields = "Content-Length: 1\r\n\r\nx";
    for (const std::size_t pieceSize : { 1U, 5U, 1000U }) {
        CAPTURE(pieceSize);
        for (const char* line : { "HTTP/1.1 200 OK", "HTTP/1.1 200 ", "HTTP/1.1 200", "HTTP/1.0 599 Odd",
                 "\r\nHTTP/1.1 404 Not Found", "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK" }) {
            CAPTURE(line);
            CHECK(isAnswer(std::string(line) + "\r\n" + fields, pieceSize));
        }
        for (const char* line : { "HTTP/1.1 2 0 OK", "HTTP/1.1 20 OK", "HTTP/1.1 2", "HTTP/1.1 0200 OK",
                 "HTTP/1.1 020 OK", "HTTP/1.1 2000 OK", "HTTP/1.1 099 OK", "HTTP/1.1 600 OK",
                 "HTTP/1.1 200OK", "HTTP/1.1  200 OK", "HTTP/2.0 200 OK", "HTTP/1.1 -20 OK",
                 "HTTP/1.1 100\r\n\r\nHTTP/1.1 2 0" }) {
            CAPTURE(line);
            CHECK_FALSE(isAnswer(std::string(line) + "\r\n" + fields, pieceSize));
        }
    }
}

// Guards against an answer with a whole body that is taken for one whatever its status.
TEST_CASE(
    "http reader: nothing is reported of a whole answer with a damaged status, in whatever pieces it comes")
{
    for (const std::string status : damagedStatuses) {
        for (const std::string body :
            { "Content-Length: 4\r\n\r\nbody", "Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n",
                "Connection: close\r\n\r\nbody" }) {
            CAPTURE(status);
            CAPTURE(body);
            const std::string text = "HTTP/1.1 " + status + " OK\r\n" + body;
            for (std::size_t cut = 0; cut < text.size(); ++cut) {
                recording_reader it(http_reader::message::Answers);
                it.reader.feed(std::string_view(text).substr(0, cut));
                it.reader.feed(std::string_view(text).substr(cut));
                CHECK(it.reader.failed());
                CHECK_FALSE(it.reader.feedEnd());
                CHECK(it.heads.empty());
                CHECK(it.ends == 0);
            }
        }
    }
}

TEST_CASE("http reader: interim answers without end are rejected")
{
    recording_reader it(http_reader::message::Answers);
    const std::string interim = "HTTP/1.1 103 Early Hints\r\n\r\n";
    int fed = 0;
    while (fed < 1000 && !it.reader.failed()) {
        it.reader.feed(interim);
        ++fed;
    }
    CHECK(fed < 100);
}

TEST_CASE("http reader: an interim answer is skipped")
{
    recording_reader it(http_reader::message::Answers);
    const std::string text = "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nx";
    std::string_view rest = text;
    while (!rest.empty() && !it.reader.failed())
        rest.remove_prefix(it.reader.feed(rest));
    CHECK(it.ends == 1);
    REQUIRE(it.heads.size() == 1);
    CHECK(it.heads.at(0).status == 200);
}

TEST_CASE("http text: hop-by-hop fields and those listed in Connection are recognized in any case")
{
    CHECK(isHopByHopField("Keep-Alive"));
    CHECK(isHopByHopField("TRANSFER-ENCODING"));
    CHECK_FALSE(isHopByHopField("Content-Type"));
    http_head head;
    head.fields = { { "Connection", "close, X-Mine" } };
    CHECK(isListedInConnection(head, "x-mine"));
    CHECK_FALSE(isListedInConnection(head, "x"));
}

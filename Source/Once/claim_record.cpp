#include "Once/claim_record.h"

#include "Base/overloaded.h"

#include <array>
#include <nlohmann/json.hpp>
#include <openssl/sha.h>

namespace sagesaddle {

namespace {

using nlohmann::json;

constexpr std::uint32_t recordSchema = 1;
constexpr std::size_t keyHashBytes = 16;

json claimBody(const key_claim& value)
{
    return { { "id", value.id }, { "key", value.keyHash }, { "time_ms", value.timeMs } };
}

key_claim parseClaim(const json& body)
{
    return { body.at("id").get<std::string>(), body.at("key").get<std::string>(),
        body.at("time_ms").get<std::uint64_t>() };
}

claim_snapshot_part parsePart(const json& body)
{
    claim_snapshot_part result;
    result.through = body.at("through").get<std::uint64_t>();
    result.part = body.at("part").get<std::uint32_t>();
    result.parts = body.at("parts").get<std::uint32_t>();
    result.forgottenThroughMs = body.at("forgotten_through_ms").get<std::uint64_t>();
    for (const json& element : body.at("claims"))
        result.claims.push_back(parseClaim(element));
    if (result.part >= result.parts)
        throw claim_record_error("claim snapshot part " + std::to_string(result.part) + " of "
            + std::to_string(result.parts) + " does not exist; parts count from 0");
    return result;
}

json partBody(const claim_snapshot_part& value)
{
    json claims = json::array();
    for (const key_claim& element : value.claims)
        claims.push_back(claimBody(element));
    return { { "through", value.through }, { "part", value.part }, { "parts", value.parts },
        { "forgotten_through_ms", value.forgottenThroughMs }, { "claims", std::move(claims) } };
}

json envelope(std::string_view kind, json body)
{
    return { { "schema", recordSchema }, { "kind", kind }, { "body", std::move(body) } };
}

claim_record parseByKind(const json& record)
{
    if (record.at("schema").get<std::uint32_t>() != recordSchema)
        throw claim_record_error(
            "unsupported schema " + record.at("schema").dump() + " of a claim record; expected 1");
    const auto kind = record.at("kind").get<std::string>();
    const json& body = record.at("body");
    if (kind == "claim")
        return parseClaim(body);
    if (kind == "release")
        return claim_release { body.at("claim").get<std::string>(), body.at("key").get<std::string>() };
    if (kind == "snapshot")
        return parsePart(body);
    throw claim_record_error("unknown kind '" + kind + "' of a claim record");
}

} // namespace

claim_record parseClaimRecord(std::string_view text)
{
    try {
        return parseByKind(json::parse(text));
    } catch (const json::exception& error) {
        throw claim_record_error(std::string("malformed claim record: ") + error.what());
    }
}

std::string formatClaimRecord(const claim_record& record)
{
    const json result = std::visit(
        overloaded {
            [](const key_claim& value) { return envelope("claim", claimBody(value)); },
            [](const claim_release& value) {
                return envelope("release", { { "claim", value.claimId }, { "key", value.keyHash } });
            },
            [](const claim_snapshot_part& value) { return envelope("snapshot", partBody(value)); },
        },
        record);
    return result.dump(-1, ' ', false, json::error_handler_t::replace);
}

std::string hashClaimKey(std::string_view team, std::string_view key)
{
    const std::string input = std::to_string(team.size()) + ":" + std::string(team) + std::string(key);
    std::array<unsigned char, SHA256_DIGEST_LENGTH> digest {};
    SHA256(reinterpret_cast<const unsigned char*>(input.data()), input.size(), digest.data());
    constexpr std::string_view digits = "0123456789abcdef";
    std::string text;
    for (std::size_t i = 0; i < keyHashBytes; ++i) {
        text += digits[digest[i] >> 4U];
        text += digits[digest[i] & 15U];
    }
    return text;
}

} // namespace sagesaddle

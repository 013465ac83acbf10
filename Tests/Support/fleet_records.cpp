#include "Support/fleet_records.h"

#include <array>
#include <iomanip>
#include <openssl/sha.h>
#include <sstream>

namespace sagesaddle::testing {

namespace {

std::string sha256Of(const std::string& text)
{
    std::array<unsigned char, SHA256_DIGEST_LENGTH> digest {};
    SHA256(reinterpret_cast<const unsigned char*>(text.data()), text.size(), digest.data());
    std::ostringstream hex;
    for (const unsigned char byte : digest)
        hex << std::hex << std::setw(2) << std::setfill('0') << static_cast<int>(byte);
    return hex.str();
}

std::string quoted(const std::string& text)
{
    return '"' + text + '"';
}

// Writes one table of an array of tables.
class table_writer {
public:
    table_writer(std::ostream& out, const char* kind)
        : m_out(out)
    {
        m_out << "[[" << kind << "]]\n";
    }

    table_writer& text(const char* name, const std::string& value) { return raw(name, quoted(value)); }
    table_writer& flag(const char* name, bool value) { return raw(name, value ? "true" : "false"); }
    template <typename Number> table_writer& number(const char* name, Number value)
    {
        return raw(name, std::to_string(value));
    }

private:
    table_writer& raw(const char* name, const std::string& value)
    {
        m_out << name << " = " << value << '\n';
        return *this;
    }

    std::ostream& m_out;
};

void writeUpstream(std::ostream& out, const upstream& value)
{
    table_writer table(out, "upstream");
    table.text("name", value.name).text("region", value.region).text("zone", value.zone);
    table.text("kind", value.kind == upstream_kind::Engine ? "engine" : "service");
    table.text("side", formatAddress(value.side)).text("target", formatAddress(value.target));
    table.number("slots", value.slots).flag("leaving", value.leaving);
    if (value.kind == upstream_kind::Engine)
        table.number("memory_mb", value.memoryMb).flag("checks_fencing", value.checksFencing);
    else
        table.text("service", value.service);
}

} // namespace

void fleet_records::addTeam(const std::string& name, double rate, double burst)
{
    teams.push_back({ name, rate, burst });
    keys.push_back({ name + "-key", name, sha256Of(secretOf(name)), false });
}

void fleet_records::withdrawKeys(const std::string& teamName)
{
    for (api_key& key : keys) {
        if (key.team == teamName)
            key.withdrawn = true;
    }
}

std::string secretOf(const std::string& teamName)
{
    return "secret-of-" + teamName;
}

std::string formatToml(const fleet_records& records)
{
    std::ostringstream out;
    out << "schema = 1\n";
    for (const team& value : records.teams)
        table_writer(out, "team")
            .text("name", value.name)
            .number("rate_tokens_per_s", value.rateTokensPerSecond)
            .number("burst_tokens", value.burstTokens);
    for (const api_key& value : records.keys)
        table_writer(out, "key")
            .text("id", value.id)
            .text("team", value.team)
            .text("secret_sha256", value.secretSha256)
            .flag("withdrawn", value.withdrawn);
    for (const model& value : records.models)
        table_writer(out, "model").text("name", value.name).number("memory_mb", value.memoryMb);
    for (const upstream& value : records.upstreams)
        writeUpstream(out, value);
    for (const route& value : records.routes)
        table_writer(out, "route")
            .text("path_prefix", value.pathPrefix)
            .text("service", value.service)
            .flag("open", value.open)
            .flag("idempotent", value.idempotent);
    for (const placement& value : records.placements)
        table_writer(out, "placement")
            .text("model", value.model)
            .text("upstream", value.upstream)
            .flag("pinned", value.pinned);
    for (const entry_host& value : records.entries)
        table_writer(out, "entry")
            .text("name", value.name)
            .text("region", value.region)
            .text("zone", value.zone)
            .text("peer", formatAddress(value.peer))
            .text("admin", formatAddress(value.admin));
    return out.str();
}

} // namespace sagesaddle::testing

#include "Wire/fleet_messages.h"

#include "Base/overloaded.h"
#include "Wire/frame_tables.h"

#include <stdexcept>
#include <unordered_map>

namespace sagesaddle {

namespace {

using flatbuffers::FlatBufferBuilder;
using flatbuffers::Offset;

// Largest frame that is accepted, in bytes with its size prefix: larger than any message of the largest
// supported fleet.
constexpr std::size_t maxMessageBytes = std::size_t { 4 } << 20U;

template <typename Table, typename Values, typename Make>
auto vectorOf(FlatBufferBuilder& builder, const Values& values, const Make& make)
{
    std::vector<Offset<Table>> offsets;
    offsets.reserve(values.size());
    for (const auto& value : values)
        offsets.push_back(make(value));
    return builder.CreateVector(offsets);
}

// Stands for the end of an upstream's request limit.
constexpr double noLimit = -1;

std::optional<double> decodeLimit(double requestsPerSecond)
{
    return requestsPerSecond >= 0 ? std::optional(requestsPerSecond) : std::nullopt;
}

std::vector<fleet_wire::Quarantine> encodeNotices(const std::vector<quarantine_notice>& notices)
{
    std::vector<fleet_wire::Quarantine> encoded;
    encoded.reserve(notices.size());
    for (const auto& notice : notices)
        encoded.emplace_back(notice.part, static_cast<std::uint32_t>(notice.left.count()));
    return encoded;
}

Offset<fleet_wire::QuarantineNews> encodeQuarantine(
    FlatBufferBuilder& builder, const quarantine_update& value)
{
    const auto watched = builder.CreateVector(value.watched);
    const auto quarantined = builder.CreateVectorOfStructs(encodeNotices(value.quarantined));
    return fleet_wire::CreateQuarantineNews(builder, watched, quarantined);
}

Offset<fleet_wire::Evacuations> encodeEvacuations(FlatBufferBuilder& builder, const evacuated_zones& value)
{
    const auto zones = builder.CreateVectorOfStrings(value.zones.begin(), value.zones.end());
    return fleet_wire::CreateEvacuations(builder, zones, value.position);
}

Offset<void> encodeReport(FlatBufferBuilder& builder, const fleet_report& value)
{
    const auto credit
        = vectorOf<fleet_wire::CreditAsk>(builder, value.credit, [&](const credit_request& ask) {
              return fleet_wire::CreateCreditAsk(
                  builder, builder.CreateString(ask.team), ask.needed, ask.ahead, ask.returned);
          });
    const auto demand
        = vectorOf<fleet_wire::ModelDemand>(builder, value.demand, [&](const demand_count& item) {
              return fleet_wire::CreateModelDemand(builder, builder.CreateString(item.service),
                  builder.CreateString(item.model), builder.CreateString(item.adapter), item.requests,
                  item.unplaced, item.tokens);
          });
    const auto work = vectorOf<fleet_wire::UpstreamWork>(builder, value.work, [&](const upstream_work& item) {
        return fleet_wire::CreateUpstreamWork(builder, builder.CreateString(item.upstream), item.inFlight,
            item.tokensAhead, item.kvCacheTokens);
    });
    const auto sendCredit = vectorOf<fleet_wire::UpstreamCreditAsk>(
        builder, value.sendCredit, [&](const send_credit_request& item) {
            return fleet_wire::CreateUpstreamCreditAsk(builder, builder.CreateString(item.limit.upstream),
                item.limit.requestsPerSecond.value_or(noLimit),
                static_cast<std::uint32_t>(item.knownFor.count()), item.isNews, item.needed, item.ahead,
                item.returned, item.coldRequestsPerSecond,
                static_cast<std::uint32_t>(item.coldRemaining.count()));
        });
    const auto crashes
        = vectorOf<fleet_wire::Crash>(builder, value.quarantine.crashes, [&](const reported_crash& crash) {
              return fleet_wire::CreateCrash(builder, builder.CreateString(crash.process.upstream),
                  crash.process.startedAt, static_cast<std::uint32_t>(crash.age.count()),
                  builder.CreateVector(crash.parts));
          });
    std::vector<fleet_wire::PartAnswers> answered;
    answered.reserve(value.quarantine.answers.size());
    for (const auto& item : value.quarantine.answers)
        answered.emplace_back(item.part, item.answers, static_cast<std::uint32_t>(item.watchedFor.count()));
    const auto answers = builder.CreateVectorOfStructs(answered);
    const auto quarantined = builder.CreateVectorOfStructs(encodeNotices(value.quarantine.quarantined));
    const auto times
        = vectorOf<fleet_wire::UpstreamTimes>(builder, value.times, [&](const upstream_times& item) {
              return fleet_wire::CreateUpstreamTimes(builder, builder.CreateString(item.upstream),
                  item.sums.observedMilliseconds, item.sums.forecastMilliseconds, item.start.isBeginning,
                  item.start.outcomes.onTime, item.start.outcomes.late, item.start.outcomes.failed);
          });
    return fleet_wire::CreateReport(builder, builder.CreateString(value.gateway), value.number,
        value.isStoreUnreachable, value.wantsFullUpdate, credit, work, demand, value.isOnlyCredit,
        builder.CreateString(value.member), sendCredit, crashes, answers, value.quarantine.allAnswers,
        quarantined, times)
        .Union();
}

/// \brief Writes each distinct string into a message only once: in a list of upstreams the same few services,
/// zones and models are named with each upstream.
class shared_strings {
public:
    explicit shared_strings(FlatBufferBuilder& builder)
        : m_builder(builder)
    {
    }

    /// \param text must outlive this object
    Offset<flatbuffers::String> string(const std::string& text)
    {
        const auto [place, isNew] = m_written.try_emplace(text);
        if (isNew)
            place->second = m_builder.CreateString(text);
        return place->second;
    }

    /// \param texts must outlive this object
    Offset<flatbuffers::Vector<Offset<flatbuffers::String>>> strings(const std::vector<std::string>& texts)
    {
        std::vector<Offset<flatbuffers::String>> offsets;
        offsets.reserve(texts.size());
        for (const auto& item : texts)
            offsets.push_back(string(item));
        return m_builder.CreateVector(offsets);
    }

private:
    FlatBufferBuilder& m_builder;
    std::unordered_map<std::string_view, Offset<flatbuffers::String>> m_written;
};

Offset<fleet_wire::Listed> encodeListed(
    FlatBufferBuilder& builder, shared_strings& shared, const listed_upstream& item)
{
    return fleet_wire::CreateListed(builder, shared.string(item.upstream), item.offset, item.isRemoved,
        shared.string(item.service), builder.CreateString(item.address), shared.string(item.zone), item.slots,
        item.isDraining, item.startedAt, item.orders, shared.strings(item.loadedModels), item.number,
        static_cast<std::uint32_t>(item.coldRemaining.count()));
}

Offset<void> encodeUpdate(FlatBufferBuilder& builder, const fleet_update& value)
{
    const auto encodeGrant = [&](const credit_answer& grant) {
        return fleet_wire::CreateCreditGrant(
            builder, builder.CreateString(grant.name), grant.tokens, grant.retryAfterMs);
    };
    const auto credit = vectorOf<fleet_wire::CreditGrant>(builder, value.credit, encodeGrant);
    const auto sendCredit = vectorOf<fleet_wire::CreditGrant>(builder, value.sendCredit, encodeGrant);
    const auto limits
        = vectorOf<fleet_wire::UpstreamLimit>(builder, value.upstreamLimits, [&](const upstream_limit& item) {
              return fleet_wire::CreateUpstreamLimit(
                  builder, builder.CreateString(item.upstream), item.requestsPerSecond.value_or(noLimit));
          });
    shared_strings shared(builder);
    const auto holdings
        = vectorOf<fleet_wire::Holding>(builder, value.loadedModels, [&](const upstream_loaded_models& item) {
              return fleet_wire::CreateHolding(builder, shared.string(item.upstream),
                  shared.strings(item.change.loaded), item.change.isDelta,
                  item.change.isDelta ? shared.strings(item.change.unloaded) : 0);
          });
    std::vector<fleet_wire::NumberedWork> numbered;
    numbered.reserve(value.work.size());
    for (const auto& item : value.work)
        numbered.emplace_back(item.number, item.inFlight, item.tokensAhead, item.kvCacheTokens);
    const auto work = builder.CreateVectorOfStructs(numbered);
    const auto listed = vectorOf<fleet_wire::Listed>(builder, value.listed,
        [&](const listed_upstream& item) { return encodeListed(builder, shared, item); });
    const auto quarantine = value.quarantine ? encodeQuarantine(builder, *value.quarantine) : 0;
    std::vector<fleet_wire::NumberedFactor> encodedFactors;
    encodedFactors.reserve(value.timeFactors.size());
    for (const auto& item : value.timeFactors)
        encodedFactors.emplace_back(item.number, item.factor);
    const auto factors = builder.CreateVectorOfStructs(encodedFactors);
    const auto evacuations = value.evacuations ? encodeEvacuations(builder, *value.evacuations) : 0;
    std::vector<fleet_wire::NumberedLimit> encodedLimits;
    encodedLimits.reserve(value.startLimits.size());
    for (const auto& item : value.startLimits)
        encodedLimits.emplace_back(item.number, item.limit);
    const auto startLimits = builder.CreateVectorOfStructs(encodedLimits);
    return fleet_wire::CreateNews(builder, value.number, value.leaseEnd,
        builder.CreateString(value.leaseHolder), value.confirmation.has_value(),
        value.confirmation ? value.confirmation->ageMs : 0,
        value.confirmation ? value.confirmation->configEnd : 0, value.isFullList, listed, value.gatewayCount,
        credit, work, holdings, builder.CreateString(value.successor), value.isInterim, limits, sendCredit,
        quarantine, factors, evacuations, startLimits)
        .Union();
}

Offset<void> encodeListUpdate(FlatBufferBuilder& builder, const list_update& value)
{
    shared_strings shared(builder);
    const auto listed = vectorOf<fleet_wire::Listed>(builder, value.listed,
        [&](const listed_upstream& item) { return encodeListed(builder, shared, item); });
    return fleet_wire::CreateListNews(builder, listed).Union();
}

std::string textOf(const flatbuffers::String* text)
{
    return text == nullptr ? std::string() : text->str();
}

std::vector<std::string> namesOf(const flatbuffers::Vector<Offset<flatbuffers::String>>* names)
{
    std::vector<std::string> read;
    if (names == nullptr)
        return read;
    read.reserve(names->size());
    for (const auto* name : *names)
        read.push_back(name->str());
    return read;
}

std::vector<std::uint64_t> decodeParts(const flatbuffers::Vector<std::uint64_t>* parts)
{
    return parts == nullptr ? std::vector<std::uint64_t>()
                            : std::vector<std::uint64_t>(parts->begin(), parts->end());
}

std::vector<quarantine_notice> decodeNotices(
    const flatbuffers::Vector<const fleet_wire::Quarantine*>* notices)
{
    std::vector<quarantine_notice> decoded;
    if (notices == nullptr)
        return decoded;
    for (const auto* notice : *notices)
        decoded.push_back({ notice->part(), milliseconds(notice->left_ms()) });
    return decoded;
}

quarantine_report decodeQuarantineReport(const fleet_wire::Report& table)
{
    quarantine_report value;
    if (table.crashes() != nullptr) {
        for (const auto* crash : *table.crashes())
            value.crashes.push_back({ { crash->upstream()->str(), crash->started_at() },
                milliseconds(crash->age_ms()), decodeParts(crash->parts()) });
    }
    if (table.part_answers() != nullptr) {
        for (const auto* item : *table.part_answers())
            value.answers.push_back({ item->part(), item->answers(), milliseconds(item->watched_for_ms()) });
    }
    value.allAnswers = table.all_answers();
    value.quarantined = decodeNotices(table.quarantined());
    return value;
}

quarantine_update decodeQuarantine(const fleet_wire::QuarantineNews& table)
{
    return { decodeParts(table.watched_parts()), decodeNotices(table.quarantined()) };
}

evacuated_zones decodeEvacuations(const fleet_wire::Evacuations& table)
{
    const auto zones = namesOf(table.zones());
    return { { zones.begin(), zones.end() }, table.position() };
}

fleet_report decodeReport(const fleet_wire::Report& table)
{
    fleet_report value;
    value.gateway = table.entry()->str();
    value.number = table.number();
    value.isStoreUnreachable = table.store_away();
    value.wantsFullUpdate = table.wants_all();
    if (table.credit() != nullptr) {
        for (const auto* ask : *table.credit())
            value.credit.push_back({ ask->team()->str(), ask->needed(), ask->ahead(), ask->returned() });
    }
    value.isOnlyCredit = table.only_credit();
    value.member = textOf(table.member());
    if (table.work() != nullptr) {
        for (const auto* item : *table.work())
            value.work.push_back(
                { item->upstream()->str(), item->in_flight(), item->tokens_ahead(), item->memory_tokens() });
    }
    if (table.demand() != nullptr) {
        for (const auto* item : *table.demand())
            value.demand.push_back({ item->service()->str(), item->model()->str(), item->adapter()->str(),
                item->requests(), item->unplaced(), item->tokens() });
    }
    if (table.upstream_credit() != nullptr) {
        for (const auto* item : *table.upstream_credit())
            value.sendCredit.push_back({ { item->upstream()->str(), decodeLimit(item->limit()) },
                milliseconds(item->known_for_ms()), item->is_news(), item->needed(), item->ahead(),
                item->returned(), item->cold_per_s(), milliseconds(item->cold_remaining_ms()) });
    }
    value.quarantine = decodeQuarantineReport(table);
    if (table.upstream_times() != nullptr) {
        for (const auto* item : *table.upstream_times())
            value.times.push_back({ item->upstream()->str(), { item->observed(), item->forecast() },
                { item->starts(), { item->on_time(), item->late(), item->failed() } } });
    }
    return value;
}

listed_upstream decodeListed(const fleet_wire::Listed& item)
{
    return { item.upstream()->str(), item.offset(), item.is_removed(), textOf(item.service()),
        textOf(item.address()), textOf(item.zone()), item.slots(), item.is_draining(), item.started_at(),
        item.orders(), namesOf(item.held()), item.number(), milliseconds(item.cold_remaining_ms()) };
}

std::vector<listed_upstream> decodeList(const flatbuffers::Vector<Offset<fleet_wire::Listed>>* listed)
{
    std::vector<listed_upstream> decoded;
    if (listed == nullptr)
        return decoded;
    for (const auto* item : *listed)
        decoded.push_back(decodeListed(*item));
    return decoded;
}

std::vector<credit_answer> decodeGrants(const flatbuffers::Vector<Offset<fleet_wire::CreditGrant>>* grants)
{
    std::vector<credit_answer> decoded;
    if (grants == nullptr)
        return decoded;
    for (const auto* grant : *grants)
        decoded.push_back({ grant->team()->str(), grant->tokens(), grant->retry_after_ms() });
    return decoded;
}

fleet_update decodeUpdate(const fleet_wire::News& table)
{
    fleet_update value;
    value.number = table.number();
    value.leaseEnd = table.lease_end();
    value.leaseHolder = textOf(table.lease_holder());
    if (table.has_proof())
        value.confirmation = config_confirmation { table.proof_age_ms(), table.config_end() };
    value.isFullList = table.list_is_whole();
    value.listed = decodeList(table.listed());
    value.gatewayCount = table.entries();
    value.successor = textOf(table.successor());
    value.isInterim = table.is_interim();
    value.credit = decodeGrants(table.credit());
    value.sendCredit = decodeGrants(table.upstream_credit());
    if (table.upstream_limits() != nullptr) {
        for (const auto* item : *table.upstream_limits())
            value.upstreamLimits.push_back({ item->upstream()->str(), decodeLimit(item->limit()) });
    }
    if (table.work() != nullptr) {
        for (const auto* item : *table.work())
            value.work.push_back(
                { item->number(), item->in_flight(), item->tokens_ahead(), item->memory_tokens() });
    }
    if (table.holdings() != nullptr) {
        for (const auto* item : *table.holdings()) {
            value.loadedModels.push_back({ item->upstream()->str(),
                { namesOf(item->held()), namesOf(item->dropped()), item->is_change() } });
        }
    }
    if (table.quarantine() != nullptr)
        value.quarantine = decodeQuarantine(*table.quarantine());
    if (table.time_factors() != nullptr) {
        for (const auto* item : *table.time_factors())
            value.timeFactors.push_back({ item->number(), item->factor() });
    }
    if (table.evacuations() != nullptr)
        value.evacuations = decodeEvacuations(*table.evacuations());
    if (table.start_limits() != nullptr) {
        for (const auto* item : *table.start_limits())
            value.startLimits.push_back({ item->number(), item->limit() });
    }
    return value;
}

} // namespace

std::string encodeFleetMessage(const fleet_message& value)
{
    FlatBufferBuilder builder;
    const auto [kind, body] = std::visit(
        overloaded { [&](const fleet_report& report) {
                        return std::pair(fleet_wire::Body::Report, encodeReport(builder, report));
                    },
            [&](const fleet_update& update) {
                return std::pair(fleet_wire::Body::News, encodeUpdate(builder, update));
            },
            [&](const quarantine_update& update) {
                return std::pair(fleet_wire::Body::QuarantineNews, encodeQuarantine(builder, update).Union());
            },
            [&](const list_update& update) {
                return std::pair(fleet_wire::Body::ListNews, encodeListUpdate(builder, update));
            } },
        value);
    builder.FinishSizePrefixed(fleet_wire::CreateFrame(builder, kind, body));
    return { reinterpret_cast<const char*>(builder.GetBufferPointer()), builder.GetSize() };
}

fleet_frame decodeFleetMessage(std::string_view bytes)
{
    constexpr std::size_t prefix = sizeof(flatbuffers::uoffset_t);
    if (bytes.size() < prefix)
        return {};
    const auto* data = reinterpret_cast<const std::uint8_t*>(bytes.data());
    const std::size_t size = prefix + flatbuffers::ReadScalar<flatbuffers::uoffset_t>(data);
    if (size > maxMessageBytes)
        throw std::runtime_error("invalid frame: " + std::to_string(size) + " bytes are over the limit of "
            + std::to_string(maxMessageBytes));
    if (bytes.size() < size)
        return {};
    // The bytes may start at any address, but FlatBuffers needs an aligned buffer: decode a copy.
    const std::vector<std::uint8_t> copy(data, data + size);
    flatbuffers::Verifier verifier(copy.data(), copy.size());
    if (!fleet_wire::VerifySizePrefixedFrameBuffer(verifier))
        throw std::runtime_error(
            "invalid frame: the FlatBuffers verifier rejects its " + std::to_string(size) + " bytes");
    const auto* frame = fleet_wire::GetSizePrefixedFrame(copy.data());
    fleet_frame read { size, std::nullopt };
    if (const auto* report = frame->body_as_Report())
        read.message = decodeReport(*report);
    else if (const auto* update = frame->body_as_News())
        read.message = decodeUpdate(*update);
    else if (const auto* quarantine = frame->body_as_QuarantineNews())
        read.message = decodeQuarantine(*quarantine);
    else if (const auto* list = frame->body_as_ListNews())
        read.message = list_update { decodeList(list->listed()) };
    return read;
}

} // namespace sagesaddle

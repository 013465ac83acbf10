#include "Wire/frame_codec.h"

#include "Wire/frame_tables.h"

#include <algorithm>
#include <cmath>
#include <cstring>
#include <string>
#include <string_view>
#include <utility>

namespace sagesaddle {

namespace {

constexpr std::uint16_t frameVersion = 1;
constexpr std::size_t frameAlignment = 8;
constexpr std::uint16_t minHttpStatus = 100;
constexpr std::uint16_t maxHttpStatus = 599;

using flat_builder = flatbuffers::FlatBufferBuilder;
using flat_text = flatbuffers::Offset<flatbuffers::String>;
using flat_texts = flatbuffers::Vector<flat_text>;
using flat_bytes = flatbuffers::Vector<std::uint8_t>;
using flat_headers = flatbuffers::Vector<flatbuffers::Offset<wire::Header>>;

// Encoding.

flatbuffers::Offset<flat_bytes> buildBytes(flat_builder& builder, std::string_view bytes)
{
    return builder.CreateVector(reinterpret_cast<const std::uint8_t*>(bytes.data()), bytes.size());
}

flatbuffers::Offset<flat_texts> buildTexts(flat_builder& builder, const std::vector<std::string>& texts)
{
    return builder.CreateVectorOfStrings(texts);
}

flatbuffers::Offset<flat_headers> buildHeaders(flat_builder& builder, const std::vector<header_field>& fields)
{
    std::vector<flatbuffers::Offset<wire::Header>> offsets;
    offsets.reserve(fields.size());
    for (const header_field& field : fields) {
        const flat_text name = builder.CreateString(field.name);
        const flat_text value = builder.CreateString(field.value);
        offsets.push_back(wire::CreateHeader(builder, name, value));
    }
    return builder.CreateVector(offsets);
}

flatbuffers::Offset<flatbuffers::Vector<flatbuffers::Offset<wire::ModelUse>>> buildUses(
    flat_builder& builder, const std::vector<model_use>& uses)
{
    std::vector<flatbuffers::Offset<wire::ModelUse>> offsets;
    offsets.reserve(uses.size());
    for (const model_use& use : uses) {
        const flat_text model = builder.CreateString(use.model);
        offsets.push_back(wire::CreateModelUse(builder, model, use.tokensPerSecond));
    }
    return builder.CreateVector(offsets);
}

flatbuffers::Offset<wire::LoadReport> buildLoad(flat_builder& builder, const load_report& load)
{
    const flat_text upstream = builder.CreateString(load.upstream);
    const auto models = buildTexts(builder, load.residentModels);
    const auto prefixes = builder.CreateVector(load.cachedPrefixes);
    const auto loading = buildTexts(builder, load.loadingModels);
    const auto uses = buildUses(builder, load.modelUses);
    return wire::CreateLoadReport(builder, upstream, load.queued, load.running, load.slots, load.freeMemoryMb,
        load.reportAgeMs, load.waitMs, load.draining, models, prefixes, loading, uses);
}

wire::Priority flatPriority(priority value)
{
    return value == priority::Batch ? wire::Priority::Batch : wire::Priority::Interactive;
}

wire::Verdict flatVerdict(verdict value)
{
    switch (value) {
    case verdict::NotRun:
        return wire::Verdict::NotRun;
    case verdict::Answered:
        return wire::Verdict::Answered;
    case verdict::MayHaveRun:
        break;
    }
    return wire::Verdict::MayHaveRun;
}

flatbuffers::Offset<wire::Request> build(flat_builder& builder, const request_message& value)
{
    const flat_text team = builder.CreateString(value.team);
    const flat_text traceparent = builder.CreateString(value.traceparent);
    const flat_text method = builder.CreateString(value.method);
    const flat_text path = builder.CreateString(value.path);
    const auto headers = buildHeaders(builder, value.headers);
    const auto body = buildBytes(builder, value.body);
    const flat_text model = builder.CreateString(value.model);
    const flat_text key = builder.CreateString(value.idempotencyKey);
    return wire::CreateRequest(builder, value.id, team, traceparent, method, path, headers, body, model,
        flatPriority(value.priority), value.deadlineMs, value.stream, value.idempotent, key, value.tokens);
}

flatbuffers::Offset<wire::AnswerHead> build(flat_builder& builder, const answer_head& value)
{
    const auto headers = buildHeaders(builder, value.headers);
    return wire::CreateAnswerHead(builder, value.id, value.status, headers);
}

flatbuffers::Offset<wire::AnswerData> build(flat_builder& builder, const answer_data& value)
{
    const auto bytes = buildBytes(builder, value.bytes);
    return wire::CreateAnswerData(builder, value.id, value.sequence, bytes);
}

flatbuffers::Offset<wire::AnswerEnd> build(flat_builder& builder, const answer_end& value)
{
    const auto load = buildLoad(builder, value.load);
    return wire::CreateAnswerEnd(builder, value.id, value.frames, value.bytes, value.tokensUsed, load);
}

flatbuffers::Offset<wire::Refusal> build(flat_builder& builder, const refusal_message& value)
{
    const flat_text reason = builder.CreateString(value.reason);
    const flat_text detail = builder.CreateString(value.detail);
    const auto load = buildLoad(builder, value.load);
    return wire::CreateRefusal(
        builder, value.id, flatVerdict(value.verdict), reason, detail, value.retryAfterMs, load);
}

flatbuffers::Offset<wire::Cancel> build(flat_builder& builder, const cancel_message& value)
{
    return wire::CreateCancel(builder, value.id);
}

flatbuffers::Offset<wire::LoadAsk> build(flat_builder& builder, const load_ask& value)
{
    return wire::CreateLoadAsk(builder, value.id);
}

flatbuffers::Offset<wire::LoadAnswer> build(flat_builder& builder, const load_answer& value)
{
    const auto load = buildLoad(builder, value.load);
    return wire::CreateLoadAnswer(builder, value.id, load);
}

flatbuffers::Offset<wire::SideView> build(flat_builder& builder, const side_view_message& value)
{
    const flat_text view = builder.CreateString(value.view);
    return wire::CreateSideView(builder, value.offset, view);
}

flatbuffers::Offset<wire::CreditAsk> build(flat_builder& builder, const credit_ask& value)
{
    const flat_text team = builder.CreateString(value.team);
    const flat_text asker = builder.CreateString(value.asker);
    return wire::CreateCreditAsk(builder, value.id, team, asker, value.epoch, value.tokens,
        value.settledTotal, value.prefetchTokens, value.returnedTotal, value.share);
}

flatbuffers::Offset<wire::CreditGrant> build(flat_builder& builder, const credit_grant& value)
{
    const flat_text team = builder.CreateString(value.team);
    const flat_text holder = builder.CreateString(value.holder);
    const flat_text refusal = builder.CreateString(value.refusal);
    return wire::CreateCreditGrant(builder, value.id, team, holder, value.epoch, value.tokens,
        value.grantedTotal, value.retryAfterMs, refusal, value.share);
}

flatbuffers::Offset<wire::TailAsk> build(flat_builder& builder, const tail_request& value)
{
    return wire::CreateTailAsk(builder, value.id, value.from);
}

flatbuffers::Offset<wire::TailAnswer> build(flat_builder& builder, const tail_answer& value)
{
    const auto records = buildTexts(builder, value.records);
    const flat_text snapshot = builder.CreateString(value.snapshot);
    return wire::CreateTailAnswer(builder, value.id, value.first, value.next, value.ageMs,
        value.isLogUnreachable, records, snapshot, value.run);
}

template <typename Table> constexpr wire::Message typeOf(flatbuffers::Offset<Table>)
{
    return wire::MessageTraits<Table>::enum_value;
}

// Decoding. The verifier has accepted the buffer, so required fields are present.

[[noreturn]] void reject(const std::string& field, const std::string& problem)
{
    throw frame_error("invalid frame: field `" + field + "` " + problem);
}

std::string readText(const flatbuffers::String* text)
{
    return text ? text->str() : std::string();
}

std::string readBytes(const flat_bytes* bytes)
{
    return bytes ? std::string(reinterpret_cast<const char*>(bytes->data()), bytes->size()) : std::string();
}

std::vector<std::string> readTexts(const flat_texts* texts)
{
    std::vector<std::string> result;
    if (!texts)
        return result;
    result.reserve(texts->size());
    for (const flatbuffers::String* text : *texts)
        result.push_back(text->str());
    return result;
}

// Whether a text can be part of a line of an HTTP head; it must not be able to start another line.
bool isHeadText(std::string_view text)
{
    return text.find_first_of(std::string_view("\r\n\0", 3)) == std::string_view::npos;
}

std::string readHeadText(const flatbuffers::String* text, const char* field)
{
    std::string result = readText(text);
    if (!isHeadText(result))
        reject(field, "contains a line break or a zero byte");
    return result;
}

std::vector<header_field> readHeaders(const flat_headers* fields)
{
    std::vector<header_field> result;
    if (!fields)
        return result;
    result.reserve(fields->size());
    for (const wire::Header* field : *fields) {
        header_field header { readHeadText(field->name(), "headers.name"),
            readHeadText(field->value(), "headers.value") };
        if (header.name.empty() || header.name.find_first_of(": ") != std::string::npos)
            reject("headers.name", "is not a header name: `" + header.name + "`");
        result.push_back(std::move(header));
    }
    return result;
}

double readAmount(double value, const char* field)
{
    if (!std::isfinite(value) || value < 0)
        reject(field, "is not a finite number of at least 0");
    return value;
}

priority readPriority(wire::Priority value)
{
    if (value != wire::Priority::Interactive && value != wire::Priority::Batch)
        reject("priority", "has the unknown value " + std::to_string(static_cast<int>(value)));
    return value == wire::Priority::Batch ? priority::Batch : priority::Interactive;
}

verdict readVerdict(wire::Verdict value)
{
    switch (value) {
    case wire::Verdict::NotRun:
        return verdict::NotRun;
    case wire::Verdict::MayHaveRun:
        return verdict::MayHaveRun;
    case wire::Verdict::Answered:
        return verdict::Answered;
    }
    reject("verdict", "has the unknown value " + std::to_string(static_cast<int>(value)));
}

load_report read(const wire::LoadReport& from)
{
    load_report load;
    load.upstream = readText(from.upstream());
    load.queued = from.queued();
    load.running = from.running();
    load.slots = from.slots();
    load.freeMemoryMb = from.free_memory_mb();
    load.reportAgeMs = from.report_age_ms();
    load.waitMs = from.wait_ms();
    load.draining = from.draining();
    load.residentModels = readTexts(from.resident_models());
    if (const auto* prefixes = from.cached_prefixes())
        load.cachedPrefixes.assign(prefixes->begin(), prefixes->end());
    load.loadingModels = readTexts(from.loading_models());
    if (const auto* uses = from.model_uses())
        for (const wire::ModelUse* use : *uses)
            load.modelUses.push_back({ readText(use->model()), use->tokens_per_second() });
    return load;
}

load_report readLoad(const wire::LoadReport* from)
{
    if (!from)
        reject("load", "is missing");
    return read(*from);
}

request_message read(const wire::Request& from)
{
    request_message value;
    value.id = from.id();
    value.team = readHeadText(from.team(), "team");
    value.traceparent = readHeadText(from.traceparent(), "traceparent");
    value.method = readHeadText(from.method(), "method");
    if (value.method.empty() || value.method.find(' ') != std::string::npos)
        reject("method", "is not an HTTP method: `" + value.method + "`");
    value.path = readHeadText(from.path(), "path");
    if (!value.path.starts_with('/') || value.path.find(' ') != std::string::npos)
        reject("path", "is not a path: `" + value.path + "`");
    value.headers = readHeaders(from.headers());
    value.body = readBytes(from.body());
    value.model = readText(from.model());
    value.priority = readPriority(from.priority());
    value.deadlineMs = from.deadline_ms();
    value.stream = from.stream();
    value.idempotent = from.idempotent();
    value.idempotencyKey = readHeadText(from.idempotency_key(), "idempotency_key");
    value.tokens = from.tokens();
    return value;
}

answer_head read(const wire::AnswerHead& from)
{
    if (from.status() < minHttpStatus || from.status() > maxHttpStatus)
        reject("status", "is not an HTTP status: " + std::to_string(from.status()));
    return { from.id(), from.status(), readHeaders(from.headers()) };
}

answer_data read(const wire::AnswerData& from)
{
    return { from.id(), from.sequence(), readBytes(from.bytes()) };
}

answer_end read(const wire::AnswerEnd& from)
{
    return { from.id(), from.frames(), from.bytes(), from.tokens_used(), readLoad(from.load()) };
}

refusal_message read(const wire::Refusal& from)
{
    refusal_message value;
    value.id = from.id();
    value.verdict = readVerdict(from.verdict());
    value.reason = readText(from.reason());
    value.detail = readText(from.detail());
    value.retryAfterMs = from.retry_after_ms();
    value.load = readLoad(from.load());
    return value;
}

cancel_message read(const wire::Cancel& from)
{
    return { from.id() };
}

load_ask read(const wire::LoadAsk& from)
{
    return { from.id() };
}

load_answer read(const wire::LoadAnswer& from)
{
    return { from.id(), readLoad(from.load()) };
}

side_view_message read(const wire::SideView& from)
{
    return { from.offset(), readText(from.view()) };
}

credit_ask read(const wire::CreditAsk& from)
{
    return { from.id(), readText(from.team()), readText(from.asker()), from.epoch(),
        readAmount(from.tokens(), "tokens"), readAmount(from.settled_total(), "settled_total"),
        readAmount(from.prefetch_tokens(), "prefetch_tokens"),
        readAmount(from.returned_total(), "returned_total"), from.share() };
}

credit_grant read(const wire::CreditGrant& from)
{
    return { from.id(), readText(from.team()), readText(from.holder()), from.epoch(),
        readAmount(from.tokens(), "tokens"), readAmount(from.granted_total(), "granted_total"),
        from.retry_after_ms(), readText(from.refusal()), from.share() };
}

tail_request read(const wire::TailAsk& from)
{
    return { from.id(), from.from() };
}

tail_answer read(const wire::TailAnswer& from)
{
    return { from.id(), from.first(), from.next(), from.age_ms(), from.log_away(), readTexts(from.records()),
        readText(from.snapshot()), from.run() };
}

message readMessage(const wire::Frame& frame)
{
    switch (frame.message_type()) {
    case wire::Message::Request:
        return read(*frame.message_as_Request());
    case wire::Message::AnswerHead:
        return read(*frame.message_as_AnswerHead());
    case wire::Message::AnswerData:
        return read(*frame.message_as_AnswerData());
    case wire::Message::AnswerEnd:
        return read(*frame.message_as_AnswerEnd());
    case wire::Message::Refusal:
        return read(*frame.message_as_Refusal());
    case wire::Message::Cancel:
        return read(*frame.message_as_Cancel());
    case wire::Message::LoadAsk:
        return read(*frame.message_as_LoadAsk());
    case wire::Message::LoadAnswer:
        return read(*frame.message_as_LoadAnswer());
    case wire::Message::SideView:
        return read(*frame.message_as_SideView());
    case wire::Message::CreditAsk:
        return read(*frame.message_as_CreditAsk());
    case wire::Message::CreditGrant:
        return read(*frame.message_as_CreditGrant());
    case wire::Message::TailAsk:
        return read(*frame.message_as_TailAsk());
    case wire::Message::TailAnswer:
        return read(*frame.message_as_TailAnswer());
    case wire::Message::NONE:
        break;
    }
    throw frame_error("invalid frame: unknown message type "
        + std::to_string(static_cast<int>(frame.message_type())) + "; the sender may run a newer version");
}

message decodeAligned(std::span<const std::uint8_t> bytes)
{
    flatbuffers::Verifier verifier(bytes.data(), bytes.size());
    if (!verifier.VerifyBuffer<wire::Frame>(nullptr))
        throw frame_error(
            "invalid frame: the FlatBuffers verifier rejects its " + std::to_string(bytes.size()) + " bytes");
    const wire::Frame& frame = *flatbuffers::GetRoot<wire::Frame>(bytes.data());
    if (frame.version() != frameVersion) {
        throw frame_error("invalid frame: version " + std::to_string(frame.version())
            + ", but this process supports version " + std::to_string(frameVersion));
    }
    return readMessage(frame);
}

} // namespace

std::vector<std::uint8_t> encodeFrame(const message& value)
{
    flat_builder builder;
    std::visit(
        [&](const auto& alternative) {
            const auto table = build(builder, alternative);
            builder.Finish(wire::CreateFrame(builder, frameVersion, typeOf(table), table.Union()));
        },
        value);
    const std::size_t size = builder.GetSize();
    if (size > maxFrameBytes) {
        throw frame_error("a frame of " + std::to_string(size) + " bytes is over the limit of "
            + std::to_string(maxFrameBytes));
    }
    std::vector<std::uint8_t> bytes(sizePrefixBytes + size);
    flatbuffers::WriteScalar(bytes.data(), static_cast<flatbuffers::uoffset_t>(size));
    std::memcpy(bytes.data() + sizePrefixBytes, builder.GetBufferPointer(), size);
    return bytes;
}

message decodeFrame(std::span<const std::uint8_t> bytes)
{
    if (bytes.size() > maxFrameBytes) {
        throw frame_error("invalid frame: " + std::to_string(bytes.size()) + " bytes are over the limit of "
            + std::to_string(maxFrameBytes));
    }
    if (reinterpret_cast<std::uintptr_t>(bytes.data()) % frameAlignment == 0)
        return decodeAligned(bytes);
    const std::vector<std::uint8_t> copy(bytes.begin(), bytes.end());
    return decodeAligned(copy);
}

} // namespace sagesaddle

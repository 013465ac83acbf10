#include "Serve/http_client.h"

#include "Base/letter_case.h"
#include "Base/scope_guard.h"

#include <algorithm>
#include <cctype>
#include <curl/curl.h>
#include <exception>
#include <mutex>

namespace sagesaddle {

namespace {

using header_list = std::vector<std::pair<std::string, std::string>>;

void initialiseCurlOnce()
{
    static std::once_flag once;
    std::call_once(once, [] { curl_global_init(CURL_GLOBAL_DEFAULT); });
}

std::string_view trimmed(std::string_view text)
{
    while (!text.empty() && std::isspace(static_cast<unsigned char>(text.front())))
        text.remove_prefix(1);
    while (!text.empty() && std::isspace(static_cast<unsigned char>(text.back())))
        text.remove_suffix(1);
    return text;
}

// State of one exchange, for libcurl's callbacks.
struct exchange {
    CURL* easy { nullptr };
    const http_sink* sink { nullptr };
    header_list headers;
    bool isHeadDelivered { false };
    std::exception_ptr failure;
    std::string_view unsentBody;
    const std::function<bool()>* mayStillSend { nullptr };
    bool isWithheld { false };
};

void deliverHead(exchange& state)
{
    if (state.isHeadDelivered)
        return;
    long status = 0;
    curl_easy_getinfo(state.easy, CURLINFO_RESPONSE_CODE, &status);
    state.isHeadDelivered = true;
    if (state.sink->onHead)
        state.sink->onHead(static_cast<std::uint16_t>(status), state.headers);
}

std::size_t onHeaderLine(char* data, std::size_t, std::size_t size, void* user)
{
    auto& state = *static_cast<exchange*>(user);
    const std::string_view line(data, size);
    if (line.starts_with("HTTP/"))
        state.headers.clear();
    const auto colon = line.find(':');
    if (colon != std::string_view::npos)
        state.headers.emplace_back(toLowerAscii(line.substr(0, colon)), trimmed(line.substr(colon + 1)));
    return size;
}

std::size_t onBody(char* data, std::size_t, std::size_t size, void* user)
{
    auto& state = *static_cast<exchange*>(user);
    try {
        deliverHead(state);
        if (state.sink->onData)
            state.sink->onData(std::string_view(data, size));
    } catch (...) {
        state.failure = std::current_exception();
        return 0;
    }
    return size;
}

// libcurl sends a request again by itself when a kept-alive connection ends without an answer. For that it
// must read the body from its start again, which it cannot do here: no seek callback is set.
std::size_t onBodyRequested(char* buffer, std::size_t, std::size_t size, void* user)
{
    auto& state = *static_cast<exchange*>(user);
    if (*state.mayStillSend && !(*state.mayStillSend)()) {
        state.isWithheld = true;
        return CURL_READFUNC_ABORT;
    }
    auto& unsent = state.unsentBody;
    const std::size_t count = unsent.copy(buffer, size);
    unsent.remove_prefix(count);
    return count;
}

void setBody(CURL* easy, const http_request& request, exchange& state)
{
    state.unsentBody = request.body;
    state.mayStillSend = &request.mayStillSend;
    if (!request.body.empty()) {
        curl_easy_setopt(easy, CURLOPT_POST, 1L);
        curl_easy_setopt(easy, CURLOPT_READFUNCTION, onBodyRequested);
        curl_easy_setopt(easy, CURLOPT_READDATA, &state);
        curl_easy_setopt(easy, CURLOPT_POSTFIELDSIZE_LARGE, static_cast<curl_off_t>(request.body.size()));
        return;
    }
    if (request.method == "POST")
        curl_easy_setopt(easy, CURLOPT_POSTFIELDS, "");
    const bool isSafeMethod = request.method == "GET" || request.method == "HEAD";
    curl_easy_setopt(easy, CURLOPT_FRESH_CONNECT, request.idempotent && isSafeMethod ? 0L : 1L);
}

int onProgress(void* user, curl_off_t, curl_off_t, curl_off_t, curl_off_t)
{
    const auto& state = *static_cast<exchange*>(user);
    return state.sink->isCancelled && state.sink->isCancelled() ? 1 : 0;
}

// Once a connection has been made, the request may have been sent.
verdict verdictOf(CURLcode code)
{
    switch (code) {
    case CURLE_COULDNT_CONNECT:
    case CURLE_COULDNT_RESOLVE_HOST:
    case CURLE_URL_MALFORMAT:
    case CURLE_UNSUPPORTED_PROTOCOL:
        return verdict::NotRun;
    default:
        return verdict::MayHaveRun;
    }
}

} // namespace

std::string_view http_response::header(std::string_view name) const
{
    for (const auto& [key, value] : headers) {
        if (key == name)
            return value;
    }
    return {};
}

struct http_client::impl {
    CURL* easy { nullptr };
};

http_client::http_client()
    : m_impl(std::make_unique<impl>())
{
    initialiseCurlOnce();
    m_impl->easy = curl_easy_init();
    if (!m_impl->easy)
        throw std::runtime_error("cannot set up an HTTP client: curl_easy_init failed");
}

http_client::~http_client()
{
    curl_easy_cleanup(m_impl->easy);
}

http_response http_client::send(const http_request& request)
{
    http_response response;
    http_sink sink;
    sink.onHead = [&](std::uint16_t status, const header_list& headers) {
        response.status = status;
        response.headers = headers;
    };
    sink.onData = [&](std::string_view bytes) { response.body.append(bytes); };
    stream(request, sink);
    return response;
}

void http_client::stream(const http_request& request, const http_sink& sink)
{
    CURL* const easy = m_impl->easy;
    curl_easy_reset(easy);
    exchange state { easy, &sink, {}, false, nullptr, {} };

    curl_slist* lines = nullptr;
    const scope_guard freeLines([&lines] { curl_slist_free_all(lines); });
    for (const auto& [name, value] : request.headers)
        lines = curl_slist_append(lines, (value.empty() ? name + ";" : name + ": " + value).c_str());
    lines = curl_slist_append(lines, "Expect:");

    const std::string url = "http://" + formatAddress(request.server) + request.target;
    curl_easy_setopt(easy, CURLOPT_URL, url.c_str());
    curl_easy_setopt(easy, CURLOPT_PROTOCOLS_STR, "http");
    curl_easy_setopt(easy, CURLOPT_PROXY, "");
    curl_easy_setopt(easy, CURLOPT_PATH_AS_IS, 1L);
    curl_easy_setopt(easy, CURLOPT_CUSTOMREQUEST, request.method.c_str());
    setBody(easy, request, state);
    if (request.method == "HEAD")
        curl_easy_setopt(easy, CURLOPT_NOBODY, 1L);
    curl_easy_setopt(easy, CURLOPT_HTTPHEADER, lines);
    curl_easy_setopt(easy, CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(easy, CURLOPT_TCP_NODELAY, 1L);
    curl_easy_setopt(easy, CURLOPT_TIMEOUT_MS, static_cast<long>(request.timeout.count()));
    curl_easy_setopt(easy, CURLOPT_CONNECTTIMEOUT_MS, static_cast<long>(request.connectTimeout.count()));
    curl_easy_setopt(easy, CURLOPT_HEADERFUNCTION, onHeaderLine);
    curl_easy_setopt(easy, CURLOPT_HEADERDATA, &state);
    curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, onBody);
    curl_easy_setopt(easy, CURLOPT_WRITEDATA, &state);
    curl_easy_setopt(easy, CURLOPT_XFERINFOFUNCTION, onProgress);
    curl_easy_setopt(easy, CURLOPT_XFERINFODATA, &state);
    curl_easy_setopt(easy, CURLOPT_NOPROGRESS, 0L);

    const CURLcode code = curl_easy_perform(easy);
    if (state.failure)
        std::rethrow_exception(state.failure);
    if (state.isWithheld)
        throw http_error(
            request.method + " " + url + ": withheld, since it was no longer due", verdict::NotRun);
    if (code != CURLE_OK)
        throw http_error(request.method + " " + url + ": " + curl_easy_strerror(code), verdictOf(code));
    deliverHead(state);
}

} // namespace sagesaddle

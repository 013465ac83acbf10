// One server of four hands out wrong bytes: in one of fifty answers a digit of the status is overwritten.

#include "../harness/harness.h"

#include <cctype>

using namespace review;

namespace {

constexpr std::int64_t warmUpMs = 3000;
constexpr std::int64_t troubleMs = 5500;
constexpr int spoilInterval = 50;
constexpr std::int64_t requestIntervalMs = 5;
constexpr int requestTimeoutMs = 4000;
constexpr int callerCount = 8;

/// \return whether the bytes begin as an answer in HTTP/1.1 does.
bool isAnswer(const std::string& text)
{
    const std::string version = "HTTP/1.1 ";
    if (!text.starts_with(version) || text.size() < version.size() + 4)
        return false;
    const auto digit = [&](std::size_t index) {
        return std::isdigit(static_cast<unsigned char>(text[version.size() + index])) != 0;
    };
    return digit(0) && digit(1) && digit(2) && text[version.size() + 3] == ' ' && text[version.size()] != '0';
}

} // namespace

int main()
{
    small_deployment deployment(2);
    if (!deployment.start())
        return 2;
    sleepMs(warmUpMs);
    const bool isTroubled = hasTrouble();
    std::atomic<int> counter { 0 };
    std::atomic<std::size_t> broken { 0 };
    const std::int64_t end = nowMs() + troubleMs;
    if (isTroubled)
        deployment.engines.front()->spoilAnswers(spoilInterval);
    std::vector<std::thread> callers;
    for (int thread = 0; thread < callerCount; ++thread)
        callers.emplace_back([&] {
            while (nowMs() < end) {
                const int number = counter++;
                const std::string id = "p" + std::to_string(number);
                const auto& target = *deployment.gateways.at(static_cast<std::size_t>(number) % 2);
                std::string answer;
                const int status = sendRequest(target.callerPort(),
                    "POST /s/x HTTP/1.1\r\nHost: h\r\nRequest-Id: " + id
                        + "\r\nModel: m1\r\nToken-Counts: 500,80\r\nPrompt-Prefix: 5c1e07a2:350,1:150\r\n"
                          "Deadline-Ms: 3000\r\nKey: key-2\r\nConnection: close\r\nContent-Length: "
                          "4\r\n\r\nbody",
                    requestTimeoutMs, &answer);
                if (status != 200)
                    deployment.record.write("request " + id + ": " + std::to_string(status));
                if (!answer.empty() && !isAnswer(answer)) {
                    ++broken;
                    deployment.record.write("MIXED is broken: " + id + " gets bytes that are no answer, from "
                        + target.name() + ": '" + answer.substr(0, answer.find("\r\n")) + "'");
                }
                sleepMs(requestIntervalMs * callerCount);
            }
        });
    for (auto& caller : callers)
        caller.join();
    deployment.engines.front()->spoilAnswers(0);
    deployment.record.write(std::to_string(counter) + " requests sent beside those for adapters");
    return deployment.finish(broken);
}

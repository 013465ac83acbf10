// Each gateway in turn holds the lease and is then cut off from the store. While the third one is cut off,
// the store loses the answers to some writes, the first of them the append with which a former holder
// acquires the lease.

#include "../harness/harness.h"

using namespace review;

namespace {

constexpr int gatewayCount = 2;
constexpr std::int64_t cutMs = 4500;
// Time in which the next holder gives orders.
constexpr std::int64_t pauseMs = 5000;
// One write of so many is carried out and not answered.
constexpr int lossInterval = 3;

} // namespace

int main()
{
    small_deployment deployment(gatewayCount);
    std::atomic<bool> isLosing { false };
    std::atomic<int> writes { 0 };
    deployment.platformStore.appendFate = [&](int) {
        return isLosing && writes++ % lossInterval == 0 ? call_fate::AnswerLost : call_fate::Sound;
    };
    if (!deployment.start())
        return 2;
    sleepMs(pauseMs);
    const bool isTroubled = hasTrouble();
    for (int round = 1; round <= gatewayCount; ++round) {
        const int holder = deployment.platformStore.lastAppender();
        const bool isLast = round == gatewayCount;
        if (isTroubled) {
            deployment.platformStore.setCutOff(holder, true);
            isLosing = isLast;
            if (isLast)
                deployment.record.write("the store loses answers to writes");
        }
        sleepMs(cutMs);
        isLosing = false;
        if (isTroubled) {
            deployment.platformStore.setCutOff(holder, false);
            if (isLast)
                deployment.record.write("the store loses no more answers");
        }
        sleepMs(pauseMs);
    }
    return deployment.finish();
}

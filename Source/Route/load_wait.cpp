#include "Route/load_wait.h"

namespace sagesaddle {

namespace {

// Part of a request's whole time for which it may wait for a model.
constexpr int loadWaitDivisor = 3;

} // namespace

bool mayWaitForLoad(const unloaded_model_request& request)
{
    const milliseconds longest = (request.timeLeft + request.waitedFor) / loadWaitDivisor;
    return request.loadTime <= longest && request.waitedFor < longest && request.waiting < maxLoadWaits;
}

} // namespace sagesaddle

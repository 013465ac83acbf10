#include "Fakes/fake_call.h"

namespace sagesaddle::testing {

std::string firstHeader(const http_call& call, std::string_view name)
{
    const auto values = call.header(name);
    return values.empty() ? std::string() : values.front();
}

} // namespace sagesaddle::testing

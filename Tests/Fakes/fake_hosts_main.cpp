#include "Fakes/fake_hosts.h"
#include "Fakes/fake_program.h"

#include <memory>

namespace {

constexpr const char* usage = R"(Stands in for the platform's list of hosts.

Usage:
  fake-hosts (--listen ADDRESS)...

Options:
  --listen ADDRESS  Where to listen, as ip:port.
)";

} // namespace

int main(int argc, char** argv)
{
    using namespace sagesaddle::testing;
    return runFake(argc, argv, usage, [](const fake_arguments&) -> fake_handler {
        auto hosts = std::make_shared<fake_hosts>();
        return [hosts](auto& call, const auto&) { hosts->handle(call); };
    });
}

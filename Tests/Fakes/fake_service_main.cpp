#include "Fakes/fake_program.h"
#include "Fakes/fake_service.h"

#include <memory>

namespace {

constexpr const char* usage = R"(Stands in for a plain service.

Usage:
  fake-service (--listen ADDRESS)... [--name NAME] [--workers N]

Options:
  --listen ADDRESS  Where to listen, as ip:port.
  --name NAME       The service's name in its answers [default: service].
  --workers N       Calls executed at once [default: 320].
)";

} // namespace

int main(int argc, char** argv)
{
    using namespace sagesaddle::testing;
    return runFake(argc, argv, usage, [](const fake_arguments& arguments) -> fake_handler {
        auto service = std::make_shared<fake_service>(arguments.values.at("name"));
        return [service](auto& call, const auto&) { service->handle(call); };
    });
}

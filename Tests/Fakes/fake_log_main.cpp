#include "Fakes/fake_log.h"
#include "Fakes/fake_program.h"

#include <memory>

namespace {

constexpr const char* usage = R"(Stands in for the platform's append-only log.

Usage:
  fake-log (--listen ADDRESS)... [--workers N]

Options:
  --listen ADDRESS  Where to listen, as ip:port; several may be given.
  --workers N       Calls answered at once [default: 200].
)";

} // namespace

int main(int argc, char** argv)
{
    using namespace sagesaddle::testing;
    return runFake(argc, argv, usage, [](const fake_arguments&) -> fake_handler {
        auto log = std::make_shared<fake_log>();
        return [log](auto& call, const auto& listener) { log->handle(call, listener); };
    });
}

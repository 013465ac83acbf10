#include "Fakes/fake_program.h"
#include "Fakes/fake_store.h"

#include <memory>

namespace {

constexpr const char* usage = R"(Stands in for the rate-limited weight store.

Usage:
  fake-store (--listen ADDRESS)... [--loads-per-second N] [--at-once N] [--load-ms MS]

Options:
  --listen ADDRESS      Where to listen, as ip:port.
  --loads-per-second N  Loads started a second, 0 for any number [default: 0].
  --at-once N           Loads at once at full speed [default: 16].
  --load-ms MS          How long a load takes at full speed [default: 20].
)";

} // namespace

int main(int argc, char** argv)
{
    using namespace sagesaddle::testing;
    return runFake(argc, argv, usage, [](const fake_arguments& arguments) -> fake_handler {
        auto store = std::make_shared<fake_store>(
            fake_store::limits { std::stod(arguments.values.at("loads-per-second")),
                static_cast<std::uint32_t>(arguments.number("at-once")),
                static_cast<std::uint32_t>(arguments.number("load-ms")) });
        return [store](auto& call, const auto&) { store->handle(call); };
    });
}
